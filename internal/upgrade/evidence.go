package upgrade

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/dispatch"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/storefeed"
)

// variant is the old or the new release of an upgrade.
type variant uint8

const (
	variantOld variant = iota
	variantNew
	// variantUnderLoad counts again the answers of the new release since all requests moved
	// to it. Earlier builds ignore it.
	variantUnderLoad
)

// evidenceKey identifies the counts of answers on one route by one release.
type evidenceKey struct {
	Route   string  `cbor:"1,keyasint"`
	Variant variant `cbor:"2,keyasint"`
}

// name returns what the key covers, in words.
func (k evidenceKey) name() string {
	if k.Route == "" {
		return "all routes"
	}
	return "route " + k.Route
}

// answerCounts are numbers of answers of one release.
type answerCounts struct {
	Answers uint64 `cbor:"1,keyasint"`
	// Failed are the failures among them.
	Failed uint64 `cbor:"2,keyasint"`
	// Timed are the others whose latency could be compared with a baseline, Slow and
	// VerySlow those above its quantiles, and Outliers those above a multiple of its
	// median.
	Timed    uint64 `cbor:"3,keyasint"`
	Slow     uint64 `cbor:"4,keyasint"`
	VerySlow uint64 `cbor:"5,keyasint"`
	Outliers uint64 `cbor:"6,keyasint"`
}

func (c answerCounts) plus(o answerCounts) answerCounts {
	return answerCounts{
		Answers: c.Answers + o.Answers, Failed: c.Failed + o.Failed,
		Timed: c.Timed + o.Timed, Slow: c.Slow + o.Slow, VerySlow: c.VerySlow + o.VerySlow, Outliers: c.Outliers + o.Outliers,
	}
}

// minus returns the difference to earlier counts; the totals only increase.
func (c answerCounts) minus(o answerCounts) answerCounts {
	return answerCounts{
		Answers: c.Answers - o.Answers, Failed: c.Failed - o.Failed,
		Timed: c.Timed - o.Timed, Slow: c.Slow - o.Slow, VerySlow: c.VerySlow - o.VerySlow, Outliers: c.Outliers - o.Outliers,
	}
}

// unless returns no counts if the condition holds.
func (c answerCounts) unless(condition bool) answerCounts {
	if condition {
		return answerCounts{}
	}
	return c
}

// bad returns the answers that failed or were very slow.
func (c answerCounts) bad() uint64 { return c.Failed + c.VerySlow }

// variantCounts is one instance's total for a key; totals only increase.
type variantCounts struct {
	Key    evidenceKey  `cbor:"1,keyasint"`
	Counts answerCounts `cbor:"2,keyasint"`
}

// evidenceMessage is the body of peers.KindUpgradeEvidence.
type evidenceMessage struct {
	Service string `cbor:"1,keyasint"`
	// Revision and To identify the upgrade.
	Revision storefeed.Position `cbor:"2,keyasint"`
	// Epoch distinguishes the runs of one instance.
	Epoch  uint64          `cbor:"3,keyasint"`
	Counts []variantCounts `cbor:"4,keyasint"`
	// Bad reports that the sender has marked the new release as bad.
	Bad bool `cbor:"5,keyasint"`
	// Moved reports that the sender lets all requests run on the new release.
	Moved bool `cbor:"8,keyasint,omitempty"`
	// Pins are sessions that the sender saw on the old release although their hash
	// assigns them to the new one.
	Pins []sessionPin `cbor:"6,keyasint,omitempty"`
	To   string       `cbor:"7,keyasint"`
	// Baseline are latencies of the old release at the sender since its last message.
	Baseline []sharedSamples `cbor:"9,keyasint,omitempty"`
}

// isAbout reports whether the message is about an upgrade. Until the operator's request
// arrives again after a restore of the store, the sender may know it by its revision in
// another era.
func (m *evidenceMessage) isAbout(u Upgrade) bool {
	return m.Revision == u.Revision || m.To == u.To && m.Revision.Era != u.Revision.Era
}

