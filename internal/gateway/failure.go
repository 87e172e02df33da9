package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/backend"
	"github.com/basilrail/basilrail/internal/retry"
	"github.com/basilrail/basilrail/internal/statechart"
	"github.com/basilrail/basilrail/internal/wait"
)

// failed takes in a failed attempt; it returns nil when the work may be tried again.
func (w *work) failed(ctx context.Context, p *placement, err error) *apierror.Error {
	failure := w.note(p, err)
	if ctx.Err() != nil {
		return gaveUp(ctx).WithRan(w.r.ran)
	}
	w.tries++
	decision := w.r.gateway.Retries.Next(w.retryInput(p, failure))
	if decision.Action == retry.Stop {
		return w.giveUp(failure, decision)
	}
	if decision.Action == retry.RetryElsewhere {
		w.excluded = append(w.excluded, p.server.ID)
	}
	w.r.fire(statechart.RequestRetry)
	return w.pause(ctx, decision.Delay)
}

// note tells everybody concerned how an attempt failed.
func (w *work) note(p *placement, err error) *backend.Error {
	var failure *backend.Error
	if !errors.As(err, &failure) {
		failure = &backend.Error{Fate: backend.Broken, Server: p.server.ID}
	}
	g := w.r.gateway
	w.r.sawFate(failure.Fate.Ran())
	g.Servers.Report(failure)
	if failure.Fate > backend.Refused {
		p.line(backend.Usage{}, 0, false)
	}
	return failure
}

// retryInput describes the failed attempt to the retry policy.
func (w *work) retryInput(p *placement, failure *backend.Error) retry.Attempt {
	return retry.Attempt{
		Outcome:          outcomeOf(failure),
		Number:           w.tries,
		Idempotent:       w.idempotent,
		ServerHonoursKey: w.r.key != "" && w.service != "" && p.server.Settings.Traits.HonoursKeys,
		OtherServers:     w.serversLeft(p.server.ID),
		Remaining:        time.Until(w.r.deadline),
	}
}

// serversLeft counts the servers of the target that did not fail this work.
func (w *work) serversLeft(failedNow string) int {
	snap := w.r.gateway.Data.Snapshot()
	servers := snap.ForVersion(w.version)
	if w.service != "" {
		servers = snap.ForService(w.service)
	}
	return len(servers) - len(w.excluded) - 1
}

// outcomeOf names an attempt's end as the retry policy does.
func outcomeOf(failure *backend.Error) retry.Outcome {
	switch failure.Fate {
	case backend.NotSent:
		return retry.OutcomeConnectFailed
	case backend.Refused:
		return refusalOf(failure)
	case backend.Answered:
		if failure.Status < http.StatusInternalServerError {
			return retry.OutcomeRejected
		}
		return retry.OutcomeServerError
	}
	if failure.Crashed {
		return retry.OutcomeCrashed
	}
	return retry.OutcomeBroken
}

func refusalOf(failure *backend.Error) retry.Outcome {
	switch {
	case failure.Leaving:
		return retry.OutcomeLeaving
	case failure.Status == http.StatusConflict:
		return retry.OutcomeNotLoaded
	case failure.Status == http.StatusBadRequest:
		return retry.OutcomeRejected
	default:
		return retry.OutcomeNoCapacity
	}
}

// giveUp is the refusal after the last attempt. It tells the most that may have
// happened in any attempt, not only in the last.
func (w *work) giveUp(failure *backend.Error, decision retry.Decision) *apierror.Error {
	comeBack := max(w.r.gateway.Retries.ComeBack(), failure.RetryAfter)
	switch {
	case decision.Code == apierror.CodeBadRequest:
		return apierror.New(http.StatusBadRequest, decision.Code, "the backend server found the request at fault").WithRan(w.r.ran)
	case w.r.ran == apierror.NotRun:
		return apierror.New(http.StatusServiceUnavailable, decision.Code, "no backend server for %s took the request", w.target()).Retry(comeBack)
	case failure.Fate == backend.Answered:
		return apierror.New(http.StatusBadGateway, apierror.CodeBackendFailed,
			"the backend server answered with status %d", failure.Status).WithRan(w.r.ran).Retry(comeBack)
	default:
		return apierror.New(http.StatusBadGateway, apierror.CodeBackendFailed,
			"the connection to the backend server broke").WithRan(w.r.ran).Retry(comeBack)
	}
}

func (w *work) pause(ctx context.Context, delay time.Duration) *apierror.Error {
	if wait.For(ctx, delay) != nil {
		return gaveUp(ctx).WithRan(w.r.ran)
	}
	return nil
}
