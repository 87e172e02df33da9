// Package quarantine detects requests that crash the backend servers which run
// them, and prevents them from running a third time anywhere in the fleet.
//
// With continuous batching every request in flight on a crashed server is a
// suspect. Crashes are counted per fingerprint of the request content, and shared
// with all instances before a retry is sent. A suspect is retried alone: each
// server runs at most one suspect at a time, so that a second crash identifies the
// crashing request and no innocent one.
package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/tablestore"
)

// Options configures a Quarantine. Table may be nil; records are then kept only in
// the memory of the instances.
type Options struct {
	Bus    peers.Bus
	Table  tablestore.Table
	Rand   *rand.Rand
	Logger *events.Logger
}

// Suspect is an attempt that was in flight on a crashed server.
type Suspect struct {
	Attempt     string
	Fingerprint Fingerprint
}

// Verdict says whether and where a content may be sent.
type Verdict struct {
	// Quarantined content must not be sent. Until is when the quarantine ends if
	// the content is not sent again.
	Quarantined bool
	Until       time.Time
	// Suspect content is sent only to a server that Place returned.
	Suspect bool
	// Avoid lists the servers that crashed while running the content.
	Avoid []string
}

// Entry is a suspect or quarantined content, as returned by List.
type Entry struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Crashes     []Crash     `json:"crashes"`
	Quarantined bool        `json:"quarantined"`
	Until       time.Time   `json:"until"`
}

// run is one attempt in flight at this instance.
type run struct {
	server      string
	process     string
	fingerprint Fingerprint
	// slotted reports whether the attempt owns the slots of its server and content.
	slotted bool
	// crashed reports whether the server's process ended during the attempt.
	crashed bool
}

// placement holds the slots that Place acquired for an attempt that has not begun.
type placement struct {
	server      string
	fingerprint Fingerprint
}

// Quarantine is safe for concurrent use.
type Quarantine struct {
	bus    peers.Bus
	table  tablestore.Table
	logger *events.Logger
	wake   chan struct{}

	mu      sync.Mutex
	rand    *rand.Rand
	records *records
	runs    map[string]run
	// placed holds the attempts between Place and Begin.
	placed map[string]placement
	slots  *slots
}

// New returns a Quarantine and registers its message handlers.
func New(o Options) *Quarantine {
	q := &Quarantine{
		bus:     o.Bus,
		table:   o.Table,
		rand:    o.Rand,
		logger:  o.Logger,
		wake:    make(chan struct{}, 1),
		records: newRecords(),
		runs:    make(map[string]run),
		placed:  make(map[string]placement),
		slots:   newSlots(),
	}
	o.Bus.Handle(peers.KindSuspect, q.handleSuspects)
	o.Bus.Handle(peers.KindSuspectSlot, q.handleSlot)
	return q
}

// Check returns whether and where a content may be sent. Each refused attempt to
// send quarantined content extends its quarantine.
func (q *Quarantine) Check(fp Fingerprint) Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	r := q.records.get(fp, now)
	if r == nil {
		return Verdict{}
	}
	uncleared := r.unclearedCrashes()
	if len(uncleared) >= crashLimit {
		r.touchedAt = now
		return Verdict{Quarantined: true, Until: r.expiresAt()}
	}
	return Verdict{Suspect: len(uncleared) > 0, Avoid: serversOf(uncleared)}
}

func serversOf(crashes []Crash) []string {
	var names []string
	for _, c := range crashes {
		names = append(names, c.Server)
	}
	return names
}

// Begin records that an attempt is about to be sent. Process is the id of the
// server's process as last reported.
func (q *Quarantine) Begin(server, process string, fp Fingerprint, attempt string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	slotted := q.placed[attempt].server == server
	delete(q.placed, attempt)
	q.runs[attempt] = run{server: server, process: process, fingerprint: fp, slotted: slotted}
}

// End records that an attempt is over; complete reports whether its complete answer
// arrived. End releases the slots acquired by Place, also for an attempt that never
// began.
func (q *Quarantine) End(attempt string, complete bool) {
	placed, cleared := q.finish(attempt, complete)
	if cleared != nil {
		q.bus.Broadcast(peers.KindSuspect, suspectsMessage{Records: []recordMessage{*cleared}})
	}
	if placed.server != "" {
		// Asynchronous, so that the caller's answer does not wait for the arbiters.
		go q.release(placed, attempt)
	}
}

