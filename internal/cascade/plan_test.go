package cascade

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/settings"
)

var (
	small = settings.VersionRef{Model: "small", Version: "v1"}
	mid   = settings.VersionRef{Model: "mid", Version: "v1"}
	large = settings.VersionRef{Model: "large", Version: "v1"}
)

func estimate(mean, margin float64) Estimate {
	return Estimate{Mean: mean, Lower: mean - margin, Upper: mean + margin, Weight: 500}
}

func TestBuild(t *testing.T) {
	full := Rating{Available: true, Fill: 1}
	proven := estimate(0.98, 0.01)
	useful := estimate(0.7, 0.05)
	trusted := Candidate{Ref: large, Cost: 1_000, Duration: 4 * time.Second, Trusted: true}

	testCases := []struct {
		desc      string
		pass      Estimate
		rating    Rating
		remaining time.Duration
		want      []Step
		reason    Reason
	}{
		{
			desc: "a proven version serves unjudged", pass: proven, rating: full,
			want: []Step{{Ref: small}}, reason: ServesProven,
		},
		{
			desc: "a useful version is judged", pass: useful, rating: full,
			want: []Step{{Ref: small, Judge: true}, {Ref: large}}, reason: TriedAndJudged,
		},
		{
			desc: "a high mean without evidence is judged", rating: full,
			pass: Estimate{Mean: 0.98, Lower: 0.7, Upper: 1, Weight: 10},
			want: []Step{{Ref: small, Judge: true}, {Ref: large}}, reason: TriedAndJudged,
		},
		{
			desc: "a version that mostly fails is left out", pass: estimate(0.05, 0.02), rating: full,
			want: []Step{{Ref: large}}, reason: SkippedCost,
		},
		{
			desc: "a version that mostly fails is tried while evidence is scarce", rating: full,
			pass: Estimate{Mean: 0.05, Lower: 0, Upper: 0.3, Weight: 10},
			want: []Step{{Ref: small, Judge: true}, {Ref: large}}, reason: TriedAndJudged,
		},
		{
			desc: "without ratings the trusted version serves in place of an unproven one", pass: useful,
			want: []Step{{Ref: large}}, reason: SkippedNoRating,
		},
		{
			desc: "without ratings the last estimates are used", pass: proven,
			want: []Step{{Ref: small}}, reason: ServesProven,
		},
		{
			desc: "a scarce budget is not spent where it saves little", pass: estimate(0.3, 0.05),
			rating: Rating{Available: true, Fill: 0.5},
			want:   []Step{{Ref: large}}, reason: SkippedCost,
		},
		{
			desc: "a scarce budget is spent where it saves much", pass: useful,
			rating: Rating{Available: true, Fill: 0.5},
			want:   []Step{{Ref: small, Judge: true}, {Ref: large}}, reason: TriedAndJudged,
		},
		{
			desc: "no time for two attempts", pass: useful, rating: full, remaining: 4500 * time.Millisecond,
			want: []Step{{Ref: large}}, reason: SkippedCost,
		},
		{
			desc: "no time for any attempt that meets the target", pass: useful, rating: full, remaining: 2 * time.Second,
			want: []Step{{Ref: small}}, reason: ServesBest,
		},
	}
	for _, test := range testCases {
		t.Run(test.desc, func(t *testing.T) {
			cheap := Candidate{Ref: small, Cost: 100, Duration: time.Second, Pass: test.pass}
			plan := Build(Input{
				Candidates: []Candidate{cheap, trusted}, Target: 0.95,
				Remaining: test.remaining, Rating: test.rating, Draw: 0.99,
			})
			assert.Equal(t, test.want, plan.Steps)
			assert.Equal(t, Verdict{Ref: small, Reason: test.reason}, plan.Verdicts[0])
			assert.Equal(t, test.reason != ServesBest, plan.MeetsTarget)
		})
	}
}

func TestBuildOfThreeVersions(t *testing.T) {
	in := Input{
		Candidates: []Candidate{
			{Ref: small, Cost: 100, Pass: estimate(0.6, 0.05)},
			{Ref: mid, Cost: 300, Pass: estimate(0.9, 0.02)},
			{Ref: large, Cost: 3_000, Trusted: true},
		},
		Target: 0.95, Rating: Rating{Available: true, Fill: 1}, Draw: 0.99,
	}
	plan := Build(in)
	assert.Equal(t, []Step{{Ref: small, Judge: true}, {Ref: mid, Judge: true}, {Ref: large}}, plan.Steps)
	assert.Equal(t, settings.MicroUnits(100+0.4*300+0.4*0.1*3_000), plan.ExpectedCost)
}

func TestBuildSamplesUnjudgedAnswers(t *testing.T) {
	in := Input{
		Candidates: []Candidate{{Ref: small, Cost: 100, Pass: estimate(0.99, 0.01)}, {Ref: large, Cost: 1_000, Trusted: true}},
		Target:     0.95, Rating: Rating{Available: true, Fill: 1}, Draw: 0.01,
	}
	assert.Equal(t, []Step{{Ref: small, Sample: true}}, Build(in).Steps)
	in.Rating.Fill = 0.1
	assert.Equal(t, []Step{{Ref: small}}, Build(in).Steps, "the rest of the budget is reserved for judging")
}

func TestBuildWithoutCandidates(t *testing.T) {
	assert.Empty(t, Build(Input{Target: 0.95}).Steps)
}
