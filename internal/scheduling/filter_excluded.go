package scheduling

import "slices"

// ExcludedFilter drops the servers that the request excludes: those on which it
// already failed, or which run another suspect of the same crash.
type ExcludedFilter struct{}

// Reject implements Filter.
func (ExcludedFilter) Reject(req *Request, e *Entry) Reason {
	if slices.Contains(req.Excluded, e.Server.ID) {
		return RejectedExcluded
	}
	return ""
}
