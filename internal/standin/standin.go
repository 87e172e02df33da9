// Package standin holds the headers, the status format and the JSON helpers
// shared by the stand-ins (test doubles) for the platform, the model engines
// and the plain services. Tests and the demo use the stand-ins; the daemon
// imports none of them.
package standin

import (
	"encoding/json"
	"net/http"
)

// Headers that the stand-ins read and write.
const (
	// HeaderNotRun is "true" if the request was refused without executing anything.
	HeaderNotRun = "X-Not-Run"
	// HeaderDraining is "true" if the request was refused because the server is draining.
	HeaderDraining = "X-Leaving"
	// HeaderAttemptID identifies an attempt; the response echoes it.
	HeaderAttemptID = "X-Attempt-Id"
	// HeaderPriority is an integer; queued requests with a higher value start first.
	HeaderPriority = "X-Priority"
	// HeaderResumeOffset is the number of chunks that the caller has already received.
	HeaderResumeOffset = "X-Resume-Offset"
	// HeaderResumeAttempt identifies the attempt whose stream is resumed.
	HeaderResumeAttempt = "X-Resume-Attempt"
	// HeaderIdempotencyKey is the caller's key of a non-idempotent call.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// maxBodyBytes limits the size of a JSON request body.
const maxBodyBytes = 8 << 20

// Status is the response body of GET /status.
type Status struct {
	Instance string `json:"instance"`
	// Versions are the loaded versions, each "model@version"; empty for a plain service.
	Versions      []string `json:"versions"`
	QueuedTokens  int64    `json:"queued_tokens"`
	RunningTokens int64    `json:"running_tokens"`
	Draining      bool     `json:"leaving"`
}

// Problem is the response body of a refused request.
type Problem struct {
	Error string `json:"error"`
}

// WriteJSON sends a JSON response.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have disconnected; then the error can't be reported to anyone.
	_ = json.NewEncoder(w).Encode(body)
}

// ReadJSON decodes a JSON body of at most maxBodyBytes. On an error it responds
// with status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into)
	if err != nil {
		Refuse(w, http.StatusBadRequest, "unreadable body: "+err.Error())
		return false
	}
	return true
}

// Refuse responds with an error status and with HeaderNotRun, because nothing was
// executed.
func Refuse(w http.ResponseWriter, status int, problem string) {
	w.Header().Set(HeaderNotRun, "true")
	WriteJSON(w, status, Problem{Error: problem})
}

// RefuseDraining responds as a draining server does.
func RefuseDraining(w http.ResponseWriter) {
	w.Header().Set(HeaderDraining, "true")
	Refuse(w, http.StatusServiceUnavailable, "the server is leaving")
}

// Abort closes the connection without a response, as a crashed process does.
func Abort() { panic(http.ErrAbortHandler) }
