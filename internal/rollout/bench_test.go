package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/basilrail/basilrail/internal/peers/membus"
	"github.com/basilrail/basilrail/internal/settings"
)

func BenchmarkChoose(b *testing.B) {
	s := settings.Compile(1, tree(map[string]settings.Rollout{"to-2": toTwo(settings.RolloutRunning, 1)}))
	view := NewView(s, nil)
	b.ReportAllocs()
	for b.Loop() {
		Choose(s, view, account, "a-session-id", model, true)
	}
}

// BenchmarkJudge looks at the evidence of 1,200 entry instances once.
func BenchmarkJudge(b *testing.B) {
	const entries = 1200
	s := settings.Compile(1, tree(map[string]settings.Rollout{"to-2": toTwo(settings.RolloutRunning, 1)}))
	c := New(Options{Bus: membus.New().Join("entry-0", "a"), Rand: rand.New(rand.NewPCG(1, 1))})
	for i := range entries {
		for _, trial := range []Trial{{Team: "shops", Ref: ref("2"), Rollout: "to-2"}, {Team: "shops", Ref: ref("1")}} {
			c.pool.set(trial, source{entry: fmt.Sprint(i)}, Counts{Good: 100, Bad: 1}, time.Now())
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		c.judge(s)
	}
}

// BenchmarkReceive takes in one evidence row of a known instance.
func BenchmarkReceive(b *testing.B) {
	p := newPool()
	trial := Trial{Team: "shops", Ref: ref("2"), Rollout: "to-2"}
	now := time.Now()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		p.set(trial, source{entry: "entry-1"}, Counts{Good: uint64(i)}, now)
	}
}
