package claim

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/tablestore"
	"github.com/basilrail/basilrail/internal/wait"
)

const (
	// MaxOutcomeBytes bounds the header and body of a recorded answer.
	MaxOutcomeBytes = 32 << 10
	// acquireTimeout bounds one Acquire, including the resolution of unknown outcomes.
	acquireTimeout = 3 * time.Second
	// maxResolveAttempts bounds the attempts to resolve a commit with an unknown outcome.
	maxResolveAttempts = 4
	// resolveBackoff is the pause before the second attempt. It doubles with each further
	// one.
	resolveBackoff = 25 * time.Millisecond
)

// ErrNotOwner means that the request does not own the claim, or no longer does.
var ErrNotOwner = errors.New("claim is not owned by this request")

// ErrDelayed is returned by Complete and Release if the write has not been confirmed by
// the table service. The write is retried in the background.
var ErrDelayed = errors.New("claim write is delayed: retrying in the background")

// Committer commits transactions. It is implemented by tablestore.Table and
// groupcommit.Committer.
type Committer interface {
	Commit(ctx context.Context, txn tablestore.Txn) tablestore.Result
}

// Reader reads rows. It is implemented by tablestore.Table.
type Reader interface {
	Get(ctx context.Context, keys ...string) ([]tablestore.Row, error)
}

// Service acquires and completes claims. It is safe for concurrent use. Run
// must be running for delayed writes to be retried.
type Service struct {
	committer Committer
	reader    Reader
	log       *events.Logger
	backlog   *backlog

	mu    sync.Mutex
	owned map[ownedKey]ownedClaim
}

// ownedKey identifies a claim that this instance owns and has not completed.
type ownedKey struct {
	key       Key
	requestID string
}

// ownedClaim is an owned claim as stored in the table service.
type ownedClaim struct {
	row      row
	revision uint64
	// inDoubt means that another attempt to insert the row may still take effect.
	inDoubt bool
}

// New returns a Service.
func New(committer Committer, reader Reader, log *events.Logger) *Service {
	s := &Service{committer: committer, reader: reader, log: log, owned: make(map[ownedKey]ownedClaim)}
	s.backlog = newBacklog(s)
	return s
}

// Acquire claims a key for one request. Only the status Owned allows the request to be
// sent, once. If the outcome of the commit can't be resolved, the status is
// Unavailable: the request must not be sent, and its row is deleted if it is inserted
// later.
func (s *Service) Acquire(ctx context.Context, key Key, fingerprint [32]byte, requestID string) Result {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	wanted := row{Fingerprint: fingerprint, RequestID: requestID, WriteID: uuid.NewString()}
	value, err := encodeRow(wanted)
	if err != nil {
		return Result{Status: Unavailable}
	}
	return s.acquire(ctx, key, wanted, insertion(rowKey(key), value))
}

func insertion(rowKey string, value []byte) tablestore.Txn {
	return tablestore.Txn{
		Conditions: []tablestore.Condition{{Key: rowKey}},
		Mutations:  []tablestore.Mutation{{Key: rowKey, Value: value}},
	}
}

