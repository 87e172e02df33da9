// Package httpanswer decides whether the bytes of a server are an answer. Package net/http accepts
// more than HTTP/1.1 allows; a server that sends such bytes is in trouble, and nothing that it says
// beside them is believed: not that the request did not run, nor what it asks for itself.
package httpanswer

import (
	"net/http"
	"regexp"
	"slices"

	"github.com/pkg/errors"
)

// ErrMalformed means that the head of a response is none.
var ErrMalformed = errors.New("the head of the response is malformed")

// maxStatus is the highest status of a response.
const maxStatus = 599

// statusLine matches the begin of a response. Within a head or a body it is that of another response.
var statusLine = regexp.MustCompile(`HTTP/\d\.\d \d{3}`)

// HasStatusLine reports whether a text contains the begin of a response.
func HasStatusLine(text []byte) bool { return statusLine.Match(text) }

// CheckHead returns an error that wraps ErrMalformed for a head that net/http accepts although
// HTTP/1.1 does not allow it.
func CheckHead(r *http.Response) error {
	switch {
	case r.StatusCode < http.StatusContinue, r.StatusCode > maxStatus:
		return errors.WithMessagef(ErrMalformed, "status %q", r.Status)
	case r.StatusCode == http.StatusSwitchingProtocols && !asksToSwitch(r.Request):
		return errors.WithMessage(ErrMalformed, "the protocol is switched without being asked for")
	case statusLine.MatchString(r.Status):
		return errors.WithMessagef(ErrMalformed, "another response begins in the status %q", r.Status)
	}
	for name, values := range r.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return errors.WithMessagef(ErrMalformed, "another response begins in the field %q", name)
		}
	}
	return nil
}

func asksToSwitch(r *http.Request) bool { return r != nil && r.Header.Get("Upgrade") != "" }
