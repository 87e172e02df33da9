// Package rater is a stand-in for the service that rates answers. It rates an
// answer as bad if it is empty or contains the engine stand-in's marker.
package rater

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"github.com/basilrail/basilrail/internal/standin"
	"github.com/basilrail/basilrail/internal/standin/engine"
	"github.com/basilrail/basilrail/internal/wait"
)

// Scores of answers, on a scale of 0 to 1.
const (
	GoodScore = 0.95
	BadScore  = 0.1
)

// Request is the request body of POST /rate.
type Request struct {
	Task    string `json:"task"`
	Prompt  string `json:"prompt"`
	Answer  string `json:"answer"`
	Version string `json:"version"`
}

// Reply is the response body of POST /rate.
type Reply struct {
	// Score ranges from 0 (useless) to 1 (perfect).
	Score float64 `json:"score"`
}

// Faults is the request body of POST /faults.
type Faults struct {
	// Down closes the connection of every rating request without a response.
	Down bool `json:"down"`
	// SlowMillis is added to the duration of each rating, in milliseconds.
	SlowMillis int `json:"slow_millis"`
}

// Config is the behaviour of the service without faults.
type Config struct {
	// PerSecond limits the number of ratings per second; zero means no limit.
	PerSecond float64
	// Time is the duration of a rating.
	Time time.Duration
}

// Rater is the stand-in. It is safe for concurrent use.
type Rater struct {
	cfg     Config
	limiter *rate.Limiter
	faults  standin.Faults[Faults]
	ratings atomic.Int64
}

// New returns a rating service.
func New(cfg Config) *Rater {
	limit := rate.Inf
	if cfg.PerSecond > 0 {
		limit = rate.Limit(cfg.PerSecond)
	}
	return &Rater{cfg: cfg, limiter: rate.NewLimiter(limit, max(1, int(cfg.PerSecond)))}
}

// Handler returns the HTTP API.
func (s *Rater) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/rate", s.rate)
	r.Handle("/faults", &s.faults)
	return r
}

// SetFaults replaces the fault switches.
func (s *Rater) SetFaults(f Faults) { s.faults.Set(f) }

// Ratings returns the number of ratings completed.
func (s *Rater) Ratings() int64 { return s.ratings.Load() }

func (s *Rater) rate(w http.ResponseWriter, r *http.Request) {
	faults := s.faults.Get()
	if faults.Down {
		standin.Abort()
	}
	var req Request
	if !standin.ReadJSON(w, r, &req) {
		return
	}
	if !s.limiter.Allow() {
		w.Header().Set("Retry-After", "1")
		standin.Refuse(w, http.StatusTooManyRequests, "too many ratings")
		return
	}
	slow := time.Duration(faults.SlowMillis) * time.Millisecond
	if wait.For(r.Context(), s.cfg.Time+slow) != nil {
		return
	}
	s.ratings.Add(1)
	standin.WriteJSON(w, http.StatusOK, Reply{Score: score(req.Answer)})
}

func score(answer string) float64 {
	if answer == "" || strings.Contains(answer, engine.UnacceptableMarker) {
		return BadScore
	}
	return GoodScore
}
