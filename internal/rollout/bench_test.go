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
	s := settings.Compile(1, tree(map[string]settings.Rollout{"to-2": rolloutToVersion2(settings.RolloutRunning, 1)}))
	view := NewView(s, nil)
	b.ReportAllocs()
	for b.Loop() {
		Choose(s, view, account, "a-session-id", model, true)
	}
}

// BenchmarkJudge evaluates the evidence of 1,200 instances.
func BenchmarkJudge(b *testing.B) {
	const instances = 1200
	s := settings.Compile(1, tree(map[string]settings.Rollout{"to-2": rolloutToVersion2(settings.RolloutRunning, 1)}))
	c := New(Options{Bus: membus.New().Join("entry-0", "a"), Rand: rand.New(rand.NewPCG(1, 1))})
	for i := range instances {
		for _, key := range []EvidenceKey{{Team: "shops", Ref: ref("2"), Rollout: "to-2"}, {Team: "shops", Ref: ref("1")}} {
			c.evidence.update(key, source{instance: fmt.Sprint(i)}, Counts{Good: 100, Bad: 1}, time.Now())
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		c.judge(s)
	}
}

// BenchmarkReceive merges one evidence row of a known instance.
func BenchmarkReceive(b *testing.B) {
	e := newEvidenceStore()
	key := EvidenceKey{Team: "shops", Ref: ref("2"), Rollout: "to-2"}
	now := time.Now()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		e.update(key, source{instance: "entry-1"}, Counts{Good: uint64(i)}, now)
	}
}
