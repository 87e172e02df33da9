package configsync

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/peers"
)

// Witnesses are the instances whose statements together prove that no commit is
// missing here while the store is down. Every commit is known to one of the
// first commitWitnesses of its instance's list before it is sent; whoever wants
// proof hears the first heardWitnesses of its own list. The two lists lag and
// may differ; a witness of the one is among those of the other as long as the
// latter has at most heardWitnesses - commitWitnesses instances that the former
// lacks and that come before it.
const (
	commitWitnesses = 12
	heardWitnesses  = 24
)

// errNoWitness means that no witness could be told of a commit, so that it must
// not be sent.
var errNoWitness = errors.New("no instance that must know of a settings commit can be reached")

// idHash orders instances in the same way everywhere.
func idHash(id string) uint64 { return xxhash.Sum64String(id) }

// witnesses returns the first instances of a list, at most the given number.
func witnesses(ids []string, most int) []string {
	ordered := make([]witness, len(ids))
	for i, id := range ids {
		ordered[i] = witness{id: id, hash: idHash(id)}
	}
	slices.SortFunc(ordered, func(a, b witness) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	chosen := make([]string, min(most, len(ordered)))
	for i := range chosen {
		chosen[i] = ordered[i].id
	}
	return chosen
}

// witness is an instance that is to be heard, with its hash.
type witness struct {
	id   string
	hash uint64
}

// chooseHeard fixes the witnesses to be heard, by the present list.
func (s *Syncer) chooseHeard(ids []string) {
	var chosen []witness
	for _, id := range witnesses(ids, heardWitnesses) {
		chosen = append(chosen, witness{id: id, hash: idHash(id)})
	}
	s.toHear.Store(&chosen)
}

// heardChoice returns the witnesses last fixed; it is empty before the first exchange.
func (s *Syncer) heardChoice() []witness {
	chosen := s.toHear.Load()
	if chosen == nil {
		return nil
	}
	return *chosen
}

// listedIDs is every listed instance, this one included.
func (s *Syncer) listedIDs() []string {
	ids := []string{s.opts.Bus.Self()}
	for _, peer := range s.opts.Bus.Peers() {
		ids = append(ids, peer.ID)
	}
	return ids
}

// intentMessage announces a commit, or tells that it surely took no effect.
type intentMessage struct {
	ChangeID string `cbor:"1,keyasint"`
	Dropped  bool   `cbor:"2,keyasint,omitempty"`
}

// intentReply acknowledges an intent: the sender of the reply has noted it.
type intentReply struct {
	Noted bool `cbor:"1,keyasint"`
}

// handleIntent notes a peer's commit as in doubt, until the commit is in force
// here, a later read of the store shows that it never took effect, or the peer
// says so.
func (s *Syncer) handleIntent(_ context.Context, msg peers.Message) (any, error) {
	var intent intentMessage
	if err := decodeMessage(msg.Body, &intent); err != nil {
		return nil, err
	}
	if len(intent.ChangeID) > maxChangeIDBytes {
		return nil, errors.New("the change id is too long")
	}
	if intent.Dropped {
		s.settle(intent.ChangeID)
		return intentReply{}, nil
	}
	return intentReply{Noted: s.noteDoubt(intent.ChangeID)}, nil
}

// maxDoubts bounds the commits in doubt that an instance notes for others.
const maxDoubts = 4096

// noteDoubt adds a doubt if there is room. An intent that comes late, when its
// commit is in force already, needs none.
func (s *Syncer) noteDoubt(changeID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.history.holds(changeID) {
		return true
	}
	if len(s.inDoubt) >= maxDoubts {
		return false
	}
	s.inDoubt[changeID] = time.Now()
	return true
}

// announce makes sure that a witness knows of a commit before it is sent. An
// instance that is a witness itself needs no other.
func (s *Syncer) announce(ctx context.Context, changeID string) error {
	chosen := witnesses(s.listedIDs(), commitWitnesses)
	if slices.Contains(chosen, s.opts.Bus.Self()) {
		return nil
	}
	var noted atomic.Bool
	s.eachPeer(chosen, func(peer string) {
		var reply intentReply
		err := s.request(ctx, peer, peers.KindSettingsIntent, intentMessage{ChangeID: changeID}, &reply)
		if err == nil && reply.Noted {
			noted.Store(true)
		}
	})
	if !noted.Load() {
		return errNoWitness
	}
	return nil
}

// dropIntent tells the witnesses that a commit surely took no effect. A lost
// message only delays what their next read of the store tells them.
func (s *Syncer) dropIntent(ctx context.Context, changeID string) {
	chosen := witnesses(s.listedIDs(), commitWitnesses)
	if slices.Contains(chosen, s.opts.Bus.Self()) {
		return
	}
	s.eachPeer(chosen, func(peer string) {
		_ = s.request(ctx, peer, peers.KindSettingsIntent, intentMessage{ChangeID: changeID, Dropped: true}, nil)
	})
}
