package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/refusal"
	"github.com/basilrail/basilrail/internal/wait"
)

const (
	// disconnectLimit is the number of successive servers that may disconnect while
	// running a content before it is refused: the operators tolerate three.
	disconnectLimit = 3
	// firstTrial is how long after that one request with the content may pass, in case the connections were lost for
	// another reason: a failure domain that lost its connectivity is back sooner. The second trial comes trialGrowth
	// times as long after the first. The operators tolerate three requests that reach servers after the third crash;
	// maxTrials leaves one for an instance that does not know of the refusal.
	firstTrial  = 30 * time.Second
	trialGrowth = 6
	maxTrials   = 2
	// refusalLifetime is how long a content is refused after its third crash, or its last trial.
	refusalLifetime = 24 * time.Hour
	// trialWait bounds the time that a request waits for its trial to be acquired: a transaction takes 5 ms normally.
	trialWait = 300 * time.Millisecond
	// trialRetryAfter is the retry delay of a request for which a trial could not be acquired.
	trialRetryAfter = time.Second
	// broadcastInterval is the interval between broadcasts to peers: a third of the
	// time within which an instance must know what its peers know. A content that
	// another server answers in the meantime is not reported.
	broadcastInterval = time.Second
	// maxContents bounds the contents that are tracked and not refused, at about 200 bytes each.
	maxContents = 4096
	// maxRefused bounds the refused contents that are stored, to one page of the store.
	maxRefused = 128
	// evictAfter is how long a content is refused at least before another one takes its place: the loss of a failure
	// domain marks many contents at once, which must not replace each other.
	evictAfter = time.Minute
	// maxServers bounds the servers that are kept for a content.
	maxServers = 12
	// liftMemory is how long a content is remembered as no longer tracked, so that late reports and records don't bring
	// it back, and maxLifted bounds these contents.
	liftMemory = time.Minute
	maxLifted  = 1024
	// maxContentsPerMessage bounds a message to about 4 kB.
	maxContentsPerMessage = 64
)

// DisconnectTracker finds request contents that crash the servers which run them, where
// a lost connection is the only sign of a crash. Connections are also lost for other
// reasons. Therefore only successive disconnects of different servers count, with
// no complete answer in between, and trials show whether a refusal is right.
//
// This covers a request that crashes servers and is repeated by its caller at any
// instance, also after a restart of all instances: refused contents are stored.
// DisconnectTracker is safe for concurrent use.
type DisconnectTracker struct {
	bus    peers.Bus
	log    *events.Logger
	wake   chan struct{}
	mu     sync.Mutex
	ledger *refusal.Ledger
	// contents are the contents that are not refused, or refused by this instance only. refused are those whose
	// refusals are stored.
	contents *lru.Cache[Fingerprint, *contentState]
	refused  map[Fingerprint]*contentState
	// lifted holds when a content was answered, or its record removed.
	lifted *lru.Cache[Fingerprint, time.Time]
	// unreported are contents with disconnects that the peers have not received, and
	// answered are reported contents of which the peers must learn that they were
	// answered.
	unreported map[Fingerprint]bool
	answered   []Fingerprint
	// isInformed is set once the instance knows what its peers know, or no peer did in catchUpTime.
	isInformed bool
}

// contentState is the state of one content.
type contentState struct {
	// servers are the server processes that disconnected, in order.
	servers []fleet.Process
	// first and last are the times of the first and the last disconnect.
	first, last time.Time
	// reported is true once the peers have been informed of the content.
	reported bool
	// standing is the refusal of the content; nil for none.
	standing *refusal.Standing
	// askedAt is when a request with the refused content last came.
	askedAt time.Time
}

// disconnectsMessage is the body of peers.KindCrashingContent.
type disconnectsMessage struct {
	Disconnected []contentReport `cbor:"1,keyasint,omitempty"`
	// Answered are contents that were reported and then answered completely.
	Answered []Fingerprint `cbor:"2,keyasint,omitempty"`
	// IsRequest asks for the contents that the receiver knows. Its answer has the same type.
	IsRequest bool `cbor:"3,keyasint,omitempty"`
	// IsInformed is set in an answer if the sender itself knows what its peers know.
	IsInformed bool `cbor:"4,keyasint,omitempty"`
}

