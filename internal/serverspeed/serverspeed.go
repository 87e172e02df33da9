// Package serverspeed learns how fast backend servers are in relation to the others of their service, which they don't
// publish, and estimates when an answer would be complete at each.
//
// A sample is the time per event of a stream at a server with a model. The instances of a failure domain exchange summaries
// of their samples, so that each knows servers at which it has sent little. Factors take effect only for services
// whose servers are shown to be of different kinds.
package serverspeed

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/wait"
)

const (
	// exchangeInterval is the time between two summaries of an instance, and between two views.
	exchangeInterval = time.Second
	// exchangeRatio is the ratio between slow and fast servers, as far as an instance knows it, from which it sends summaries:
	// where the servers are alike nobody needs them.
	exchangeRatio = 1.4
	// halfLife is the age at which a sample has half of its weight: a server that is slow for half a second keeps its share of
	// the requests, one that is slow for five loses it.
	halfLife = 4 * time.Second
	// sampleTTL is the age at which the summary of a peer expires.
	sampleTTL = 30 * time.Second
	// maxMessageWeight bounds the weight of one peer's samples of a server with a model.
	maxMessageWeight = 64.0
	// maxEntries bounds the entries of a message, and maxSamples the samples that are kept.
	maxEntries = 512
	maxSamples = 1 << 15
	// batchSlowdown is how much longer an event takes at a server whose slots are all in use than at an idle one.
	batchSlowdown = 0.5
	// minEventTime and maxEventTime bound the time per event of a plausible sample.
	minEventTime = 100 * time.Microsecond
	maxEventTime = 30 * time.Second
)

// process is a short identity of a server process.
type process struct {
	hash    uint32
	started uint32
}

// modelHash is the short identity of a model.
type modelHash uint32

func processOf(s *fleet.Server) process {
	return process{hash: uint32(s.Hash), started: uint32(s.Registration.Started)}
}

func hashOf(model string) modelHash { return modelHash(xxhash.Sum64String(model)) }

// loadFactor returns how many times as long an event takes with a fraction of the slots in use as at an idle server.
func loadFactor(utilization float64) float64 { return 1 + batchSlowdown*min(1, max(0, utilization)) }

// entry is the summary of an instance's samples of a server with a model.
type entry struct {
	_       struct{} `cbor:",toarray"`
	Server  uint32
	Started uint32
	Model   uint32
	// LogTime is the mean of the natural logarithm of the seconds per event, in thousandths.
	LogTime int32
	// Weight is the number of events that count.
	Weight uint16
}

// isPlausible reports whether the time per event is within the bounds of a sample. A time out of them has no finite logarithm.
func (e *entry) isPlausible() bool {
	perEvent := math.Exp(float64(e.LogTime) / 1000)
	return perEvent >= minEventTime.Seconds()/(1+batchSlowdown) && perEvent <= maxEventTime.Seconds()
}

// key identifies the samples of one instance of a server with a model; the peer is empty for this instance.
type key struct {
	peer   string
	server process
	model  modelHash
}

// tally is a sample and the time at which it had its weight.
type tally struct {
	sample
	at time.Time
	// isNew is set for own samples that were not sent yet.
	isNew bool
}

// aged returns the sample with the weight that it has now.
func (t *tally) aged(now time.Time) sample {
	return sample{logTime: t.logTime, weight: t.weight * math.Exp2(-float64(now.Sub(t.at))/float64(halfLife))}
}

// Tracker collects samples and derives the views of the services. It is safe for concurrent use; a nil *Tracker knows
// nothing.
type Tracker struct {
	bus   peers.Bus
	fleet *fleet.Set
	log   *events.Logger

	mu    sync.Mutex
	tally map[key]*tally
	views atomic.Pointer[map[string]*View]
	// mayDiffer is set while the servers of a service seem to differ.
	mayDiffer atomic.Bool
}

// New returns a Tracker and registers its message handler.
func New(bus peers.Bus, set *fleet.Set, log *events.Logger) *Tracker {
	t := &Tracker{bus: bus, fleet: set, log: log, tally: make(map[key]*tally)}
	t.views.Store(&map[string]*View{})
	bus.Handle(peers.KindServerSpeed, t.handle)
	return t
}

