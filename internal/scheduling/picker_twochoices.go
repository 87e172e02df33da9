package scheduling

import (
	"math"
	"math/rand/v2"
)

// equalLoadTolerance is the relative difference up to which two loads count as equal.
const equalLoadTolerance = 0.1

// TwoChoicesPicker picks the less loaded of two random servers. Load reports
// arrive with a delay; always picking the least loaded server would send the
// requests of all instances to the same one until its next report.
type TwoChoicesPicker struct{}

// Pick implements Picker.
func (TwoChoicesPicker) Pick(req *Request, entries []Entry, rng *rand.Rand) (Choice, bool) {
	n := len(entries)
	if n == 1 {
		return Choice{Index: 0, Reason: PickedOnly, Alternative: -1}, true
	}
	a := rng.IntN(n)
	b := rng.IntN(n - 1)
	if b >= a {
		b++
	}
	return compare(req, entries, a, b), true
}

// compare picks the less loaded of two entries. If their loads are about equal, it
// picks the one in the request's failure domain, or else the first.
func compare(req *Request, entries []Entry, a, b int) Choice {
	if areEqual(req, &entries[a], &entries[b]) {
		return compareDomains(req, entries, a, b)
	}
	if entries[b].Load < entries[a].Load {
		a, b = b, a
	}
	return Choice{Index: a, Reason: PickedLowerLoad, Alternative: b, AlternativeReason: RejectedHigherLoad}
}

func areEqual(req *Request, a, b *Entry) bool {
	return math.Abs(a.Load-b.Load) <= equalLoadTolerance*(max(a.Load, b.Load)+cost(req, a))
}

func compareDomains(req *Request, entries []Entry, a, b int) Choice {
	sameDomainA, sameDomainB := isSameDomain(req, &entries[a]), isSameDomain(req, &entries[b])
	if sameDomainA == sameDomainB {
		return Choice{Index: a, Reason: PickedEqual, Alternative: b, AlternativeReason: RejectedEqual}
	}
	if sameDomainB {
		a, b = b, a
	}
	return Choice{Index: a, Reason: PickedDomain, Alternative: b, AlternativeReason: RejectedDomain}
}

func isSameDomain(req *Request, e *Entry) bool {
	return e.Server.Settings.FailureDomain == req.FailureDomain
}
