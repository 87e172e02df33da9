package cascade

import "time"

const (
	// meanGain and deviationGain are the weights of a new value in the
	// smoothed mean and deviation, as in TCP's round-trip time estimator.
	meanGain      = 1.0 / 8
	deviationGain = 1.0 / 4
	// upperBoundDeviations is the number of mean deviations above the mean at which
	// high lies.
	upperBoundDeviations = 2
)

// duration is a smoothed mean and mean deviation.
type duration struct {
	mean      float64
	deviation float64
}

func (d *duration) add(took time.Duration) {
	value := float64(took)
	if d.mean == 0 {
		d.mean, d.deviation = value, value/2
		return
	}
	off := value - d.mean
	d.mean += meanGain * off
	d.deviation += deviationGain * (max(off, -off) - d.deviation)
}

// high returns a duration that most values stay below; zero without values.
func (d *duration) high() time.Duration {
	return time.Duration(d.mean + upperBoundDeviations*d.deviation)
}
