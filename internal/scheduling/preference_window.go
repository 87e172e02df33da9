package scheduling

import (
	"math"

	"github.com/basilrail/basilrail/internal/datastore"
)

// Slice is this entry's part of every server's capacity, as fractions from 0 to
// 1. The slices of the entries adjoin. The zero Slice is no part to keep to.
type Slice struct {
	From float64
	To   float64
}

// places is the number of requests the entry may have on a server of a capacity
// and an offset between 0 and 1. Summed over adjoining slices the places of a
// server are its capacity, and summed over servers of different offsets the
// places of a slice are its part of them.
func (s Slice) places(capacity, offset float64) int64 {
	return int64(math.Floor(s.To*capacity+offset) - math.Floor(s.From*capacity+offset))
}

// WindowPreference prefers servers on which this entry has a place left. Where
// every entry keeps to its slice no server gets more requests than it runs at
// once, although no entry knows what the others have sent meanwhile.
type WindowPreference struct{}

// IsPreferred implements Preference.
func (WindowPreference) IsPreferred(req *Request, e *Entry) bool {
	if req.Slice == (Slice{}) {
		return true
	}
	requests, _ := e.Server.InFlight()
	return requests < req.Slice.places(capacity(e), e.Offset)
}

// Places is the number of requests the entry may have on the servers of a list.
// A window above it would leave requests without a place.
func (s Slice) Places(servers []*datastore.Server) int64 {
	var sum int64
	for i, server := range servers {
		sum += s.places(serverCapacity(server), offsetOf(i, len(servers)))
	}
	return sum
}

// offsetOf spreads the offsets of a list's servers evenly, so that the places
// of a slice are nearly its exact part.
func offsetOf(i, n int) float64 { return (float64(i) + 0.5) / float64(n) }
