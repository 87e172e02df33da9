// Package apierror defines the error that callers and operators receive for every
// refusal and failure.
package apierror

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/basilrail/basilrail/internal/findings"
)

// ExecutionStatus reports whether a request ran on a backend server.
type ExecutionStatus string

// The execution statuses.
const (
	// NotRun means that no backend server executed any part of the request.
	NotRun ExecutionStatus = "not_run"
	// MayHaveRun means that the request was sent and its outcome is unknown.
	MayHaveRun ExecutionStatus = "may_have_run"
	// DidRun means that a backend server executed the request.
	DidRun ExecutionStatus = "ran"
)

// Code identifies the kind of a refusal or failure for programs.
type Code string

// The codes. docs/API.md describes each.
const (
	CodeBadRequest       Code = "bad_request"
	CodeUnauthenticated  Code = "unauthenticated"
	CodeForbidden        Code = "forbidden"
	CodeVersionForbidden Code = "version_not_allowed"
	CodeVersionWithdrawn Code = "version_withdrawn"
	CodeSessionInvalid   Code = "session_invalid"
	CodeKeyMissing       Code = "idempotency_key_missing"
	CodeKeyReused        Code = "idempotency_key_reused"
	CodeInProgress       Code = "in_progress"
	CodeAnswerNotKept    Code = "answer_not_kept"
	CodeTooLarge         Code = "too_large"
	CodeRateLimited      Code = "rate_limited"
	CodeOverloaded       Code = "overloaded"
	CodeDeadline         Code = "deadline_unreachable"
	CodeNoServer         Code = "no_backend_server"
	CodeQuarantined      Code = "content_quarantined"
	CodeSettingsStale    Code = "settings_stale"
	CodeStoreUnavailable Code = "store_unavailable"
	CodeDraining         Code = "draining"
	CodeBackendFailed    Code = "backend_failed"
	CodeInterrupted      Code = "interrupted"
	CodeConflict         Code = "conflict"
	CodeOutcomeUnknown   Code = "outcome_unknown"
	CodeNotFound         Code = "not_found"
	CodeInternal         Code = "internal"
)

// Error is a refusal or failure as the caller sees it.
type Error struct {
	// Status is the HTTP status.
	Status int  `json:"-"`
	Code   Code `json:"code"`
	// Message is one sentence for people; it never contains a prompt, answer, key or token.
	Message   string          `json:"message"`
	Execution ExecutionStatus `json:"ran"`
	RequestID string          `json:"request_id,omitempty"`
	// RetryAfter is the delay before a retry; zero means that a retry will not help.
	RetryAfter time.Duration `json:"-"`
	// RetryAfterSeconds is RetryAfter rounded up to whole seconds.
	RetryAfterSeconds int `json:"retry_after_seconds,omitempty"`
	// Findings lists every fault of a rejected input.
	Findings findings.List `json:"findings,omitempty"`
}

// New returns an error with an HTTP status, the execution status NotRun and no
// RetryAfter.
func New(status int, code Code, format string, args ...any) *Error {
	return &Error{Status: status, Code: code, Execution: NotRun, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets the delay before a retry and returns the error.
func (e *Error) WithRetryAfter(after time.Duration) *Error {
	e.RetryAfter = after
	return e
}

// WithExecutionStatus sets the execution status and returns the error.
func (e *Error) WithExecutionStatus(status ExecutionStatus) *Error {
	e.Execution = status
	return e
}

// Error returns the code and the message.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// Body is the JSON document of a refusal: {"error": {...}}.
type Body struct {
	Error *Error `json:"error"`
}

// Write sends the error as a JSON body with its status and Retry-After header.
func (e *Error) Write(w http.ResponseWriter) {
	e.RetryAfterSeconds = int(math.Ceil(e.RetryAfter.Seconds()))
	if e.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(e.RetryAfterSeconds))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.Status)
	// A write error is ignored: the caller has probably disconnected.
	_ = json.NewEncoder(w).Encode(Body{Error: e})
}
