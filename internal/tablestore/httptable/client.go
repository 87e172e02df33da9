package httptable

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/httpanswer"
	"github.com/basilrail/basilrail/internal/tablestore"
)

const (
	// DefaultTimeout limits one call from dial to the end of the response.
	DefaultTimeout = 2 * time.Second
	// maxResponseBytes limits the size of a response body.
	maxResponseBytes = 64 << 20
)

// Client calls the platform's HTTP API. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	base    string
	timeout time.Duration
}

var (
	_ tablestore.Table      = (*Client)(nil)
	_ tablestore.Membership = (*Client)(nil)
)

// New makes a client of the platform at a base URL such as
// "http://127.0.0.1:7000". A timeout of zero means DefaultTimeout.
func New(client *http.Client, baseURL string, timeout time.Duration) *Client {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	return &Client{http: httpanswer.NewClient(client), base: strings.TrimRight(baseURL, "/"), timeout: timeout}
}

// Commit writes a transaction.
func (c *Client) Commit(ctx context.Context, txn tablestore.Txn) tablestore.Result {
	var result tablestore.Result
	sent, status, err := c.call(ctx, http.MethodPost, PathCommit, txn, &result)
	switch {
	case err == nil && status == http.StatusOK:
		return result
	case !sent, provesNotApplied(status):
		return tablestore.Result{Outcome: tablestore.OutcomeNotApplied}
	default:
		return tablestore.Result{Outcome: tablestore.OutcomeUnknown}
	}
}

// provesNotApplied reports whether a status proves that a write was not applied:
// the request was malformed, or the service refused it before processing it.
func provesNotApplied(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusBadRequest
}

// Get reads rows by key.
func (c *Client) Get(ctx context.Context, keys ...string) ([]tablestore.Row, error) {
	var rows RowsResponse
	err := c.read(ctx, http.MethodPost, PathGet, GetRequest{Keys: keys}, &rows)
	return rows.Rows, err
}

// Scan reads rows by prefix in key order.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]tablestore.Row, error) {
	var rows RowsResponse
	err := c.read(ctx, http.MethodPost, PathScan, ScanRequest{Prefix: prefix, After: after, Limit: limit}, &rows)
	return rows.Rows, err
}

// List reads the membership list.
func (c *Client) List(ctx context.Context) ([]tablestore.Member, error) {
	var list MembersResponse
	err := c.read(ctx, http.MethodGet, PathMembers, nil, &list)
	return list.Members, err
}

// Register adds or renews a member.
func (c *Client) Register(ctx context.Context, m tablestore.Member) error {
	return c.read(ctx, http.MethodPut, PathMembers+"/"+url.PathEscape(m.ID), m, nil)
}

// Deregister removes a member.
func (c *Client) Deregister(ctx context.Context, id string) error {
	return c.read(ctx, http.MethodDelete, PathMembers+"/"+url.PathEscape(id), nil, nil)
}

// read makes a call that is safe to repeat and returns every failure as
// ErrUnavailable.
func (c *Client) read(ctx context.Context, method, path string, body, into any) error {
	_, status, err := c.call(ctx, method, path, body, into)
	if err != nil {
		return errors.Wrap(tablestore.ErrUnavailable, err.Error())
	}
	if status/100 != 2 {
		return errors.Wrapf(tablestore.ErrUnavailable, "status %d", status)
	}
	return nil
}

// call makes one HTTP call. sent reports whether any byte may have been sent.
func (c *Client) call(ctx context.Context, method, path string, body, into any) (sent bool, status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		return false, 0, errors.Wrap(err, "encode request")
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(encoded))
	if err != nil {
		return false, 0, errors.Wrap(err, "make request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return connected.Load(), 0, err
	}
	defer resp.Body.Close()
	return true, resp.StatusCode, decode(resp, into)
}

func decode(resp *http.Response, into any) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if into == nil || resp.StatusCode != http.StatusOK {
		return nil
	}
	return errors.Wrap(json.Unmarshal(body, into), "decode answer")
}
