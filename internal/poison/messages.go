package poison

import (
	"context"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers"
)

const (
	// activeInterval is the interval between two rounds of messages while there are recent
	// crashes, idleInterval while there are only verdicts.
	activeInterval = 50 * time.Millisecond
	idleInterval   = 500 * time.Millisecond
	// settleTime is the time in which the reports of all instances on one crash arrive.
	settleTime = 10 * time.Millisecond
	// judgePause is the pause after a judgement, in multiples of its duration: at the bounds
	// of the evidence one takes tens of milliseconds.
	judgePause = 20
	// activeTime is how long a crash is recent.
	activeTime = 3 * time.Second
	// roundSenders is the number of instances that send in the first round what many of
	// them may know, and senderGrowth the factor for each further round in which nobody
	// did. So a fleet of any size sends a few messages.
	roundSenders = 8
	senderGrowth = 2
	// repeatsPerSecond is how often the fleet repeats its verdicts, for instances that were
	// cut off.
	repeatsPerSecond = 3
	// aliveMargin is how long after its presumed crash a server must send something that
	// proves it alive: what it sent before may arrive late.
	aliveMargin = 200 * time.Millisecond
	// maxVerdicts bounds the verdicts and maxPerMessage the entries of each list in a
	// message.
	maxVerdicts   = 64
	maxPerMessage = 64
)

// message is the body of peers.KindPromptCrash.
type message struct {
	Crashes []crashReport `cbor:"1,keyasint,omitempty"`
	// AliveIDs are the ids of the servers in Alive, for earlier builds.
	AliveIDs []string        `cbor:"2,keyasint,omitempty"`
	Sound    []soundReport   `cbor:"3,keyasint,omitempty"`
	Verdicts []verdictReport `cbor:"4,keyasint,omitempty"`
	// Alive are processes that sent something after their presumed crash.
	Alive []aliveReport `cbor:"5,keyasint,omitempty"`
}

// crashReport lists the parts of one instance's requests that ran when a server ended.
type crashReport struct {
	Server string `cbor:"1,keyasint"`
	// Age is the time since the crash, in milliseconds.
	Age int64 `cbor:"2,keyasint"`
	// Requests holds the parts of each request, 8 bytes each, the most significant first.
	Requests [][]byte `cbor:"3,keyasint"`
	// Started is when the process started, as in fleet.Process; zero from earlier builds.
	Started int64 `cbor:"4,keyasint,omitempty"`
}

// aliveReport says that a process sent something Age milliseconds ago.
type aliveReport struct {
	Server  string `cbor:"1,keyasint"`
	Started int64  `cbor:"2,keyasint,omitempty"`
	Age     int64  `cbor:"3,keyasint"`
}

// soundReport says that an answer which began Age milliseconds ago proved a part sound.
type soundReport struct {
	Part Part  `cbor:"1,keyasint"`
	Age  int64 `cbor:"2,keyasint"`
}

// verdictReport says that requests with all of the parts are refused. Age is the time since
// the first crash, in milliseconds.
type verdictReport struct {
	Parts []byte `cbor:"1,keyasint"`
	Age   int64  `cbor:"2,keyasint"`
}

func newCrashReport(process fleet.Process, i *interruption) crashReport {
	r := crashReport{Server: process.ID, Started: process.Started, Age: age(i.at)}
	for _, request := range i.requests {
		r.Requests = append(r.Requests, request.encode())
	}
	return r
}

func age(at time.Time) int64 { return time.Since(at).Milliseconds() }

// since returns the time at which something of an age happened, in milliseconds: not in the
// future, and at most lifetime ago.
func since(age int64) time.Time {
	return time.Now().Add(-time.Duration(min(max(age, 0), lifetime.Milliseconds())) * time.Millisecond)
}

const partBytes = 8

func (s partSet) encode() []byte {
	out := make([]byte, 0, partBytes*len(s))
	for _, p := range s {
		out = binary.BigEndian.AppendUint64(out, uint64(p))
	}
	return out
}

func decodePartSet(in []byte) (partSet, error) {
	if len(in) == 0 || len(in)%partBytes != 0 || len(in) > maxParts*partBytes {
		return nil, errors.Errorf("a list of parts has %d bytes", len(in))
	}
	var parts []Part
	for ; len(in) > 0; in = in[partBytes:] {
		parts = append(parts, Part(binary.BigEndian.Uint64(in)))
	}
	return newPartSet(parts), nil
}

