package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/retry"
)

// constantPaths reaches all servers or none.
type constantPaths bool

func (p constantPaths) Check(context.Context, string) bool { return bool(p) }

// faultRecorder counts what an instance reports about servers and releases.
type faultRecorder struct {
	noReleases
	notices, observed int
}

func (r *faultRecorder) NotifyUnreachable(*fleet.Server) { r.notices++ }
func (r *faultRecorder) NotifySilent(*fleet.Server)      { r.notices++ }
func (r *faultRecorder) Observe(Observation)             { r.observed++ }

// TestFaultsOfLinksAreNotReportedAsFaultsOfServers guards against ejections, notices, evidence
// against releases and accused contents that come from an instance which reaches no server.
func TestFaultsOfLinksAreNotReportedAsFaultsOfServers(t *testing.T) {
	for _, c := range []struct {
		name     string
		outcome  retry.Outcome
		link     LinkState
		reaches  bool
		ejected  bool
		observed int
		accused  bool
	}{
		{name: "connect failed, cut off", outcome: retry.OutcomeConnectFailed, link: LinkLost},
		{name: "connect failed, others accept", outcome: retry.OutcomeConnectFailed, link: LinkSound, ejected: true},
		{name: "timeout, cut off", outcome: retry.OutcomeTimeout},
		{name: "timeout, reached", outcome: retry.OutcomeTimeout, reaches: true, ejected: true, observed: 1},
		{name: "timeout through a relay", outcome: retry.OutcomeTimeout, link: LinkLost, reaches: true},
		{name: "disconnected, cut off", outcome: retry.OutcomeDisconnected},
		{name: "disconnected, reached", outcome: retry.OutcomeDisconnected, reaches: true, accused: true},
		{name: "relay lost", outcome: retry.OutcomeDisconnected, link: LinkLost, reaches: true},
		{name: "disconnected from a relay", outcome: retry.OutcomeDisconnected, link: LinkSound, accused: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			recorder := &faultRecorder{}
			fails := func(context.Context, *Attempt) (Answer, error) {
				return nil, NewSendError(c.outcome, errTest).WithLink(c.link)
			}
			setup := newSetup(fails)
			d := setup.d
			d.Notifier, d.Releases = recorder, recorder
			d.Paths = constantPaths(c.reaches)
			setup.serve("/book/")
			ejected := 0
			for _, s := range d.Fleet.Snapshot().Servers("web") {
				if !s.Available(time.Now()) {
					ejected++
				}
			}
			assert.Equal(t, c.ejected, ejected > 0, "ejected")
			assert.Equal(t, c.ejected, recorder.notices > 0, "notices")
			// Other attempts than timeouts are observed as neither failed nor slow.
			if c.outcome == retry.OutcomeTimeout {
				assert.Equal(t, c.observed, recorder.observed)
			}
			assert.Equal(t, c.accused, !d.Disconnects.Empty(), "accused content")
		})
	}
}