type contentReport struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Servers     []string    `cbor:"2,keyasint"`
	// Age is the time since the last disconnect, in milliseconds.
	Age int64 `cbor:"3,keyasint"`
	// Started are the starts of the servers' processes, as in fleet.Process; empty from earlier builds.
	Started []int64 `cbor:"4,keyasint,omitempty"`
}

func (s *contentState) report(fp Fingerprint) contentReport {
	r := contentReport{Fingerprint: fp, Age: time.Since(s.last).Milliseconds()}
	for _, p := range s.servers {
		r.Servers, r.Started = append(r.Servers, p.ID), append(r.Started, p.Started)
	}
	return r
}

// processes returns the server processes of a report.
func (r *contentReport) processes() []fleet.Process {
	list := make([]fleet.Process, len(r.Servers))
	for i, id := range r.Servers {
		list[i].ID = id
		if i < len(r.Started) {
			list[i].Started = r.Started[i]
		}
	}
	return list
}

// DisconnectOptions are the dependencies of a DisconnectTracker.
type DisconnectOptions struct {
	Bus peers.Bus
	// Records stores the refused contents; nil keeps them in memory only.
	Records refusal.Store
	Log     *events.Logger
}

// NewDisconnectTracker returns a DisconnectTracker and registers its message handler.
func NewDisconnectTracker(o DisconnectOptions) *DisconnectTracker {
	// lru.New fails only for a size below one.
	cache, _ := lru.New[Fingerprint, *contentState](maxContents)
	lifted, _ := lru.New[Fingerprint, time.Time](maxLifted)
	d := &DisconnectTracker{
		bus: o.Bus, log: o.Log, wake: make(chan struct{}, 1), ledger: newContentLedger(o), contents: cache,
		refused: make(map[Fingerprint]*contentState), lifted: lifted, unreported: make(map[Fingerprint]bool),
	}
	o.Bus.Handle(peers.KindCrashingContent, d.handle)
	return d
}

// Empty reports whether no content is tracked.
func (d *DisconnectTracker) Empty() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.contents.Len()+len(d.refused) == 0
}

// Refused returns the number of contents that are refused.
func (d *DisconnectTracker) Refused() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := len(d.refused)
	for _, state := range d.contents.Values() {
		if state.standing != nil {
			count++
		}
	}
	return count
}

// peek returns the state of a content; nil if it is not tracked. The caller holds the lock.
func (d *DisconnectTracker) peek(fp Fingerprint) *contentState {
	if state := d.refused[fp]; state != nil {
		return state
	}
	state, _ := d.contents.Peek(fp)
	return state
}

// getOrAdd returns the state of a content, and tracks it from now on. The caller holds the lock.
func (d *DisconnectTracker) getOrAdd(fp Fingerprint) *contentState {
	if state := d.refused[fp]; state != nil {
		return state
	}
	state, ok := d.contents.Get(fp)
	if !ok {
		state = &contentState{}
		d.contents.Add(fp, state)
	}
	return state
}

// RefusedFor returns how long a content is still refused; zero if it is not, or if a trial is due.
func (d *DisconnectTracker) RefusedFor(fp Fingerprint) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.peek(fp)
	if state == nil || state.standing == nil {
		return 0
	}
	return d.ledger.UntilTrial(state.standing)
}

// Disconnected records that a server process disconnected at a time, which may be some time ago, while
// running a content. The attempt began at started. A disconnect is ignored if the attempt began before the
// last one counted, or if the process already counts.
func (d *DisconnectTracker) Disconnected(fp Fingerprint, server fleet.Process, started, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.getOrAdd(fp)
	if started.Before(state.last) || state.has(server) {
		return
	}
	if state.first.IsZero() {
		state.first = at
	}
	d.setServers(fp, state, append(slices.Clone(state.servers), server), at, true)
	d.unreported[fp] = true
}

// has reports whether a process counts already.
func (s *contentState) has(p fleet.Process) bool { return slices.ContainsFunc(s.servers, p.IsSame) }

