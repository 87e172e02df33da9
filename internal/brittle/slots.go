package brittle

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers"
)

const (
	// askTimeout is the longest time that a request waits for the reply of an arbiter, and
	// unreachableFor how long one that did not answer is not asked.
	askTimeout     = 150 * time.Millisecond
	unreachableFor = 300 * time.Millisecond
	// lingerTime is how long a server may go on with a run after its connection was closed, and
	// deadlineMargin how long after its deadline.
	lingerTime     = 2 * time.Second
	deadlineMargin = 250 * time.Millisecond
	// silentFor is how long a server with requests in flight may send nothing until it counts as
	// silent: its abandoned runs may not end. They occupy their slots until the server sends
	// something, for silenceTime at most. silenceCheckInterval is how often that is checked.
	silentFor            = 300 * time.Millisecond
	silenceTime          = 5 * time.Second
	silenceCheckInterval = 300 * time.Millisecond
	// claimTime is how long an instance that claimed a server is asked although it is not the
	// arbiter by this instance's list.
	claimTime = 5 * time.Second
	// A report that an arbiter did not confirm is repeated maxReports times, in
	// reportInterval.
	maxReports     = 5
	reportInterval = 200 * time.Millisecond
	reportTimeout  = time.Second
)

// claim is the notice of an instance that it is the arbiter of a server.
type claim struct {
	by string
	at time.Time
}

// holdings are the slots of a server that this instance occupies.
type holdings struct {
	// held holds until when each slot is occupied at most.
	held map[slotID]time.Time
	// pending are the slots that the arbiter was asked for.
	pending map[slotID]bool
	// claims is the number of claims of the server that this instance received.
	claims int
	// isRejected is set if the server turned a request away since the last message.
	isRejected bool
	// isReportDue is set if a change was not reported to the arbiter yet, isReporting while a report is
	// on its way.
	isReportDue, isReporting bool
}

func (h *holdings) isEmpty() bool {
	return len(h.held) == 0 && len(h.pending) == 0 && !h.isReporting && !h.isRejected
}

// Slot is the slot of a server that a request occupies. A nil *Slot is none.
type Slot struct {
	guard  *Guard
	server *fleet.Server
	id     slotID
	// until is when the slot is occupied at most: servers stop work at the deadline.
	until time.Time
	// isGranted is set if the server was brittle when the slot was taken.
	isGranted bool
	// abandonedAt is when the request ended although the server may still be running it. wasSilent is set
	// if the server had sent nothing for a while.
	abandonedAt time.Time
	wasSilent   bool
}

// holdingsOf returns the slots of a server. The caller holds the lock.
func (g *Guard) holdingsOf(key serverKey) *holdings {
	h := g.holdings[key]
	if h == nil {
		h = &holdings{held: make(map[slotID]time.Time), pending: make(map[slotID]bool)}
		g.holdings[key] = h
	}
	return h
}

// Take occupies a slot of a server for a request that ends at a time at the latest, and counts the
// request against the limit that the server named; ok is false if the request must not be sent. It
// waits for the reply of the arbiter if the server is brittle. The slot must be ended.
func (g *Guard) Take(id string, until time.Time) (slot *Slot, ok bool) {
	g.awaitBrittle()
	server, known := g.Fleet.Snapshot().Server(id)
	if !known {
		return nil, g.Limits.Take(id)
	}
	slot = &Slot{guard: g, server: server, until: until.Add(deadlineMargin)}
	key := keyOf(server)
	g.mu.Lock()
	g.lastSlot++
	slot.id = g.lastSlot
	h := g.holdingsOf(key)
	slot.isGranted = g.isBrittle(server) || time.Since(g.claims[key].at) < claimTime
	if slot.isGranted {
		h.pending[slot.id] = true
	} else {
		h.held[slot.id] = slot.until
	}
	g.mu.Unlock()
	if slot.isGranted && !g.ask(slot, h) {
		return nil, false
	}
	if !slot.isGranted {
		g.arbiter.close(key)
	}
	if !g.Limits.Take(id) {
		slot.End(true)
		return nil, false
	}
	return slot, true
}