// source is one run of an instance.
type source struct {
	instance string
	epoch    uint64
}

// upgradeEvidence is the evidence about one upgrade.
type upgradeEvidence struct {
	own   routeCounts
	peers map[source][]variantCounts
}

// evidenceStore holds the evidence by service.
type evidenceStore struct {
	byService map[string]*upgradeEvidence
}

func newEvidenceStore() *evidenceStore {
	return &evidenceStore{byService: make(map[string]*upgradeEvidence)}
}

func (s *evidenceStore) reset(upgrade Upgrade) {
	s.byService[upgrade.Service] = &upgradeEvidence{own: make(routeCounts), peers: make(map[source][]variantCounts)}
}

// observe counts one answer; underLoad is set if all requests run on the new release.
func (s *evidenceStore) observe(upgrade Upgrade, o dispatch.Observation, counts answerCounts, underLoad bool) {
	e := s.byService[o.Service]
	if e == nil || counts == (answerCounts{}) {
		return
	}
	key := evidenceKey{Route: o.Route, Variant: variantOld}
	if o.Release == upgrade.To {
		key.Variant = variantNew
	}
	e.own[key] = e.own[key].plus(counts)
	if key.Variant == variantNew && underLoad {
		key.Variant = variantUnderLoad
		e.own[key] = e.own[key].plus(counts)
	}
}

// badAnswers returns the number of the new release's bad answers at this instance.
func (s *evidenceStore) badAnswers(upgrade Upgrade) uint64 {
	bad := uint64(0)
	if e := s.byService[upgrade.Service]; e != nil {
		for key, counts := range e.own {
			if key.Variant == variantNew {
				bad += counts.bad()
			}
		}
	}
	return bad
}

// message returns this instance's evidence about an upgrade.
func (s *evidenceStore) message(upgrade Upgrade, epoch uint64, bad bool) evidenceMessage {
	m := evidenceMessage{Service: upgrade.Service, Revision: upgrade.Revision, To: upgrade.To, Epoch: epoch, Bad: bad}
	if e := s.byService[upgrade.Service]; e != nil {
		for key, counts := range e.own {
			m.Counts = append(m.Counts, variantCounts{Key: key, Counts: counts})
		}
	}
	return m
}

// handleEvidence merges a peer's evidence.
func (c *Controller) handleEvidence(_ context.Context, msg peers.Message) (any, error) {
	var m evidenceMessage
	if err := cbor.Unmarshal(msg.Body, &m); err != nil {
		return nil, errors.Wrap(err, "decode evidence")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e, current := c.evidence.byService[m.Service], c.upgrades[m.Service]
	if e == nil || current == nil || !m.isAbout(current.upgrade) {
		return nil, nil
	}
	e.peers[source{instance: msg.From, epoch: m.Epoch}] = m.Counts
	c.mergePins(current, m.Pins)
	c.baselines.merge(m.Service, m.Baseline)
	if m.Moved && !current.moved && !current.leansBad(e.totals()) {
		c.move(current, c.progress(current))
	}
	if m.Bad && !current.bad && !current.isReturn {
		c.markBad(current, "marked as bad by a peer")
	}
	return nil, nil
}

// totals returns the sums over all instances, by route and in all.
func (e *upgradeEvidence) totals() routeCounts {
	sum := make(routeCounts, len(e.own))
	for key, counts := range e.own {
		sum[key] = counts
	}
	for _, list := range e.peers {
		for _, c := range list {
			sum[c.Key] = sum[c.Key].plus(c.Counts)
		}
	}
	return sum.withTotals()
}

// newAnswers returns the counts of the new release's answers at all instances.
func (e *upgradeEvidence) newAnswers() answerCounts {
	if e == nil {
		return answerCounts{}
	}
	return e.totals()[evidenceKey{Variant: variantNew}]
}
