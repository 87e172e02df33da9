package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/basilrail/basilrail/internal/settings"
)

const (
	// cascadeRequests is the length of the workload, from an empty start.
	cascadeRequests = 100_000
	// cascadeRate is the arrival rate in requests per second.
	cascadeRate = 20
	// ratingShare is the rate of the rating service, as a fraction of the
	// rate of requests.
	ratingShare = 0.5
	// cascadeEntries is the number of entry instances; each sees a random
	// part of the requests and has an equal part of the ratings.
	cascadeEntries = 8
	// dearPass is how often the dear version's answer is acceptable.
	dearPass = 0.99
	// qualityTarget is the fraction of answers that must be acceptable.
	qualityTarget = 0.95
)

var (
	cheapVersion = settings.VersionRef{Model: "small", Version: "v1"}
	dearVersion  = settings.VersionRef{Model: "large", Version: "v1"}

	cascadeVersions = []settings.VersionRef{cheapVersion, dearVersion}
)

// cascadeSettings prices the dear version at ten times the cheap one.
func cascadeSettings() *settings.Snapshot {
	return settings.Compile(1, settings.Tree{Models: map[string]settings.Model{
		cheapVersion.Model: {Versions: map[string]settings.Version{"v1": {InputCost: 100, OutputCost: 400}}},
		dearVersion.Model:  {Versions: map[string]settings.Version{"v1": {InputCost: 1_000, OutputCost: 4_000}}},
	}})
}

// taskMix is one task of a mix.
type taskMix struct {
	name string
	// share is the fraction of requests that are of the task.
	share float64
	// pass is how often the cheap version's answer is acceptable.
	pass float64
}

// mix is a mix of tasks.
type mix struct {
	name  string
	tasks []taskMix
}

// The mixes, by how many requests in 100 the cheap version suffices for.
var (
	mix70 = mix{name: "cheap suffices for 70", tasks: []taskMix{
		{name: "tag", share: 0.35, pass: 0.985},
		{name: "summary", share: 0.30, pass: 0.88},
		{name: "description", share: 0.15, pass: 0.55},
		{name: "plan", share: 0.20, pass: 0.05},
	}}
	mix20 = mix{name: "cheap suffices for 20", tasks: []taskMix{
		{name: "tag", share: 0.12, pass: 0.98},
		{name: "summary", share: 0.06, pass: 0.85},
		{name: "description", share: 0.07, pass: 0.30},
		{name: "plan", share: 0.75, pass: 0.01},
	}}
)

// cascadeRequest is one request, with what only the oracle knows.
type cascadeRequest struct {
	at           time.Time
	entry        int
	account      settings.AccountID
	task         string
	inputTokens  int
	outputTokens int
	cheapOK      bool
	dearOK       bool
}

// account weights: three large client accounts and seven small ones.
var accountShares = []float64{0.3, 0.25, 0.2, 0.05, 0.05, 0.04, 0.04, 0.03, 0.02, 0.02}

const (
	// oddAccount is a small client account whose tags differ from its team's:
	// the cheap version often fails on them.
	oddAccount     = 8
	oddAccountPass = 0.8
	// accountSpread is the standard deviation of the pass chances between
	// client accounts, on the logistic scale.
	accountSpread = 0.3
)

// generate draws the workload of a mix.
func (m mix) generate(seed uint64) []cascadeRequest {
	rng := rand.New(rand.NewPCG(seed, 70))
	chances := m.chances(rng)
	requests := make([]cascadeRequest, cascadeRequests)
	at := time.Unix(0, 0)
	for i := range requests {
		at = at.Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / cascadeRate))
		account := drawIndex(rng, accountShares)
		task := m.drawTask(rng)
		requests[i] = cascadeRequest{
			at:           at,
			entry:        rng.IntN(cascadeEntries),
			account:      accountID(account),
			task:         m.tasks[task].name,
			inputTokens:  int(300 * math.Exp(rng.NormFloat64()/2)),
			outputTokens: int(150 * math.Exp(rng.NormFloat64()/2)),
			cheapOK:      rng.Float64() < chances[account][task],
			dearOK:       rng.Float64() < dearPass,
		}
	}
	return requests
}

func accountID(i int) settings.AccountID {
	return settings.NewAccountID("shops", fmt.Sprintf("account-%d", i))
}

// chances draws each client account's pass chance by task.
func (m mix) chances(rng *rand.Rand) [][]float64 {
	table := make([][]float64, len(accountShares))
	for account := range table {
		table[account] = make([]float64, len(m.tasks))
		for i, task := range m.tasks {
			logit := math.Log(task.pass/(1-task.pass)) + accountSpread*rng.NormFloat64()
			table[account][i] = 1 / (1 + math.Exp(-logit))
		}
	}
	table[oddAccount][0] = oddAccountPass
	return table
}

func (m mix) drawTask(rng *rand.Rand) int {
	shares := make([]float64, len(m.tasks))
	for i, task := range m.tasks {
		shares[i] = task.share
	}
	return drawIndex(rng, shares)
}

// drawIndex draws an index with the given chances.
func drawIndex(rng *rand.Rand, shares []float64) int {
	draw := rng.Float64()
	for i, share := range shares {
		if draw -= share; draw < 0 {
			return i
		}
	}
	return len(shares) - 1
}
