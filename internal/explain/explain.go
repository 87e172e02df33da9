// Package explain keeps in bounded memory what each recent request did: the
// candidates with why they were or were not taken, the attempts, the cost, the
// bill and the spans. An operator may ask any instance; it asks its peers for
// what it did not serve itself.
package explain

import (
	"context"
	"encoding/json"
	"time"

	"github.com/fxamacker/cbor/v2"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/basilrail/basilrail/internal/gateway"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/tracing"
)

const (
	// peersAtOnce is the number of peers asked at the same time.
	peersAtOnce = 16
	// askTimeout bounds the search over all peers.
	askTimeout = 3 * time.Second
)

// Explanation is one request's record as operators see it.
type Explanation struct {
	// ServedBy is the entry instance that served the request.
	ServedBy string `json:"served_by"`
	*gateway.Record
	Spans []tracing.Span `json:"spans,omitempty"`
}

// query asks a peer for a request's record.
type query struct {
	RequestID string `cbor:"1,keyasint"`
}

// reply is a peer's answer; Found is false when it has no record.
type reply struct {
	Found   bool               `cbor:"1,keyasint"`
	Account settings.AccountID `cbor:"2,keyasint"`
	// Record is the JSON text of an Explanation.
	Record []byte `cbor:"3,keyasint"`
}

// Spans finds the spans of a request.
type Spans interface {
	Spans(requestID string) []tracing.Span
}

// Store keeps the records of the most recent requests. It is safe for
// concurrent use.
type Store struct {
	bus     peers.Bus
	spans   Spans
	records *lru.Cache[string, *gateway.Record]
}

// New keeps so many records, at least one, and registers itself on the bus.
func New(bus peers.Bus, spans Spans, size int) *Store {
	// The only error is a size below one.
	records, _ := lru.New[string, *gateway.Record](max(size, 1))
	s := &Store{bus: bus, spans: spans, records: records}
	bus.Handle(peers.KindExplain, s.answer)
	return s
}

// Add keeps a finished request's record, which must not change any more.
func (s *Store) Add(r *gateway.Record) { s.records.Add(r.RequestID, r) }

// Get returns the record of a request that this instance served.
func (s *Store) Get(requestID string) (Explanation, bool) {
	record, ok := s.records.Peek(requestID)
	if !ok {
		return Explanation{}, false
	}
	return Explanation{ServedBy: s.bus.Self(), Record: record, Spans: s.spans.Spans(requestID)}, true
}

// Explain finds a request's record, here or at a peer, as JSON; ok is false
// where no instance that answers remembers it.
func (s *Store) Explain(ctx context.Context, requestID string) (settings.AccountID, json.RawMessage, bool) {
	found := s.local(requestID)
	if !found.Found {
		found = s.ask(ctx, requestID)
	}
	return found.Account, found.Record, found.Found
}

func (s *Store) local(requestID string) reply {
	explanation, ok := s.Get(requestID)
	if !ok {
		return reply{}
	}
	encoded, err := json.Marshal(explanation)
	if err != nil {
		return reply{}
	}
	return reply{Found: true, Account: explanation.Account, Record: encoded}
}

// ask searches the connected peers, a bounded number at once, until one answers
// with the record.
func (s *Store) ask(ctx context.Context, requestID string) reply {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	listed := s.bus.Peers()
	answers := make(chan reply, len(listed))
	var group errgroup.Group
	group.SetLimit(peersAtOnce)
	for _, peer := range listed {
		group.Go(func() error {
			var answer reply
			err := s.bus.Request(ctx, peer.ID, peers.KindExplain, query{RequestID: requestID}, &answer)
			if err == nil && answer.Found {
				answers <- answer
				cancel()
			}
			return nil
		})
	}
	// The functions above never fail.
	_ = group.Wait()
	select {
	case answer := <-answers:
		return answer
	default:
		return reply{}
	}
}

// answer serves a peer's query.
func (s *Store) answer(_ context.Context, msg peers.Message) (any, error) {
	var q query
	if err := cbor.Unmarshal(msg.Body, &q); err != nil {
		return nil, errors.Wrap(err, "decode explain query")
	}
	return s.local(q.RequestID), nil
}
