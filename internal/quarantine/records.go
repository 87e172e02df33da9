package quarantine

import (
	"slices"
	"time"
)

const (
	// maxRecords bounds the memory: about 230 bytes a record.
	maxRecords = 16384
	// suspectTTL is how long a crash counts against a content.
	suspectTTL = time.Hour
	// quarantineTTL is how long a quarantined content stays refused after its
	// last crash or its last refused try.
	quarantineTTL = 24 * time.Hour
	// crashLimit is the number of crashes that quarantine a content.
	crashLimit = 2
	// maxCrashes bounds what a record remembers.
	maxCrashes = 8
	// exoneratingSuccesses is the number of whole answers after a crash that
	// clear a content which was only nearby.
	exoneratingSuccesses = 8
)

// Crash names one crash of a backend server: the process that ended.
type Crash struct {
	Server   string `cbor:"1,keyasint" json:"server"`
	Instance string `cbor:"2,keyasint" json:"instance"`
}

// record is what is known of one content. Crashes and cleared crashes are
// grow-only sets, so that records merge in any order and any number of times.
type record struct {
	crashes   []Crash
	cleared   []Crash
	learnedAt time.Time
	touchedAt time.Time
	successes int
	persisted bool
}

// counted returns the crashes that count against the content.
func (r *record) counted() []Crash {
	var counted []Crash
	for _, c := range r.crashes {
		if !slices.Contains(r.cleared, c) {
			counted = append(counted, c)
		}
	}
	return counted
}

func (r *record) quarantined() bool { return len(r.counted()) >= crashLimit }

func (r *record) expiresAt() time.Time {
	if r.quarantined() {
		return r.touchedAt.Add(quarantineTTL)
	}
	return r.touchedAt.Add(suspectTTL)
}

// merge adds what another entry knows; it reports whether anything was new.
func (r *record) merge(crashes, cleared []Crash, touchedAt time.Time) bool {
	before := len(r.crashes) + len(r.cleared)
	r.crashes = union(r.crashes, crashes)
	r.cleared = union(r.cleared, cleared)
	if touchedAt.After(r.touchedAt) {
		r.touchedAt = touchedAt
	}
	return len(r.crashes)+len(r.cleared) > before
}

func union(into, from []Crash) []Crash {
	for _, c := range from {
		if len(into) < maxCrashes && !slices.Contains(into, c) {
			into = append(into, c)
		}
	}
	return into
}

// records is a bounded set of records. It is not safe for concurrent use.
type records struct {
	byContent map[Fingerprint]*record
	// order is the order of arrival, for eviction.
	order []Fingerprint
}

func newRecords() *records { return &records{byContent: make(map[Fingerprint]*record)} }

// get returns a live record, or nil.
func (s *records) get(fp Fingerprint, now time.Time) *record {
	r, ok := s.byContent[fp]
	if !ok || now.After(r.expiresAt()) {
		return nil
	}
	return r
}

// getOrAdd returns the content's record, making room for a new one.
func (s *records) getOrAdd(fp Fingerprint, now time.Time) *record {
	if r := s.get(fp, now); r != nil {
		return r
	}
	if len(s.order) >= maxRecords {
		s.makeRoom(now)
	}
	if _, ok := s.byContent[fp]; !ok {
		s.order = append(s.order, fp)
	}
	r := &record{learnedAt: now}
	s.byContent[fp] = r
	return r
}

// makeRoom drops expired records, then the oldest that are not quarantined,
// then the oldest, until a quarter of the room is free.
func (s *records) makeRoom(now time.Time) {
	keep := maxRecords * 3 / 4
	s.drop(len(s.order), func(r *record) bool { return now.After(r.expiresAt()) })
	s.drop(len(s.order)-keep, func(r *record) bool { return !r.quarantined() })
	s.drop(len(s.order)-keep, func(*record) bool { return true })
}

// drop removes at most n of the oldest records for which match holds.
func (s *records) drop(n int, match func(*record) bool) {
	s.order = slices.DeleteFunc(s.order, func(fp Fingerprint) bool {
		if n <= 0 || !match(s.byContent[fp]) {
			return false
		}
		n--
		delete(s.byContent, fp)
		return true
	})
}
