package measure

import (
	"fmt"
	"time"

	"github.com/basilrail/basilrail/internal/settings"
)

func init() { Register(10, "cost", measureCost) }

const (
	// maxOverOracle is the target of cost against the oracle's.
	maxOverOracle = 1.15
	// maxOverDear is the target of cost against always the dear version, in
	// the mix where the cheap one seldom suffices.
	maxOverDear = 1.05
	// outFrom and outUntil bound the outage of the rating service.
	outFrom  = 20 * time.Minute
	outUntil = 40 * time.Minute
)

// tally is the outcome of one policy on one workload.
type tally struct {
	cost       float64
	requests   int
	acceptable int
	byAccount  map[settings.AccountID]*accountTally
	byTask     map[accountTask]*accountTally
}

type accountTask struct {
	account settings.AccountID
	task    string
}

type accountTally struct {
	requests   int
	acceptable int
}

func (t *tally) quality() float64 { return float64(t.acceptable) / float64(t.requests) }

// worst returns the client account with the lowest quality.
func (t *tally) worst() (account settings.AccountID, quality float64) {
	quality = 2
	for i := range accountShares {
		id := accountID(i)
		a := t.byAccount[id]
		if q := float64(a.acceptable) / float64(a.requests); q < quality {
			account, quality = id, q
		}
	}
	return account, quality
}

func runCascade(requests []cascadeRequest, policy cascadePolicy) *tally {
	t := &tally{
		byAccount: make(map[settings.AccountID]*accountTally),
		byTask:    make(map[accountTask]*accountTally),
	}
	for i := range requests {
		r := &requests[i]
		cost, acceptable := policy.serve(r)
		t.cost += cost
		t.count(r, acceptable)
	}
	return t
}

func (t *tally) count(r *cascadeRequest, acceptable bool) {
	t.requests++
	if acceptable {
		t.acceptable++
	}
	countIn(t.byAccount, r.account, acceptable)
	countIn(t.byTask, accountTask{r.account, r.task}, acceptable)
}

func countIn[K comparable](tallies map[K]*accountTally, key K, acceptable bool) {
	a, ok := tallies[key]
	if !ok {
		a = &accountTally{}
		tallies[key] = a
	}
	a.requests++
	if acceptable {
		a.acceptable++
	}
}

// worstTask returns the lowest quality of a client account's task.
func (t *tally) worstTask() (at accountTask, quality float64, requests int) {
	quality = 2
	for key, a := range t.byTask {
		if q := float64(a.acceptable) / float64(a.requests); q < quality {
			at, quality, requests = key, q, a.requests
		}
	}
	return at, quality, requests
}

func measureCost(seed uint64) []Row {
	rows := costRows(mix70, seed)
	rows = append(rows, costRows(mix20, seed)...)
	outage := rater{outFrom: time.Unix(0, 0).Add(outFrom), outUntil: time.Unix(0, 0).Add(outUntil)}
	rows = append(rows, raterRow("rating service out for 20 of 83 minutes", outage, seed))
	return append(rows, raterRow("2 in 100 ratings wrong", rater{wrong: 0.02}, seed))
}

func costRows(m mix, seed uint64) []Row {
	snap := cascadeSettings()
	requests := m.generate(seed)
	best := runCascade(requests, oracle{snap})
	dear := runCascade(requests, alwaysDear{snap})
	first := runCascade(requests, newCheapFirst(snap))
	ours := runCascade(requests, newPlanned(snap, seed, rater{}))
	return []Row{
		costRow(m, best, dear, first, ours),
		dearRow(m, dear, ours),
		qualityRow(m, dear, first, ours),
		accountRow(m, dear, first, ours),
	}
}

func costRow(m mix, best, dear, first, ours *tally) Row {
	ratio := ours.cost / best.cost
	return Row{
		Name: "cost, " + m.name,
		Baseline: fmt.Sprintf("always dear %.3f x oracle, cheap first %.3f x (quality short)",
			dear.cost/best.cost, first.cost/best.cost),
		Ours:   fmt.Sprintf("%.3f x oracle", ratio),
		Target: fmt.Sprintf("<= %.2f x oracle", maxOverOracle),
		Pass:   ratio <= maxOverOracle,
		Note: fmt.Sprintf("%d requests from an empty start, %d entries, ratings for %.0f in 100 requests",
			cascadeRequests, cascadeEntries, 100*ratingShare),
	}
}

func dearRow(m mix, dear, ours *tally) Row {
	ratio := ours.cost / dear.cost
	return Row{
		Name:     "cost, " + m.name + ", against always dear",
		Baseline: "1.000 x always dear",
		Ours:     fmt.Sprintf("%.3f x always dear", ratio),
		Target:   fmt.Sprintf("<= %.2f x always dear", maxOverDear),
		Pass:     ratio <= maxOverDear,
	}
}

func qualityRow(m mix, dear, first, ours *tally) Row {
	return Row{
		Name: "quality, " + m.name,
		Baseline: fmt.Sprintf("always dear %.2f, cheap first %.2f in 100",
			100*dear.quality(), 100*first.quality()),
		Ours:   fmt.Sprintf("%.2f in 100", 100*ours.quality()),
		Target: fmt.Sprintf(">= %.0f in 100", 100*qualityTarget),
		Pass:   ours.quality() >= qualityTarget,
	}
}

func accountRow(m mix, dear, first, ours *tally) Row {
	_, dearWorst := dear.worst()
	_, firstWorst := first.worst()
	account, worst := ours.worst()
	task, worstTask, requests := ours.worstTask()
	return Row{
		Note: fmt.Sprintf("the worst task of a client account, %s of %s, has %.2f in 100 of %d requests",
			task.task, task.account, 100*worstTask, requests),
		Name:     "quality, " + m.name + ", worst client account",
		Baseline: fmt.Sprintf("always dear %.2f, cheap first %.2f in 100", 100*dearWorst, 100*firstWorst),
		Ours:     fmt.Sprintf("%.2f in 100 (%s)", 100*worst, account),
		Target:   fmt.Sprintf(">= %.0f in 100", 100*qualityTarget),
		Pass:     worst >= qualityTarget,
	}
}

// raterRow runs the first mix with a rating service that has a fault.
func raterRow(fault string, r rater, seed uint64) Row {
	snap := cascadeSettings()
	requests := mix70.generate(seed)
	best := runCascade(requests, oracle{snap})
	dear := runCascade(requests, alwaysDear{snap})
	ours := runCascade(requests, newPlanned(snap, seed, r))
	_, dearWorst := dear.worst()
	account, worst := ours.worst()
	return Row{
		Name:     "quality, " + fault + ", worst client account",
		Baseline: fmt.Sprintf("always dear %.2f in 100 at %.3f x oracle", 100*dearWorst, dear.cost/best.cost),
		Ours:     fmt.Sprintf("%.2f in 100 (%s) at %.3f x oracle", 100*worst, account, ours.cost/best.cost),
		Target:   fmt.Sprintf(">= %.0f in 100", 100*qualityTarget),
		Pass:     worst >= qualityTarget,
	}
}
