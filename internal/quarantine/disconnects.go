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
	"github.com/basilrail/basilrail/internal/wait"
)

const (
	// disconnectLimit is the number of successive servers that may disconnect while
	// running a content before it is refused: the operators tolerate three.
	disconnectLimit = 3
	// initialRefusal is how long such a content is refused at first; each further
	// disconnect doubles the time. A failure domain that lost its connectivity is
	// back sooner.
	initialRefusal = 30 * time.Second
	// maxDoublings bounds the refusal time to about four hours.
	maxDoublings = 9
	// broadcastInterval is the interval between broadcasts to peers: a third of the
	// time within which an instance must know what its peers know. A content that
	// another server answers in the meantime is not reported.
	broadcastInterval = time.Second
	// maxContents bounds the tracked contents, at about 200 bytes each.
	maxContents = 4096
	// maxContentsPerMessage bounds a message to about 4 kB.
	maxContentsPerMessage = 64
)

// DisconnectTracker finds request contents that crash the servers which run them, where
// a lost connection is the only sign of a crash. Connections are also lost for other
// reasons. Therefore only successive disconnects of different servers count, with
// no complete answer in between, and a refusal expires.
//
// This covers a request that crashes servers and is repeated by its caller at any
// instance. DisconnectTracker is safe for concurrent use.
type DisconnectTracker struct {
	bus      peers.Bus
	log      *events.Logger
	mu       sync.Mutex
	contents *lru.Cache[Fingerprint, *contentState]
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
	last    time.Time
	// reported is true once the peers have been informed of the content.
	reported bool
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

// NewDisconnectTracker returns a DisconnectTracker and registers its message handler.
func NewDisconnectTracker(bus peers.Bus, log *events.Logger) *DisconnectTracker {
	// lru.New fails only for a size below one.
	cache, _ := lru.New[Fingerprint, *contentState](maxContents)
	d := &DisconnectTracker{bus: bus, log: log, contents: cache, unreported: make(map[Fingerprint]bool)}
	bus.Handle(peers.KindCrashingContent, d.handle)
	return d
}

// Empty reports whether no content is tracked.
func (d *DisconnectTracker) Empty() bool { return d.contents.Len() == 0 }

// RefusedFor returns how long a content is still refused; zero if it may be sent.
func (d *DisconnectTracker) RefusedFor(fp Fingerprint) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	state, ok := d.contents.Get(fp)
	if !ok || len(state.servers) < disconnectLimit {
		return 0
	}
	doublings := min(len(state.servers)-disconnectLimit, maxDoublings)
	return max(0, time.Until(state.last.Add(initialRefusal<<doublings)))
}

// Disconnected records that a server process disconnected at a time, which may be some time ago, while
// running a content. The attempt began at started. A disconnect is ignored if the attempt began before the
// last one counted, or if the process already counts.
func (d *DisconnectTracker) Disconnected(fp Fingerprint, server fleet.Process, started, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state, ok := d.contents.Get(fp)
	if !ok {
		state = &contentState{}
		d.contents.Add(fp, state)
	}
	if started.Before(state.last) || state.has(server) {
		return
	}
	d.setServers(fp, state, append(slices.Clone(state.servers), server), at)
	d.unreported[fp] = true
}

// has reports whether a process counts already.
func (s *contentState) has(p fleet.Process) bool { return slices.ContainsFunc(s.servers, p.IsSame) }

// setServers stores a longer list of servers and the time of the last disconnect.
// The caller holds the lock.
func (d *DisconnectTracker) setServers(fp Fingerprint, state *contentState, servers []fleet.Process, last time.Time) {
	state.servers, state.last = servers, last
	if len(servers) >= disconnectLimit {
		d.log.Log(events.ContentDisconnectsServers, events.Fields{Reason: fp.String(), Count: len(servers), Server: servers[len(servers)-1].ID})
	}
}

// Answered records that a server answered a content completely, and stops tracking
// the content.
func (d *DisconnectTracker) Answered(fp Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if state, ok := d.contents.Get(fp); ok {
		d.contents.Remove(fp)
		delete(d.unreported, fp)
		if state.reported {
			d.answered = append(d.answered, fp)
		}
	}
}

// Run broadcasts unreported changes to the peers until the context ends. Before, it fetches what the
// peers know.
func (d *DisconnectTracker) Run(ctx context.Context) {
	go d.catchUp(ctx)
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
		if state, ok := d.contents.Peek(fp); ok {
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
		d.contents.Remove(fp)
		delete(d.unreported, fp)
	}
	return nil, nil
}

// mergeReport merges a peer's report on a content into the local state. The caller
// holds the lock.
func (d *DisconnectTracker) mergeReport(content contentReport) {
	state, ok := d.contents.Get(content.Fingerprint)
	if !ok {
		state = &contentState{}
		d.contents.Add(content.Fingerprint, state)
	}
	state.reported = true
	merged := contentState{servers: slices.Clone(state.servers)}
	for _, server := range content.processes() {
		if !merged.has(server) && len(merged.servers) < disconnectLimit+maxDoublings {
			merged.servers = append(merged.servers, server)
		}
	}
	if servers := merged.servers; len(servers) > len(state.servers) {
		last := time.Now().Add(-time.Duration(content.Age) * time.Millisecond)
		if last.Before(state.last) {
			last = state.last
		}
		d.setServers(content.Fingerprint, state, servers, last)
	}
}
