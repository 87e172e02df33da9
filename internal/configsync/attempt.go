package configsync

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/wait"
)

// attempt is the work on one change.
type attempt struct {
	syncer *Syncer
	change settings.Change
	// allowed may be nil.
	allowed func(*settings.Snapshot) error
	// unsettled is whether a commit was sent whose outcome is not known.
	unsettled bool
}

func (a *attempt) run(ctx context.Context) (ApplyResult, error) {
	delay := firstRetryDelay
	for range maxApplyAttempts {
		result, err := a.once(ctx)
		if !errors.Is(err, errRetry) {
			return result, err
		}
		if wait.For(ctx, delay) != nil {
			break
		}
		delay = min(2*delay, longestRetryDelay)
	}
	return ApplyResult{}, a.giveUp()
}

// giveUp is the error once no more can be learned.
func (a *attempt) giveUp() error {
	if a.unsettled {
		return &UnknownError{ChangeID: a.change.ID}
	}
	return ErrUnavailable
}

// once reads how things stand, and commits if nothing speaks against it.
func (a *attempt) once(ctx context.Context) (ApplyResult, error) {
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

// unreachable retries while an earlier commit is unsettled.
func (a *attempt) unreachable() error {
	if a.unsettled {
		return errRetry
	}
	return ErrUnavailable
}

// read returns the head and the change's own row, if it was committed before.
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

// replay returns the result of a change that was committed before.
func (a *attempt) replay(ctx context.Context, done changeRow) (ApplyResult, error) {
	a.syncer.settle(a.change.ID)
	if !bytes.Equal(done.Digest, digest(a.change)) {
		return ApplyResult{}, ErrChangeIDReused
	}
	// The commit stands; if the store fails now, the poll or a peer brings it.
	_ = a.syncer.catchUp(ctx)
	return ApplyResult{ChangeID: a.change.ID, Revision: done.Revision, Replayed: true}, nil
}

// commitOn checks the change against a state that equals the head, and commits.
func (a *attempt) commitOn(ctx context.Context, current *state, headRevision uint64) (ApplyResult, error) {
	entry := a.entry(current)
	next, err := a.check(current, entry)
	if err != nil {
		// Since an attempt of unknown outcome was sent the settings, and so the head,
		// have changed without it; it can't take effect any more.
		if a.unsettled {
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

// check returns the state that the entry leads to, or why the change is refused.
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

// entry is the log entry of the change on top of a state; documents that read
// so already are left out.
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

// findConflicts compares the revisions that the change was made from with those
// in force. A document that reads as wanted already is no conflict.
func findConflicts(current *state, change settings.Change) error {
	conflict := &ConflictError{Revision: current.revision}
	for _, doc := range change.Documents {
		now := current.docs[doc.Path]
		if madeFrom(now, doc, current.revision) || bytes.Equal(now.Body, doc.Body) {
			continue
		}
		now.Path = doc.Path
		diffs := settings.Diff([]settings.Document{now}, []settings.Document{doc})
		conflict.Conflicts = append(conflict.Conflicts, Conflict{Current: now, Diff: diffs[0]})
	}
	if len(conflict.Conflicts) > 0 {
		return conflict
	}
	return nil
}

// madeFrom reports whether a document was made from the one that stands now: it
// was absent then and is now, or has not changed since the revision it was read at.
func madeFrom(now, doc settings.Document, newest uint64) bool {
	if now.Revision == 0 || doc.Revision == 0 {
		return now.Revision == doc.Revision
	}
	return now.Revision <= doc.Revision && doc.Revision <= newest
}
