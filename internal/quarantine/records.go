package quarantine

import (
	"slices"
	"time"
)

const (
	// maxRecords bounds the memory, at about 230 bytes per record.
	maxRecords = 16384
	// suspectTTL is how long a crash counts against a content.
	suspectTTL = time.Hour
	// quarantineTTL is how long a quarantined content is refused after its last
	// crash or its last refused attempt.
	quarantineTTL = 24 * time.Hour
	// crashLimit is the number of crashes after which a content is quarantined.
	crashLimit = 2
	// maxCrashes bounds the crashes kept per record.
	maxCrashes = 8
	// exoneratingSuccesses is the number of complete answers after a crash that
	// clear a content which was in flight but did not cause the crash.
	exoneratingSuccesses = 8
)

// Crash identifies one crash: the server and the process that ended.
type Crash struct {
	Server  string `cbor:"1,keyasint" json:"server"`
	Process string `cbor:"2,keyasint" json:"instance"`
}

// record is the crash history of one content. The sets of crashes and of cleared
// crashes only grow, so that records can be merged in any order and any number of
// times.
type record struct {
	crashes   []Crash
	cleared   []Crash
	createdAt time.Time
	touchedAt time.Time
	successes int
	persisted bool
}

// unclearedCrashes returns the crashes that have not been cleared.
func (r *record) unclearedCrashes() []Crash {
	var uncleared []Crash
	for _, c := range r.crashes {
		if !slices.Contains(r.cleared, c) {
			uncleared = append(uncleared, c)
		}
	}
	return uncleared
}

func (r *record) quarantined() bool { return len(r.unclearedCrashes()) >= crashLimit }

func (r *record) expiresAt() time.Time {
	if r.quarantined() {
		return r.touchedAt.Add(quarantineTTL)
	}
	return r.touchedAt.Add(suspectTTL)
}

// merge adds the record of another instance and reports whether anything was new.
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
	// order is the insertion order, for eviction.
	order []Fingerprint
}

func newRecords() *records { return &records{byContent: make(map[Fingerprint]*record)} }

// get returns the record of a content, or nil if there is none or it has expired.
func (s *records) get(fp Fingerprint, now time.Time) *record {
	r, ok := s.byContent[fp]
	if !ok || now.After(r.expiresAt()) {
		return nil
	}
	return r
}

// getOrAdd returns the record of a content. It adds a new one if needed, evicting
// others when the set is full.
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
	r := &record{createdAt: now}
	s.byContent[fp] = r
	return r
}

// makeRoom evicts expired records, then the oldest ones that are not quarantined,
// then the oldest ones, until a quarter of the capacity is free.
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
