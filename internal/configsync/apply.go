package configsync

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/findings"
	"github.com/basilrail/basilrail/internal/settings"
)

// The bounds of a change.
const (
	maxChangeBytes    = 512 << 10
	maxChangeIDBytes  = 64
	maxApplyAttempts  = 16
	firstRetryDelay   = 50 * time.Millisecond
	longestRetryDelay = 2 * time.Second
)

// ErrUnavailable means that this attempt surely applied nothing, because the
// store can't be reached or too many other changes came first.
var ErrUnavailable = errors.New("the change could not be committed and was not applied by this attempt")

// ErrChangeIDReused means that the change's id belongs to another change.
var ErrChangeIDReused = errors.New("the change id was already used for another change")

// Apply checks the whole tree as the change would leave it and commits the
// change, unless one of its documents changed since the operator read it. A
// race over other documents is retried. Errors are a findings.List, a
// *ConflictError, an *UnknownError, ErrUnavailable or ErrChangeIDReused.
func (s *Syncer) Apply(ctx context.Context, change settings.Change) (ApplyResult, error) {
	return s.ApplyIf(ctx, change, nil)
}

// ApplyIf is Apply with a permission that is asked on the very settings that the
// commit is conditional on, so that a right that was just taken away no longer
// counts. An error of allowed is returned as it is.
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

// Check finds what is wrong with the tree as the documents would leave it.
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
	var unknown *UnknownError
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

// errRetry means that the head row moved, or that the outcome must be read back.
var errRetry = errors.New("try again")

// addDoubt records that a commit is sent whose outcome is not yet known.
func (s *Syncer) addDoubt(changeID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inDoubt[changeID] = time.Now()
}

// settle records that the outcome of a change is known.
func (s *Syncer) settle(changeID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inDoubt, changeID)
}

// forgetDoubts drops the commits that were sent so long before a read of the
// store that they have taken effect by then or never will. The caller holds mu.
func (s *Syncer) forgetDoubts(read time.Time) {
	for id, sent := range s.inDoubt {
		if read.Sub(sent) > writeSettleDelay {
			delete(s.inDoubt, id)
		}
	}
}

// sleep waits; it is false if the context ended first.