// acquire commits the claim and resolves an unknown outcome by reading the row.
// Repeating the commit is safe, because the row can be inserted only once.
func (s *Service) acquire(ctx context.Context, key Key, wanted row, txn tablestore.Txn) Result {
	result, inDoubt := s.resolve(ctx, key, wanted, txn)
	if result.Status != Owned {
		if inDoubt {
			s.backlog.abandon(key, wanted.WriteID)
		}
		return result
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.owned[ownedKey{key, wanted.RequestID}]
	held.inDoubt = inDoubt
	s.owned[ownedKey{key, wanted.RequestID}] = held
	return result
}

// resolve commits the claim, in up to maxResolveAttempts attempts, until its outcome is
// known. InDoubt reports whether an attempt may still take effect later.
func (s *Service) resolve(ctx context.Context, key Key, wanted row, txn tablestore.Txn) (_ Result, inDoubt bool) {
	pause := resolveBackoff
	for attempt := range maxResolveAttempts {
		if attempt > 0 && wait.For(ctx, pause<<(attempt-1)) != nil {
			break
		}
		result := s.committer.Commit(ctx, txn)
		switch result.Outcome {
		case tablestore.OutcomeCommitted:
			return s.recordOwned(key, wanted, result.Revision), inDoubt
		case tablestore.OutcomeConflict:
			return s.evaluate(key, wanted, result.Conflicts), inDoubt
		case tablestore.OutcomeNotApplied:
			if !inDoubt {
				return Result{Status: Unavailable}, false
			}
		case tablestore.OutcomeUnknown:
			inDoubt = true
		}
		if rows, err := s.reader.Get(ctx, rowKey(key)); err == nil && len(rows) == 1 {
			return s.evaluate(key, wanted, rows), inDoubt
		}
	}
	return Result{Status: Unavailable}, inDoubt
}

func (s *Service) recordOwned(key Key, wanted row, revision uint64) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owned[ownedKey{key, wanted.RequestID}] = ownedClaim{row: wanted, revision: revision}
	return Result{Status: Owned, OwnerRequestID: wanted.RequestID}
}

// evaluate returns the result that the stored row gives for the request that wanted to
// insert its own.
func (s *Service) evaluate(key Key, wanted row, stored []tablestore.Row) Result {
	if len(stored) != 1 {
		return Result{Status: Unavailable}
	}
	found, err := decodeRow(stored[0])
	switch {
	case err != nil:
		return Result{Status: Unavailable}
	case found.WriteID == wanted.WriteID:
		return s.recordOwned(key, wanted, stored[0].Revision)
	case found.Fingerprint != wanted.Fingerprint:
		return Result{Status: Mismatch, OwnerRequestID: found.RequestID}
	case found.Outcome == nil:
		return Result{Status: Pending, OwnerRequestID: found.RequestID}
	default:
		return Result{Status: Completed, Outcome: found.Outcome, OwnerRequestID: found.RequestID}
	}
}

// Complete records the answer of an owned request. ErrDelayed means that the write is
// retried in the background; until it succeeds, others see the claim as pending.
func (s *Service) Complete(ctx context.Context, key Key, requestID string, outcome Outcome) error {
	held, ok := s.removeOwned(key, requestID)
	if !ok {
		return ErrNotOwner
	}
	outcome = limitSize(outcome)
	held.row.Outcome = &outcome
	value, err := encodeRow(held.row)
	if err != nil {
		return err
	}
	return s.write(ctx, &pendingWrite{rowKey: rowKey(key), revision: held.revision, value: value, requestID: requestID})
}

// Release deletes an owned claim. It may be called only if the request certainly did not
// run: it was not sent, or every backend server that received it refused it.
func (s *Service) Release(ctx context.Context, key Key, requestID string) error {
	held, ok := s.removeOwned(key, requestID)
	if !ok {
		return ErrNotOwner
	}
	if held.inDoubt {
		s.backlog.abandon(key, held.row.WriteID)
	}
	return s.write(ctx, &pendingWrite{rowKey: rowKey(key), revision: held.revision, requestID: requestID})
}

func (s *Service) removeOwned(key Key, requestID string) (ownedClaim, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.owned[ownedKey{key, requestID}]
	delete(s.owned, ownedKey{key, requestID})
	return held, ok
}

// write attempts a write once and adds it to the backlog if that fails.
func (s *Service) write(ctx context.Context, w *pendingWrite) error {
	if s.attempt(ctx, w) {
		return nil
	}
	s.log.Log(events.ClaimOutcomeDelayed, events.Fields{RequestID: w.requestID})
	if !s.backlog.add(w) {
		s.log.Log(events.ClaimOutcomeLost, events.Fields{RequestID: w.requestID, Reason: "backlog full"})
	}
	return ErrDelayed
}

// Run retries delayed writes until the context ends.
func (s *Service) Run(ctx context.Context) { s.backlog.run(ctx) }

// Close retries the delayed writes until none is left or the context ends. It returns
// the number left.
func (s *Service) Close(ctx context.Context) (left int) { return s.backlog.close(ctx) }
