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

// Witnesses are the instances whose statements together prove, while the store
// is unreachable, that this instance is missing no commit. Before an instance
// sends a commit, one of the first commitWitnesses of its list of instances must
// know of it. To confirm its settings, an instance needs a statement of each of
// the first confirmWitnesses of its own list. The two lists lag and may differ: a
// witness by the first list is also one by the second as long as the second has
// at most confirmWitnesses - commitWitnesses instances that the first lacks and
// that sort before the witness.
const (
	commitWitnesses  = 12
	confirmWitnesses = 24
)

// errNoWitness means that no witness acknowledged a commit, so that it must not
// be sent.
var errNoWitness = errors.New("no witness acknowledged the settings commit")

// idHash returns the hash that orders instances, which is the same on all of them.
func idHash(id string) uint64 { return xxhash.Sum64String(id) }

// firstWitnesses returns the first instances of a list by idHash, at most limit.
func firstWitnesses(ids []string, limit int) []string {
	ordered := make([]witness, len(ids))
	for i, id := range ids {
		ordered[i] = witness{id: id, hash: idHash(id)}
	}
	slices.SortFunc(ordered, func(a, b witness) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	chosen := make([]string, min(limit, len(ordered)))
	for i := range chosen {
		chosen[i] = ordered[i].id
	}
	return chosen
}

// witness is an instance whose statement is required, with the hash of its id.
type witness struct {
	id   string
	hash uint64
}

// updateWitnesses sets the witnesses from the current list of instances.
func (s *Syncer) updateWitnesses(ids []string) {
	var chosen []witness
	for _, id := range firstWitnesses(ids, confirmWitnesses) {
		chosen = append(chosen, witness{id: id, hash: idHash(id)})
	}
	s.witnesses.Store(&chosen)
}

// currentWitnesses returns the witnesses; it is empty before the first exchange.
func (s *Syncer) currentWitnesses() []witness {
	chosen := s.witnesses.Load()
	if chosen == nil {
		return nil
	}
	return *chosen
}

// listedIDs returns the ids of all listed instances, including this one.
func (s *Syncer) listedIDs() []string {
	ids := []string{s.opts.Bus.Self()}
	for _, peer := range s.opts.Bus.Peers() {
		ids = append(ids, peer.ID)
	}
	return ids
}

// intentMessage announces a commit, or reports that it did not and can't take
// effect.
type intentMessage struct {
	ChangeID string `cbor:"1,keyasint"`
	Dropped  bool   `cbor:"2,keyasint,omitempty"`
}

// intentReply acknowledges an intent; Noted is whether the replying instance recorded the
// commit or already has it in effect.
type intentReply struct {
	Noted bool `cbor:"1,keyasint"`
}

// handleIntent records a peer's commit as in doubt until the commit is in effect
// here, a later read of the store shows that it did not take effect, or the peer
// reports that.
func (s *Syncer) handleIntent(_ context.Context, msg peers.Message) (any, error) {
	var intent intentMessage
	if err := decodeMessage(msg.Body, &intent); err != nil {
		return nil, err
	}
	if len(intent.ChangeID) > maxChangeIDBytes {
		return nil, errors.New("the change id is too long")
	}
	if intent.Dropped {
		s.resolve(intent.ChangeID)
		return intentReply{}, nil
	}
	return intentReply{Noted: s.notePeerInDoubt(intent.ChangeID)}, nil
}

// maxPeerInDoubt is the number of commits in doubt from which on an instance
// records no more for its peers.
const maxPeerInDoubt = 4096

// notePeerInDoubt records a peer's commit as in doubt. It reports false if there is no
// room. A late intent, whose commit is already in effect, needs no record and counts as
// noted.
func (s *Syncer) notePeerInDoubt(changeID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.history.holds(changeID) {
		return true
	}
	if len(s.inDoubt) >= maxPeerInDoubt {
		return false
	}
	s.inDoubt[changeID] = time.Now()
	return true
}

// announce ensures that a witness knows of a commit before it is sent. An
// instance that is a witness itself needs no other.
func (s *Syncer) announce(ctx context.Context, changeID string) error {
	chosen := firstWitnesses(s.listedIDs(), commitWitnesses)
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

// dropIntent notifies the witnesses that a commit did not and can't take effect.
// If the message is lost, they find out by a later read of the store.
func (s *Syncer) dropIntent(ctx context.Context, changeID string) {
	chosen := firstWitnesses(s.listedIDs(), commitWitnesses)
	if slices.Contains(chosen, s.opts.Bus.Self()) {
		return
	}
	s.eachPeer(chosen, func(peer string) {
		_ = s.request(ctx, peer, peers.KindSettingsIntent, intentMessage{ChangeID: changeID, Dropped: true}, nil)
	})
}
