package poison

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/basilrail/basilrail/internal/fleet"
)

const (
	// newPartCrashes is the number of separate crashes from which a part is refused that no
	// server has ever answered, as far as is known, and answeredPartCrashes the number for
	// one that servers did answer earlier. Users tolerate five.
	newPartCrashes      = 3
	answeredPartCrashes = 5
	// noisyCrashes is the number of crashes without a part, from noiseWindow before its
	// first one on, from which it needs answeredPartCrashes too: servers then end for other
	// reasons as well.
	noisyCrashes = 2
	noiseWindow  = 5 * time.Second
	// separateCrashes is the time from which two crashes count as separate: servers of one
	// rack or domain end together.
	separateCrashes = 100 * time.Millisecond
	// immunity is how long after the begin of an answer that proved a part sound no crash
	// is evidence against it. It covers the delay until peers know of such an answer.
	immunity = 3 * time.Second
	// sameCrash is the longest time between the moments at which instances notice one crash.
	sameCrash = time.Second
	// evidenceLifetime is how long a crash is evidence.
	evidenceLifetime = 2 * time.Minute
	// maxCrashes, maxRequestsPerCrash and maxParts bound the evidence, to about 2 MB at
	// most; maxSoundParts bounds the parts known as sound, at about 100 bytes each.
	maxCrashes          = 128
	maxRequestsPerCrash = 64
	maxParts            = 32
	maxSoundParts       = 8192
)

// Part is the id of a part of a prompt.
type Part uint64

// partSet is a sorted list of parts without duplicates.
type partSet []Part

func newPartSet(parts []Part) partSet {
	set := slices.Clone(parts[:min(len(parts), maxParts)])
	slices.Sort(set)
	return slices.Compact(set)
}

func (s partSet) contains(p Part) bool {
	_, ok := slices.BinarySearch(s, p)
	return ok
}

// containsAll reports whether all parts of other are in s.
func (s partSet) containsAll(other partSet) bool {
	return !slices.ContainsFunc(other, func(p Part) bool { return !s.contains(p) })
}

// without returns the parts for which drop is false.
func (s partSet) without(drop func(Part) bool) partSet {
	return slices.DeleteFunc(slices.Clone(s), drop)
}

// crash is the presumed end of a server process.
type crash struct {
	process fleet.Process
	at      time.Time
	// requests are the parts of the requests that ran at its end and whose answers had begun
	// less than accusedFor before, or not at all.
	requests []partSet
	// isRefuted is set if the process sent something later.
	isRefuted bool
}

// evidence is what all instances know of crashes and of parts that servers answered. Merging
// reports into it gives the same result in any order.
type evidence struct {
	crashes []*crash
	// alive holds when processes with a presumed crash last sent something that is known.
	alive map[fleet.Process]time.Time
	// sound holds, by part, when the last answer began that proved it sound.
	sound *lru.Cache[Part, time.Time]
}

func newEvidence() *evidence {
	// lru.New fails only for a size below one.
	sound, _ := lru.New[Part, time.Time](maxSoundParts)
	return &evidence{alive: make(map[fleet.Process]time.Time), sound: sound}
}

// addCrash merges a report on the crash of a process. It is ignored if the process is known to have
// sent something later.
func (e *evidence) addCrash(process fleet.Process, at time.Time, requests []partSet) {
	if e.wasAlive(process, at) {
		return
	}
	c := e.crashOf(process, at)
	if c == nil {
		c = &crash{process: process, at: at}
		e.crashes = append(e.crashes, c)
		e.dropOldest()
	}
	if at.Before(c.at) {
		c.at = at
	}
	c.requests = append(c.requests, requests[:min(len(requests), maxRequestsPerCrash-len(c.requests))]...)
}

// addRecorded adds crashes for a recorded verdict on the parts whose own crashes are not known
// here, as after a restart of all instances. With them the next crash of a request that has only
// some of the parts shows which one is the cause.
func (e *evidence) addRecorded(parts partSet, from time.Time) {
	for _, c := range e.crashes {
		if c.isExplainedBy(parts) {
			return
		}
	}
	for n := range newPartCrashes {
		e.addCrash(fleet.Process{ID: fmt.Sprintf("record %s, crash %d", parts, n)}, from.Add(time.Duration(n)*separateCrashes), []partSet{parts})
	}
}

