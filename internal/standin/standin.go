// Package standin holds what the stand-ins of the platform, the model engines
// and the plain services share: their headers, status shape and JSON helpers.
// Tests and the demo use the stand-ins; the daemon imports none of them.
package standin

import (
	"encoding/json"
	"net/http"
)

// Headers that the stand-ins read and write.
const (
	// HeaderNotRun is "true" on a refusal that executed nothing.
	HeaderNotRun = "X-Not-Run"
	// HeaderLeaving is "true" on a refusal by a server that is leaving.
	HeaderLeaving = "X-Leaving"
	// HeaderAttemptID names one attempt; it is echoed in the answer.
	HeaderAttemptID = "X-Attempt-Id"
	// HeaderPriority is an integer; waiting requests of a higher one start first.
	HeaderPriority = "X-Priority"
	// HeaderResumeOffset is the number of chunks that the caller already has.
	HeaderResumeOffset = "X-Resume-Offset"
	// HeaderResumeAttempt names the attempt whose stream is continued.
	HeaderResumeAttempt = "X-Resume-Attempt"
	// HeaderIdempotencyKey is the caller's key of a non-idempotent call.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// maxBodyBytes bounds every request body that a stand-in reads.
const maxBodyBytes = 8 << 20

// Status is the answer of GET /status.
type Status struct {
	Instance string `json:"instance"`
	// Versions are the loaded "model@version"; empty for a plain service.
	Versions      []string `json:"versions"`
	QueuedTokens  int64    `json:"queued_tokens"`
	RunningTokens int64    `json:"running_tokens"`
	Leaving       bool     `json:"leaving"`
}

// Problem is the body of every refusal.
type Problem struct {
	Error string `json:"error"`
}

// WriteJSON sends a JSON body with a status.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may be gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(body)
}

// ReadJSON decodes a bounded JSON body, or answers 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into)
	if err != nil {
		Refuse(w, http.StatusBadRequest, "unreadable body: "+err.Error())
		return false
	}
	return true
}

// Refuse answers with a status and says that nothing was executed.
func Refuse(w http.ResponseWriter, status int, problem string) {
	w.Header().Set(HeaderNotRun, "true")
	WriteJSON(w, status, Problem{Error: problem})
}

// RefuseLeaving answers as a server that is leaving.
func RefuseLeaving(w http.ResponseWriter) {
	w.Header().Set(HeaderLeaving, "true")
	Refuse(w, http.StatusServiceUnavailable, "the server is leaving")
}

// Abort closes the connection without an answer, as a crashed process does.
func Abort() { panic(http.ErrAbortHandler) }