// arbiterOf returns the arbiter of a server: the one that claimed it last, or else the one by the
// list.
func (g *Guard) arbiterOf(server *fleet.Server, list *members) string {
	g.mu.Lock()
	last := g.claims[keyOf(server)]
	g.mu.Unlock()
	if last.by != "" && time.Since(last.at) < claimTime {
		return last.by
	}
	return list.arbiterOf(server.ID, server.Registration.FailureDomain)
}

// ask asks the arbiter for the pending slot and reports whether it was granted. A pending slot that was
// not granted is removed.
func (g *Guard) ask(slot *Slot, h *holdings) bool {
	if !g.IsListed() {
		g.conclude(slot, h, false)
		return false
	}
	list, now := g.members(), time.Now()
	arbiter := g.arbiterOf(slot.server, list)
	if list.isIsolatedFrom(arbiter, now) {
		g.mu.Lock()
		mayUse := len(h.held) < list.safeShare(slot.server.ID, slot.server.Registration.Slots, list.self)
		g.concludeLocked(slot, h, mayUse)
		g.mu.Unlock()
		return mayUse
	}
	g.mu.Lock()
	claims := h.claims
	m := g.message(keyOf(slot.server), h, slot.id, slot.until)
	g.mu.Unlock()
	isGranted, err := g.send(arbiter, m, askTimeout)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.markUnreachable(arbiter, slot.server, err)
		h.isRejected = h.isRejected || m.Rejected
	}
	// An arbiter that has claimed the server meanwhile does not know of the grant of another one.
	isValid := err == nil && isGranted && (h.claims == claims || arbiter == g.claims[keyOf(slot.server)].by)
	if err != nil || isGranted && !isValid {
		g.reportLocked(slot.server, h)
	}
	g.concludeLocked(slot, h, isValid)
	return isValid
}

// markUnreachable records that an arbiter did not answer, and logs it unless it was recorded before. The
// caller holds the lock.
func (g *Guard) markUnreachable(arbiter string, server *fleet.Server, err error) {
	now := time.Now()
	if !now.Before(g.unreachable[arbiter]) {
		g.Log.Log(events.SlotArbiterUnreachable, events.Fields{Server: server.ID, Peer: arbiter, Err: err})
	}
	dropOutdated(g.unreachable, now)
	g.unreachable[arbiter] = now.Add(unreachableFor)
}

// conclude ends the wait for a slot.
func (g *Guard) conclude(slot *Slot, h *holdings, isGranted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.concludeLocked(slot, h, isGranted)
}

// concludeLocked is conclude for callers that hold the lock.
func (g *Guard) concludeLocked(slot *Slot, h *holdings, isGranted bool) {
	delete(h.pending, slot.id)
	if isGranted {
		h.held[slot.id] = slot.until
	}
	g.dropEmpty(keyOf(slot.server), h)
}

// dropEmpty removes the holdings of a server if this instance occupies no slot of it. The caller holds
// the lock.
func (g *Guard) dropEmpty(key serverKey, h *holdings) {
	if h.isEmpty() && g.holdings[key] == h {
		delete(g.holdings, key)
	}
}

// message returns the message about the slots of a server, which asks for a slot unless that is zero.
// The caller holds the lock.
func (g *Guard) message(key serverKey, h *holdings, ask slotID, until time.Time) *slotMessage {
	now := time.Now()
	g.sequence++
	m := &slotMessage{
		Server: key.id, Started: key.started, Process: g.process, Sequence: g.sequence,
		Pending: slices.Collect(maps.Keys(h.pending)), Ask: ask, TTL: ttlOf(until, now), Rejected: h.isRejected,
	}
	for id, until := range h.held {
		m.Held = append(m.Held, heldSlot{ID: id, TTL: ttlOf(until, now)})
	}
	h.isRejected = false
	return m
}

