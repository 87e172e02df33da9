package measure

const (
	// observedPerChange is the number of observations between two changes.
	observedPerChange = 50
	// utilityTarget is the fraction of requests to be in time.
	utilityTarget = 0.95
	// growBy and shrinkBy change the factor.
	growBy   = 0.02
	shrinkBy = 0.9
	// minFactor and maxFactor bound the factor.
	minFactor = 0.25
	maxFactor = 2
)

// adaptiveWindow adjusts a window without a model of the servers: it grows
// while the observed utility meets its target, and shrinks while it does not.
// Utility is the fraction of requests whose first token came in time.
type adaptiveWindow struct {
	factor   float64
	observed int
	inTime   int
}

// newAdaptiveWindow makes a window of factor 1.
func newAdaptiveWindow() *adaptiveWindow { return &adaptiveWindow{factor: 1} }

// current is what to multiply the declared capacity by.
func (w *adaptiveWindow) current() float64 { return w.factor }

// observe counts one request.
func (w *adaptiveWindow) observe(inTime bool) {
	w.observed++
	if inTime {
		w.inTime++
	}
	if w.observed < observedPerChange {
		return
	}
	utility := float64(w.inTime) / float64(w.observed)
	w.observed, w.inTime = 0, 0
	if utility < utilityTarget {
		w.factor = max(minFactor, w.factor*shrinkBy)
		return
	}
	w.factor = min(maxFactor, w.factor+growBy)
}
