package configsync

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/wait"
)

// attempt is one call of ApplyIf.
type attempt struct {
	syncer *Syncer
	change settings.Change
	// allowed checks the operator's permission; nil allows all.
	allowed func(*settings.Snapshot) error
	// outcomeUnknown is whether a commit was sent whose outcome is unknown.
	outcomeUnknown bool
}

func (a *attempt) run(ctx context.Context) (ApplyResult, error) {
	delay := firstRetryDelay
	for range maxApplyAttempts {
		result, err := a.runOnce(ctx)
		if !errors.Is(err, errRetry) {
			return result, err
		}
		if wait.For(ctx, delay) != nil {
			break
		}
		delay = min(2*delay, longestRetryDelay)
	}
	return ApplyResult{}, a.finalError()
}

// finalError returns the error for an attempt that ran out of retries or time.
func (a *attempt) finalError() error {
	if a.outcomeUnknown {
		return &OutcomeUnknownError{ChangeID: a.change.ID}
	}
	return ErrUnavailable
}

// runOnce reads the head and the change's row from the store, catches up to the
// head, and commits the change. It returns errRetry if it has to be run again.
func (a *attempt) runOnce(ctx context.Context) (ApplyResult, error) {
	head, headRevision, done, err := a.read(ctx)
	if err != nil {
		return ApplyResult{}, a.unreachable()
	}
	if done != nil {
		return a.replay(ctx, *done)
	}
	start := time.Now()
	err = a.syncer.catchUp(ctx)
	if errors.Is(err, errUnreadable) {
		return ApplyResult{}, err
	}
	a.syncer.noteRead(start, err)
	if err != nil {
		return ApplyResult{}, a.unreachable()
	}
	current := a.syncer.state.Load()
	if current.revision != head.Revision {
		return ApplyResult{}, errRetry
	}
	return a.commitOn(ctx, current, headRevision)
}

// unreachable returns the error for an unreachable store: errRetry while the
// outcome of an earlier commit is unknown, else ErrUnavailable.
func (a *attempt) unreachable() error {
	if a.outcomeUnknown {
		return errRetry
	}
	return ErrUnavailable
}

// read returns the head, its table revision, and the change's row if the change
// was committed before.
func (a *attempt) read(ctx context.Context) (head headRow, revision uint64, done *changeRow, err error) {
	rows, err := a.syncer.get(ctx, headKey, changeKey(a.change.ID))
	if err != nil {
		return head, 0, nil, err
	}
	for _, row := range rows {
		if row.Key == headKey {
			revision = row.Revision
			err = decode(row, &head)
		} else {
			done = &changeRow{}
			err = decode(row, done)
		}
		if err != nil {
			return head, 0, nil, err
		}
	}
	return head, revision, done, nil
}

// replay returns the result of a change that was committed before, or
// ErrChangeIDReused if that was a different change.
func (a *attempt) replay(ctx context.Context, done changeRow) (ApplyResult, error) {
	a.syncer.resolve(a.change.ID)
	if !bytes.Equal(done.Digest, digest(a.change)) {
		return ApplyResult{}, ErrChangeIDReused
	}
	// The change is committed; if the store fails now, a poll or a peer delivers it.
	_ = a.syncer.catchUp(ctx)
	return ApplyResult{ChangeID: a.change.ID, Revision: done.Revision, Replayed: true}, nil
}

// commitOn checks the change against a state at the head revision, and commits it.
func (a *attempt) commitOn(ctx context.Context, current *state, headRevision uint64) (ApplyResult, error) {
	entry := a.entry(current)
	next, err := a.check(current, entry)
	if err != nil {
		// A commit of unknown outcome can no longer take effect: since it was sent the
		// settings, and so the head, have changed without it.
		if a.outcomeUnknown {
			a.notApplied(ctx)
		}
		return ApplyResult{}, err
	}
	if len(entry.Documents) == 0 {
		return ApplyResult{ChangeID: a.change.ID, Revision: current.revision, Unchanged: true}, nil
	}
	txn, err := a.txn(ctx, entry, headRevision)
	if err != nil {
		return ApplyResult{}, a.unreachable()
	}
	return a.commit(ctx, txn, next, entry)
}

// check returns the state after the entry, or an error if the change is not
// allowed, in conflict or invalid.
func (a *attempt) check(current *state, entry logEntry) (*state, error) {
	if a.allowed != nil {
		if err := a.allowed(current.snapshot); err != nil {
			return nil, err
		}
	}
	if err := findConflicts(current, a.change); err != nil {
		return nil, err
	}
	next, list := newState(&a.syncer.parsed, entry.Revision, merge(current.docs, entry.Documents))
	return next, list.Err()
}

// entry returns the log entry of the change on top of a state, without the
// documents that already have the requested content.
func (a *attempt) entry(current *state) logEntry {
	entry := logEntry{Revision: current.revision + 1, ChangeID: a.change.ID, Author: a.change.Author}
	for _, doc := range a.change.Documents {
		if bytes.Equal(current.docs[doc.Path].Body, doc.Body) {
			continue
		}
		doc.Revision = entry.Revision
		entry.Documents = append(entry.Documents, doc)
	}
	return entry
}

// findConflicts returns a *ConflictError for the documents that changed since the
// revisions that the change is based on. A document that already has the
// requested content is no conflict.
func findConflicts(current *state, change settings.Change) error {
	conflict := &ConflictError{Revision: current.revision}
	for _, doc := range change.Documents {
		present := current.docs[doc.Path]
		if basedOn(present, doc, current.revision) || bytes.Equal(present.Body, doc.Body) {
			continue
		}
		present.Path = doc.Path
		diffs := settings.Diff([]settings.Document{present}, []settings.Document{doc})
		conflict.Conflicts = append(conflict.Conflicts, Conflict{Current: present, Diff: diffs[0]})
	}
	if len(conflict.Conflicts) > 0 {
		return conflict
	}
	return nil
}

// basedOn reports whether a requested document is based on the present one: the
// document did not exist when it was read and still does not, or has not changed
// since the revision at which it was read. latest is the revision in effect.
func basedOn(present, doc settings.Document, latest uint64) bool {
	if present.Revision == 0 || doc.Revision == 0 {
		return present.Revision == doc.Revision
	}
	return present.Revision <= doc.Revision && doc.Revision <= latest
}
