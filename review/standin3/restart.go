package main

import "time"

const (
	restartServers = 4
	// restartBack is how long a server that crashed is away.
	restartBack = 2 * time.Second
	// storeDown is how long the store is down, and restartDelay how long a killed instance is away.
	storeDown    = 6 * time.Second
	restartDelay = 500 * time.Millisecond
	// trialDelay is longer than the time after which a refused content is tried again.
	trialDelay = 34 * time.Second
)

// runCrashingContentRestart lets the store be down when a content crashes its third server, and
// kills all instances before it is back.
func runCrashingContentRestart(w *world, hasTrouble bool) (isBroken bool, err error) {
	c, err := newCrasher(w, restartServers, restartBack, true)
	if err != nil {
		return false, err
	}
	if err := w.startInstances(3); err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)
	c.send(w.instances[0])
	time.Sleep(2500 * time.Millisecond)
	c.send(w.instances[1])
	time.Sleep(2500 * time.Millisecond)
	if hasTrouble {
		w.store.setDown(true)
		w.printf("store: down")
	}
	downAt := time.Now()
	c.send(w.instances[2])
	time.Sleep(2 * time.Second)
	if hasTrouble {
		for _, i := range w.instances {
			i.kill()
		}
		time.Sleep(restartDelay)
		for _, i := range w.instances {
			if err := i.start(); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(time.Until(downAt.Add(storeDown)))
	w.store.setDown(false)
	w.printf("store: up")
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	inTouchFrom := time.Now().Add(contactTime)
	time.Sleep(contactTime + 500*time.Millisecond)
	for n := range 6 {
		c.send(w.instances[n%len(w.instances)])
		time.Sleep(2500 * time.Millisecond)
	}
	time.Sleep(trialDelay - 15*time.Second)
	for n := range 4 {
		c.send(w.instances[n%len(w.instances)])
		time.Sleep(2500 * time.Millisecond)
	}
	return c.lateRetries(func(a arrival) bool { return a.at.After(inTouchFrom) }) > maxLateRetries, nil
}
