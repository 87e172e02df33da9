package scheduling

// PausedFilter drops servers that refused a request of this instance and asked it to send
// nothing for a time that has not passed yet.
type PausedFilter struct{}

// Reject implements Filter.
func (PausedFilter) Reject(req *Request, e *Entry) Reason {
	if req.Now.Before(e.Server.PausedUntil()) {
		return RejectedPaused
	}
	return ""
}
