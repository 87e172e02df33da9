package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// contentServers is the number of servers of the service, contentInstances that of the instances.
	contentServers   = 3
	contentInstances = 3
	// crashBack is how long a server that crashed is away, and crashInterval the time between two
	// requests with the content.
	crashBack     = 5 * time.Second
	crashInterval = 2 * time.Second
	crashRequests = 20
	// maxLateRetries is how many requests with a content may reach servers later than contactTime
	// after the third crash.
	maxLateRetries = 3
	crashPath      = "/unit/9f"
	crashBody      = "unit 17, bay 3"
	soundPath      = "/unit/1a"
	// orderInterval is the time between two sound requests at an instance, and orderWork how long
	// one takes.
	orderInterval = 200 * time.Millisecond
	orderWork     = 150 * time.Millisecond
	callerWaits   = 4 * time.Second
)

// crasher is a service whose servers crash when they begin to run the content.
type crasher struct {
	w          *world
	hasTrouble bool
	backAfter  time.Duration
	servers    []*server

	mu      sync.Mutex
	crashes []time.Time
}

// newCrasher starts the servers and writes the configuration.
func newCrasher(w *world, servers int, backAfter time.Duration, hasTrouble bool) (*crasher, error) {
	c := &crasher{w: w, hasTrouble: hasTrouble, backAfter: backAfter}
	for n := range servers {
		s, err := w.addServer(fmt.Sprint("unit", n+1), "horaire-app", 6, c.handle)
		if err != nil {
			return nil, err
		}
		c.servers = append(c.servers, s)
	}
	w.configure(1, []string{callerKey}, route{
		name: "etat-unite", prefix: "/unit/", kind: "non_idempotent", service: "horaire-app", attempts: 3, timeout: callerWaits, target: 300 * time.Millisecond,
	})
	return c, nil
}

func (c *crasher) handle(p *process, out http.ResponseWriter, r *http.Request, body []byte) {
	p.note(r, true)
	if c.hasTrouble && r.URL.Path == crashPath && string(body) == crashBody {
		c.mu.Lock()
		c.crashes = append(c.crashes, time.Now())
		c.mu.Unlock()
		p.crash(c.backAfter)
		return
	}
	time.Sleep(orderWork)
	p.succeed(out)
}

// send sends a request with the content.
func (c *crasher) send(i *instance) {
	a := call(i, callerKey, http.MethodPost, crashPath, crashBody, callerWaits)
	c.w.printf("caller: request %s with the content at %s: %s", a.id, i.name, a.text())
}

// lateRetries returns the number of requests with the content that reached servers later than
// contactTime after the third crash. A request is counted once.
func (c *crasher) lateRetries(isCounted func(arrival) bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.w.printf("the content crashed servers %d times", len(c.crashes))
	if len(c.crashes) < 3 {
		return 0
	}
	var all []arrival
	for _, s := range c.servers {
		all = append(all, s.list()...)
	}
	slices.SortFunc(all, func(a, b arrival) int { return a.at.Compare(b.at) })
	seen := make(map[string]bool)
	for _, a := range all {
		if a.path != crashPath || !a.at.After(c.crashes[2].Add(contactTime)) || seen[a.id] || !isCounted(a) {
			continue
		}
		seen[a.id] = true
		c.w.printf("%s with the content reached server %s %.3f s after the third crash", a.id, a.server, a.at.Sub(c.crashes[2]).Seconds())
	}
	c.w.printf("%d requests with the content reached servers later than %v after the third crash; %d may", len(seen), contactTime, maxLateRetries)
	return len(seen)
}

// soundCalls are the sound requests of callers to all instances.
type soundCalls struct {
	path     string
	interval time.Duration

	done  chan struct{}
	ended sync.WaitGroup

	answered, refused, lost atomic.Int64
}

func (w *world) startCalls(path string, interval time.Duration) *soundCalls {
	c := &soundCalls{path: path, interval: interval, done: make(chan struct{})}
	for _, i := range w.instances {
		c.ended.Go(func() { c.run(i) })
	}
	return c
}

func (c *soundCalls) run(i *instance) {
	ticker := time.NewTicker(c.interval)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-c.done:
			return
		case <-ticker.C:
		}
		calls.Go(func() {
			switch a := call(i, callerKey, http.MethodPost, c.path, "a sound request", callerWaits); {
			case a.err == nil && a.status == http.StatusOK:
				c.answered.Add(1)
			case a.err == nil && a.status == http.StatusServiceUnavailable:
				c.refused.Add(1)
			default:
				c.lost.Add(1)
			}
		})
	}
}

func (c *soundCalls) end(w *world) {
	close(c.done)
	c.ended.Wait()
	w.printf("sound requests: %d answered, %d refused as not run, %d lost (502, 504 or no answer)", c.answered.Load(), c.refused.Load(), c.lost.Load())
}

// runCrashingContent repeats a request that crashes each server which begins to run it, at all
// instances in turn.
func runCrashingContent(w *world, hasTrouble bool) (isBroken bool, err error) {
	c, err := newCrasher(w, contentServers, crashBack, hasTrouble)
	if err != nil {
		return false, err
	}
	if err := w.startInstances(contentInstances); err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)
	sound := w.startCalls(soundPath, orderInterval)
	began := time.Now()
	for n := range crashRequests {
		time.Sleep(time.Until(began.Add(time.Duration(n) * crashInterval)))
		c.send(w.instances[n%len(w.instances)])
	}
	sound.end(w)
	return c.lateRetries(func(arrival) bool { return true }) > maxLateRetries, nil
}
