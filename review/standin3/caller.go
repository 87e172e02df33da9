package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var lastAttempt atomic.Int64

// answer is what a caller got for one attempt.
type answer struct {
	id     string
	status int
	// err is set if there is no complete answer.
	err     error
	sentAt  time.Time
	elapsed time.Duration
}

// text returns the answer in words.
func (a answer) text() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return strconv.Itoa(a.status)
}

// call makes one attempt at an instance, over a connection of its own.
func call(i *instance, key, method, path, body string, deadline time.Duration) answer {
	a := answer{id: fmt.Sprintf("%016x", lastAttempt.Add(1)), sentAt: time.Now()}
	defer func() { a.elapsed = time.Since(a.sentAt) }()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+i.front+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = hostName
	req.Header.Set("Basilrail-Attempt-Id", a.id)
	req.Header.Set("Basilrail-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("Basilrail-Key", key)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		a.err = err
		return a
	}
	a.status = resp.StatusCode
	return a
}
