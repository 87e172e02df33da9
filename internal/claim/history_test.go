package claim

import (
	"math"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

// action is one operation on the key.
type action int

const (
	acquire action = iota
	complete
	release
)

// operation is an action of a request.
type operation struct {
	action action
	id     string
}

// observed is the result of an operation.
type observed struct {
	status Status
	owner  string
}

// keyState is the specification's state of the key: free, owned or done.
type keyState struct {
	owner string
	done  bool
}

// history records operations with their virtual times.
type history struct {
	mu         sync.Mutex
	operations []porcupine.Operation
	// strayRows are the requests whose row may be stored although they do not own the
	// key: their commit takes effect late, or they released the claim. They never send.
	strayRows map[string]bool
}

// add records an operation that began at start and ended now, or ends at an unknown
// time if it is delayed.
func (h *history) add(op operation, start time.Time, out observed, delayed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	end := time.Now().UnixNano()
	if delayed {
		end = math.MaxInt64
	}
	if (op.action == acquire && out.status != Owned) || op.action == release {
		h.strayRows[op.id] = true
	}
	h.operations = append(h.operations, porcupine.Operation{
		Input: op, Output: out, Call: start.UnixNano(), Return: end,
	})
}

// model is the specification: at most one request owns the key at a time, none after
// completion, and every other Acquire returns the current owner.
func (h *history) model() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return keyState{} },
		Step: func(state, input, output any) (bool, any) {
			return h.step(state.(keyState), input.(operation), output.(observed))
		},
	}
}

func (h *history) step(s keyState, op operation, out observed) (bool, any) {
	switch op.action {
	case complete:
		return s == keyState{owner: op.id}, keyState{owner: op.id, done: true}
	case release:
		return s == keyState{owner: op.id}, keyState{}
	}
	switch out.status {
	case Owned:
		return s == keyState{}, keyState{owner: op.id}
	case Pending:
		return h.strayRows[out.owner] || s == keyState{owner: out.owner}, s
	case Completed:
		return s == keyState{owner: out.owner, done: true}, s
	default:
		return out.status == Unavailable, s
	}
}

func (h *history) requireLinearizable(t *testing.T) {
	t.Helper()
	require.True(t, porcupine.CheckOperations(h.model(), h.operations), "%+v", h.operations)
}
