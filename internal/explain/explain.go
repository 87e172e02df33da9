// Package explain keeps records of a limited number of recent requests in memory:
// the candidates and why each was or was not selected, the attempts, the cost, the
// bill and the spans. An operator may query any instance; it asks its peers for the
// records of requests that it did not serve itself.
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
	// maxConcurrentQueries limits the number of peers that are queried concurrently.
	maxConcurrentQueries = 16
	// searchTimeout limits the search over all peers.
	searchTimeout = 3 * time.Second
)

// Explanation is the record of one request as returned to operators.
type Explanation struct {
	// ServedBy is the id of the instance that served the request.
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

// Spans looks up the trace spans of a request.
type Spans interface {
	// Spans returns the spans of a request.
	Spans(requestID string) []tracing.Span
}

// Store keeps the records of the most recent requests. It is safe for
// concurrent use.
type Store struct {
	bus     peers.Bus
	spans   Spans
	records *lru.Cache[string, *gateway.Record]
}

// New creates a store for up to size records, at least one, and registers its query
// handler on the bus.
func New(bus peers.Bus, spans Spans, size int) *Store {
	// lru.New fails only for a size below one.
	records, _ := lru.New[string, *gateway.Record](max(size, 1))
	s := &Store{bus: bus, spans: spans, records: records}
	bus.Handle(peers.KindExplain, s.handleQuery)
	return s
}

// Add stores the record of a finished request, which must not be modified afterwards.
func (s *Store) Add(r *gateway.Record) { s.records.Add(r.RequestID, r) }

// Get returns the record of a request that this instance served.
func (s *Store) Get(requestID string) (Explanation, bool) {
	record, ok := s.records.Peek(requestID)
	if !ok {
		return Explanation{}, false
	}
	return Explanation{ServedBy: s.bus.Self(), Record: record, Spans: s.spans.Spans(requestID)}, true
}

// Explain looks up a request's record on this instance and then on its peers. It
// returns the client account and the record as JSON, and false if no instance that
// answers has the record.
func (s *Store) Explain(ctx context.Context, requestID string) (settings.AccountID, json.RawMessage, bool) {
	found := s.local(requestID)
	if !found.Found {
		found = s.queryPeers(ctx, requestID)
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

// queryPeers queries the connected peers, at most maxConcurrentQueries at a time,
// until one returns the record.
func (s *Store) queryPeers(ctx context.Context, requestID string) reply {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	connected := s.bus.Peers()
	answers := make(chan reply, len(connected))
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	for _, peer := range connected {
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
	// The functions above always return nil.
	_ = group.Wait()
	select {
	case answer := <-answers:
		return answer
	default:
		return reply{}
	}
}

// handleQuery answers a query from a peer.
func (s *Store) handleQuery(_ context.Context, msg peers.Message) (any, error) {
	var q query
	if err := cbor.Unmarshal(msg.Body, &q); err != nil {
		return nil, errors.Wrap(err, "decode explain query")
	}
	return s.local(q.RequestID), nil
}