// send sends a message to an arbiter, which may be this instance, and returns its reply.
func (g *Guard) send(arbiter string, m *slotMessage, timeout time.Duration) (isGranted bool, err error) {
	if arbiter == g.Bus.Self() {
		return g.decide(arbiter, m), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reply slotReply
	if err := g.Bus.Request(ctx, arbiter, peers.KindSlot, m, &reply); err != nil {
		return false, err
	}
	return reply.Granted, nil
}

// IsGranted reports whether the slot is one of a brittle server.
func (s *Slot) IsGranted() bool { return s != nil && s.isGranted }

// End frees the slot. isOver is false if the server may still be running the request.
func (s *Slot) End(isOver bool) {
	if s == nil {
		return
	}
	if isOver {
		s.free()
		return
	}
	s.abandonedAt, s.wasSilent = time.Now(), s.server.SilentFor() >= silentFor
	time.AfterFunc(min(lingerTime, max(deadlineMargin, time.Until(s.until))), s.freeUnlessSilent)
}

// freeUnlessSilent frees the slot of an abandoned run, or looks again later if the server may not have
// ended the run since it is silent.
func (s *Slot) freeUnlessSilent() {
	if s.wasSilent && !s.server.HasSentSince(s.abandonedAt) && time.Since(s.abandonedAt) < silenceTime {
		time.AfterFunc(silenceCheckInterval, s.freeUnlessSilent)
		return
	}
	s.free()
}

func (s *Slot) free() {
	g, key := s.guard, keyOf(s.server)
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.holdings[key]
	if h == nil {
		return
	}
	delete(h.held, s.id)
	if s.isGranted || time.Since(g.claims[key].at) < maxTTL {
		g.reportLocked(s.server, h)
	}
	g.dropEmpty(key, h)
}

// reportLocked reports the slots that this instance occupies to the arbiter of a server. The caller
// holds the lock.
func (g *Guard) reportLocked(server *fleet.Server, h *holdings) {
	h.isReportDue = true
	if !h.isReporting {
		h.isReporting = true
		go g.report(server, h)
	}
}

// report sends reports until one with the present state was confirmed.
func (g *Guard) report(server *fleet.Server, h *holdings) {
	for failures := 0; ; {
		g.mu.Lock()
		if !h.isReportDue {
			g.endReport(server, h)
			g.mu.Unlock()
			return
		}
		h.isReportDue = false
		m := g.message(keyOf(server), h, 0, time.Time{})
		g.mu.Unlock()
		arbiter := g.arbiterOf(server, g.members())
		_, err := g.send(arbiter, m, reportTimeout)
		if err == nil {
			failures = 0
			continue
		}
		failures++
		g.mu.Lock()
		h.isReportDue, h.isRejected = true, h.isRejected || m.Rejected
		if failures > maxReports {
			g.Log.Log(events.SlotsNotReported, events.Fields{Server: server.ID, Peer: arbiter, Err: err})
			g.endReport(server, h)
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
		time.Sleep(reportInterval)
	}
}

// endReport records that no report is on its way. The caller holds the lock.
func (g *Guard) endReport(server *fleet.Server, h *holdings) {
	h.isReportDue, h.isReporting = false, false
	g.dropEmpty(keyOf(server), h)
}

// claim notifies the peers that this instance is the arbiter of a server.
func (g *Guard) claim(key serverKey) {
	g.Bus.Broadcast(peers.KindSlotClaim, claimMessage{Server: key.id, Started: key.started})
	g.recordClaim(key, g.Bus.Self())
}

// handleClaim applies the notice of a peer that it is the arbiter of a server.
func (g *Guard) handleClaim(_ context.Context, msg peers.Message) (any, error) {
	var m claimMessage
	if err := cbor.Unmarshal(msg.Body, &m); err != nil {
		return nil, errors.Wrap(err, "decode the claim of a server")
	}
	key := serverKey{id: m.Server, started: m.Started}
	g.arbiter.yield(key)
	g.recordClaim(key, msg.From)
	return nil, nil
}

// recordClaim records that an instance is the arbiter of a server, and reports to it the slots that this
// one occupies.
func (g *Guard) recordClaim(key serverKey, by string) {
	server, known := g.Fleet.Snapshot().Server(key.id)
	if !known || server.Registration.Started != key.started {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if len(g.claims) >= maxRecent {
		maps.DeleteFunc(g.claims, func(_ serverKey, c claim) bool { return now.Sub(c.at) >= maxTTL })
	}
	g.claims[key] = claim{by: by, at: now}
	h := g.holdingsOf(key)
	h.claims++
	if len(h.held) > 0 || len(h.pending) > 0 {
		g.reportLocked(server, h)
	}
	g.dropEmpty(key, h)
}
