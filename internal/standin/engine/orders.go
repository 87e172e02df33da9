package engine

import (
	"net/http"

	"github.com/basilrail/basilrail/internal/standin"
	"github.com/basilrail/basilrail/internal/wait"
)

// order loads or unloads a version. An engine that checks fencing refuses a
// number below the highest seen.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !standin.ReadJSON(w, r, &o) {
		return
	}
	if o.Version == "" || (o.Action != ActionLoad && o.Action != ActionUnload) {
		standin.Refuse(w, http.StatusBadRequest, "an order needs a version and an action, load or unload")
		return
	}
	highest, ok := e.fence(o.Fencing)
	if !ok {
		w.Header().Set(standin.HeaderNotRun, "true")
		standin.WriteJSON(w, http.StatusConflict, OrderReply{Fencing: highest})
		return
	}
	if o.Action == ActionLoad && wait.For(r.Context(), e.cfg.LoadTime) != nil {
		return
	}
	e.carryOut(o)
	standin.WriteJSON(w, http.StatusOK, OrderReply{Fencing: highest})
}

// fence notes a fencing number; ok is false when the order must be refused.
func (e *Engine) fence(number uint64) (highest uint64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if number < e.fencing {
		return e.fencing, !e.cfg.ChecksFencing
	}
	e.fencing = number
	return number, true
}

func (e *Engine) carryOut(o Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Action == ActionLoad {
		e.loaded[o.Version] = true
		return
	}
	delete(e.loaded, o.Version)
}
