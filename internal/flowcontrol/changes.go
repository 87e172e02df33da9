package flowcontrol

import (
	"reflect"
	"time"
)

// retellInterval is the time after which an unchanged demand is told again,
// twice within demandLife.
const retellInterval = 4 * time.Second

// Changes decides whether a demand is worth a message to the peers. Demand is
// told in coarse steps, so it seldom changes. The zero value is ready to use;
// it is for one goroutine.
type Changes struct {
	last   Demand
	toldAt time.Time
}

// ShouldTell reports whether to tell the demand now, and takes it as told if so.
func (c *Changes) ShouldTell(now time.Time, d Demand) bool {
	isDue := now.Sub(c.toldAt) >= retellInterval
	if !isDue && reflect.DeepEqual(c.last, d) {
		return false
	}
	if len(d.Pools) == 0 && len(c.last.Pools) == 0 {
		return false
	}
	c.last, c.toldAt = d, now
	return true
}
