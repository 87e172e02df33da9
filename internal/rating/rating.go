// Package rating is the client of the service that rates answers. The service is
// rate-limited and may be unavailable: each call has a timeout, the number of concurrent
// calls is limited, and after a failure calls pause for a time.
package rating

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/gateway"
	"github.com/basilrail/basilrail/internal/httpanswer"
)

const (
	// callTimeout is the time limit of one rating.
	callTimeout = 3 * time.Second
	// maxInFlight bounds the concurrent ratings.
	maxInFlight = 64
	// pauseAfterFailure is how long a failing service gets no calls, unless its reply
	// names another time in Retry-After; that is limited to ten times as long.
	pauseAfterFailure = 2 * time.Second
	// maxReplyBytes bounds the part of a reply that is read.
	maxReplyBytes = 64 << 10
)

// ErrUnavailable means that no rating is available at present.
var ErrUnavailable = errors.New("rating service unavailable")

// Client rates answers. It is safe for concurrent use.
type Client struct {
	http  *http.Client
	url   string
	slots chan struct{}

	mu sync.Mutex
	// pausedUntil is when the service may be called again.
	pausedUntil time.Time
}

var _ gateway.Rater = (*Client)(nil)

// New returns a client of the service at baseURL. With an empty URL every rating is
// unavailable.
func New(client *http.Client, baseURL string) *Client {
	return &Client{http: httpanswer.NewClient(client), url: baseURL, slots: make(chan struct{}, maxInFlight)}
}

// request is the request body of POST /rate.
type request struct {
	Task    string `json:"task"`
	Prompt  string `json:"prompt"`
	Answer  string `json:"answer"`
	Version string `json:"version"`
}

// reply is the response body of POST /rate.
type reply struct {
	// Score is in [0,1]; nil if the reply has none.
	Score *float64 `json:"score"`
}

// Rate returns the score of an answer, 0 to 1. Errors wrap ErrUnavailable.
func (c *Client) Rate(ctx context.Context, r gateway.Rating) (float64, error) {
	if c.url == "" || c.paused() {
		return 0, ErrUnavailable
	}
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	default:
		return 0, errors.Wrap(ErrUnavailable, "too many ratings in flight")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.call(ctx, r)
}

func (c *Client) call(ctx context.Context, r gateway.Rating) (float64, error) {
	body, err := json.Marshal(request{Task: r.Task, Prompt: r.Prompt, Answer: r.Answer, Version: r.Version.String()})
	if err != nil {
		return 0, errors.Wrap(ErrUnavailable, err.Error())
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+"/rate", bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(ErrUnavailable, err.Error())
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		c.pause(pauseAfterFailure)
		return 0, errors.Wrap(ErrUnavailable, err.Error())
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		c.pause(retryAfter(resp.Header))
		return 0, errors.Wrapf(ErrUnavailable, "status %d", resp.StatusCode)
	}
	return decode(resp.Body)
}

func decode(body io.Reader) (float64, error) {
	var out reply
	if err := json.NewDecoder(io.LimitReader(body, maxReplyBytes)).Decode(&out); err != nil {
		return 0, errors.Wrap(ErrUnavailable, err.Error())
	}
	if out.Score == nil || *out.Score < 0 || *out.Score > 1 {
		return 0, errors.Wrap(ErrUnavailable, "reply has no score between 0 and 1")
	}
	return *out.Score, nil
}

func (c *Client) paused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.pausedUntil)
}

func (c *Client) pause(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pausedUntil = time.Now().Add(d)
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return pauseAfterFailure
	}
	return min(time.Duration(seconds)*time.Second, 10*pauseAfterFailure)
}
