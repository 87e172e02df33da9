package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	// revokedKey is taken away by the second configuration.
	revokedKey  = "anfqasnmgkcuyj8pjbvk"
	revokeBound = 5 * time.Second
	// drillAfter is when the store goes away after the revocation, drillAway for how long, and
	// rewriteAfter when the operator has written its configuration again.
	drillAfter   = 6 * time.Second
	drillAway    = time.Second
	rewriteAfter = 3 * time.Second
)

// runDrill brings the store back from a copy that is older than a revocation, while an instance
// starts.
func runDrill(w *world, hasTrouble bool) (isBroken bool, err error) {
	s, err := w.addServer("a", "horaire-app", 6, func(p *process, out http.ResponseWriter, r *http.Request, _ []byte) {
		p.note(r, true)
		time.Sleep(5 * time.Millisecond)
		p.succeed(out)
	})
	if err != nil {
		return false, err
	}
	parts := route{name: "dispo-pieces", prefix: "/parts/", kind: "idempotent", service: "horaire-app", attempts: 3, timeout: callerWaits, target: 300 * time.Millisecond}
	w.configure(1, []string{callerKey, revokedKey}, parts)
	if err := w.startInstances(3); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	before := w.store.copy()
	time.Sleep(time.Second)
	w.configure(2, []string{callerKey}, parts)
	revokedAt := time.Now()
	var mu sync.Mutex
	sent := make(map[string]time.Time)
	var calls sync.WaitGroup
	done := make(chan struct{})
	for _, i := range w.instances {
		calls.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(50 * time.Millisecond):
				}
				a := call(i, revokedKey, http.MethodGet, "/parts/1a", "", callerWaits)
				mu.Lock()
				sent[a.id] = a.sentAt
				mu.Unlock()
				if a.status == http.StatusOK && a.sentAt.After(revokedAt.Add(revokeBound)) {
					w.printf("caller: request %s with the key that was taken away at %s: 200", a.id, i.name)
				}
			}
		})
	}
	time.Sleep(drillAfter)
	if hasTrouble {
		w.store.setDown(true)
		w.printf("store: away")
		first := w.instances[0]
		first.kill()
		time.Sleep(drillAway)
		w.store.restore(before)
		w.store.setDown(false)
		w.printf("store: back from a copy, in a new era")
		if err := first.start(); err != nil {
			return false, err
		}
		time.Sleep(rewriteAfter)
		w.configure(2, []string{callerKey}, parts)
	}
	time.Sleep(4 * time.Second)
	close(done)
	calls.Wait()
	late := 0
	for _, a := range s.list() {
		if at, ok := sent[a.id]; ok && at.After(revokedAt.Add(revokeBound)) {
			late++
		}
	}
	w.printf("%d requests with the key that was taken away were sent later than %v after that, and ran", late, revokeBound)
	return late > 0, nil
}