// Observe records that a server sent a number of events of a model's answer, after the first one, in a time, while a fraction of its
// slots was in use.
func (t *Tracker) Observe(server *fleet.Server, model string, eventCount int, took time.Duration, utilization float64) {
	if t == nil || eventCount <= 0 {
		return
	}
	perEvent := took / time.Duration(eventCount)
	if perEvent < minEventTime || perEvent > maxEventTime {
		return
	}
	observed := sample{logTime: math.Log(perEvent.Seconds() / loadFactor(utilization)), weight: float64(eventCount)}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	k := key{server: processOf(server), model: hashOf(model)}
	old := t.tally[k]
	if old == nil {
		if len(t.tally) >= maxSamples {
			return
		}
		t.tally[k] = &tally{sample: observed, at: now, isNew: true}
		return
	}
	before := old.aged(now)
	total := before.weight + observed.weight
	mean := (before.logTime*before.weight + observed.logTime*observed.weight) / total
	*old = tally{sample: sample{logTime: mean, weight: min(total, maxMessageWeight)}, at: now, isNew: true}
}

// Run exchanges summaries and renews the views until the context is done.
func (t *Tracker) Run(ctx context.Context) {
	wait.Every(ctx, exchangeInterval, func() {
		t.renew(time.Now())
		if !t.mayDiffer.Load() {
			return
		}
		if summary := t.summary(time.Now()); len(summary) > 0 {
			t.bus.Broadcast(peers.KindServerSpeed, summary)
		}
	})
}

// summary returns the own samples that changed since the last one.
func (t *Tracker) summary(now time.Time) []entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []entry
	for k, own := range t.tally {
		if k.peer != "" || !own.isNew || len(list) == maxEntries {
			continue
		}
		own.isNew = false
		s := own.aged(now)
		list = append(list, entry{
			Server: k.server.hash, Started: k.server.started, Model: uint32(k.model),
			LogTime: int32(s.logTime * 1000), Weight: uint16(min(s.weight, maxMessageWeight)),
		})
	}
	return list
}

// handle records the summary of a peer.
func (t *Tracker) handle(_ context.Context, msg peers.Message) (any, error) {
	var list []entry
	if err := cbor.Unmarshal(msg.Body, &list); err != nil {
		return nil, errors.Wrap(err, "decode a peer's samples of server speeds")
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range list[:min(len(list), maxEntries)] {
		if !e.isPlausible() {
			continue
		}
		k := key{peer: msg.From, server: process{e.Server, e.Started}, model: modelHash(e.Model)}
		if t.tally[k] == nil && len(t.tally) >= maxSamples {
			return nil, nil
		}
		t.tally[k] = &tally{sample: sample{logTime: float64(e.LogTime) / 1000, weight: min(float64(e.Weight), maxMessageWeight)}, at: now}
	}
	return nil, nil
}

// renew derives the views from the samples, and drops expired ones.
func (t *Tracker) renew(now time.Time) {
	samples, differing := t.collect(now), false
	before := *t.views.Load()
	after := make(map[string]*View)
	snap := t.fleet.Snapshot()
	for _, service := range snap.Services() {
		var servers []serverSamples
		for _, server := range snap.Servers(service) {
			if known := samples[processOf(server)]; known != nil {
				servers = append(servers, serverSamples{server: processOf(server), byModel: known})
			}
		}
		if len(servers) == 0 {
			continue
		}
		v, ratio := newView(servers, before[service] != nil)
		if v != nil {
			after[service] = v
		}
		if ratio >= exchangeRatio {
			differing = true
		}
		t.logChange(service, before[service], v)
	}
	t.views.Store(&after)
	t.mayDiffer.Store(differing)
}

// collect returns the samples by server and model, with the weights that they have now.
func (t *Tracker) collect(now time.Time) map[process]map[modelHash][]sample {
	t.mu.Lock()
	defer t.mu.Unlock()
	samples := make(map[process]map[modelHash][]sample)
	for k, v := range t.tally {
		if now.Sub(v.at) > sampleTTL {
			delete(t.tally, k)
			continue
		}
		byModel := samples[k.server]
		if byModel == nil {
			byModel = make(map[modelHash][]sample)
			samples[k.server] = byModel
		}
		byModel[k.model] = append(byModel[k.model], v.aged(now))
	}
	return samples
}

func (t *Tracker) logChange(service string, before, after *View) {
	switch {
	case before == nil && after != nil:
		t.log.Log(events.ServerSpeedsDiffer, events.Fields{Path: service, Rate: after.ratio, Count: len(after.factors)})
	case before != nil && after == nil:
		t.log.Log(events.ServerSpeedsAlike, events.Fields{Path: service})
	}
}

// view returns the view of a service; nil if its servers are not shown to differ.
func (t *Tracker) view(service string) *View {
	if t == nil {
		return nil
	}
	return (*t.views.Load())[service]
}

// IsActive reports whether the servers of a service are shown to differ.
func (t *Tracker) IsActive(service string) bool { return t.view(service) != nil }

// Factor returns how many times as long as the median server of its service a server takes.
func (t *Tracker) Factor(server *fleet.Server) float64 {
	return t.view(server.Registration.Service).factor(processOf(server))
}
