// Package engine is a stand-in for a model engine: an http.Handler that serves
// chat completions with deterministic answers, takes orders to load versions,
// and has fault switches. It reads the time only through package time.
package engine

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/basilrail/basilrail/internal/standin"
)

// Defaults of a Config.
const (
	DefaultTokenTime  = 5 * time.Millisecond
	DefaultFirstToken = 20 * time.Millisecond
	DefaultCapacity   = 16
	DefaultQueue      = 64
	defaultCrashTime  = 2 * time.Second
	maxReceived       = 100_000
)

// Config is how an engine behaves when nothing is wrong.
type Config struct {
	// Instance is the server's name.
	Instance string
	// Versions are loaded at the start, each "model@version".
	Versions []string
	// TokenTime is the time per generated token.
	TokenTime time.Duration
	// FirstToken is the time before the first token.
	FirstToken time.Duration
	// Capacity is the number of requests run at once.
	Capacity int
	// Queue is the number of requests that may wait.
	Queue int
	// LoadTime is how long an order to load a version takes.
	LoadTime time.Duration
	// ChecksFencing refuses orders with an old fencing number.
	ChecksFencing bool
	// ResumesStreams lets a caller continue a cut stream.
	ResumesStreams bool
	// OnCrash, if set, runs first in a crash, to end the listener as the death of
	// a process would; without it the engine only breaks its connections for a while.
	OnCrash func()
	// Unacceptable is, by "model@version", the fraction of prompts that the
	// version is too weak for, 0 to 1.
	Unacceptable map[string]float64
}

// Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	cfg    Config
	slots  *slots
	faults standin.Faults[Faults]

	mu        sync.Mutex
	loaded    map[string]bool
	fencing   uint64
	received  []*Attempt
	byID      map[string]*Attempt
	awayUntil time.Time
	// crash is closed, and replaced, when the engine crashes.
	crash chan struct{}
}

// New makes an engine; zero fields of the Config take the defaults.
func New(cfg Config) *Engine {
	if cfg.Capacity <= 0 {
		cfg.Capacity = DefaultCapacity
	}
	if cfg.Queue <= 0 {
		cfg.Queue = DefaultQueue
	}
	e := &Engine{
		cfg:    cfg,
		slots:  &slots{free: cfg.Capacity, maxQueue: cfg.Queue},
		loaded: make(map[string]bool),
		byID:   make(map[string]*Attempt),
		crash:  make(chan struct{}),
	}
	for _, version := range cfg.Versions {
		e.loaded[version] = true
	}
	return e
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(standin.AbortIf(e.away))
		r.Post("/v1/chat/completions", e.chat)
		r.Get("/status", e.getStatus)
		r.Post("/orders", e.order)
	})
	r.Get("/received", e.getReceived)
	r.Handle("/faults", &e.faults)
	return r
}

func (e *Engine) away() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Get().Down || time.Now().Before(e.awayUntil)
}

// SetFaults replaces the fault switches.
func (e *Engine) SetFaults(f Faults) { e.faults.Set(f) }

// Faults returns the fault switches.
func (e *Engine) Faults() Faults { return e.faults.Get() }

// Received lists the attempts that reached the engine and were not refused.
func (e *Engine) Received() []Attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Attempt, 0, len(e.received))
	for _, a := range e.received {
		out = append(out, *a)
	}
	return out
}

// Status reports the loaded versions and the load.
func (e *Engine) Status() standin.Status {
	queued, running := e.slots.load()
	e.mu.Lock()
	defer e.mu.Unlock()
	versions := make([]string, 0, len(e.loaded))
	for version := range e.loaded {
		versions = append(versions, version)
	}
	slices.Sort(versions)
	return standin.Status{
		Instance:      e.cfg.Instance,
		Versions:      versions,
		QueuedTokens:  queued,
		RunningTokens: running,
		Leaving:       e.faults.Get().Leaving,
	}
}

func (e *Engine) getStatus(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, e.Status())
}

func (e *Engine) getReceived(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, e.Received())
}

// crashNow closes every connection in flight and stays away for a while.
func (e *Engine) crashNow() {
	if e.cfg.OnCrash != nil {
		e.cfg.OnCrash()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	stay := time.Duration(e.faults.Get().CrashMillis) * time.Millisecond
	if stay <= 0 {
		stay = defaultCrashTime
	}
	e.awayUntil = time.Now().Add(stay)
	close(e.crash)
	e.crash = make(chan struct{})
}

// untilCrash derives a context that also ends when the engine crashes.
func (e *Engine) untilCrash(ctx context.Context) (context.Context, context.CancelFunc) {
	e.mu.Lock()
	crash := e.crash
	e.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-crash:
			cancel(errCrashed)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}
