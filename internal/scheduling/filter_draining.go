package scheduling

// DrainingFilter drops servers that are draining, which get no new work.
type DrainingFilter struct{}

// Reject implements Filter.
func (DrainingFilter) Reject(_ *Request, e *Entry) Reason {
	if e.Status.Draining {
		return RejectedDraining
	}
	return ""
}
