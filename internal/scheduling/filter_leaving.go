package scheduling

// LeavingFilter drops servers that are leaving, which get no new work.
type LeavingFilter struct{}

// Reject implements Filter.
func (LeavingFilter) Reject(_ *Request, e *Entry) Reason {
	if e.Status.Leaving {
		return RejectedLeaving
	}
	return ""
}
