package serverspeed

import (
	"math"
	"sync"
	"time"

	"github.com/basilrail/basilrail/internal/fleet"
)

const (
	// initialSpread is the standard deviation of the logarithm of the ratio between the length of an answer and its hint, before
	// any answer was observed; spreadWeight the weight of a new answer in the mean and the deviation.
	initialSpread = 0.5
	spreadWeight  = 0.02
	// maxHintRatio bounds the ratio between an answer and its hint: a hint is the caller's, and the ratios are shared by all callers of the
	// route.
	maxHintRatio = 8
	// lateQuantile is the number of standard deviations above the mean at which an answer counts as long: nine answers in ten are
	// shorter.
	lateQuantile = 1.28
	// maxGeneration bounds the estimated time of an answer. Its length comes from the caller without a limit, and longer times would
	// exceed a Duration.
	maxGeneration = 24 * time.Hour
)

// Lengths learns by route how long answers are, and in relation to their callers' hints. It is safe for concurrent use.
type Lengths struct {
	mu     sync.Mutex
	routes map[string]*lengthStats
}

// lengthStats are the statistics of the answers of a route.
type lengthStats struct {
	// mean and variance are those of the logarithm of the ratio between the length of an answer and its hint.
	mean, variance float64
	// tokens is the mean length, and answers the number of answers.
	tokens  float64
	answers int
}

// NewLengths returns Lengths without observations.
func NewLengths() *Lengths { return &Lengths{routes: make(map[string]*lengthStats)} }

// Observe records that a complete answer on a route had so many tokens and that its caller expected hint; zero for no hint.
func (l *Lengths) Observe(route string, tokens, hint int) {
	if tokens <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats(route)
	s.answers++
	s.tokens += max(spreadWeight, 1/float64(s.answers)) * (float64(tokens) - s.tokens)
	if hint <= 0 {
		return
	}
	limit := math.Log(maxHintRatio)
	ratio := min(limit, max(-limit, math.Log(float64(tokens)/float64(hint))))
	delta := ratio - s.mean
	s.mean += spreadWeight * delta
	s.variance += spreadWeight * (delta*delta - s.variance)
}

// stats returns the statistics of a route. The caller holds the lock.
func (l *Lengths) stats(route string) *lengthStats {
	s := l.routes[route]
	if s == nil {
		s = &lengthStats{variance: initialSpread * initialSpread}
		l.routes[route] = s
	}
	return s
}

// Long returns the number of tokens that nine answers in ten with a hint don't exceed. Without a hint it is the mean of the route,
// or limit if there is none. At most limit tokens are generated; zero for no limit.
func (l *Lengths) Long(route string, hint, limit int) int {
	l.mu.Lock()
	s := *l.stats(route)
	l.mu.Unlock()
	long := float64(hint) * math.Exp(s.mean+lateQuantile*math.Sqrt(s.variance))
	if hint <= 0 {
		long = math.Round(s.tokens)
		if s.answers == 0 {
			long = float64(limit)
		}
	}
	if limit > 0 {
		long = min(long, float64(limit))
	}
	return int(min(long, math.MaxInt32))
}

// Answer is an answer whose end is estimated.
type Answer struct {
	Service string
	Model   string
	// Events is the number of events.
	Events int
}

// GenerationTime returns how long a server takes to generate an answer after its first event, with a fraction of its slots in use;
// ok is false if that is unknown.
func (t *Tracker) GenerationTime(a Answer, server *fleet.Server, utilization float64) (d time.Duration, ok bool) {
	v := t.view(a.Service)
	perEvent, ok := v.eventTime(hashOf(a.Model), utilization)
	return generationTime(a, perEvent, v.factor(processOf(server))), ok
}

// ShortestGeneration returns how long the fastest server takes while half of its slots are in use; ok is false if that is unknown.
func (t *Tracker) ShortestGeneration(a Answer) (d time.Duration, ok bool) {
	v := t.view(a.Service)
	perEvent, ok := v.eventTime(hashOf(a.Model), 0.5)
	if !ok {
		return 0, false
	}
	return generationTime(a, perEvent, v.fastest), true
}

func generationTime(a Answer, perEvent time.Duration, factor float64) time.Duration {
	return time.Duration(min(float64(a.Events)*float64(perEvent)*factor, float64(maxGeneration)))
}
