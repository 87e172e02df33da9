package cascade

import "math"

// confidenceZ is the standard normal quantile of the two-sided 95% interval.
const confidenceZ = 1.96

// Estimate is the estimated pass probability of a version.
type Estimate struct {
	Mean float64
	// Lower and Upper bound the 95% confidence interval.
	Lower float64
	Upper float64
	// Weight is the number of ratings behind the estimate; older ratings count less.
	Weight float64
}

// counts are numbers of ratings; they are fractional because evidence decays.
type counts struct {
	pass  float64
	total float64
}

func (c counts) mean() float64 { return c.pass / c.total }

// withPrior adds a prior with the given mean and a strength in ratings.
func (c counts) withPrior(mean, strength float64) counts {
	return counts{pass: c.pass + mean*strength, total: c.total + strength}
}

// interval returns the Wilson score interval, which is also valid near 0 and 1.
func (c counts) interval() (lower, upper float64) {
	const z2 = confidenceZ * confidenceZ
	p, n := c.mean(), c.total
	centre := (p + z2/(2*n)) / (1 + z2/n)
	half := confidenceZ * math.Sqrt(p*(1-p)/n+z2/(4*n*n)) / (1 + z2/n)
	return max(0, centre-half), min(1, centre+half)
}
