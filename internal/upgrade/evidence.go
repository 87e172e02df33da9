package upgrade

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/dispatch"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/rollout"
)

const (
	// slowFactor is how much slower than usual an answer is bad. Bad releases answer
	// several times slower; half of that still tells them from a busy server.
	slowFactor = 3.5
	// paceMemory is the weight of the latest answer in the usual pace.
	paceMemory = 0.03
	// paceKnown is the number of answers after which the usual pace is known.
	paceKnown = 20
	// leastBadRate is the bad rate up to which a release is good, whatever the old
	// one's: a failing server brings its release about six bad answers in a hundred.
	leastBadRate = 0.1
	// oldRateFactor is how much more often than the old release the new one may
	// answer badly.
	oldRateFactor = 2
	// leastOldAnswers is the number of the old release's answers from which its bad
	// rate counts.
	leastOldAnswers = 40
	// tokensPerMillisecond and baseMilliseconds relate a prompt's length to the time
	// to the first event; only their ratio matters, as the pace is learned.
	baseMilliseconds     = 30.0
	tokensPerMillisecond = 60.0
)

// side tells the releases of an order apart.
type side uint8

const (
	sideOld side = iota
	sideNew
)

// subject is what counts are kept by.
type subject struct {
	Route string `cbor:"1,keyasint"`
	Side  side   `cbor:"2,keyasint"`
}

// row is one instance's total for a subject; totals only rise.
type row struct {
	Subject subject        `cbor:"1,keyasint"`
	Counts  rollout.Counts `cbor:"2,keyasint"`
}

// evidenceMessage is the body of peers.KindUpgradeEvidence.
type evidenceMessage struct {
	Service string `cbor:"1,keyasint"`
	Order   uint64 `cbor:"2,keyasint"`
	// Epoch tells the runs of one instance apart.
	Epoch uint64 `cbor:"3,keyasint"`
	Rows  []row  `cbor:"4,keyasint"`
	// Bad tells that the sender knows the new release to be bad.
	Bad bool `cbor:"5,keyasint"`
	// Kept are sessions that the sender saw on the old release, of those that the
	// hash would give the new one.
	Kept []toldSession `cbor:"6,keyasint,omitempty"`
}

// reporter is one run of an instance.
type reporter struct {
	instance string
	epoch    uint64
}

// tally is what is known of one order.
type tally struct {
	order uint64
	own   map[subject]rollout.Counts
	peers map[reporter][]row
	pace  map[string]*pace
}

// pace is the usual time to the first event of a route's answers, relative to
// what the prompt's length makes expect.
type pace struct {
	factor float64
	seen   int
}

// evidencePool holds the tallies by service.
type evidencePool struct {
	tallies map[string]*tally
}

func newEvidencePool() *evidencePool { return &evidencePool{tallies: make(map[string]*tally)} }

func (p *evidencePool) reset(o Order) {
	p.tallies[o.Service] = &tally{
		order: o.Revision,
		own:   make(map[subject]rollout.Counts),
		peers: make(map[reporter][]row),
		pace:  make(map[string]*pace),
	}
}

// observe counts one attempt.
func (p *evidencePool) observe(order Order, o dispatch.Observation) {
	t := p.tallies[o.Service]
	if t == nil || (o.Latency == 0 && !o.Failed) {
		return
	}
	at := subject{Route: o.Route, Side: sideOld}
	if o.Release == order.To {
		at.Side = sideNew
	}
	counts := t.own[at]
	if o.Failed || t.isSlow(at, o) {
		counts.Bad++
	} else {
		counts.Good++
	}
	t.own[at] = counts
}

// isSlow compares an answer's latency with the usual one of the old release,
// and learns from the old release's answers.
func (t *tally) isSlow(at subject, o dispatch.Observation) bool {
	expected := baseMilliseconds + float64(o.InputTokens)/tokensPerMillisecond
	factor := float64(o.Latency.Microseconds()) / 1000 / expected
	usual := t.pace[o.Route]
	if usual == nil {
		usual = &pace{factor: factor}
		t.pace[o.Route] = usual
	}
	slow := usual.seen >= paceKnown && factor > slowFactor*usual.factor
	if at.Side == sideOld {
		usual.factor += paceMemory * (min(factor, slowFactor*usual.factor) - usual.factor)
		usual.seen++
	}
	return slow
}

// badAnswers is the number of the new release's bad answers that this instance saw.
func (p *evidencePool) badAnswers(o Order) uint64 {
	bad := uint64(0)
	if t := p.tallies[o.Service]; t != nil {
		for at, counts := range t.own {
			if at.Side == sideNew {
				bad += counts.Bad
			}
		}
	}
	return bad
}

// message is this instance's evidence of an order.
func (p *evidencePool) message(o Order, epoch uint64, bad bool) evidenceMessage {
	m := evidenceMessage{Service: o.Service, Order: o.Revision, Epoch: epoch, Bad: bad}
	if t := p.tallies[o.Service]; t != nil {
		for at, counts := range t.own {
			m.Rows = append(m.Rows, row{Subject: at, Counts: counts})
		}
	}
	return m
}

// handleEvidence takes in a peer's evidence.
func (c *Controller) handleEvidence(_ context.Context, msg peers.Message) (any, error) {
	var m evidenceMessage
	if err := cbor.Unmarshal(msg.Body, &m); err != nil {
		return nil, errors.Wrap(err, "decode evidence")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t, current := c.pool.tallies[m.Service], c.moves[m.Service]
	if t == nil || current == nil || t.order != m.Order {
		return nil, nil
	}
	t.peers[reporter{instance: msg.From, epoch: m.Epoch}] = m.Rows
	c.hear(current, m.Kept)
	if m.Bad && !current.bad {
		c.foundBad(current, "a peer found it bad")
	}
	return nil, nil
}

// totals adds up what all instances saw.
func (t *tally) totals() map[subject]rollout.Counts {
	sum := make(map[subject]rollout.Counts, len(t.own))
	for at, counts := range t.own {
		sum[at] = counts
	}
	for _, rows := range t.peers {
		for _, r := range rows {
			counts := sum[r.Subject]
			counts.Good += r.Counts.Good
			counts.Bad += r.Counts.Bad
			sum[r.Subject] = counts
		}
	}
	return sum
}

// isBad judges the new release, on all routes together and on each alone.
func (t *tally) isBad() (reason string, bad bool) {
	var all, allOld rollout.Counts
	sum := t.totals()
	for at, counts := range sum {
		if at.Side == sideOld {
			allOld.Good, allOld.Bad = allOld.Good+counts.Good, allOld.Bad+counts.Bad
			continue
		}
		all.Good, all.Bad = all.Good+counts.Good, all.Bad+counts.Bad
	}
	if rollout.Exceeds(all, limit(allOld)) {
		return "all routes", true
	}
	for at, counts := range sum {
		if at.Side == sideNew && rollout.Exceeds(counts, limit(sum[subject{Route: at.Route}])) {
			return "route " + at.Route, true
		}
	}
	return "", false
}

// answers is the number of answers of the new release that are known.
func (t *tally) answers() uint64 {
	var n uint64
	for at, counts := range t.totals() {
		if at.Side == sideNew {
			n += counts.Total()
		}
	}
	return n
}

func limit(old rollout.Counts) float64 {
	if old.Total() < leastOldAnswers {
		return leastBadRate
	}
	return max(leastBadRate, oldRateFactor*old.BadRate())
}
