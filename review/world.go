package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/basilrail/basilrail/platform/platformtest"
)

const (
	// heartbeat is heartbeat_ms of the settings. An entry expires after three of them.
	heartbeat = 1200 * time.Millisecond
	expiry    = 3 * heartbeat
	// contact is contact_ms of the bounds.
	contact = 3 * time.Second
)

// world is everything around the instances.
type world struct {
	daemon string
	dir    string
	began  time.Time
	store  *platformtest.Store
	// storeAddress is the address of the platform's store.
	storeAddress string
	listener     net.Listener

	mu       sync.Mutex
	log      *os.File
	machines []*machine
	servers  []*server
	// takenIPs are the loopback addresses in use.
	takenIPs map[string]bool
	attempts map[string]*attempt
	next     int
	stopped  chan struct{}
	tasks    sync.WaitGroup
}

func newWorld(daemon, record string) (*world, error) {
	log, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	daemon, err = filepath.Abs(daemon)
	if err != nil {
		return nil, err
	}
	w := &world{
		daemon: daemon, dir: dir, began: time.Now(), store: platformtest.NewStore(), listener: listener, log: log,
		storeAddress: listener.Addr().String(), takenIPs: make(map[string]bool), attempts: make(map[string]*attempt), stopped: make(chan struct{}),
	}
	go func() { _ = http.Serve(listener, w.store) }()
	return w, nil
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	close(w.stopped)
	for _, m := range w.machines {
		m.kill()
	}
	w.tasks.Wait()
	_ = w.listener.Close()
	_ = w.log.Close()
	_ = os.RemoveAll(w.dir)
}

// record writes a line with the time since the begin.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.log, "%7.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// every calls f at an interval until the world is closed.
func (w *world) every(interval time.Duration, f func()) {
	w.tasks.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-w.stopped:
				return
			case <-ticker.C:
				f()
			}
		}
	})
}

// freeIP returns a loopback address on which all ports of an instance are free.
func (w *world) freeIP() (string, error) {
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+rand.N(200), rand.N(256), 1+rand.N(254))
		if !w.takenIPs[ip] && portsAreFree(ip) {
			w.takenIPs[ip] = true
			return ip, nil
		}
	}
	return "", fmt.Errorf("no free loopback address")
}

func portsAreFree(ip string) bool {
	for _, port := range []int{frontPort, readinessPort, metricsPort, firstInternalPort} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// newID returns the id of an attempt.
func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	return fmt.Sprintf("%08x%08x", rand.Uint32(), w.next)
}

// await waits until a condition holds.
func await(within time.Duration, what string, condition func() bool) error {
	deadline := time.Now().Add(within)
	for time.Now().Before(deadline) {
		if condition() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("timeout: %s", what)
}
