// Package httpanswer decides whether the answer of a server is valid and complete. Package net/http
// accepts more than HTTP/1.1 allows. Nothing in a malformed head is trusted: not that the request
// did not run, nor what the server asks for itself.
package httpanswer

import (
	"io"
	"net/http"
	"slices"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that the head or the trailer of a response is not valid HTTP/1.1.
var ErrMalformed = errors.New("the response is malformed")

// maxStatus is the highest status of a response.
const maxStatus = 599

// CheckHead returns an error that wraps ErrMalformed for a head that net/http accepts although
// HTTP/1.1 does not allow it. It replaces a chunked body by one that returns such an error at its
// end if the trailer is malformed.
func CheckHead(r *http.Response) error {
	switch {
	case r.ProtoMajor != 1 && !isHTTP2(r):
		return errors.WithMessagef(ErrMalformed, "protocol %q", r.Proto)
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

// checkFields returns an error if a field of a head or a trailer is invalid. Package net/http accepts
// names with blanks and ignores what they say, also if the field is the length of the body.
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

// trailedBody is a chunked body, whose trailer it checks.
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

// isHTTP2 reports whether a response came over HTTP/2, which has no status line.
func isHTTP2(r *http.Response) bool {
	return r.ProtoMajor == 2 && r.TLS != nil && r.TLS.NegotiatedProtocol == "h2"
}

func asksToSwitch(r *http.Request) bool { return r != nil && r.Header.Get("Upgrade") != "" }
