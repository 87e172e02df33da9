package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/basilrail/basilrail/internal/settings"
)

const (
	// cascadeRequests is the number of requests of the workload, which starts
	// without evidence.
	cascadeRequests = 100_000
	// cascadeRate is the arrival rate in requests per second.
	cascadeRate = 20
	// ratingShare is the rate of the rating service, as a fraction of the
	// rate of requests.
	ratingShare = 0.5
	// cascadeInstances is the number of instances; each receives a
	// random part of the requests and an equal share of the ratings.
	cascadeInstances = 8
	// expensivePassRate is the fraction of the expensive version's answers that
	// are acceptable.
	expensivePassRate = 0.99
	// qualityTarget is the fraction of answers that must be acceptable.
	qualityTarget = 0.95
)

var (
	cheapVersion     = settings.VersionRef{Model: "small", Version: "v1"}
	expensiveVersion = settings.VersionRef{Model: "large", Version: "v1"}

	cascadeVersions = []settings.VersionRef{cheapVersion, expensiveVersion}
)

// cascadeSettings sets the cost of the expensive version to ten times that of
// the cheap one.
func cascadeSettings() *settings.Snapshot {
	return settings.Compile(1, settings.Tree{Models: map[string]settings.Model{
		cheapVersion.Model:     {Versions: map[string]settings.Version{"v1": {InputCost: 100, OutputCost: 400}}},
		expensiveVersion.Model: {Versions: map[string]settings.Version{"v1": {InputCost: 1_000, OutputCost: 4_000}}},
	}})
}

// taskMix is one task of a mix.
type taskMix struct {
	name string
	// share is the fraction of requests that belong to the task.
	share float64
	// passRate is the fraction of the cheap version's answers that are acceptable.
	passRate float64
}

// mix is a workload made up of several tasks.
type mix struct {
	name  string
	tasks []taskMix
}

// The mixes are named after the percentage of requests for which the cheap
// version suffices.
var (
	mix70 = mix{name: "cheap suffices for 70", tasks: []taskMix{
		{name: "tag", share: 0.35, passRate: 0.985},
		{name: "summary", share: 0.30, passRate: 0.88},
		{name: "description", share: 0.15, passRate: 0.55},
		{name: "plan", share: 0.20, passRate: 0.05},
	}}
	mix20 = mix{name: "cheap suffices for 20", tasks: []taskMix{
		{name: "tag", share: 0.12, passRate: 0.98},
		{name: "summary", share: 0.06, passRate: 0.85},
		{name: "description", share: 0.07, passRate: 0.30},
		{name: "plan", share: 0.75, passRate: 0.01},
	}}
)

// cascadeRequest is one request. cheapOK and expensiveOK are whether each version's
// answer is acceptable; only the oracle uses them to choose a version without a rating.
type cascadeRequest struct {
	at           time.Time
	instance     int
	account      settings.AccountID
	task         string
	inputTokens  int
	outputTokens int
	cheapOK      bool
	expensiveOK  bool
}

// accountShares is the fraction of requests from each client account: three large
// ones and seven small ones.
var accountShares = []float64{0.3, 0.25, 0.2, 0.05, 0.05, 0.04, 0.04, 0.03, 0.02, 0.02}

const (
	// outlierAccount is a small client account whose requests of the task "tag"
	// differ from those of its team: the cheap version often fails on them.
	outlierAccount  = 8
	outlierPassRate = 0.8
	// passRateSpread is the standard deviation of the pass rates between
	// client accounts, on the logit scale.
	passRateSpread = 0.3
)

// generate draws the workload of a mix.
func (m mix) generate(seed uint64) []cascadeRequest {
	rng := rand.New(rand.NewPCG(seed, 70))
	passRates := m.passRates(rng)
	requests := make([]cascadeRequest, cascadeRequests)
	at := time.Unix(0, 0)
	for i := range requests {
		at = at.Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / cascadeRate))
		account := drawIndex(rng, accountShares)
		task := m.drawTask(rng)
		requests[i] = cascadeRequest{
			at:           at,
			instance:     rng.IntN(cascadeInstances),
			account:      accountID(account),
			task:         m.tasks[task].name,
			inputTokens:  int(300 * math.Exp(rng.NormFloat64()/2)),
			outputTokens: int(150 * math.Exp(rng.NormFloat64()/2)),
			cheapOK:      rng.Float64() < passRates[account][task],
			expensiveOK:  rng.Float64() < expensivePassRate,
		}
	}
	return requests
}

func accountID(i int) settings.AccountID {
	return settings.NewAccountID("shops", fmt.Sprintf("account-%d", i))
}

// passRates draws each client account's pass rate by task.
func (m mix) passRates(rng *rand.Rand) [][]float64 {
	table := make([][]float64, len(accountShares))
	for account := range table {
		table[account] = make([]float64, len(m.tasks))
		for i, task := range m.tasks {
			logit := math.Log(task.passRate/(1-task.passRate)) + passRateSpread*rng.NormFloat64()
			table[account][i] = 1 / (1 + math.Exp(-logit))
		}
	}
	table[outlierAccount][0] = outlierPassRate
	return table
}

func (m mix) drawTask(rng *rand.Rand) int {
	shares := make([]float64, len(m.tasks))
	for i, task := range m.tasks {
		shares[i] = task.share
	}
	return drawIndex(rng, shares)
}

// drawIndex draws an index with the given probabilities.
func drawIndex(rng *rand.Rand, shares []float64) int {
	draw := rng.Float64()
	for i, share := range shares {
		if draw -= share; draw < 0 {
			return i
		}
	}
	return len(shares) - 1
}