func (e *evidence) dropOldest() {
	if len(e.crashes) <= maxCrashes {
		return
	}
	oldest := slices.MinFunc(e.crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
	e.crashes = slices.DeleteFunc(e.crashes, func(c *crash) bool { return c == oldest })
}

// crashOf returns the crash of a process that a report on one at a time is about; nil for none. What
// was refuted says nothing about a later report: a lost answer may precede the crash.
func (e *evidence) crashOf(process fleet.Process, at time.Time) *crash {
	for _, c := range e.crashes {
		if !c.isRefuted && c.process.IsSame(process) && at.Sub(c.at).Abs() <= sameCrash {
			return c
		}
	}
	return nil
}

// wasAlive reports whether a process is known to have sent something after a presumed crash.
func (e *evidence) wasAlive(process fleet.Process, crashedAt time.Time) bool {
	last, ok := e.alive[process]
	return ok && last.Sub(crashedAt) >= aliveMargin/2
}

// addAlive records that a process sent something, which refutes its earlier crashes.
func (e *evidence) addAlive(process fleet.Process, at time.Time) {
	if at.After(e.alive[process]) {
		e.alive[process] = at
	}
	for _, c := range e.crashes {
		if c.process == process && e.wasAlive(process, c.at) {
			c.isRefuted = true
		}
	}
}

// expire drops crashes that are no evidence any more.
func (e *evidence) expire(now time.Time) {
	e.crashes = slices.DeleteFunc(e.crashes, func(c *crash) bool { return now.Sub(c.at) > evidenceLifetime })
	maps.DeleteFunc(e.alive, func(_ fleet.Process, at time.Time) bool { return now.Sub(at) > evidenceLifetime })
}

// addSound records that an answer which proved a part sound began at a time.
func (e *evidence) addSound(p Part, began time.Time) {
	if last, ok := e.sound.Get(p); !ok || began.After(last) {
		e.sound.Add(p, began)
	}
}

// soundSince reports whether an answer that proved a part sound began at a time or later.
func (e *evidence) soundSince(p Part, from time.Time) bool {
	last, ok := e.sound.Peek(p)
	return ok && !last.Before(from)
}

// isAccused reports whether a crash is evidence against a part of one of its requests.
func (e *evidence) isAccused(p Part, c *crash) bool {
	return !e.soundSince(p, c.at.Add(-immunity))
}

// finding is a part that crashes servers, with what the evidence can't tell from it.
type finding struct {
	// parts are in all requests that crashed servers: the part itself, and others that
	// accompanied it each time and may be sound.
	parts partSet
	// from is the time of the first crash, count the number of separate crashes.
	from  time.Time
	count int
}

// suspect is a part with the crashes that are evidence against it.
type suspect struct {
	part    Part
	crashes []*crash
	// common are the accused parts that were in all of its requests.
	common partSet
	// wasAnswered is set if servers answered requests with the part earlier.
	wasAnswered bool
	count       int
}

// findings returns the parts that crash servers. Each crash has one cause: those that a
// part explains are no evidence against others.
func (e *evidence) findings() []finding {
	var unexplained []*crash
	for _, c := range e.crashes {
		if !c.isRefuted {
			unexplained = append(unexplained, c)
		}
	}
	slices.SortFunc(unexplained, func(a, b *crash) int { return a.at.Compare(b.at) })
	var list []finding
	for {
		s := mainSuspect(e.suspects(unexplained))
		if s == nil {
			return list
		}
		list = append(list, finding{parts: s.common, from: s.crashes[0].at, count: s.count})
		unexplained = slices.DeleteFunc(unexplained, func(c *crash) bool { return c.isExplainedBy(s.common) })
	}
}

// isExplainedBy reports whether a request with all of the parts ran at the crash.
func (c *crash) isExplainedBy(parts partSet) bool {
	return slices.ContainsFunc(c.requests, func(r partSet) bool { return r.containsAll(parts) })
}

// suspects returns the parts with enough evidence against them. Crashes must be sorted by
// time.
func (e *evidence) suspects(crashes []*crash) []*suspect {
	byPart := e.frequentParts(crashes)
	if len(byPart) == 0 {
		return nil
	}
	for _, c := range crashes {
		for _, request := range c.requests {
			e.addRequest(byPart, c, request)
		}
	}
	var list []*suspect
	for _, s := range byPart {
		s.count = countSeparate(s.crashes)
		if s.count >= answeredPartCrashes || s.count >= newPartCrashes && !s.wasAnswered && !s.isAmongNoise(crashes) {
			list = append(list, s)
		}
	}
	return list
}

// frequentParts returns the parts that are accused by at least newPartCrashes crashes.
func (e *evidence) frequentParts(crashes []*crash) map[Part]*suspect {
	type tally struct {
		last  *crash
		count int
	}
	tallies := make(map[Part]tally)
	for _, c := range crashes {
		for _, request := range c.requests {
			for _, p := range request {
				if t := tallies[p]; t.last != c && e.isAccused(p, c) {
					tallies[p] = tally{last: c, count: t.count + 1}
				}
			}
		}
	}
	frequent := make(map[Part]*suspect)
	for p, t := range tallies {
		if t.count >= newPartCrashes {
			frequent[p] = &suspect{part: p, wasAnswered: e.sound.Contains(p)}
		}
	}
	return frequent
}

// addRequest adds a request that ran at a crash to the suspects among its parts.
func (e *evidence) addRequest(byPart map[Part]*suspect, c *crash, request partSet) {
	var accused partSet
	for _, p := range request {
		s := byPart[p]
		if s == nil || !e.isAccused(p, c) {
			continue
		}
		if accused == nil {
			accused = request.without(func(p Part) bool { return !e.isAccused(p, c) })
		}
		if len(s.crashes) == 0 {
			s.common = accused
		}
		s.common = s.common.without(func(p Part) bool { return !accused.contains(p) })
		if n := len(s.crashes); n == 0 || s.crashes[n-1] != c {
			s.crashes = append(s.crashes, c)
		}
	}
}

// isAmongNoise reports whether servers also ended without requests with the part. Crashes
// must be sorted by time.
func (s *suspect) isAmongNoise(crashes []*crash) bool {
	from := s.crashes[0].at.Add(-noiseWindow)
	others := slices.DeleteFunc(slices.Clone(crashes), func(c *crash) bool { return c.at.Before(from) || slices.Contains(s.crashes, c) })
	return countSeparate(others) >= noisyCrashes
}

// countSeparate counts crashes, sorted by time, that were not at the same moment.
func countSeparate(crashes []*crash) int {
	count := 0
	var last time.Time
	for _, c := range crashes {
		if count == 0 || c.at.Sub(last) >= separateCrashes {
			count, last = count+1, c.at
		}
	}
	return count
}

// mainSuspect returns the suspect that explains the crashes best; nil for none, or if the
// evidence fits another one as well, until there are answeredPartCrashes: a request that was
// repeated beside the cause at each crash.
func mainSuspect(list []*suspect) *suspect {
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, func(a, b *suspect) int {
		return cmp.Or(a.compareClass(b), cmp.Compare(len(b.common), len(a.common)), cmp.Compare(a.part, b.part))
	})
	best := list[0]
	for _, other := range list[1:] {
		if best.count < answeredPartCrashes && best.compareClass(other) == 0 && !best.common.containsAll(other.common) && best.sharesCrash(other) {
			return nil
		}
	}
	return best
}

// compareClass orders suspects by how well they explain crashes: parts that were never
// answered first, then by the number of crashes.
func (s *suspect) compareClass(other *suspect) int {
	if s.wasAnswered != other.wasAnswered {
		if s.wasAnswered {
			return 1
		}
		return -1
	}
	return cmp.Compare(other.count, s.count)
}

func (s *suspect) sharesCrash(other *suspect) bool {
	return slices.ContainsFunc(s.crashes, func(c *crash) bool { return slices.Contains(other.crashes, c) })
}
