// Package poison finds parts of prompts that crash every server which begins to answer a
// request with them, and refuses such requests.
//
// No two of the requests are alike, and a crash interrupts sound requests beside the guilty
// one, at nearly all instances. Therefore the instances exchange which parts had just been
// sent to a server when it ended, and which parts servers have answered since.
package poison

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/refusal"
)

const (
	// accusedFor is how long after the head of an answer the end of its server is evidence
	// against its parts, soundAfter the time from which they count as sound. Servers crash
	// within 150 ms of the head.
	accusedFor = 500 * time.Millisecond
	soundAfter = time.Second
	// crashGrace is the time in which all connections to a server that crashed end, and
	// crashWait how long their ends are waited for.
	crashGrace = 50 * time.Millisecond
	crashWait  = 500 * time.Millisecond
	// lifetime is how long a part is refused after it last crashed a server.
	lifetime = 24 * time.Hour
)

// Options are the dependencies of a Tracker.
type Options struct {
	Bus peers.Bus
	// FleetSize returns the number of instances; zero while it is unknown.
	FleetSize func() int
	// Records stores the refused parts; nil keeps them in memory only.
	Records refusal.Store
	// Seed seeds the choice of the instances that send messages.
	Seed uint64
	Log  *events.Logger
}

// Tracker finds and refuses parts that crash servers. It is safe for concurrent use; a nil
// *Tracker finds none.
type Tracker struct {
	Options
	wake chan struct{}
	// refusedCount is the number of verdicts, so that a fleet without any pays nothing.
	refusedCount atomic.Int64

	mu       sync.Mutex
	rng      *rand.Rand
	inFlight map[fleet.Process]map[*Attempt]struct{}
	// interrupted holds, by process, the attempts whose connections just ended.
	interrupted map[fleet.Process]*interruption
	evidence    *evidence
	// shared holds, by part, the latest proof of soundness that all instances know of.
	shared   map[Part]time.Time
	verdicts []*verdict
	// ledger stores the verdicts and schedules their trials.
	ledger *refusal.Ledger
	// lifted holds, by key, when a verdict was last lifted.
	lifted map[string]time.Time
	// isDirty is set if the evidence has changed since it was last judged. judgeAfter is when
	// it may be judged again.
	isDirty    bool
	judgeAfter time.Time
}

// verdict refuses all requests that have all of its parts.
type verdict struct {
	parts partSet
	// from is the time of the first crash.
	from time.Time
	// standing is the verdict in the ledger.
	standing *refusal.Standing
	// isWanted is set if a request was refused since the last trial. trialUntil is set
	// while this instance may let one request pass.
	isWanted   bool
	trialUntil time.Time
}

// key is the key of the verdict's record.
func (v *verdict) key() string { return v.parts.String() }

// interruption collects the attempts at one server whose connections ended together.
type interruption struct {
	at       time.Time
	requests []partSet
}

// New returns a Tracker and registers its message handler.
func New(o Options) *Tracker {
	t := &Tracker{
		Options: o, wake: make(chan struct{}, 1), rng: rand.New(rand.NewPCG(o.Seed, o.Seed)),
		inFlight: make(map[fleet.Process]map[*Attempt]struct{}), interrupted: make(map[fleet.Process]*interruption),
		evidence: newEvidence(), shared: make(map[Part]time.Time), lifted: make(map[string]time.Time), ledger: newLedger(o),
	}
	o.Bus.Handle(peers.KindPromptCrash, t.handle)
	return t
}

// Attempt is a request with a prompt that was sent to a server. A nil *Attempt is not
// tracked.
type Attempt struct {
	tracker *Tracker
	process fleet.Process
	parts   partSet
	sentAt  time.Time
	// headAt is when the head of the answer arrived; zero before.
	headAt time.Time
	// isSound is set once the answer has proved the parts sound.
	isSound atomic.Bool
	cancel  context.CancelFunc
	// receivedAt is when bytes last arrived, in nanoseconds since sentAt.
	receivedAt atomic.Int64
	isRefused  atomic.Bool
}

