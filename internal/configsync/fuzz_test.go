package configsync

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/peers/membus"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/tablestore/memtable"
)

// FuzzPeerMessages passes a peer's messages and replies to an instance. None may
// make it panic or apply an invalid tree.
func FuzzPeerMessages(f *testing.F) {
	entry := logEntry{Revision: 1, ChangeID: "c", Documents: baseDocs()}
	f.Add(encode(hintMessage{Revision: 3}))
	f.Add(encode(fetchRequest{Since: 1, AllDocuments: true, After: "/models", Statements: true}))
	f.Add(encode(intentMessage{ChangeID: "c"}))
	f.Add(encode(fetchReply{Revision: 1, Loaded: true, Entries: []logEntry{entry}, Statements: []witnessStatement{{IDHash: 1, AgeMillis: -5}}}))
	f.Add(encode(fetchReply{Revision: 9, Loaded: true, Documents: []settings.Document{{Path: "/fleet"}}, ConfirmedAgeMillis: 1 << 62}))
	f.Fuzz(func(t *testing.T, body []byte) {
		network := membus.New()
		network.Join("peer", "h")
		s := New(Options{Table: memtable.New(), Bus: network.Join("entry-0", "h"), Rand: rand.New(rand.NewPCG(1, 1))})
		msg := peers.Message{From: "peer", Body: body}
		_, _ = s.handleHint(t.Context(), msg)
		_, _ = s.handleFetch(t.Context(), msg)
		_, _ = s.handleIntent(t.Context(), msg)
		var reply fetchReply
		if decodeMessage(body, &reply) != nil {
			return
		}
		if reply.Revision > 0 {
			s.applyReply(t.Context(), "peer", fetchRequest{}, reply)
		}
		s.noteReply("peer", time.Now(), reply)
		docs, _ := s.Documents("/")
		if _, list := settings.Parse(docs); list.Err() != nil {
			t.Errorf("an invalid tree is in effect: %v", list)
		}
	})
}
