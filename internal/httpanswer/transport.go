package httpanswer

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/pkg/errors"
)

// maxInterim is the maximum number of interim responses before a response.
const maxInterim = 5

// Transport is an http.RoundTripper that returns an error for a response which is no answer.
type Transport struct{ base http.RoundTripper }

// NewTransport returns a Transport over another one; nil is http.DefaultTransport. A *Transport is
// returned as it is.
func NewTransport(base http.RoundTripper) *Transport {
	switch b := base.(type) {
	case *Transport:
		return b
	case nil:
		return &Transport{base: http.DefaultTransport}
	}
	return &Transport{base: base}
}

// NewClient returns a copy of a client that uses a Transport over the client's own.
func NewClient(c *http.Client) *http.Client {
	checking := *c
	checking.Transport = NewTransport(c.Transport)
	return &checking
}

// RoundTrip implements http.RoundTripper. The error of a response that is no answer wraps
// ErrMalformed.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	interim := 0
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		Got1xxResponse: func(_ int, fields textproto.MIMEHeader) error {
			// Package net/http does not limit them if there is a hook.
			if interim++; interim > maxInterim {
				return errors.WithMessagef(ErrMalformed, "%d interim responses", interim)
			}
			return checkFields(http.Header(fields))
		},
	})
	response, err := t.base.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the transport below.
func (t *Transport) CloseIdleConnections() {
	if base, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}