// String returns the parts as FormatParts does.
func (s partSet) String() string { return FormatParts(s) }

// FormatParts returns the ids of parts in hexadecimal, separated by commas.
func FormatParts(parts []Part) string {
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = strconv.FormatUint(uint64(p), 16)
	}
	return strings.Join(ids, partSeparator)
}

// partSeparator separates the ids in FormatParts.
const partSeparator = ","

// ParseParts parses the form of FormatParts.
func ParseParts(text string) ([]Part, error) {
	var parts []Part
	for id := range strings.SplitSeq(text, partSeparator) {
		p, err := strconv.ParseUint(id, 16, 64)
		if err != nil {
			return nil, errors.Wrap(err, "parse the id of a part")
		}
		parts = append(parts, Part(p))
	}
	return parts, nil
}

func (t *Tracker) broadcast(m message) {
	if len(m.Crashes)+len(m.Alive)+len(m.AliveIDs)+len(m.Sound)+len(m.Verdicts) > 0 {
		t.Bus.Broadcast(peers.KindPromptCrash, m)
	}
}

// handle merges a message from a peer.
func (t *Tracker) handle(_ context.Context, msg peers.Message) (any, error) {
	var m message
	if err := cbor.Unmarshal(msg.Body, &m); err != nil {
		return nil, errors.Wrap(err, "decode crashes of prompts")
	}
	if longest := max(len(m.Crashes), len(m.Alive), len(m.AliveIDs), len(m.Sound), len(m.Verdicts)); longest > maxPerMessage {
		return nil, errors.Errorf("%d entries in one message", longest)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range m.Crashes {
		if err := t.mergeCrash(c); err != nil {
			return nil, err
		}
	}
	for _, a := range m.Alive {
		t.evidence.addAlive(fleet.Process{ID: a.Server, Started: a.Started}, since(a.Age))
	}
	if len(m.Alive) == 0 {
		t.mergeAliveIDs(m.AliveIDs)
	}
	for _, s := range m.Sound {
		began := since(s.Age)
		t.evidence.addSound(s.Part, began)
		t.noteShared(s.Part, began)
	}
	for _, v := range m.Verdicts {
		if err := t.mergeVerdict(v, msg.From); err != nil {
			return nil, err
		}
	}
	t.changed()
	return nil, nil
}

// mergeAliveIDs merges the servers that a peer of an earlier build knows to be alive: it can't tell
// the processes of a server apart. The caller holds the lock.
func (t *Tracker) mergeAliveIDs(ids []string) {
	for _, c := range t.evidence.crashes {
		if slices.Contains(ids, c.process.ID) && time.Since(c.at) >= aliveMargin {
			c.isRefuted = true
		}
	}
}

// mergeCrash merges a peer's report on a crash. The caller holds the lock.
func (t *Tracker) mergeCrash(r crashReport) error {
	if len(r.Requests) > maxRequestsPerCrash {
		return errors.Errorf("%d requests at the crash of server %q", len(r.Requests), r.Server)
	}
	var requests []partSet
	for _, encoded := range r.Requests {
		parts, err := decodePartSet(encoded)
		if err != nil {
			return err
		}
		requests = append(requests, parts)
	}
	t.evidence.addCrash(fleet.Process{ID: r.Server, Started: r.Started}, since(r.Age), requests)
	return nil
}

// mergeVerdict merges a peer's verdict unless its parts were answered since. The caller
// holds the lock.
func (t *Tracker) mergeVerdict(r verdictReport, peer string) error {
	parts, err := decodePartSet(r.Parts)
	if err != nil {
		return err
	}
	from := since(r.Age)
	liftedAt, wasLifted := t.lifted[parts.String()]
	if wasLifted && !from.After(liftedAt) {
		return nil
	}
	if !slices.ContainsFunc(parts, func(p Part) bool { return t.evidence.soundSince(p, from) }) {
		t.refuse(parts, from, 0, peer)
	}
	return nil
}

// noteShared records that all instances know a proof of soundness. The caller holds the
// lock.
func (t *Tracker) noteShared(p Part, began time.Time) {
	if began.After(t.shared[p]) {
		t.shared[p] = began
	}
}

// Run judges the evidence and exchanges it with the peers until the context ends.
func (t *Tracker) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	isSoon := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
			if !isSoon {
				isSoon = true
				timer.Reset(settleTime)
			}
			continue
		case <-timer.C:
		}
		isSoon = false
		if next := t.round(ctx); next > 0 {
			timer.Reset(next)
		}
	}
}

