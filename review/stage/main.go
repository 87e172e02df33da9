// Command stage plays the scripts of the second review: it starts instances of the system as processes
// before stand-ins of the platform's store, of backend servers and of clients, all on loopback addresses.
//
//	stage CASE RECORD
//
// It writes what was sent, answered and run to the file RECORD. It exits with 1 if the rule of the case
// was broken, with 0 if it held and with 2 if the case could not run. With TROUBLE=0 in the environment
// the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name. Each returns how often its rule was broken.
var cases = map[string]func(r *recorder) int{
	"once":    playOnce,
	"joined":  playJoined,
	"moved":   playMoved,
	"encoded": playEncoded,
	"forgot":  playForgot,
}

// maxTime bounds a case. One that takes longer could not run.
const maxTime = 115 * time.Second

// current is the stage of the case; nil before it is set up.
var current atomic.Pointer[fleet]

// fail ends the program, and all processes that it started, because the case can't run.
func fail(format string, args ...any) {
	if f := current.Swap(nil); f != nil {
		f.end()
	}
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	os.Exit(exitFailed)
}

// hasTrouble reports whether the disruption takes place.
func hasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// recorder writes the record of a case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// note writes a line with the time since the begin.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fail("usage: stage CASE RECORD")
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fail("make the record: %v", err)
	}
	r := &recorder{file: file, began: time.Now()}
	time.AfterFunc(maxTime, func() { fail("the case took longer than %v", maxTime) })
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() { fail("ended by %v", <-stopped) }()
	broken := cases[os.Args[1]](r)
	r.note("the rule was broken %d times", broken)
	if err := file.Close(); err != nil {
		fail("write the record: %v", err)
	}
	if broken > 0 {
		fmt.Printf("%s: broken %d times\n", os.Args[1], broken)
		os.Exit(exitBroken)
	}
	fmt.Printf("%s: held\n", os.Args[1])
	os.Exit(exitHeld)
}
