package entry

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/basilrail/basilrail/internal/statechart"
)

// healthBody is the response body of the health paths.
type healthBody struct {
	State statechart.State `json:"state"`
	// Reasons explain why the instance is not ready.
	Reasons []string `json:"reasons,omitempty"`
	// Revision is the settings revision in effect.
	Revision uint64 `json:"revision"`
}

// mountHealth adds the health checks for load balancers: /health/live returns
// 200 while the process runs, /health/ready only while the instance should
// receive requests.
func (i *Instance) mountHealth(r chi.Router) {
	r.Get("/health/live", func(w http.ResponseWriter, _ *http.Request) { i.writeHealth(w, "") })
	r.Get("/health/ready", func(w http.ResponseWriter, _ *http.Request) { i.writeHealth(w, i.lifecycle.unreadyReason()) })
}

func (i *Instance) writeHealth(w http.ResponseWriter, reason string) {
	body := healthBody{State: i.lifecycle.machine.State(), Revision: i.data.Snapshot().Settings.Revision}
	status := http.StatusOK
	if reason != "" {
		status = http.StatusServiceUnavailable
		body.Reasons = []string{reason}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the load balancer has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
