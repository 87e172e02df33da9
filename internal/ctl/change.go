package ctl

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/adminapi"
	"github.com/basilrail/basilrail/internal/apierror"
)

// The pace of sending a change again while its outcome is not known.
const (
	firstResendDelay   = 200 * time.Millisecond
	longestResendDelay = 5 * time.Second
)

// change sends a change until its outcome is known or the context ends. The
// same id makes it harmless to send it again, to any entry instance.
func (c *client) change(ctx context.Context, path, changeID string, body any) (adminapi.ApplyResult, error) {
	sender := &sender{client: c, path: path, changeID: changeID, body: body}
	delay := firstResendDelay
	for {
		for _, entry := range c.entries {
			result, settled, err := sender.send(ctx, entry)
			if settled {
				return result, err
			}
		}
		if !sender.unsettled {
			return adminapi.ApplyResult{}, sender.last
		}
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return adminapi.ApplyResult{}, &unknownError{changeID: changeID}
		case <-timer.C:
		}
		delay = min(2*delay, longestResendDelay)
	}
}

// sender sends one change.
type sender struct {
	client    *client
	path      string
	changeID  string
	body      any
	unsettled bool
	last      error
}

// send sends the change to one entry instance; settled tells whether the result
// or error is final.
func (s *sender) send(ctx context.Context, entry string) (result adminapi.ApplyResult, settled bool, err error) {
	err = s.client.call(ctx, entry, http.MethodPost, s.path, s.body, &result)
	s.last = err
	var refused *apiError
	switch {
	case err == nil:
		return result, true, nil
	case !errors.As(err, &refused):
		// The connection may have broken after the request left.
		s.unsettled = s.unsettled || !refusedConnection(err)
		return result, false, err
	case refused.ErrorBody.Error.Code == apierror.CodeOutcomeUnknown:
		s.unsettled = true
		return result, false, err
	default:
		return result, !worthAnotherEntry(err), err
	}
}
