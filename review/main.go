// Command review plays one case of the review on the real clock and loopback addresses: it starts
// the instances as processes with the command of the deploy file, and stands in for the platform, the
// backend servers and the callers.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitFailed
)

// maxDuration bounds a case.
const maxDuration = 115 * time.Second

// A scenario plays a case. It returns whether the rule was broken.
type scenario func(w *world, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"content":  playContentID,
	"parts":    playPartID,
	"restarts": playRestarts,
	"refuted":  playRefuted,
	"rollback": playRollback,
}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE DAEMON RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(s scenario, daemon, record string) int {
	w, err := newWorld(daemon, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	type result struct {
		broken bool
		err    error
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w.record("the case begins, disruption: %v", trouble)
	done := make(chan result, 1)
	go func() {
		broken, err := s(w, trouble)
		done <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			w.record("the case could not run: %v", r.err)
			return exitFailed
		case r.broken:
			w.record("the rule was broken")
			return exitBroken
		}
		w.record("the rule held")
		return exitHeld
	case <-time.After(maxDuration):
		w.record("the case could not run: it took too long")
	case <-interrupted:
		w.record("the case could not run: interrupted")
	}
	return exitFailed
}
