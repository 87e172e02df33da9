package quarantine

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/basilrail/basilrail/internal/peers"
)

const (
	// slotTTL is how long a slot is held without renewal. It frees the slots of an
	// instance that crashed or lost its connection.
	slotTTL = time.Minute
	// slotRequestTimeout bounds the wait for an arbiter.
	slotRequestTimeout = 500 * time.Millisecond
)

// slots holds the state of an arbiter: which attempts with suspect content own each
// server slot and content slot that it decides on. The expiry times are keyed by
// slot and attempt. It is not safe for concurrent use.
type slots struct {
	byKey map[string]map[string]time.Time
}

func newSlots() *slots { return &slots{byKey: make(map[string]map[string]time.Time)} }

// serverKey returns the key of the slot that limits a server to one suspect at a
// time.
func serverKey(server string) string { return "server/" + server }

// contentKey returns the key of the slot that limits a suspect content to one
// attempt at a time.
func contentKey(fp Fingerprint) string { return "content/" + fp.String() }

// apply processes one message and reports whether the slot is granted. A slot can be
// acquired while no other attempt owns it.
func (s *slots) apply(msg slotMessage, now time.Time) bool {
	held := s.live(msg.Key, now)
	switch msg.Action {
	case slotRelease:
		delete(held, msg.Attempt)
	case slotRegister:
		held[msg.Attempt] = now.Add(slotTTL)
	case slotAcquire:
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

// live returns the owners of a slot after removing expired ones.
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

// arbiter returns the id of the instance that decides on a slot. All instances with
// the same list of peers agree on it.
func (q *Quarantine) arbiter(key string) string {
	names := []string{q.bus.Self()}
	for _, p := range q.bus.Peers() {
		names = append(names, p.ID)
	}
	return rendezvous.New(names, xxhash.Sum64String).Lookup(key)
}

// requestSlot sends a slot message about a content to the slot's arbiter and reports
// whether it was granted. An unreachable arbiter grants nothing.
func (q *Quarantine) requestSlot(ctx context.Context, action slotAction, key, attempt string, fp Fingerprint) bool {
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
		q.mergeRecords([]recordMessage{*reply.Record})
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
	q.mergeRecords([]recordMessage{*request.Record})
	granted := q.applySlot(request)
	return slotReply{Granted: granted, Record: q.recordMessage(request.Record.Fingerprint)}, nil
}

// recordMessage returns the record of a content, or nil if there is none.
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
