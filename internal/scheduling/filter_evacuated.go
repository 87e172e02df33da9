package scheduling

// EvacuatedFilter drops servers of failure domains that operators evacuate.
type EvacuatedFilter struct{}

// Reject implements Filter.
func (EvacuatedFilter) Reject(_ *Request, e *Entry) Reason {
	if e.Status.Evacuated {
		return RejectedEvacuated
	}
	return ""
}
