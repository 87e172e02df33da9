package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/gateway"
	"github.com/basilrail/basilrail/internal/quarantine"
	"github.com/basilrail/basilrail/internal/standin/engine"
)

// quarantinedAfter are suspects of which every content is quarantined after so many checks.
type quarantinedAfter struct {
	gateway.Suspects
	checks int
}

// Check implements gateway.Suspects.
func (s *quarantinedAfter) Check(fp quarantine.Fingerprint) quarantine.Verdict {
	s.checks--
	if s.checks < 0 {
		return quarantine.Verdict{Quarantined: true, Until: time.Now().Add(time.Hour)}
	}
	return s.Suspects.Check(fp)
}

// TestContentQuarantinedWhileItWaitsIsNotSent guards against a content that crashes a further server because it was quarantined
// while its request waited in the queue.
func TestContentQuarantinedWhileItWaitsIsNotSent(t *testing.T) {
	inFleet(t, 1, func(f *fleet) {
		f.instances[0].gateway.Suspects = &quarantinedAfter{Suspects: f.instances[0].gateway.Suspects, checks: 1}
		got := f.chat(0, shopA, "tagger@v1", "oak wardrobe")
		require.NotNil(t, got.refusal(), string(got.body))
		assert.Equal(t, apierror.CodeQuarantined, got.refusal().Code)
		assert.Equal(t, apierror.NotRun, got.refusal().Execution)
		assert.False(t, f.reachedBackend(got.header.Get(gateway.HeaderRequestID)))
	})
}

// TestStreamOfAQuarantinedContentIsNotResumed guards against a content that crashes a further server because a resume didn't ask
// whether it may be sent.
func TestStreamOfAQuarantinedContentIsNotResumed(t *testing.T) {
	inFleet(t, 1, func(f *fleet) {
		for id, e := range f.engines {
			if !f.instances[0].data.Snapshot().Servers[id].Settings.Traits.ResumesStreams {
				e.SetFaults(engine.Faults{Draining: true})
				continue
			}
			e.SetFaults(engine.Faults{CutAfterChunks: 10})
		}
		time.Sleep(settleTime)
		// The first attempt checks the content before and after its wait.
		f.instances[0].gateway.Suspects = &quarantinedAfter{Suspects: f.instances[0].gateway.Suspects, checks: 2}
		got := f.streamChat(0, shopA, "tagger@v1", "oak wardrobe")
		assert.False(t, isComplete(got), string(got.body))
		assert.Contains(t, string(got.body), string(apierror.CodeQuarantined))
	})
}
