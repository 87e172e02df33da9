package standin

import (
	"net/http"
	"sync"
)

// Faults holds a stand-in's fault switches, a struct of type T. It is safe for
// concurrent use. The zero value holds the zero T.
type Faults[T any] struct {
	mu      sync.Mutex
	current T
}

// Get returns the switches.
func (f *Faults[T]) Get() T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Set replaces the switches.
func (f *Faults[T]) Set(switches T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = switches
}

// ServeHTTP responds with the switches. A POST first replaces them with its
// JSON body.
func (f *Faults[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var switches T
		if !ReadJSON(w, r, &switches) {
			return
		}
		f.Set(switches)
	}
	WriteJSON(w, http.StatusOK, f.Get())
}

// AbortIf returns middleware that closes the connection of each request for
// which condition returns true.
func AbortIf(condition func() bool) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if condition() {
				Abort()
			}
			next.ServeHTTP(w, r)
		})
	}
}
