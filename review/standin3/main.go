// Command review-3 plays the cases of the third review that can't be put as a day of the bench. It
// starts instances of the daemon as processes, with the command of the deploy file, and plays the
// platform's store, the backend servers and the callers around them on loopback addresses.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun bounds a run; the cases end earlier by themselves.
const maxRun = 115 * time.Second

// caseRun plays a case. It reports whether the rule was broken; an error means that the case could
// not run.
type caseRun func(w *world, hasTrouble bool) (isBroken bool, err error)

var cases = map[string]caseRun{
	"crashing-content":         runCrashingContent,
	"crashing-content-restart": runCrashingContentRestart,
	"deadly-part":              runDeadlyPart,
	"drill":                    runDrill,
	"other-writer":             runOtherWriter,
	"pause":                    runPause,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE DIR")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// run plays a case and writes its record into a folder.
func run(name, dir string, hasTrouble bool) int {
	record, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	record.printf("case %s, with the disruption: %v", name, hasTrouble)
	w, err := newWorld(record)
	if err != nil {
		record.printf("not run: %v", err)
		return exitNotRun
	}
	type result struct {
		isBroken bool
		err      error
	}
	done := make(chan result, 1)
	go func() {
		isBroken, err := cases[name](w, hasTrouble)
		done <- result{isBroken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	var r result
	select {
	case r = <-done:
	case <-interrupted:
		r.err = errors.New("the case was interrupted")
	case <-time.After(maxRun):
		r.err = errors.New("the case did not end in time")
	}
	w.close()
	switch {
	case r.err != nil:
		record.printf("not run: %v", r.err)
		return exitNotRun
	case r.isBroken:
		record.printf("the rule was broken")
		return exitBroken
	}
	record.printf("the rule held")
	return exitHeld
}
