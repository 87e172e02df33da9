package engine

import (
	"net/http"

	"github.com/basilrail/basilrail/internal/standin"
	"github.com/basilrail/basilrail/internal/wait"
)

// handleCommand loads or unloads a version. An engine that checks fencing
// refuses a fencing number below the highest received.
func (e *Engine) handleCommand(w http.ResponseWriter, r *http.Request) {
	var c Command
	if !standin.ReadJSON(w, r, &c) {
		return
	}
	if c.Version == "" || (c.Action != ActionLoad && c.Action != ActionUnload) {
		standin.Refuse(w, http.StatusBadRequest, "an order needs a version and an action, load or unload")
		return
	}
	highest, ok := e.checkFencing(c.Fencing)
	if !ok {
		w.Header().Set(standin.HeaderNotRun, "true")
		standin.WriteJSON(w, http.StatusConflict, CommandReply{Fencing: highest})
		return
	}
	if c.Action == ActionLoad && wait.For(r.Context(), e.cfg.LoadTime) != nil {
		return
	}
	e.apply(c)
	standin.WriteJSON(w, http.StatusOK, CommandReply{Fencing: highest})
}

// checkFencing records a fencing number and returns the highest received; ok is
// false if the command must be refused.
func (e *Engine) checkFencing(number uint64) (highest uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if number < e.highestFencing {
		return e.highestFencing, !e.cfg.ChecksFencing
	}
	e.highestFencing = number
	return number, true
}

func (e *Engine) apply(c Command) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Action == ActionLoad {
		e.loaded[c.Version] = true
		return
	}
	delete(e.loaded, c.Version)
}
