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

// handleFailure reports a failed attempt and waits before the next one. It returns
// nil if the work should be retried.
func (w *work) handleFailure(ctx context.Context, p *placement, err error) *apierror.Error {
	failure := w.reportFailure(p, err)
	if ctx.Err() != nil {
		return contextRefusal(ctx).WithExecutionStatus(w.r.execution)
	}
	w.failedAttempts++
	decision := w.r.gateway.Retries.Next(w.retryInput(p, failure))
	if decision.Action == retry.Stop {
		return w.finalRefusal(failure, decision)
	}
	if decision.Action == retry.RetryElsewhere {
		w.excluded = append(w.excluded, p.server.ID)
	}
	w.r.fire(statechart.RequestRetry)
	return w.pause(ctx, decision.Delay)
}

// reportFailure records a failed attempt in the request's status, the server's
// health and the bill, and returns its error as a *backend.Error.
func (w *work) reportFailure(p *placement, err error) *backend.Error {
	var failure *backend.Error
	if !errors.As(err, &failure) {
		failure = &backend.Error{Outcome: backend.OutcomeUnknown, Server: p.server.ID}
	}
	g := w.r.gateway
	w.r.updateExecution(failure.Outcome.Execution())
	g.Servers.ReportFailure(failure)
	if failure.Outcome > backend.Refused {
		p.addBillLine(backend.Usage{}, 0, false)
	}
	return failure
}

// retryInput returns the retry policy's description of the failed attempt.
func (w *work) retryInput(p *placement, failure *backend.Error) retry.Attempt {
	return retry.Attempt{
		Outcome:          retryOutcome(failure),
		Number:           w.failedAttempts,
		Idempotent:       w.idempotent,
		ServerHonoursKey: w.r.key != "" && w.service != "" && p.server.Settings.Traits.HonoursKeys,
		OtherServers:     w.serversLeft(p.server.ID),
		Remaining:        time.Until(w.r.deadline),
	}
}

// serversLeft returns the number of the target's servers that have not failed this work.
func (w *work) serversLeft(failed string) int {
	snap := w.r.gateway.Data.Snapshot()
	servers := snap.ForVersion(w.version)
	if w.service != "" {
		servers = snap.ForService(w.service)
	}
	return len(servers) - len(w.excluded) - 1
}

// retryOutcome maps a failure to the retry policy's outcome.
func retryOutcome(failure *backend.Error) retry.Outcome {
	switch failure.Outcome {
	case backend.NotSent:
		return retry.OutcomeConnectFailed
	case backend.Refused:
		return refusalOutcome(failure)
	case backend.Answered:
		if failure.Status < http.StatusInternalServerError {
			return retry.OutcomeRejected
		}
		return retry.OutcomeServerError
	}
	if failure.Crashed {
		return retry.OutcomeCrashed
	}
	return retry.OutcomeDisconnected
}

func refusalOutcome(failure *backend.Error) retry.Outcome {
	switch {
	case failure.Draining:
		return retry.OutcomeDraining
	case failure.Status == http.StatusConflict:
		return retry.OutcomeNotLoaded
	case failure.Status == http.StatusBadRequest:
		return retry.OutcomeRejected
	default:
		return retry.OutcomeNoCapacity
	}
}

// finalRefusal returns the refusal after the last attempt. It carries the furthest
// execution status of all attempts, not only that of the last.
func (w *work) finalRefusal(failure *backend.Error, decision retry.Decision) *apierror.Error {
	retryAfter := max(w.r.gateway.Retries.RetryAfter(), failure.RetryAfter)
	switch {
	case decision.Code == apierror.CodeBadRequest:
		return apierror.New(http.StatusBadRequest, decision.Code, "the backend server found the request at fault").WithExecutionStatus(w.r.execution)
	case w.r.execution == apierror.NotRun:
		return apierror.New(http.StatusServiceUnavailable, decision.Code, "no backend server for %s took the request", w.target()).WithRetryAfter(retryAfter)
	case failure.Outcome == backend.Answered:
		return apierror.New(http.StatusBadGateway, apierror.CodeBackendFailed,
			"the backend server answered with status %d", failure.Status).WithExecutionStatus(w.r.execution).WithRetryAfter(retryAfter)
	default:
		return apierror.New(http.StatusBadGateway, apierror.CodeBackendFailed,
			"the connection to the backend server broke").WithExecutionStatus(w.r.execution).WithRetryAfter(retryAfter)
	}
}

func (w *work) pause(ctx context.Context, delay time.Duration) *apierror.Error {
	if wait.For(ctx, delay) != nil {
		return contextRefusal(ctx).WithExecutionStatus(w.r.execution)
	}
	return nil
}
