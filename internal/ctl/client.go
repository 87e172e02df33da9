// Package ctl is the operators' command-line tool: it reads and changes
// settings through the API of any entry instance.
package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/adminapi"
	"github.com/basilrail/basilrail/internal/apierror"
)

// client calls the API of the first instance that answers.
type client struct {
	entries []string
	key     string
	http    *http.Client
}

// apiError is an error response of the API.
type apiError struct {
	adminapi.ErrorBody
	Status int
}

// Error returns the findings if there are any, otherwise the message.
func (e *apiError) Error() string {
	if len(e.ErrorBody.Error.Findings) > 0 {
		return e.ErrorBody.Error.Findings.Error()
	}
	return e.ErrorBody.Error.Message
}

// errUnreachable means that no instance answered.
var errUnreachable = errors.New("no entry instance answered")

// unreachableError means that an instance did not answer.
type unreachableError struct {
	entry string
	cause error
}

// Error names the instance and the cause.
func (e *unreachableError) Error() string {
	return "entry " + e.entry + " did not answer: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *unreachableError) Unwrap() error { return e.cause }

// isDialError reports whether a request was certainly not sent because no
// connection could be established.
func isDialError(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}

// outcomeUnknownError means that a change was sent and its outcome is unknown.
type outcomeUnknownError struct{ changeID string }

// Error names the change and the command that resolves its outcome.
func (e *outcomeUnknownError) Error() string {
	return "the outcome of change " + e.changeID + " is not known; run the same command again with --change-id " + e.changeID
}

// get reads from the first instance that answers.
func (c *client) get(ctx context.Context, path string, query url.Values, answer any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return c.tryEntries(func(entry string) error { return c.call(ctx, entry, http.MethodGet, path, nil, answer) })
}

// post sends a read-only POST request to the first instance that answers.
func (c *client) post(ctx context.Context, path string, body, answer any) error {
	return c.tryEntries(func(entry string) error { return c.call(ctx, entry, http.MethodPost, path, body, answer) })
}

// tryEntries calls the instances in order until one succeeds or returns an
// error for which another instance need not be tried.
func (c *client) tryEntries(call func(entry string) error) error {
	last := errUnreachable
	for _, entry := range c.entries {
		err := call(entry)
		if err == nil || !canRetryElsewhere(err) {
			return err
		}
		last = err
	}
	return last
}

// canRetryElsewhere reports whether another instance may succeed after this
// error.
func canRetryElsewhere(err error) bool {
	var refused *apiError
	if !errors.As(err, &refused) {
		return true
	}
	code := refused.ErrorBody.Error.Code
	return code == apierror.CodeStoreUnavailable || code == apierror.CodeSettingsStale ||
		code == apierror.CodeDraining || code == apierror.CodeInternal
}

// call sends one request to one instance.
func (c *client) call(ctx context.Context, entry, method, path string, body, answer any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(entry, "/")+path, bytes.NewReader(raw))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return &unreachableError{entry: entry, cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return readError(response)
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(answer), "decode response")
}

func readError(response *http.Response) error {
	refused := &apiError{Status: response.StatusCode}
	if err := json.NewDecoder(response.Body).Decode(&refused.ErrorBody); err != nil || refused.ErrorBody.Error == nil {
		return errors.Errorf("unexpected response from the entry instance: %s", response.Status)
	}
	return refused
}
