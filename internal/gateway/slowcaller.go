package gateway

import (
	"net/http"
	"time"
)

// patientWriter gives the caller a bounded time to take each piece of an
// answer, so that a caller that stops reading does not hold the request.
type patientWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
}

func newPatientWriter(w http.ResponseWriter, timeout time.Duration) http.ResponseWriter {
	if timeout <= 0 {
		return w
	}
	return &patientWriter{ResponseWriter: w, control: http.NewResponseController(w), timeout: timeout}
}

// Write writes a piece within the timeout.
func (p *patientWriter) Write(piece []byte) (int, error) {
	// A connection without deadlines is written to without a limit.
	_ = p.control.SetWriteDeadline(time.Now().Add(p.timeout))
	return p.ResponseWriter.Write(piece)
}

// Unwrap lets http.ResponseController reach the connection.
func (p *patientWriter) Unwrap() http.ResponseWriter { return p.ResponseWriter }
