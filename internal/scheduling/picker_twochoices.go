package scheduling

import (
	"math"
	"math/rand/v2"
)

// equalLoads is the relative difference below which two loads count as equal.
const equalLoads = 0.1

// TwoChoicesPicker compares two random servers and takes the less loaded. Loads
// are known late; always taking the least loaded would send every entry to the
// same server until the next report.
type TwoChoicesPicker struct{}

// Pick implements Picker.
func (TwoChoicesPicker) Pick(req *Request, entries []Entry, rng *rand.Rand) (Choice, bool) {
	n := len(entries)
	if n == 1 {
		return Choice{Index: 0, Why: TakenOnly, Rival: -1}, true
	}
	a := rng.IntN(n)
	b := rng.IntN(n - 1)
	if b >= a {
		b++
	}
	return compare(req, entries, a, b), true
}

// compare takes the less loaded of two entries, or of two about equally loaded
// the one in the request's failure domain, or else the first.
func compare(req *Request, entries []Entry, a, b int) Choice {
	if areEqual(req, &entries[a], &entries[b]) {
		return compareDomains(req, entries, a, b)
	}
	if entries[b].Load < entries[a].Load {
		a, b = b, a
	}
	return Choice{Index: a, Why: TakenLowerLoad, Rival: b, RivalWhy: RejectedHigherLoad}
}

func areEqual(req *Request, a, b *Entry) bool {
	return math.Abs(a.Load-b.Load) <= equalLoads*(max(a.Load, b.Load)+cost(req, a))
}

func compareDomains(req *Request, entries []Entry, a, b int) Choice {
	nearA, nearB := isNear(req, &entries[a]), isNear(req, &entries[b])
	if nearA == nearB {
		return Choice{Index: a, Why: TakenEqual, Rival: b, RivalWhy: RejectedEqual}
	}
	if nearB {
		a, b = b, a
	}
	return Choice{Index: a, Why: TakenDomain, Rival: b, RivalWhy: RejectedDomain}
}

func isNear(req *Request, e *Entry) bool {
	return e.Server.Settings.FailureDomain == req.FailureDomain
}
