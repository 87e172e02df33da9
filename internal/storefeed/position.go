package storefeed

import "cmp"

// Position is a state of the store. The store counts revisions up; when it is restored
// from a copy it counts on from the copy's, in a new era. Revisions of different eras
// must not be compared: the store gives them out again for other content.
type Position struct {
	_ struct{} `cbor:",toarray"`
	// Era is the number of the era; zero if the store does not announce eras.
	Era      uint64
	Revision uint64
}

// Compare orders positions by era, then by revision.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether p is an earlier state than q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// IsZero reports whether p is the zero Position: nothing was read, or a row that does
// not exist.
func (p Position) IsZero() bool { return p == Position{} }
