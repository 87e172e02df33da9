package gateway

import (
	"net/http"
	"time"
)

// timeoutWriter sets a deadline for each write, so that a caller that stops
// reading does not block the request.
type timeoutWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
}

func newTimeoutWriter(w http.ResponseWriter, timeout time.Duration) http.ResponseWriter {
	if timeout <= 0 {
		return w
	}
	return &timeoutWriter{ResponseWriter: w, control: http.NewResponseController(w), timeout: timeout}
}

// Write writes data within the timeout.
func (t *timeoutWriter) Write(data []byte) (int, error) {
	// If the connection doesn't support deadlines, the write has no limit.
	_ = t.control.SetWriteDeadline(time.Now().Add(t.timeout))
	return t.ResponseWriter.Write(data)
}

// Unwrap gives http.ResponseController access to the connection.
func (t *timeoutWriter) Unwrap() http.ResponseWriter { return t.ResponseWriter }
