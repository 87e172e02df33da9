package configsync

import (
	"fmt"
	"strings"

	"github.com/basilrail/basilrail/internal/settings"
)

// ApplyResult is a change that is committed.
type ApplyResult struct {
	ChangeID string
	// Revision is the settings revision that holds the change.
	Revision uint64
	// Replayed is whether the change had been committed before by its id.
	Replayed bool
	// Unchanged is whether the documents already read so, and nothing was committed.
	Unchanged bool
}

// Conflict is one document that changed since the operator read it.
type Conflict struct {
	// Current is the document as it stands; an empty body means that there is none.
	Current settings.Document `json:"current"`
	// Diff leads from the current document to the one that the change asked for.
	Diff settings.DocumentDiff `json:"diff"`
}

// ConflictError means that another change came first; nothing was applied.
type ConflictError struct {
	Revision  uint64
	Conflicts []Conflict
}

// Error names the documents.
func (e *ConflictError) Error() string {
	paths := make([]string, len(e.Conflicts))
	for i, c := range e.Conflicts {
		paths[i] = c.Current.Path
	}
	return "changed by another operator since they were read: " + strings.Join(paths, ", ")
}

// UnknownError means that the change may or may not have been committed. The
// same change id sent again, to any instance, settles it.
type UnknownError struct{ ChangeID string }

// Error names the change.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("the outcome of change %s is not known", e.ChangeID)
}
