// Package prefill estimates how long models take for the prefill of a prompt, from the
// time to the first token at servers that had no other prompts to process.
package prefill

import (
	"sync"
	"time"
)

const (
	// defaultPerToken is the prefill time per token of a model without observations.
	defaultPerToken = 20 * time.Microsecond
	// overhead is the part of the time to the first token that does not depend on
	// the length of the prompt.
	overhead = 10 * time.Millisecond
	// fasterWeight and slowerWeight are the EWMA weights of observations that are
	// faster or slower than the estimate. Faster ones weigh more because the latency
	// also includes delays other than the prefill.
	fasterWeight = 0.1
	slowerWeight = 0.005
	// minTokens is the prompt length from which an observation is used.
	minTokens = 256
)

// Model identifies a model of a service. Name is empty for a service without models.
type Model struct {
	Service string
	Name    string
}

// Estimator holds the estimates. It is safe for concurrent use.
type Estimator struct {
	mu        sync.Mutex
	estimates map[Model]time.Duration
}

// NewEstimator returns an Estimator without estimates.
func NewEstimator() *Estimator { return &Estimator{estimates: make(map[Model]time.Duration)} }

// Estimate returns the estimated prefill time of a prompt with the given number of
// tokens.
func (e *Estimator) Estimate(m Model, tokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	perToken, ok := e.estimates[m]
	if !ok {
		perToken = defaultPerToken
	}
	return time.Duration(tokens) * perToken
}

// Observe records the time to the first token of a prompt at a server that had no
// other prompts to process.
func (e *Estimator) Observe(m Model, tokens int, latency time.Duration) {
	if tokens < minTokens || latency <= overhead {
		return
	}
	observed := (latency - overhead) / time.Duration(tokens)
	e.mu.Lock()
	defer e.mu.Unlock()
	perToken, ok := e.estimates[m]
	if !ok {
		perToken = defaultPerToken
	}
	weight := slowerWeight
	if observed < perToken {
		weight = fasterWeight
	}
	e.estimates[m] = perToken + time.Duration(weight*float64(observed-perToken))
}
