package configsync

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/findings"
	"github.com/basilrail/basilrail/internal/settings"
)

// Limits of a change and of the attempts to commit it.
const (
	maxChangeBytes    = 512 << 10
	maxChangeIDBytes  = 64
	maxApplyAttempts  = 16
	firstRetryDelay   = 50 * time.Millisecond
	longestRetryDelay = 2 * time.Second
)

// ErrUnavailable means that this attempt applied nothing, because the store is
// unreachable or too many other changes were committed first.
var ErrUnavailable = errors.New("the change could not be committed and was not applied by this attempt")

// ErrChangeIDReused means that the change id was used for a different change.
var ErrChangeIDReused = errors.New("the change id was already used for another change")

// Apply validates the whole tree with the change applied and commits the change,
// unless one of its documents changed since the operator read it. If only other
// documents changed meanwhile, it retries. Errors are a findings.List, a
// *ConflictError, an *OutcomeUnknownError, ErrUnavailable or ErrChangeIDReused.
func (s *Syncer) Apply(ctx context.Context, change settings.Change) (ApplyResult, error) {
	return s.ApplyIf(ctx, change, nil)
}

// ApplyIf is Apply with a permission check on the same settings revision that the
// commit is conditional on, so that a permission revoked meanwhile no longer
// counts. An error of allowed is returned unchanged.
func (s *Syncer) ApplyIf(ctx context.Context, change settings.Change, allowed func(*settings.Snapshot) error) (ApplyResult, error) {
	if list := checkChange(change); list.Err() != nil {
		return ApplyResult{}, list
	}
	select {
	case s.applying <- struct{}{}:
		defer func() { <-s.applying }()
	case <-ctx.Done():
		return ApplyResult{}, ErrUnavailable
	}
	attempt := &attempt{syncer: s, change: change, allowed: allowed}
	result, err := attempt.run(ctx)
	s.logApply(change, result, err)
	return result, err
}

// Check validates the whole tree with the documents applied.
func (s *Syncer) Check(docs []settings.Document) findings.List {
	_, list := newState(&s.parsed, 1, merge(s.state.Load().docs, docs))
	return list
}

func checkChange(change settings.Change) findings.List {
	var list findings.List
	if change.ID == "" || len(change.ID) > maxChangeIDBytes {
		list.Add("change", "the change id must have 1 to %d bytes", maxChangeIDBytes)
	}
	if len(change.Documents) == 0 {
		list.Add("change", "the change holds no documents")
	}
	size := 0
	seen := make(map[string]bool)
	for _, doc := range change.Documents {
		if seen[doc.Path] {
			list.Add(doc.Path, "the document is given twice")
		}
		seen[doc.Path] = true
		size += len(doc.Path) + len(doc.Body)
	}
	if size > maxChangeBytes {
		list.Add("change", "the change has %d bytes; at most %d are allowed, so apply it in parts", size, maxChangeBytes)
	}
	return list
}

func (s *Syncer) logApply(change settings.Change, result ApplyResult, err error) {
	fields := events.Fields{RequestID: change.ID, Revision: result.Revision, Count: len(change.Documents)}
	var conflict *ConflictError
	var unknown *OutcomeUnknownError
	switch {
	case err == nil && !result.Unchanged:
		s.opts.Log.Log(events.SettingsCommitted, fields)
	case errors.As(err, &conflict):
		fields.Revision, fields.Err = conflict.Revision, err
		s.opts.Log.Log(events.SettingsConflict, fields)
	case errors.As(err, &unknown):
		s.opts.Log.Log(events.SettingsOutcomeUnknown, fields)
	}
}

// errRetry means that the head row changed, or that the outcome of a commit has
// to be read from the store.
var errRetry = errors.New("try again")

// addInDoubt records that a commit is about to be sent; its outcome is unknown
// until resolve is called.
func (s *Syncer) addInDoubt(changeID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inDoubt[changeID] = time.Now()
}

// resolve removes a change from the commits in doubt.
func (s *Syncer) resolve(changeID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inDoubt, changeID)
}

// expireInDoubt removes the commits in doubt that were sent more than maxWriteDelay
// before a read of the store: by then they have taken effect or never will. The caller
// holds mu.
func (s *Syncer) expireInDoubt(read time.Time) {
	for id, sent := range s.inDoubt {
		if read.Sub(sent) > maxWriteDelay {
			delete(s.inDoubt, id)
		}
	}
}