// release releases both slots of an attempt.
func (q *Quarantine) release(p placement, attempt string) {
	ctx := context.Background()
	q.requestSlot(ctx, slotRelease, serverKey(p.server), attempt, p.fingerprint)
	q.requestSlot(ctx, slotRelease, contentKey(p.fingerprint), attempt, p.fingerprint)
}

// finish removes the attempt. It returns the slots that the attempt owned, and the
// record to broadcast if the success cleared the content.
func (q *Quarantine) finish(attempt string, complete bool) (placement, *recordMessage) {
	q.mu.Lock()
	defer q.mu.Unlock()
	placed := q.placed[attempt]
	delete(q.placed, attempt)
	run, ok := q.runs[attempt]
	if !ok {
		return placed, nil
	}
	delete(q.runs, attempt)
	if run.slotted {
		placed = placement{server: run.server, fingerprint: run.fingerprint}
	}
	if !complete {
		return placed, nil
	}
	return placed, q.countSuccess(run.fingerprint)
}

// countSuccess counts a complete answer of a suspect content. After
// exoneratingSuccesses of them it clears the content and returns its record.
func (q *Quarantine) countSuccess(fp Fingerprint) *recordMessage {
	now := time.Now()
	r := q.records.get(fp, now)
	if r == nil || r.quarantined() || len(r.unclearedCrashes()) == 0 {
		return nil
	}
	r.successes++
	if r.successes < exoneratingSuccesses {
		return nil
	}
	r.successes = 0
	r.cleared = union(r.cleared, r.crashes)
	msg := message(fp, r, now)
	return &msg
}

// Crashed records that a server's process ended while attempts were in flight,
// broadcasts the crash to the peers, and returns the attempts of this instance that
// were affected. Call it for every attempt whose connection was lost; only the first
// call returns suspects. Retries may be sent after it returns.
func (q *Quarantine) Crashed(server, process string) []Suspect {
	suspects, messages := q.recordCrash(Crash{Server: server, Process: process})
	for chunk := range slices.Chunk(messages, maxRecordsPerMessage) {
		q.bus.Broadcast(peers.KindSuspect, suspectsMessage{Records: chunk})
	}
	if len(suspects) > 0 {
		q.logger.Log(events.ServerCrashed, events.Fields{Server: server, Count: len(suspects)})
	}
	return suspects
}

// recordCrash counts the crash against all contents in flight on the process.
func (q *Quarantine) recordCrash(crash Crash) ([]Suspect, []recordMessage) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	var suspects []Suspect
	var messages []recordMessage
	for attempt, run := range q.runs {
		if run.crashed || run.server != crash.Server || run.process != crash.Process {
			continue
		}
		run.crashed = true
		q.runs[attempt] = run
		suspects = append(suspects, Suspect{Attempt: attempt, Fingerprint: run.fingerprint})
		if q.mergeRecord(run.fingerprint, []Crash{crash}, nil, now) {
			messages = append(messages, message(run.fingerprint, q.records.get(run.fingerprint, now), now))
		}
	}
	slices.SortFunc(suspects, func(a, b Suspect) int { return compare(a.Attempt, b.Attempt) })
	return suspects, messages
}

// mergeRecord merges crashes into a content's record and reports whether any was
// new.
func (q *Quarantine) mergeRecord(fp Fingerprint, crashes, cleared []Crash, touchedAt time.Time) bool {
	r := q.records.getOrAdd(fp, time.Now())
	wasQuarantined := r.quarantined()
	changed := r.merge(crashes, cleared, touchedAt)
	if changed {
		r.successes = 0
	}
	if !wasQuarantined && r.quarantined() {
		q.logger.Log(events.ContentQuarantined, events.Fields{Reason: fp.String(), Count: len(r.unclearedCrashes())})
		q.signal()
	}
	return changed
}

// signal wakes Run without blocking.
func (q *Quarantine) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// List returns the suspect and the quarantined contents, sorted by fingerprint.
func (q *Quarantine) List() []Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	var list []Entry
	for fp, r := range q.records.byContent {
		uncleared := r.unclearedCrashes()
		if now.After(r.expiresAt()) || len(uncleared) == 0 {
			continue
		}
		list = append(list, Entry{Fingerprint: fp, Crashes: uncleared, Quarantined: r.quarantined(), Until: r.expiresAt()})
	}
	slices.SortFunc(list, func(a, b Entry) int { return compare(a.Fingerprint.String(), b.Fingerprint.String()) })
	return list
}