// round judges the evidence and sends what the peers need. It returns the time until the
// next round; zero if none is needed before the next crash.
func (t *Tracker) round(ctx context.Context) time.Duration {
	t.mu.Lock()
	now := time.Now()
	t.evidence.expire(now)
	if t.isDirty && !now.Before(t.judgeAfter) {
		t.judge(now)
		took := time.Since(now)
		t.judgeAfter = now.Add(judgePause * took)
	}
	m, isActive := t.recent(now)
	next := time.Duration(0)
	switch {
	case isActive:
		next = activeInterval
	case len(t.verdicts) > 0, t.isDirty:
		next = idleInterval
	default:
		clear(t.shared)
	}
	if t.isChosen(repeatsPerSecond * next.Seconds()) {
		for _, v := range t.verdicts {
			m.Verdicts = append(m.Verdicts, verdictReport{Parts: v.parts.encode(), Age: age(v.from)})
		}
	}
	due := t.dueRecords(now)
	t.mu.Unlock()
	t.broadcast(m)
	t.saveRecords(ctx, due)
	return next
}

// recent returns what this instance knows about recent crashes and verdicts and the peers
// don't: servers that are alive and parts that are sound. isActive is false if there is no
// recent crash. The caller holds the lock.
func (t *Tracker) recent(now time.Time) (m message, isActive bool) {
	newest := time.Duration(math.MaxInt64)
	wanted := make(map[Part]struct{})
	for _, c := range t.evidence.crashes {
		sinceCrash := now.Sub(c.at)
		if c.isRefuted || sinceCrash > activeTime {
			continue
		}
		isActive, newest = true, min(newest, sinceCrash)
		if at, isAlive := t.aliveAt(c); isAlive && len(m.Alive) < maxPerMessage {
			t.isDirty = true
			t.evidence.addAlive(c.process, at)
			m.Alive = append(m.Alive, aliveReport{Server: c.process.ID, Started: c.process.Started, Age: age(at)})
			m.AliveIDs = append(m.AliveIDs, c.process.ID)
			continue
		}
		t.addAcquitted(wanted, c)
	}
	for _, v := range t.verdicts {
		t.addSoundSince(wanted, v.parts, v.from)
	}
	// The longer the peers don't know, the more instances send.
	if senders := roundSenders * math.Pow(senderGrowth, float64(newest/activeInterval)); len(wanted) > 0 && t.isChosen(senders) {
		m.Sound = t.soundReports(wanted)
	}
	return m, isActive
}

// addAcquitted adds the parts of the requests at a crash that are known as sound here, but
// not to all peers. The caller holds the lock.
func (t *Tracker) addAcquitted(wanted map[Part]struct{}, c *crash) {
	for _, request := range c.requests {
		t.addSoundSince(wanted, request, c.at.Add(-immunity))
	}
}

// addSoundSince adds the parts of which this instance knows an answer since a time, and the
// peers don't. The caller holds the lock.
func (t *Tracker) addSoundSince(wanted map[Part]struct{}, parts partSet, from time.Time) {
	for _, p := range parts {
		if t.evidence.soundSince(p, from) && t.shared[p].Before(from) {
			wanted[p] = struct{}{}
		}
	}
}

// soundReports returns the reports on wanted parts and marks them as shared. The caller holds
// the lock.
func (t *Tracker) soundReports(wanted map[Part]struct{}) []soundReport {
	var list []soundReport
	for _, p := range slices.Sorted(maps.Keys(wanted)) {
		if began, ok := t.evidence.sound.Peek(p); ok && len(list) < maxPerMessage {
			list = append(list, soundReport{Part: p, Age: age(began)})
			t.noteShared(p, began)
		}
	}
	return list
}

// aliveAt returns when a request of this instance last received something from a process after its
// presumed crash; ok is false if none did. The caller holds the lock.
func (t *Tracker) aliveAt(c *crash) (at time.Time, ok bool) {
	for a := range t.inFlight[c.process] {
		if a.sentAt.Before(c.at) && a.receivedSince(c.at.Add(aliveMargin)) && a.lastReceived().After(at) {
			at, ok = a.lastReceived(), true
		}
	}
	return at, ok
}

// isChosen reports whether this instance is one of the expected number of instances that
// are drawn for something. The caller holds the lock.
func (t *Tracker) isChosen(expected float64) bool {
	return t.rng.Float64()*float64(max(t.FleetSize(), 1)) < expected
}
