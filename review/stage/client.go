package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// requestID returns the id of a client attempt.
func requestID(i int) string { return fmt.Sprintf("9c41d07b%08x", i) }

// answer is what a client got.
type answer struct {
	status int
	seal   string
	body   string
	// err is set if the connection ended before the answer was complete.
	err error
}

// String returns the answer in words.
func (a answer) String() string {
	text := fmt.Sprintf("status %d, seal %q, %d bytes", a.status, a.seal, len(a.body))
	if a.err != nil {
		text += ", not complete: " + a.err.Error()
	}
	return text
}

// send sends a request to an instance on a new connection, with a key, and reads the answer.
func (m *instance) send(method, path, id string, deadline time.Duration, header map[string]string, body string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.front+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = routeHost
	r.Header.Set("Basilrail-Attempt-Id", id)
	r.Header.Set("Basilrail-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set("Basilrail-Key", clientKey)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, seal: resp.Header.Get("Basilrail-Server-Seal"), body: string(text), err: err}
}
