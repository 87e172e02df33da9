package configsync

import (
	"fmt"
	"strings"

	"github.com/basilrail/basilrail/internal/settings"
)

// ApplyResult is the result of a change that was applied.
type ApplyResult struct {
	ChangeID string
	// Revision is the settings revision that holds the change.
	Revision uint64
	// Replayed is whether a change with this id had been committed before.
	Replayed bool
	// Unchanged is whether the documents already had the requested content, so that
	// nothing was committed.
	Unchanged bool
}

// Conflict is one document that changed since the operator read it.
type Conflict struct {
	// Current is the document in effect; an empty body means that it does not exist.
	Current settings.Document `json:"current"`
	// Diff is the difference from the current document to the requested one.
	Diff settings.DocumentDiff `json:"diff"`
}

// ConflictError means that another change was committed first; nothing was applied.
type ConflictError struct {
	Revision  uint64
	Conflicts []Conflict
}

// Error lists the documents in conflict.
func (e *ConflictError) Error() string {
	paths := make([]string, len(e.Conflicts))
	for i, c := range e.Conflicts {
		paths[i] = c.Current.Path
	}
	return "changed by another operator since they were read: " + strings.Join(paths, ", ")
}

// OutcomeUnknownError means that the change may or may not have been committed.
// Resending it under the same change id to any instance resolves the outcome.
type OutcomeUnknownError struct{ ChangeID string }

// Error includes the change id.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the outcome of change %s is not known", e.ChangeID)
}