// Refused returns how long a request with the parts, which exclude the one of its own, is
// still refused. One request may pass as a trial if isTrial is set.
func (t *Tracker) Refused(parts []Part) (wait time.Duration, refused, isTrial bool) {
	if t == nil || t.refusedCount.Load() == 0 {
		return 0, false, false
	}
	set := newPartSet(parts)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, v := range t.verdicts {
		if !set.containsAll(v.parts) {
			continue
		}
		if now.Before(v.trialUntil) {
			v.trialUntil = time.Time{}
			isTrial = true
			continue
		}
		v.isWanted = true
		return t.untilTrial(v), true, false
	}
	return 0, false, isTrial
}

// Begin records that a request with the parts is sent to a server process. The tracker cancels it
// if its parts are found to crash servers.
func (t *Tracker) Begin(process fleet.Process, parts []Part, cancel context.CancelFunc) *Attempt {
	if t == nil || len(parts) == 0 {
		return nil
	}
	a := &Attempt{tracker: t, process: process, parts: newPartSet(parts), sentAt: time.Now(), cancel: cancel}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight[process] == nil {
		t.inFlight[process] = make(map[*Attempt]struct{})
	}
	t.inFlight[process][a] = struct{}{}
	return a
}

// Received records that the head of the answer or an event arrived.
func (a *Attempt) Received() {
	if a == nil {
		return
	}
	now := time.Now()
	a.receivedAt.Store(int64(now.Sub(a.sentAt)))
	if a.headAt.IsZero() {
		a.headAt = now
		return
	}
	if !a.isSound.Load() && now.Sub(a.headAt) >= soundAfter {
		a.proveSound()
	}
}

func (a *Attempt) proveSound() {
	a.isSound.Store(true)
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	for _, p := range a.parts {
		a.tracker.evidence.addSound(p, a.headAt)
	}
	if len(a.tracker.verdicts) > 0 {
		a.tracker.changed()
	}
}

// WasRefused reports whether the tracker has cancelled the attempt.
func (a *Attempt) WasRefused() bool { return a != nil && a.isRefused.Load() }

// Answered records that the attempt ended with a complete answer.
func (a *Attempt) Answered() {
	if a == nil {
		return
	}
	if !a.isSound.Load() && !a.headAt.IsZero() {
		a.proveSound()
	}
	a.Ended()
}

// Ended records that the attempt ended in another way: its end says nothing about its parts.
func (a *Attempt) Ended() {
	if a == nil {
		return
	}
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	a.tracker.remove(a)
}

// remove removes an attempt in flight. The caller holds the lock.
func (t *Tracker) remove(a *Attempt) {
	delete(t.inFlight[a.process], a)
	if len(t.inFlight[a.process]) == 0 {
		delete(t.inFlight, a.process)
	}
}

// Disconnected records that the connection ended at a time without a complete answer. It may be
// called later, after Ended.
func (a *Attempt) Disconnected(at time.Time) {
	if a == nil {
		return
	}
	t := a.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(a)
	if a.isSound.Load() || (!a.headAt.IsZero() && at.Sub(a.headAt) >= accusedFor) {
		return
	}
	i := t.interrupted[a.process]
	if i == nil {
		i = &interruption{at: at}
		t.interrupted[a.process] = i
		time.AfterFunc(crashGrace-time.Since(at), func() { t.checkCrash(a.process, i) })
	}
	if len(i.requests) < maxRequestsPerCrash {
		i.requests = append(i.requests, a.parts)
	}
}

// checkCrash reports the crash of a server unless it still answers other requests of this
// instance.
func (t *Tracker) checkCrash(process fleet.Process, i *interruption) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for a := range t.inFlight[process] {
		switch {
		case !a.sentAt.Before(i.at):
		case a.receivedSince(i.at.Add(crashGrace)), time.Since(i.at) >= crashWait:
			delete(t.interrupted, process)
			return
		default:
			time.AfterFunc(crashGrace, func() { t.checkCrash(process, i) })
			return
		}
	}
	delete(t.interrupted, process)
	t.evidence.addCrash(process, i.at, i.requests)
	t.changed()
	go t.broadcast(message{Crashes: []crashReport{newCrashReport(process, i)}})
}

