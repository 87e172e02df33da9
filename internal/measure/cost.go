package measure

import (
	"fmt"
	"time"

	"github.com/basilrail/basilrail/internal/settings"
)

func init() { Register(10, "cost", measureCost) }

const (
	// maxOverOracle is the target for the ratio of cost to the oracle's.
	maxOverOracle = 1.15
	// maxOverExpensive is the target for the ratio of cost to that of always using
	// the expensive version. It matters in the mix where the cheap version seldom
	// suffices.
	maxOverExpensive = 1.05
	// outageStartOffset and outageEndOffset bound the outage of the rating service, as
	// times since the start of the run.
	outageStartOffset = 20 * time.Minute
	outageEndOffset   = 40 * time.Minute
)

// policyResult is the result of one policy on one workload.
type policyResult struct {
	cost       float64
	requests   int
	acceptable int
	byAccount  map[settings.AccountID]*answerCounts
	byTask     map[accountTask]*answerCounts
}

type accountTask struct {
	account settings.AccountID
	task    string
}

type answerCounts struct {
	requests   int
	acceptable int
}

func (t *policyResult) quality() float64 { return float64(t.acceptable) / float64(t.requests) }

// worst returns the client account with the lowest quality.
func (t *policyResult) worst() (account settings.AccountID, quality float64) {
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

func runCascade(requests []cascadeRequest, policy cascadePolicy) *policyResult {
	t := &policyResult{
		byAccount: make(map[settings.AccountID]*answerCounts),
		byTask:    make(map[accountTask]*answerCounts),
	}
	for i := range requests {
		r := &requests[i]
		cost, acceptable := policy.serve(r)
		t.cost += cost
		t.count(r, acceptable)
	}
	return t
}

func (t *policyResult) count(r *cascadeRequest, acceptable bool) {
	t.requests++
	if acceptable {
		t.acceptable++
	}
	countIn(t.byAccount, r.account, acceptable)
	countIn(t.byTask, accountTask{r.account, r.task}, acceptable)
}

func countIn[K comparable](counts map[K]*answerCounts, key K, acceptable bool) {
	a, ok := counts[key]
	if !ok {
		a = &answerCounts{}
		counts[key] = a
	}
	a.requests++
	if acceptable {
		a.acceptable++
	}
}

// worstTask returns the task of a client account with the lowest quality, and its
// number of requests.
func (t *policyResult) worstTask() (at accountTask, quality float64, requests int) {
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
	outage := rater{outageStart: time.Unix(0, 0).Add(outageStartOffset), outageEnd: time.Unix(0, 0).Add(outageEndOffset)}
	rows = append(rows, raterRow("rating service out for 20 of 83 minutes", outage, seed))
	return append(rows, raterRow("2% of ratings wrong", rater{wrongShare: 0.02}, seed))
}

func costRows(m mix, seed uint64) []Row {
	snap := cascadeSettings()
	requests := m.generate(seed)
	best := runCascade(requests, oracle{snap})
	expensive := runCascade(requests, alwaysExpensive{snap})
	first := runCascade(requests, newCheapFirst(snap))
	ours := runCascade(requests, newPlanned(snap, seed, rater{}))
	return []Row{
		costRow(m, best, expensive, first, ours),
		expensiveRow(m, expensive, ours),
		qualityRow(m, expensive, first, ours),
		accountRow(m, expensive, first, ours),
	}
}

func costRow(m mix, best, expensive, first, ours *policyResult) Row {
	ratio := ours.cost / best.cost
	return Row{
		Name: "cost, " + m.name,
		Baseline: fmt.Sprintf("always expensive %.3f x oracle, cheap first %.3f x (quality below target)",
			expensive.cost/best.cost, first.cost/best.cost),
		Ours:   fmt.Sprintf("%.3f x oracle", ratio),
		Target: fmt.Sprintf("<= %.2f x oracle", maxOverOracle),
		Pass:   ratio <= maxOverOracle,
		Note: fmt.Sprintf("%d requests starting without evidence, %d entry instances, ratings for %.0f%% of requests",
			cascadeRequests, cascadeInstances, 100*ratingShare),
	}
}

func expensiveRow(m mix, expensive, ours *policyResult) Row {
	ratio := ours.cost / expensive.cost
	return Row{
		Name:     "cost, " + m.name + ", against always expensive",
		Baseline: "1.000 x always expensive",
		Ours:     fmt.Sprintf("%.3f x always expensive", ratio),
		Target:   fmt.Sprintf("<= %.2f x always expensive", maxOverExpensive),
		Pass:     ratio <= maxOverExpensive,
	}
}

func qualityRow(m mix, expensive, first, ours *policyResult) Row {
	return Row{
		Name: "quality, " + m.name,
		Baseline: fmt.Sprintf("always expensive %.2f%%, cheap first %.2f%%",
			100*expensive.quality(), 100*first.quality()),
		Ours:   fmt.Sprintf("%.2f%%", 100*ours.quality()),
		Target: fmt.Sprintf(">= %.0f%%", 100*qualityTarget),
		Pass:   ours.quality() >= qualityTarget,
	}
}

func accountRow(m mix, expensive, first, ours *policyResult) Row {
	_, expensiveWorst := expensive.worst()
	_, firstWorst := first.worst()
	account, worst := ours.worst()
	task, worstTask, requests := ours.worstTask()
	return Row{
		Note: fmt.Sprintf("the worst task of a client account, %s of %s, has %.2f%% of %d requests acceptable",
			task.task, task.account, 100*worstTask, requests),
		Name:     "quality, " + m.name + ", worst client account",
		Baseline: fmt.Sprintf("always expensive %.2f%%, cheap first %.2f%%", 100*expensiveWorst, 100*firstWorst),
		Ours:     fmt.Sprintf("%.2f%% (%s)", 100*worst, account),
		Target:   fmt.Sprintf(">= %.0f%%", 100*qualityTarget),
		Pass:     worst >= qualityTarget,
	}
}

// raterRow runs the first mix with a faulty rating service.
func raterRow(fault string, r rater, seed uint64) Row {
	snap := cascadeSettings()
	requests := mix70.generate(seed)
	best := runCascade(requests, oracle{snap})
	expensive := runCascade(requests, alwaysExpensive{snap})
	ours := runCascade(requests, newPlanned(snap, seed, r))
	_, expensiveWorst := expensive.worst()
	account, worst := ours.worst()
	return Row{
		Name:     "quality, " + fault + ", worst client account",
		Baseline: fmt.Sprintf("always expensive %.2f%% at %.3f x oracle", 100*expensiveWorst, expensive.cost/best.cost),
		Ours:     fmt.Sprintf("%.2f%% (%s) at %.3f x oracle", 100*worst, account, ours.cost/best.cost),
		Target:   fmt.Sprintf(">= %.0f%%", 100*qualityTarget),
		Pass:     worst >= qualityTarget,
	}
}
