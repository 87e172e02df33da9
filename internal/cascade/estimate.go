package cascade

import "math"

// confidenceZ is the standard normal quantile of the two-sided 95% interval.
const confidenceZ = 1.96

// Estimate is what is known of a version's pass chance.
type Estimate struct {
	Mean float64
	// Lower and Upper bound the 95% confidence interval.
	Lower float64
	Upper float64
	// Weight is the number of ratings behind it, older ones counting less.
	Weight float64
}

// counts are ratings, possibly fractions of them.
type counts struct {
	pass  float64
	total float64
}

func (c counts) mean() float64 { return c.pass / c.total }

// withPrior adds a prior of a mean and a strength in ratings.
func (c counts) withPrior(mean, strength float64) counts {
	return counts{pass: c.pass + mean*strength, total: c.total + strength}
}

// interval is the Wilson score interval, which is sound near 0 and 1 as well.
func (c counts) interval() (lower, upper float64) {
	const z2 = confidenceZ * confidenceZ
	p, n := c.mean(), c.total
	centre := (p + z2/(2*n)) / (1 + z2/n)
	half := confidenceZ * math.Sqrt(p*(1-p)/n+z2/(4*n*n)) / (1 + z2/n)
	return max(0, centre-half), min(1, centre+half)
}
