// Package backend sends single attempts to backend servers and classifies the
// outcome of each: not sent, refused, unknown or answered.
package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/httpanswer"
	"github.com/basilrail/basilrail/internal/tracing"
)

// Headers between an instance and a backend server.
const (
	// HeaderAttemptID is the attempt's id; the server echoes it.
	HeaderAttemptID = "X-Attempt-Id"
	// HeaderNotRun is "true" on a refusal of a request that did not run.
	HeaderNotRun = "X-Not-Run"
	// HeaderDraining is "true" on a refusal by a server that is draining.
	HeaderDraining = "X-Leaving"
	// HeaderPriority is the engine's priority; higher numbers start sooner.
	HeaderPriority = "X-Priority"
	// HeaderResumeAttempt and HeaderResumeOffset resume an interrupted stream.
	HeaderResumeAttempt = "X-Resume-Attempt"
	HeaderResumeOffset  = "X-Resume-Offset"
)

// ErrAnswerMismatch is the cause of an *Error for an answer that belongs to another attempt.
var ErrAnswerMismatch = errors.New("answer belongs to another attempt")

// ErrAnswerTooLarge is the cause of an *Error for an answer over the size limit.
var ErrAnswerTooLarge = errors.New("answer exceeds the size limit")

// Client sends attempts. It sends each at most once.
type Client struct {
	http *http.Client
	// maxAnswer bounds the body of a non-streamed answer, in bytes.
	maxAnswer int64
}

// NewClient returns a client that uses the given transport, which determines the
// use of TLS. Bodies that can't be replayed keep the transport from retrying.
func NewClient(transport http.RoundTripper, maxAnswerBytes int64) *Client {
	return &Client{
		http: &http.Client{
			Transport: httpanswer.NewTransport(transport),
			// A redirect would send the request a second time.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		maxAnswer: maxAnswerBytes,
	}
}

// Call is the HTTP request of one attempt.
type Call struct {
	AttemptID string
	Server    *datastore.Server
	Method    string
	// Path is the path and query on the server.
	Path   string
	Header http.Header
	Body   []byte
}

// do sends the call and returns a successful response or an *Error.
func (c *Client) do(ctx context.Context, call Call) (*http.Response, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := c.newRequest(ctx, call)
	if err != nil {
		return nil, &Error{Outcome: NotSent, Server: call.Server.ID, cause: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, transportError(ctx, call.Server.ID, sent.Load(), err)
	}
	if err := checkResponse(resp, call); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

func (c *Client) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	url := "http://" + call.Server.Settings.Address + call.Path
	// net/http resends a request with an Idempotency-Key after a connection is lost,
	// if it can rewind the body. It can't rewind a NopCloser, but recognises that
	// the data is in memory and so sends header and body together.
	body := io.NopCloser(bytes.NewReader(call.Body))
	req, err := http.NewRequestWithContext(ctx, call.Method, url, body)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.ContentLength = int64(len(call.Body))
	for name, values := range call.Header {
		req.Header[name] = values
	}
	req.Header.Set(HeaderAttemptID, call.AttemptID)
	tracing.Inject(ctx, req.Header)
	return req, nil
}

// transportError classifies an attempt without a complete response. sent is set if
// part of the request may have reached the server.
func transportError(ctx context.Context, server string, sent bool, err error) *Error {
	if !sent {
		return &Error{Outcome: NotSent, Server: server, cause: err}
	}
	// Neither an attempt cancelled on this side nor a malformed answer indicates a server crash.
	crashed := ctx.Err() == nil && !errors.Is(err, httpanswer.ErrMalformed)
	return &Error{Outcome: OutcomeUnknown, Server: server, Crashed: crashed, cause: err}
}

// checkResponse returns an *Error for a refusal or for an answer that belongs to
// another attempt.
func checkResponse(resp *http.Response, call Call) error {
	if resp.Header.Get(HeaderNotRun) == "true" {
		return &Error{
			Outcome:    Refused,
			Server:     call.Server.ID,
			Status:     resp.StatusCode,
			Draining:   resp.Header.Get(HeaderDraining) == "true",
			RetryAfter: retryAfter(resp.Header),
			cause:      errors.New("refused by the backend server"),
		}
	}
	if resp.Header.Get(HeaderAttemptID) != call.AttemptID {
		return &Error{Outcome: OutcomeUnknown, Server: call.Server.ID, Status: resp.StatusCode, cause: ErrAnswerMismatch}
	}
	return nil
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// Answer is a complete answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends the call and reads the complete answer. If the connection is lost
// while reading, it returns an *Error with OutcomeUnknown.
func (c *Client) Do(ctx context.Context, call Call) (*Answer, error) {
	resp, err := c.do(ctx, call)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxAnswer+1))
	if err != nil {
		return nil, transportError(ctx, call.Server.ID, true, err)
	}
	if int64(len(body)) > c.maxAnswer {
		return nil, &Error{Outcome: OutcomeUnknown, Server: call.Server.ID, Status: resp.StatusCode, cause: ErrAnswerTooLarge}
	}
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}
