package main

import (
	"sync"
	"time"
)

// crashCount counts the servers that a content crashed, and the requests with it that reached servers
// later than the contact time after a number of crashes.
type crashCount struct {
	w  *world
	mu sync.Mutex
	// crashes is the number of crashes, limit the one from which on requests count, and limitAt its time.
	crashes int
	limit   int
	limitAt time.Time
	late    int
}

// reached counts a request that reached a server.
func (c *crashCount) reached(s *server, id string, crashes bool) {
	if !crashes {
		return
	}
	a := c.w.attemptOf(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes++
	if c.crashes == c.limit {
		c.limitAt = time.Now()
	}
	// The request left its machine after it was sent there.
	counts := !c.limitAt.IsZero() && a != nil && a.inTouch && a.sentAt.Sub(c.limitAt) > contact
	if counts {
		c.late++
	}
	c.w.record("request %s reaches server %s: crash %d, counts: %v", id, s.identity(), c.crashes, counts)
}

// isOver reports whether the number of crashes was reached.
func (c *crashCount) isOver() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.limitAt.IsZero()
}

func (c *crashCount) lateCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.late
}

// isLate reports whether a time has passed since the number of crashes was reached.
func (c *crashCount) isLate(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.limitAt.IsZero() && time.Since(c.limitAt) > d
}
