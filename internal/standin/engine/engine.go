// Package engine is a stand-in for a model engine. It is an http.Handler that
// serves chat completions with deterministic answers, executes commands to load
// and unload versions, and has fault switches. It reads the clock only through
// package time, so that it runs in virtual time under testing/synctest.
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

// Defaults of a Config, and limits.
const (
	DefaultTimePerToken     = 5 * time.Millisecond
	DefaultTimeToFirstToken = 20 * time.Millisecond
	DefaultCapacity         = 16
	DefaultQueue            = 64
	defaultCrashDowntime    = 2 * time.Second
	maxRecordedAttempts     = 100_000
)

// Config is the behaviour of an engine without faults.
type Config struct {
	// Instance is the name of the backend server.
	Instance string
	// Versions are the versions loaded at the start, each "model@version".
	Versions []string
	// TimePerToken is the time per generated token.
	TimePerToken time.Duration
	// TimeToFirstToken is the time before the first token.
	TimeToFirstToken time.Duration
	// Capacity is the maximum number of concurrent requests.
	Capacity int
	// Queue is the maximum number of queued requests.
	Queue int
	// LoadTime is the time to load a version.
	LoadTime time.Duration
	// ChecksFencing refuses commands with an old fencing number.
	ChecksFencing bool
	// ResumesStreams allows resuming an interrupted stream.
	ResumesStreams bool
	// OnCrash, if set, is called first in a crash, so that it can close the
	// listener as the exit of a process does. Without it the engine only closes
	// its connections during its downtime.
	OnCrash func()
	// UnacceptableFraction maps "model@version" to the fraction of prompts, 0 to 1, that
	// the version can't answer acceptably.
	UnacceptableFraction map[string]float64
}

// Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	cfg    Config
	slots  *slots
	faults standin.Faults[Faults]

	mu               sync.Mutex
	loaded           map[string]bool
	highestFencing   uint64
	received         []*Attempt
	byID             map[string]*Attempt
	unavailableUntil time.Time
	// crashed is closed and replaced when the engine crashes.
	crashed chan struct{}
}

// New returns an engine. A Capacity or Queue that is not positive takes its
// default; other fields are used as they are.
func New(cfg Config) *Engine {
	if cfg.Capacity <= 0 {
		cfg.Capacity = DefaultCapacity
	}
	if cfg.Queue <= 0 {
		cfg.Queue = DefaultQueue
	}
	e := &Engine{
		cfg:     cfg,
		slots:   &slots{free: cfg.Capacity, maxQueue: cfg.Queue},
		loaded:  make(map[string]bool),
		byID:    make(map[string]*Attempt),
		crashed: make(chan struct{}),
	}
	for _, version := range cfg.Versions {
		e.loaded[version] = true
	}
	return e
}

// Handler returns the engine's HTTP API.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(standin.AbortIf(e.unavailable))
		r.Post("/v1/chat/completions", e.chat)
		r.Get("/status", e.getStatus)
		r.Post("/orders", e.handleCommand)
	})
	r.Get("/received", e.getReceived)
	r.Handle("/faults", &e.faults)
	return r
}

func (e *Engine) unavailable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.Get().Down || time.Now().Before(e.unavailableUntil)
}

// SetFaults replaces the fault switches.
func (e *Engine) SetFaults(f Faults) { e.faults.Set(f) }

// Faults returns the fault switches.
func (e *Engine) Faults() Faults { return e.faults.Get() }

// Received returns the attempts that the engine started, in order, up to
// maxRecordedAttempts.
func (e *Engine) Received() []Attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Attempt, 0, len(e.received))
	for _, a := range e.received {
		out = append(out, *a)
	}
	return out
}

// Status returns the loaded versions and the tokens queued and running.
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
		Draining:      e.faults.Get().Draining,
	}
}

func (e *Engine) getStatus(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, e.Status())
}

func (e *Engine) getReceived(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, e.Received())
}

// crash closes the connections of all requests in flight and makes the engine
// unavailable for its downtime.
func (e *Engine) crash() {
	if e.cfg.OnCrash != nil {
		e.cfg.OnCrash()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	downtime := time.Duration(e.faults.Get().CrashMillis) * time.Millisecond
	if downtime <= 0 {
		downtime = defaultCrashDowntime
	}
	e.unavailableUntil = time.Now().Add(downtime)
	close(e.crashed)
	e.crashed = make(chan struct{})
}

// withCrash derives a context that is also cancelled when the engine crashes.
func (e *Engine) withCrash(ctx context.Context) (context.Context, context.CancelFunc) {
	e.mu.Lock()
	crashed := e.crashed
	e.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-crashed:
			cancel(errCrashed)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}
