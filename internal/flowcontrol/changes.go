package flowcontrol

import (
	"reflect"
	"time"
)

// rebroadcastInterval is the time after which an unchanged demand is sent again.
// It fits twice into demandTTL, so that the loss of one message has no effect.
const rebroadcastInterval = 4 * time.Second

// Changes decides when to send the demand to the peers: when it has changed, and
// at regular intervals. Demand is reported in coarse steps, so it seldom changes.
// The zero value is ready to use. It is not safe for concurrent use.
type Changes struct {
	last   Demand
	sentAt time.Time
}

// ShouldSend reports whether to send the demand now, and if so records it as sent.
func (c *Changes) ShouldSend(now time.Time, d Demand) bool {
	isDue := now.Sub(c.sentAt) >= rebroadcastInterval
	if !isDue && reflect.DeepEqual(c.last, d) {
		return false
	}
	if len(d.Pools) == 0 && len(c.last.Pools) == 0 {
		return false
	}
	c.last, c.sentAt = d, now
	return true
}
