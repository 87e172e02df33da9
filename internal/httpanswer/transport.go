package httpanswer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"

	"github.com/pkg/errors"
)

// maxInterim is the maximum number of interim responses before a response.
const maxInterim = 5

// Transport is an http.RoundTripper that returns an error for a malformed response. Over an
// *http.Transport, reading a body that ends with its connection fails if the body is incomplete.
type Transport struct{ base http.RoundTripper }

// NewTransport returns a Transport over another one; nil is http.DefaultTransport. A *Transport is
// returned as it is. An *http.Transport is copied and shares no connections with the copy.
func NewTransport(base http.RoundTripper) *Transport {
	if base == nil {
		base = http.DefaultTransport
	}
	switch b := base.(type) {
	case *Transport:
		return b
	case *http.Transport:
		return &Transport{base: withConns(b)}
	}
	return &Transport{base: base}
}

// NewClient returns a copy of a client that uses a Transport over the client's own.
func NewClient(c *http.Client) *http.Client {
	checking := *c
	checking.Transport = NewTransport(c.Transport)
	return &checking
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// withConns returns a copy of a transport whose connections are Conns.
func withConns(base *http.Transport) *http.Transport {
	t := base.Clone()
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = withConn(dial)
	if t.DialTLSContext != nil {
		t.DialTLSContext = withConn(t.DialTLSContext)
	}
	return t
}

func withConn(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// RoundTrip implements http.RoundTripper. The error of a malformed response wraps ErrMalformed.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), newTrace())))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		response.Body.Close()
		return nil, err
	}
	return response, nil
}

// newTrace returns the hooks of a request: they check interim responses, and mark the start and the
// end of the request on its connection.
func newTrace() *httptrace.ClientTrace {
	var conn atomic.Pointer[Conn]
	interim := 0
	return &httptrace.ClientTrace{
		GotConn: func(got httptrace.GotConnInfo) {
			c, _ := got.Conn.(*Conn)
			if conn.Store(c); c != nil {
				c.BeginRequest()
			}
		},
		// The last bytes may still be in a buffer; writing them is a write in progress.
		WroteRequest: func(wrote httptrace.WroteRequestInfo) {
			if c := conn.Load(); c != nil {
				c.EndRequest(wrote.Err)
			}
		},
		Got1xxResponse: func(_ int, fields textproto.MIMEHeader) error {
			// Package net/http does not limit them if there is a hook.
			if interim++; interim > maxInterim {
				return errors.WithMessagef(ErrMalformed, "%d interim responses", interim)
			}
			return checkFields(http.Header(fields))
		},
	}
}

// CloseIdleConnections closes the idle connections of the transport below.
func (t *Transport) CloseIdleConnections() {
	if base, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}
