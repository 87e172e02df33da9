package scheduling

// LimitedFilter drops servers that named a limit of requests of which this instance has
// used its part.
type LimitedFilter struct{}

// Reject implements Filter.
func (LimitedFilter) Reject(req *Request, e *Entry) Reason {
	if req.Limits != nil && !req.Limits.MaySend(e.Server.ID) {
		return RejectedLimited
	}
	return ""
}
