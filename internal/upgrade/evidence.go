package upgrade

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/dispatch"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/rollout"
	"github.com/basilrail/basilrail/internal/storefeed"
)

const (
	// slowFactor is the ratio to the baseline latency above which an answer is bad. A bad
	// release answers several times slower than the baseline; half of its slowdown still
	// distinguishes it from a busy server.
	slowFactor = 3.5
	// latencySmoothing is the weight of the latest answer in the baseline latency.
	latencySmoothing = 0.03
	// minBaselineAnswers is the number of answers after which the baseline is used.
	minBaselineAnswers = 20
	// minBadRateLimit is the bad rate up to which the new release is good regardless of
	// the old release's bad rate: a failing server makes about 6% of its release's answers bad.
	minBadRateLimit = 0.1
	// oldRateFactor is the multiple of the old release's bad rate that the new one may
	// reach.
	oldRateFactor = 2
	// minOldAnswers is the number of the old release's answers from which its bad rate
	// is used.
	minOldAnswers = 40
	// baseMilliseconds and tokensPerMillisecond relate a prompt's length to the time
	// to the first event. Only the ratio of the base time to the time per token matters,
	// because the baseline is learned.
	baseMilliseconds     = 30.0
	tokensPerMillisecond = 60.0
)

// variant is the old or the new release of an upgrade.
type variant uint8

const (
	variantOld variant = iota
	variantNew
)

// evidenceKey identifies the counts of answers on one route by one release.
type evidenceKey struct {
	Route   string  `cbor:"1,keyasint"`
	Variant variant `cbor:"2,keyasint"`
}

// variantCounts is one instance's total for a key; totals only increase.
type variantCounts struct {
	Key    evidenceKey    `cbor:"1,keyasint"`
	Counts rollout.Counts `cbor:"2,keyasint"`
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
	// Pins are sessions that the sender saw on the old release although their hash
	// assigns them to the new one.
	Pins []sessionPin `cbor:"6,keyasint,omitempty"`
	To   string       `cbor:"7,keyasint"`
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
	own       map[evidenceKey]rollout.Counts
	peers     map[source][]variantCounts
	baselines map[string]*latencyBaseline
}

// latencyBaseline is the usual time to the first event of a route's answers, as a
// ratio to the time expected from the prompt's length.
type latencyBaseline struct {
	factor  float64
	answers int
}

// evidenceStore holds the evidence by service.
type evidenceStore struct {
	byService map[string]*upgradeEvidence
}

func newEvidenceStore() *evidenceStore {
	return &evidenceStore{byService: make(map[string]*upgradeEvidence)}
}

func (s *evidenceStore) reset(upgrade Upgrade) {
	s.byService[upgrade.Service] = &upgradeEvidence{
		own:       make(map[evidenceKey]rollout.Counts),
		peers:     make(map[source][]variantCounts),
		baselines: make(map[string]*latencyBaseline),
	}
}

// observe counts one attempt as good or bad.
func (s *evidenceStore) observe(upgrade Upgrade, o dispatch.Observation) {
	e := s.byService[o.Service]
	if e == nil || (o.Latency == 0 && !o.Failed) {
		return
	}
	key := evidenceKey{Route: o.Route, Variant: variantOld}
	if o.Release == upgrade.To {
		key.Variant = variantNew
	}
	counts := e.own[key]
	if o.Failed || e.isSlow(key, o) {
		counts.Bad++
	} else {
		counts.Good++
	}
	e.own[key] = counts
}

// isSlow reports whether an answer is slow compared with the old release's
// baseline latency, and updates the baseline from the old release's answers.
func (e *upgradeEvidence) isSlow(key evidenceKey, o dispatch.Observation) bool {
	expected := baseMilliseconds + float64(o.InputTokens)/tokensPerMillisecond
	factor := float64(o.Latency.Microseconds()) / 1000 / expected
	baseline := e.baselines[o.Route]
	if baseline == nil {
		baseline = &latencyBaseline{factor: factor}
		e.baselines[o.Route] = baseline
	}
	slow := baseline.answers >= minBaselineAnswers && factor > slowFactor*baseline.factor
	if key.Variant == variantOld {
		baseline.factor += latencySmoothing * (min(factor, slowFactor*baseline.factor) - baseline.factor)
		baseline.answers++
	}
	return slow
}

// badAnswers returns the number of the new release's bad answers at this instance.
func (s *evidenceStore) badAnswers(upgrade Upgrade) uint64 {
	bad := uint64(0)
	if e := s.byService[upgrade.Service]; e != nil {
		for key, counts := range e.own {
			if key.Variant == variantNew {
				bad += counts.Bad
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
	if m.Bad && !current.bad {
		c.markBad(current, "marked as bad by a peer")
	}
	return nil, nil
}

// totals returns the sums over all instances.
func (e *upgradeEvidence) totals() map[evidenceKey]rollout.Counts {
	sum := make(map[evidenceKey]rollout.Counts, len(e.own))
	for key, counts := range e.own {
		sum[key] = counts
	}
	for _, list := range e.peers {
		for _, c := range list {
			counts := sum[c.Key]
			counts.Good += c.Counts.Good
			counts.Bad += c.Counts.Bad
			sum[c.Key] = counts
		}
	}
	return sum
}

// isBad tests the new release on all routes together and on each route; reason is
// "all routes", or a single route on which it is bad.
func (e *upgradeEvidence) isBad() (reason string, bad bool) {
	var allNew, allOld rollout.Counts
	sum := e.totals()
	for key, counts := range sum {
		if key.Variant == variantOld {
			allOld.Good, allOld.Bad = allOld.Good+counts.Good, allOld.Bad+counts.Bad
			continue
		}
		allNew.Good, allNew.Bad = allNew.Good+counts.Good, allNew.Bad+counts.Bad
	}
	if rollout.Exceeds(allNew, badRateLimit(allOld)) {
		return "all routes", true
	}
	for key, counts := range sum {
		if key.Variant == variantNew && rollout.Exceeds(counts, badRateLimit(sum[evidenceKey{Route: key.Route}])) {
			return "route " + key.Route, true
		}
	}
	return "", false
}

// newAnswers returns the counts of the new release's answers at all instances.
func (e *upgradeEvidence) newAnswers() rollout.Counts {
	var all rollout.Counts
	if e == nil {
		return all
	}
	for key, counts := range e.totals() {
		if key.Variant == variantNew {
			all.Good, all.Bad = all.Good+counts.Good, all.Bad+counts.Bad
		}
	}
	return all
}

func badRateLimit(old rollout.Counts) float64 {
	if old.Total() < minOldAnswers {
		return minBadRateLimit
	}
	return max(minBadRateLimit, oldRateFactor*old.BadRate())
}
