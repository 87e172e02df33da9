package modeltier

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// minConfident is the fraction of answers whose confidence would keep them that makes the smallest model sufficient
	// where its answers can't be replaced.
	minConfident = 0.98
	// exploration is the fraction of requests that ask the smallest model although it is not known to be sufficient.
	// With it, the fraction of poor answers stays below that which minConfident allows.
	exploration = 1 - minConfident
	// minAnswers is the number of answers before the smallest model counts as sufficient, and answerWeight the weight
	// of each further one in the mean.
	minAnswers   = 100
	answerWeight = 1.0 / minAnswers
	// maxRoutes bounds the routes, at about 100 bytes each.
	maxRoutes = 1024
)

// Sufficiency learns on which routes the answers of the smallest model need no replacement. It is safe for concurrent
// use.
type Sufficiency struct {
	mu     sync.Mutex
	routes *lru.Cache[string, *confidentMean]
}

// confidentMean is the mean fraction of confident answers on a route.
type confidentMean struct {
	answers int
	mean    float64
}

// NewSufficiency returns a Sufficiency that knows no route.
func NewSufficiency() *Sufficiency {
	// lru.New fails only for a size below one.
	routes, _ := lru.New[string, *confidentMean](maxRoutes)
	return &Sufficiency{routes: routes}
}

// Observe records the confidence, 0 to 100, of an answer of the smallest model. ConfidenceUnknown is ignored: a model
// whose answers are not known to be good does not count as sufficient.
func (s *Sufficiency) Observe(route string, confidence int) {
	if confidence == ConfidenceUnknown {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.routes.Get(route)
	if !ok {
		m = &confidentMean{}
		s.routes.Add(route, m)
	}
	m.answers++
	sample := 0.0
	if confidence >= maxThreshold {
		sample = 1
	}
	m.mean += (sample - m.mean) * max(answerWeight, 1/float64(m.answers))
}

// IsSufficient reports whether the smallest model's answers on a route need no replacement.
func (s *Sufficiency) IsSufficient(route string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.routes.Peek(route)
	return ok && m.answers >= minAnswers && m.mean >= minConfident
}
