package scheduling

// DownFilter drops servers that failed and have not recovered yet.
type DownFilter struct{}

// Reject implements Filter.
func (DownFilter) Reject(_ *Request, e *Entry) Reason {
	if e.Status.Down {
		return RejectedDown
	}
	return ""
}
