package entry

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/basilrail/basilrail/internal/statechart"
)

// healthBody is the answer of the health paths.
type healthBody struct {
	State statechart.State `json:"state"`
	// Reasons say why the instance is not ready.
	Reasons []string `json:"reasons,omitempty"`
	// Revision is that of the settings in force.
	Revision uint64 `json:"revision"`
}

// mountHealth adds the paths that a balancer asks: /health/live answers while
// the process works, /health/ready only while it should get requests.
func (i *Instance) mountHealth(r chi.Router) {
	r.Get("/health/live", func(w http.ResponseWriter, _ *http.Request) { i.writeHealth(w, "") })
	r.Get("/health/ready", func(w http.ResponseWriter, _ *http.Request) { i.writeHealth(w, i.life.unready()) })
}

func (i *Instance) writeHealth(w http.ResponseWriter, reason string) {
	body := healthBody{State: i.life.machine.State(), Revision: i.data.Snapshot().Settings.Revision}
	status := http.StatusOK
	if reason != "" {
		status = http.StatusServiceUnavailable
		body.Reasons = []string{reason}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The balancer may be gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(body)
}
