package scheduling

// DownFilter drops servers that failed and are not yet seen well again.
type DownFilter struct{}

// Reject implements Filter.
func (DownFilter) Reject(_ *Request, e *Entry) Reason {
	if e.Status.Down {
		return RejectedDown
	}
	return ""
}