// setServers stores a longer list of servers and the time of the last disconnect. isFinder is set if this instance saw
// that one. The caller holds the lock.
func (d *DisconnectTracker) setServers(fp Fingerprint, state *contentState, servers []fleet.Process, last time.Time, isFinder bool) {
	state.servers, state.last = servers, last
	if len(servers) < disconnectLimit {
		return
	}
	d.log.Log(events.ContentDisconnectsServers, events.Fields{Reason: fp.String(), Count: len(servers), Server: servers[len(servers)-1].ID})
	if state.standing == nil {
		d.refuse(fp, state, isFinder)
		return
	}
	d.ledger.Crashed(state.standing, last)
}

// Answered records that a server answered a content completely, and stops tracking
// the content.
func (d *DisconnectTracker) Answered(fp Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if state := d.peek(fp); state != nil {
		if state.reported {
			d.answered = append(d.answered, fp)
		}
		d.lift(fp, state, 0)
	}
}

// Run broadcasts unreported changes to the peers until the context ends. Before, it fetches what the
// peers know.
func (d *DisconnectTracker) Run(ctx context.Context) {
	go d.catchUp(ctx)
	go d.keepRecords(ctx)
	wait.Every(ctx, broadcastInterval, func() {
		if m := d.message(); len(m.Disconnected)+len(m.Answered) > 0 {
			d.bus.Broadcast(peers.KindCrashingContent, m)
		}
	})
}

// message returns the changes that the peers have not received yet, and marks them
// as reported.
func (d *DisconnectTracker) message() disconnectsMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	var m disconnectsMessage
	for fp := range d.unreported {
		if len(m.Disconnected) == maxContentsPerMessage {
			break
		}
		delete(d.unreported, fp)
		if state := d.peek(fp); state != nil {
			state.reported = true
			m.Disconnected = append(m.Disconnected, state.report(fp))
		}
	}
	n := min(len(d.answered), maxContentsPerMessage)
	m.Answered, d.answered = slices.Clone(d.answered[:n]), slices.Delete(d.answered, 0, n)
	return m
}

// handle merges a report from a peer.
func (d *DisconnectTracker) handle(_ context.Context, msg peers.Message) (any, error) {
	var m disconnectsMessage
	if err := cbor.Unmarshal(msg.Body, &m); err != nil {
		return nil, errors.Wrap(err, "decode content disconnects")
	}
	if m.IsRequest {
		return d.known(), nil
	}
	if len(m.Disconnected) > maxContentsPerMessage || len(m.Answered) > maxContentsPerMessage {
		return nil, errors.Errorf("too many contents in one message: %d disconnected, %d answered", len(m.Disconnected), len(m.Answered))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, content := range m.Disconnected {
		d.mergeReport(content)
		d.answerReport(content)
	}
	for _, fp := range m.Answered {
		if state := d.peek(fp); state != nil {
			// The instance that saw the answer removes the record first.
			d.lift(fp, state, liftBackup+peers.WriteDelay(d.bus, fp.String()))
		}
	}
	return nil, nil
}

// mergeReport merges a peer's report on a content into the local state. A report that is older than an answer makes the
// peers learn of the answer. The caller holds the lock.
func (d *DisconnectTracker) mergeReport(content contentReport) {
	last := time.Now().Add(-time.Duration(content.Age) * time.Millisecond)
	if d.wasLiftedSince(content.Fingerprint, last) {
		if !slices.Contains(d.answered, content.Fingerprint) {
			d.answered = append(d.answered, content.Fingerprint)
		}
		return
	}
	state := d.getOrAdd(content.Fingerprint)
	state.reported = true
	merged := contentState{servers: slices.Clone(state.servers)}
	for _, server := range content.processes() {
		if !merged.has(server) && len(merged.servers) < maxServers {
			merged.servers = append(merged.servers, server)
		}
	}
	if servers := merged.servers; len(servers) > len(state.servers) {
		if last.Before(state.last) {
			last = state.last
		}
		if state.first.IsZero() {
			state.first = last
		}
		d.setServers(content.Fingerprint, state, servers, last, false)
	}
}
