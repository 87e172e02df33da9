package httpanswer

import "net/http"

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
	response, err := t.base.RoundTrip(req)
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
