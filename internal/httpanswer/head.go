// Package httpanswer decides whether the bytes of a server are an answer. Package net/http accepts
// more than HTTP/1.1 allows; a server that sends such bytes is in trouble, and nothing that it says
// beside them is believed: not that the request did not run, nor what it asks for itself.
package httpanswer

import (
	"io"
	"net/http"
	"slices"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that the head of a response is none.
var ErrMalformed = errors.New("the head of the response is malformed")

// maxStatus is the highest status of a response.
const maxStatus = 599

// CheckHead returns an error that wraps ErrMalformed for a head that net/http accepts although
// HTTP/1.1 does not allow it. A trailer that is malformed becomes the error at the end of the body.
func CheckHead(r *http.Response) error {
	switch {
	case r.StatusCode < http.StatusContinue, r.StatusCode > maxStatus:
		return errors.WithMessagef(ErrMalformed, "status %q", r.Status)
	case r.StatusCode == http.StatusSwitchingProtocols && !asksToSwitch(r.Request):
		return errors.WithMessage(ErrMalformed, "the protocol is switched without being asked for")
	case !httpguts.ValidHeaderFieldValue(r.Status):
		return errors.WithMessagef(ErrMalformed, "status %q", r.Status)
	}
	if err := checkFields(r.Header); err != nil {
		return err
	}
	if slices.Contains(r.TransferEncoding, "chunked") && r.Body != http.NoBody {
		r.Body = &trailedBody{ReadCloser: r.Body, response: r}
	}
	return nil
}

// checkFields returns an error for fields of a head or a trailer of which one is none. A name with
// a blank, which net/http accepts, may be one that frames the body: then the body is not the server's.
func checkFields(fields http.Header) error {
	for name, values := range fields {
		switch {
		case !httpguts.ValidHeaderFieldName(name):
			return errors.WithMessagef(ErrMalformed, "field name %q", name)
		case slices.ContainsFunc(values, func(value string) bool { return !httpguts.ValidHeaderFieldValue(value) }):
			return errors.WithMessagef(ErrMalformed, "value of the field %q", name)
		}
	}
	return nil
}

// trailedBody is a body after which a trailer may follow.
type trailedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if malformed := checkFields(b.response.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}

func asksToSwitch(r *http.Request) bool { return r != nil && r.Header.Get("Upgrade") != "" }
