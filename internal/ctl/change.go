package ctl

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/adminapi"
	"github.com/basilrail/basilrail/internal/apierror"
)

// Delays before a change is resent while its outcome is unknown; the delay doubles
// each time up to the maximum.
const (
	initialResendDelay = 200 * time.Millisecond
	maxResendDelay     = 5 * time.Second
)

// change sends a change until its outcome is known or the context is done.
// Resending it, to any instance, is idempotent because the id stays the same.
func (c *client) change(ctx context.Context, path, changeID string, body any) (adminapi.ApplyResult, error) {
	sender := &sender{client: c, path: path, changeID: changeID, body: body}
	delay := initialResendDelay
	for {
		for _, entry := range c.entries {
			result, final, err := sender.send(ctx, entry)
			if final {
				return result, err
			}
		}
		if !sender.outcomeUnknown {
			return adminapi.ApplyResult{}, sender.lastErr
		}
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return adminapi.ApplyResult{}, &outcomeUnknownError{changeID: changeID}
		case <-timer.C:
		}
		delay = min(2*delay, maxResendDelay)
	}
}

// sender sends one change and keeps the state of its attempts.
type sender struct {
	client         *client
	path           string
	changeID       string
	body           any
	outcomeUnknown bool
	lastErr        error
}

// send sends the change to one instance; final reports whether the result or
// error is final.
func (s *sender) send(ctx context.Context, entry string) (result adminapi.ApplyResult, final bool, err error) {
	err = s.client.call(ctx, entry, http.MethodPost, s.path, s.body, &result)
	s.lastErr = err
	var refused *apiError
	switch {
	case err == nil:
		return result, true, nil
	case !errors.As(err, &refused):
		// The connection may have failed after the request was sent.
		s.outcomeUnknown = s.outcomeUnknown || !isDialError(err)
		return result, false, err
	case refused.ErrorBody.Error.Code == apierror.CodeOutcomeUnknown:
		s.outcomeUnknown = true
		return result, false, err
	default:
		return result, !canRetryElsewhere(err), err
	}
}
