package quarantine

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/basilrail/basilrail/internal/peers"
)

const (
	// slotTTL frees the slot of an entry instance that is gone.
	slotTTL = time.Minute
	// slotRequestTimeout bounds the wait for an arbiter.
	slotRequestTimeout = 500 * time.Millisecond
)

// slots is an arbiter's book: which attempts with suspect content own the slot
// of each server, and of each content, that it decides on. Values are the
// expiry by attempt. It is not safe for concurrent use.
type slots struct {
	byKey map[string]map[string]time.Time
}

func newSlots() *slots { return &slots{byKey: make(map[string]map[string]time.Time)} }

// serverKey names the slot that lets one suspect at a time run on a server.
func serverKey(server string) string { return "server/" + server }

// contentKey names the slot that lets a suspect content run once at a time.
func contentKey(fp Fingerprint) string { return "content/" + fp.String() }

// apply answers one message; a slot is granted while no other attempt has it.
func (s *slots) apply(msg slotMessage, now time.Time) bool {
	held := s.live(msg.Key, now)
	switch msg.Action {
	case slotRelease:
		delete(held, msg.Attempt)
	case slotHold:
		held[msg.Attempt] = now.Add(slotTTL)
	case slotTake:
		_, own := held[msg.Attempt]
		if len(held) > 0 && !own {
			return false
		}
		held[msg.Attempt] = now.Add(slotTTL)
	}
	if len(held) == 0 {
		delete(s.byKey, msg.Key)
	}
	return true
}

// live returns the key's owners without the expired ones.
func (s *slots) live(key string, now time.Time) map[string]time.Time {
	held, ok := s.byKey[key]
	if !ok {
		held = make(map[string]time.Time)
		s.byKey[key] = held
	}
	for attempt, expires := range held {
		if now.After(expires) {
			delete(held, attempt)
		}
	}
	return held
}

// arbiter returns the entry instance that decides on a slot: the same one at
// every instance that has the same list of peers.
func (q *Quarantine) arbiter(key string) string {
	names := []string{q.bus.Self()}
	for _, p := range q.bus.Peers() {
		names = append(names, p.ID)
	}
	return rendezvous.New(names, xxhash.Sum64String).Lookup(key)
}

// askSlot sends a slot message about a content to the slot's arbiter and returns
// its answer; an arbiter that can't be reached grants nothing.
func (q *Quarantine) askSlot(ctx context.Context, action slotAction, key, attempt string, fp Fingerprint) bool {
	msg := slotMessage{Action: action, Key: key, Attempt: attempt, Record: q.recordMessage(fp)}
	arbiter := q.arbiter(key)
	if arbiter == q.bus.Self() {
		return q.applySlot(msg)
	}
	ctx, cancel := context.WithTimeout(ctx, slotRequestTimeout)
	defer cancel()
	var reply slotReply
	if err := q.bus.Request(ctx, arbiter, peers.KindSuspectSlot, msg, &reply); err != nil {
		return false
	}
	if reply.Record != nil && reply.Record.valid() {
		q.learnAll([]recordMessage{*reply.Record})
	}
	return reply.Granted
}

func (q *Quarantine) applySlot(msg slotMessage) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.slots.apply(msg, time.Now())
}

func (q *Quarantine) handleSlot(_ context.Context, msg peers.Message) (any, error) {
	request, err := decodeSlot(msg.Body)
	if err != nil {
		return nil, err
	}
	if request.Record == nil {
		return slotReply{Granted: q.applySlot(request)}, nil
	}
	q.learnAll([]recordMessage{*request.Record})
	granted := q.applySlot(request)
	return slotReply{Granted: granted, Record: q.recordMessage(request.Record.Fingerprint)}, nil
}

// recordMessage returns what is known of a content, or nil.
func (q *Quarantine) recordMessage(fp Fingerprint) *recordMessage {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	r := q.records.get(fp, now)
	if r == nil {
		return nil
	}
	msg := message(fp, r, now)
	return &msg
}
