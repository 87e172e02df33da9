package poison

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/basilrail/basilrail/internal/fleet"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/peers/membus"
)

// BenchmarkRequest measures the overhead of the tracker for an answered request of 20
// events, without verdicts.
func BenchmarkRequest(b *testing.B) {
	t := newTracker(membus.New(), "i0")
	parts := []Part{first, subject, otherSubject}
	_, cancel := context.WithCancel(b.Context())
	defer cancel()
	b.ReportAllocs()
	for b.Loop() {
		t.Refused(parts)
		a := t.Begin(fleet.Process{ID: "s1"}, parts, cancel)
		for range 20 {
			a.Received()
		}
		a.Answered()
	}
}

// fullEvidence returns as much evidence as the bounds allow, of 64 requests a crash.
func fullEvidence() *evidence {
	e, rng := newEvidence(), rand.New(rand.NewPCG(1, 1))
	for i := range maxCrashes {
		var requests []partSet
		for range maxRequestsPerCrash {
			requests = append(requests, newPartSet([]Part{Part(rng.IntN(20)), Part(100 + rng.IntN(2000)), Part(rng.Uint64())}))
		}
		e.addCrash(fleet.Process{ID: fmt.Sprint("s", i)}, time.Now().Add(time.Duration(i)*separateCrashes), requests)
	}
	return e
}

// BenchmarkFindings measures one judgement at the bounds of the evidence.
func BenchmarkFindings(b *testing.B) {
	e := fullEvidence()
	b.ReportAllocs()
	for b.Loop() {
		e.findings()
	}
}

// TestCrashReportSize keeps the largest report on a crash small enough for the smallest
// links: 64 requests of three parts.
func TestCrashReportSize(t *testing.T) {
	const maxBytes = 2 << 10
	i := &interruption{at: time.Now()}
	for range maxRequestsPerCrash {
		i.requests = append(i.requests, newPartSet([]Part{1 << 40, 2 << 40, 3 << 40}))
	}
	body, err := cbor.Marshal(message{Crashes: []crashReport{newCrashReport(fleet.Process{ID: "i-7f3a91c2aa", Started: 1_790_000_000_000}, i)}})
	require.NoError(t, err)
	t.Logf("%d bytes", len(body))
	require.LessOrEqual(t, len(body), maxBytes)
}
