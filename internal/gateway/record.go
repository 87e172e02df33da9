package gateway

import (
	"time"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/billing"
	"github.com/basilrail/basilrail/internal/cascade"
	"github.com/basilrail/basilrail/internal/scheduling"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/statechart"
)

// maxRecordedAttempts bounds the attempts in a Record; older ones are dropped.
const maxRecordedAttempts = 16

// RecordSink stores the records of finished requests for operators.
type RecordSink interface {
	// Add stores the record, which must not be modified afterwards.
	Add(r *Record)
}

// Record describes how one request was handled and why.
type Record struct {
	RequestID string             `json:"request_id"`
	Account   settings.AccountID `json:"client_account"`
	Task      string             `json:"task,omitempty"`
	StartedAt time.Time          `json:"started_at"`
	Duration  time.Duration      `json:"duration_ns"`
	// State is the request's final state.
	State statechart.State `json:"state"`
	// Plan lists for each version why it was or wasn't planned.
	Plan     []PlanVerdict   `json:"plan,omitempty"`
	Attempts []AttemptRecord `json:"attempts,omitempty"`
	Bill     *billing.Record `json:"bill,omitempty"`
	Refusal  *apierror.Error `json:"refusal,omitempty"`
	// Streaming is set once the answer's headers were sent as an event stream.
	Streaming bool `json:"streaming,omitempty"`
	// TraceID links to the request's spans.
	TraceID string `json:"trace_id,omitempty"`
}

// PlanVerdict states why a version was or wasn't planned.
type PlanVerdict struct {
	Version string         `json:"version"`
	Reason  cascade.Reason `json:"why"`
}

// AttemptRecord describes one attempt of a request.
type AttemptRecord struct {
	ID         string                 `json:"id"`
	Target     string                 `json:"target"`
	Server     string                 `json:"server,omitempty"`
	Candidates []scheduling.Candidate `json:"candidates,omitempty"`
	Queued     time.Duration          `json:"queued_ns"`
	Duration   time.Duration          `json:"duration_ns"`
	// Outcome is "answered", a refusal's code, or the error's text.
	Outcome string `json:"outcome"`
	// Score is the answer's rating, or nil if it was not rated.
	Score *float64 `json:"score,omitempty"`
}

func newRecord(id string) *Record {
	return &Record{RequestID: id, StartedAt: time.Now()}
}

// attempt adds an attempt; the pointer is valid until the next attempt is added.
func (r *Record) attempt(id, target string) *AttemptRecord {
	if len(r.Attempts) == maxRecordedAttempts {
		r.Attempts = r.Attempts[1:]
	}
	r.Attempts = append(r.Attempts, AttemptRecord{ID: id, Target: target})
	return &r.Attempts[len(r.Attempts)-1]
}

func (r *Record) end(req *request, refusal *apierror.Error) {
	r.Duration = time.Since(r.StartedAt)
	r.State = req.lifecycle.State()
	r.Refusal = refusal
}
