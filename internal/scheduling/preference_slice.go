package scheduling

import (
	"math"

	"github.com/basilrail/basilrail/internal/datastore"
)

// Slice is the range of every server's capacity that this instance may use, as
// fractions from 0 to 1. The slices of all instances adjoin without overlap. The
// zero Slice sets no limit.
type Slice struct {
	From float64
	To   float64
}

// slotsOn returns the number of requests that the instance may have in flight on a
// server with the given capacity and an offset between 0 and 1. The slots of all
// adjoining slices add up to the capacity of the server; summed over servers with
// different offsets, the slots of one slice approach its fraction of their capacity.
func (s Slice) slotsOn(capacity, offset float64) int64 {
	return int64(math.Floor(s.To*capacity+offset) - math.Floor(s.From*capacity+offset))
}

// SlicePreference prefers servers on which this instance has a free slot. If
// every instance stays within its slice, no server gets more requests than it can
// run concurrently, although no instance knows what the others have just sent.
type SlicePreference struct{}

// IsPreferred implements Preference.
func (SlicePreference) IsPreferred(req *Request, e *Entry) bool {
	if req.Slice == (Slice{}) {
		return true
	}
	requests, _ := e.Server.InFlight()
	return requests < req.Slice.slotsOn(capacity(e), e.Offset)
}

// Slots returns the number of requests that the instance may have in flight on
// the listed servers. If flow control admitted more, some would find no free slot.
func (s Slice) Slots(servers []*datastore.Server) int64 {
	var sum int64
	for i, server := range servers {
		sum += s.slotsOn(serverCapacity(server), offsetOf(i, len(servers)))
	}
	return sum
}

// offsetOf returns the offset of server i of n. The offsets are spaced evenly so
// that the rounding errors of a slice's slots nearly cancel out.
func offsetOf(i, n int) float64 { return (float64(i) + 0.5) / float64(n) }
