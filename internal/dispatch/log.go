package dispatch

import (
	"time"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/retry"
	"github.com/basilrail/basilrail/internal/settings"
)

// logAttempt logs and counts one attempt: the server, why it was picked, and the
// outcome.
func (x *exchange) logAttempt(p *placement, err error) {
	outcome := "answered"
	if err != nil {
		outcome = outcomeOf(err).String()
	}
	if err == errEscalated {
		outcome = "escalated"
	}
	parts := ""
	if err != nil && outcomeOf(err) == retry.OutcomeDisconnected {
		parts = x.req.Prompt.partIDs()
	}
	x.d.Log.Log(events.ExchangeAttempt, events.Fields{
		RequestID:   x.req.ID,
		PromptParts: parts,
		Server:      p.server.ID,
		Version:     p.server.Registration.Release,
		Model:       p.model,
		Path:        x.route.Name,
		Reason:      string(p.reason),
		Load:        p.load,
		Count:       x.sent,
		Duration:    time.Since(p.started),
		Latency:     p.latency,
		Outcome:     outcome,
		Err:         err,
	})
	x.d.Metrics.AttemptOutcomes.Add(outcome, 1)
	x.d.Metrics.AttemptDuration.Record(time.Since(p.started))
}

// logEnd logs and counts the outcome of the request.
func (x *exchange) logEnd(event *events.Event, refusal *Refusal) {
	fields := events.Fields{
		RequestID: x.req.ID,
		Count:     x.sent,
		Duration:  time.Since(x.req.Arrived),
		Status:    x.status,
	}
	if x.route != nil {
		fields.Path = x.route.Name
	}
	if x.account != nil {
		fields.Account = settings.AccountID(x.account.Name)
	}
	if x.table != nil {
		fields.Revision = x.table.Version()
		fields.Age = x.d.Routing.KnownAge()
	}
	outcome := "answered"
	if refusal != nil {
		outcome = string(refusal.Reason)
		fields.Reason, fields.Outcome, fields.RetryAfter = outcome, string(refusal.Execution), refusal.RetryAfter
		x.d.Metrics.Refusals.Add(outcome, 1)
	}
	x.d.Log.Log(event, fields)
	x.d.Metrics.Requests.Add(outcome, 1)
	x.d.Metrics.RequestDuration.Record(time.Since(x.req.Arrived))
}
