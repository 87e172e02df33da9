package measure

const (
	// observationsPerUpdate is the number of observations between two updates
	// of the factor.
	observationsPerUpdate = 50
	// utilityTarget is the fraction of requests whose first token must
	// arrive in time.
	utilityTarget = 0.95
	// growStep is added to the factor, and shrinkFactor multiplies it.
	growStep     = 0.02
	shrinkFactor = 0.9
	// minFactor and maxFactor bound the factor.
	minFactor = 0.25
	maxFactor = 2
)

// adaptiveWindow adjusts a window without a model of the servers: it grows
// while the observed utility meets its target, and shrinks while it does not.
// Utility is the fraction of requests whose first token arrived in time.
type adaptiveWindow struct {
	factor   float64
	observed int
	inTime   int
}

// newAdaptiveWindow returns a window with factor 1.
func newAdaptiveWindow() *adaptiveWindow { return &adaptiveWindow{factor: 1} }

// current returns the factor by which to multiply the declared capacity.
func (w *adaptiveWindow) current() float64 { return w.factor }

// observe counts one request and updates the factor after every
// observationsPerUpdate requests.
func (w *adaptiveWindow) observe(inTime bool) {
	w.observed++
	if inTime {
		w.inTime++
	}
	if w.observed < observationsPerUpdate {
		return
	}
	utility := float64(w.inTime) / float64(w.observed)
	w.observed, w.inTime = 0, 0
	if utility < utilityTarget {
		w.factor = max(minFactor, w.factor*shrinkFactor)
		return
	}
	w.factor = min(maxFactor, w.factor+growStep)
}