// receivedSince reports whether bytes arrived after a time.
func (a *Attempt) receivedSince(at time.Time) bool { return a.lastReceived().After(at) }

// lastReceived returns when bytes last arrived; zero if none did.
func (a *Attempt) lastReceived() time.Time {
	received := a.receivedAt.Load()
	if received == 0 {
		return time.Time{}
	}
	return a.sentAt.Add(time.Duration(received))
}

// changed wakes Run to judge the evidence. The caller holds the lock.
func (t *Tracker) changed() {
	t.isDirty = true
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// judge refuses the parts that the evidence shows to crash servers, and lifts verdicts on
// parts that were answered since. The caller holds the lock.
func (t *Tracker) judge(now time.Time) {
	t.isDirty = false
	t.liftRefuted(now)
	for _, f := range t.evidence.findings() {
		t.refuse(f.parts, f.from, f.count, "")
	}
}

// refuse adds a verdict. Another one on more parts, all of this one's among them, is
// redundant then. The caller holds the lock.
func (t *Tracker) refuse(parts partSet, from time.Time, count int, peer string) *verdict {
	for _, v := range t.verdicts {
		if parts.containsAll(v.parts) {
			return v
		}
	}
	v := &verdict{parts: parts, from: from, standing: t.ledger.Open(parts.String(), refusal.Crashes{First: from, Last: time.Now()})}
	for _, other := range t.verdicts {
		if other.parts.containsAll(parts) {
			t.removeRecord(other.standing.Record)
		}
	}
	t.verdicts = slices.DeleteFunc(t.verdicts, func(other *verdict) bool { return other.parts.containsAll(parts) })
	t.verdicts = append(t.verdicts, v)
	if len(t.verdicts) > maxVerdicts {
		t.verdicts = t.verdicts[1:]
	}
	t.refusedCount.Store(int64(len(t.verdicts)))
	t.changed()
	t.Log.Log(events.PromptPartRefused, events.Fields{PromptParts: parts.String(), Count: count, Peer: peer})
	t.cancelInFlight(v)
	return v
}

// cancelInFlight ends the attempts that a verdict refuses, before their servers begin to
// answer. Answers that go on in spite of it are left. The caller holds the lock.
func (t *Tracker) cancelInFlight(v *verdict) {
	for _, attempts := range t.inFlight {
		for a := range attempts {
			if !a.isSound.Load() && a.parts.containsAll(v.parts) {
				a.isRefused.Store(true)
				a.cancel()
			}
		}
	}
}

// liftRefuted removes from the verdicts the parts that were answered since their first
// crash. The caller holds the lock.
func (t *Tracker) liftRefuted(now time.Time) {
	for _, v := range slices.Clone(t.verdicts) {
		left := v.parts.without(func(p Part) bool { return t.evidence.soundSince(p, v.from) })
		switch {
		case len(left) == 0:
			t.lift(v, now)
		case len(left) < len(v.parts):
			t.lift(v, now)
			t.refuse(left, v.from, 0, "")
		}
	}
}

// lift removes a verdict. Its record is removed by the instance that finds it first. The
// caller holds the lock.
func (t *Tracker) lift(v *verdict, now time.Time) {
	t.verdicts = slices.DeleteFunc(t.verdicts, func(other *verdict) bool { return other == v })
	t.refusedCount.Store(int64(len(t.verdicts)))
	maps.DeleteFunc(t.lifted, func(_ string, at time.Time) bool { return now.Sub(at) > liftMemory })
	t.lifted[v.key()] = now
	t.Log.Log(events.PromptPartAllowed, events.Fields{PromptParts: v.parts.String()})
	t.removeRecord(v.standing.Record)
}
