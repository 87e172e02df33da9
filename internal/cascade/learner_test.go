package cascade

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/settings"
)

var start = time.Unix(1_000, 0)

func keyOf(account settings.AccountID) Key {
	return Key{Account: account, Task: "tag", Version: small}
}

// observe records n ratings of which every badEvery-th is bad; zero means none.
func observe(l *Learner, key Key, n, badEvery int) {
	for i := 1; i <= n; i++ {
		l.Observe(start, key, badEvery == 0 || i%badEvery != 0)
	}
}

func TestEstimateNarrowsWithEvidence(t *testing.T) {
	l := NewLearner()
	before := l.Estimate(start, keyOf("t/a"))
	observe(l, keyOf("t/a"), 400, 50)
	after := l.Estimate(start, keyOf("t/a"))
	assert.Less(t, before.Lower, 0.3)
	assert.Greater(t, after.Lower, 0.95)
	assert.InDelta(t, 0.98, after.Mean, 0.01)
}

func TestTeamEvidenceAloneProvesNoVersion(t *testing.T) {
	l := NewLearner()
	for i := range 20 {
		observe(l, keyOf(settings.AccountID(fmt.Sprint("t/big", i))), 400, 0)
	}
	fresh := l.Estimate(start, keyOf("t/small"))
	assert.Greater(t, fresh.Mean, 0.9, "the team's evidence raises the mean")
	assert.Less(t, fresh.Lower, 0.95, "only the account's own answers prove the version")

	observe(l, keyOf("t/small"), 60, 3)
	assert.Less(t, l.Estimate(start, keyOf("t/small")).Upper, 0.9, "own evidence outweighs the team's")
}

func TestEvidenceDecays(t *testing.T) {
	l := NewLearner()
	observe(l, keyOf("t/a"), 400, 0)
	later := l.Estimate(start.Add(48*time.Hour), keyOf("t/a"))
	assert.Less(t, later.Lower, 0.95)
	assert.Less(t, later.Weight, 40.0)
}

func TestDriftIsDetectedWithinTenRatings(t *testing.T) {
	l := NewLearner()
	observe(l, keyOf("t/a"), 1_000, 100)
	require.Greater(t, l.Estimate(start, keyOf("t/a")).Lower, 0.95)
	bad := 0
	for l.Estimate(start, keyOf("t/a")).Lower >= 0.95 {
		l.Observe(start, keyOf("t/a"), bad%2 == 1)
		bad++
		require.Less(t, bad, 10, "a version with half of its answers bad must fall below the target")
	}
}

func TestMergeCountsPeerEvidenceOnce(t *testing.T) {
	a, b := NewLearner(), NewLearner()
	observe(a, keyOf("t/a"), 100, 10)
	message := a.TakeUnsent(start, 10)

	assert.Equal(t, 1, b.Merge(start, "a", message))
	assert.Equal(t, a.Estimate(start, keyOf("t/a")), b.Estimate(start, keyOf("t/a")))
	assert.Zero(t, b.Merge(start, "a", message), "a repeated message counts once")
	assert.Empty(t, a.TakeUnsent(start, 10).Items, "evidence is sent once")
	assert.Empty(t, b.TakeUnsent(start, 10).Items, "evidence from peers is not forwarded")

	restarted := NewLearner()
	observe(restarted, keyOf("t/a"), 1, 0)
	assert.Equal(t, 1, b.Merge(start, "a", restarted.TakeUnsent(start.Add(time.Second), 10)), "messages of a restarted sender are accepted")
}

func TestMergeSkipsInvalidItems(t *testing.T) {
	l := NewLearner()
	items := []Item{
		{Account: "t/a", Version: "small@v1", Pass: 2, Total: 1},
		{Account: "t/a", Version: "small@v1", Pass: -1, Total: 1},
		{Account: "t/a", Version: "small@v1", Pass: math.NaN(), Total: 1},
		{Account: "t/a", Version: "small@v1", Pass: 1, Total: math.Inf(1)},
		{Account: "t/a", Version: "small", Pass: 1, Total: 1},
	}
	assert.Zero(t, l.Merge(start, "a", Evidence{Sequence: 1, Items: items}))
}

func TestLearnerMemoryIsBounded(t *testing.T) {
	l := NewLearner()
	for i := range maxKeys + 1_000 {
		l.Observe(start, keyOf(settings.AccountID(fmt.Sprint("t/", i))), true)
	}
	assert.LessOrEqual(t, l.records.Len(), maxKeys)
	assert.LessOrEqual(t, len(l.unsent), maxUnsent)
}

func TestBudget(t *testing.T) {
	b := NewBudget(1)
	assert.Equal(t, 1.0, b.Fill(start))
	for range 20 {
		assert.True(t, b.Take(start))
	}
	assert.False(t, b.Take(start))
	assert.True(t, b.Take(start.Add(time.Second)))

	for range maxConsecutiveFailures {
		assert.True(t, b.Available(start))
		b.Observe(start, false)
	}
	assert.False(t, b.Available(start))
	assert.True(t, b.Available(start.Add(unavailableTime)), "the service is tried again")
	b.Observe(start.Add(unavailableTime), false)
	assert.False(t, b.Available(start.Add(unavailableTime)), "one failure then makes it unavailable")
}
