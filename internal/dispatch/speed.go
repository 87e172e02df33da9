package dispatch

import (
	"time"

	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/scheduling"
	"github.com/basilrail/basilrail/internal/serverspeed"
)

// speedSampleEvents is the number of events of a stream after which its pace is a sample of its server's speed: a slow server
// shows it before its answers end.
const speedSampleEvents = 8

// pace measures the events of a stream at one server.
type pace struct {
	// began is when the last sample ended, and events the number of events since.
	began  time.Time
	events int
}

// paceEvent counts an event of a stream, and takes a sample after speedSampleEvents.
func (x *exchange) paceEvent(p *placement) {
	if x.d.Speeds == nil || !x.route.CarriesPrompt {
		return
	}
	now := time.Now()
	if p.pace.began.IsZero() {
		p.pace.began = now
		return
	}
	if p.pace.events++; p.pace.events == speedSampleEvents {
		x.samplePace(p, now)
	}
}

// samplePace records the events since the last sample.
func (x *exchange) samplePace(p *placement, now time.Time) {
	if x.d.Speeds == nil || p.pace.events == 0 {
		return
	}
	x.d.Speeds.Observe(p.server, p.model, p.pace.events, now.Sub(p.pace.began), utilizationOf(p.server.Server))
	p.pace = pace{began: now}
}

// utilizationOf returns the fraction of a server's slots that are in use.
func utilizationOf(s *datastore.Server) float64 {
	return float64(s.TotalLoad().Requests) / float64(max(1, s.Settings.Capacity))
}

// observeLength records the length of a complete stream.
func (x *exchange) observeLength() {
	if tokens := x.eventTokens(); tokens > 0 && x.d.Lengths != nil && x.req.ResumeAfter == "" {
		x.d.Lengths.Observe(x.route.Name, x.delivered*tokens, x.req.Prompt.OutputHint)
	}
}

// eventTokens returns the number of tokens in an event of the service; zero if it is unknown.
func (x *exchange) eventTokens() int {
	if service, known := x.table.Service(x.service); known {
		return service.EventTokens
	}
	return 0
}

// longAnswer returns the rest of the answer as the model of a tier would generate it, if it is long among those of its route; ok is
// false if its length is unknown or the servers of the service are alike.
func (x *exchange) longAnswer(model string) (a serverspeed.Answer, ok bool) {
	perEvent := x.eventTokens()
	if x.d.Lengths == nil || perEvent <= 0 || !x.route.CarriesPrompt || !x.d.Speeds.IsActive(x.service) {
		return serverspeed.Answer{}, false
	}
	tokens := x.d.Lengths.Long(x.route.Name, x.req.Prompt.OutputHint, x.req.Prompt.MaxOutputTokens)
	if tokens <= 0 {
		return serverspeed.Answer{}, false
	}
	count := (tokens + perEvent - 1) / perEvent
	return serverspeed.Answer{Service: x.service, Model: model, Events: max(1, count-x.delivered)}, true
}

// speeds estimates the speeds of servers for one request. It implements scheduling.Speeds.
type speeds struct {
	tracker *serverspeed.Tracker
	snap    *fleet.Snapshot
	answer  serverspeed.Answer
	// hasAnswer is set if the length of the answer is known.
	hasAnswer bool
}

// speedsFor returns the speeds for the next attempt; nil if the servers of the service are alike.
func (x *exchange) speedsFor(snap *fleet.Snapshot) scheduling.Speeds {
	if !x.d.Speeds.IsActive(x.service) {
		return nil
	}
	s := &speeds{tracker: x.d.Speeds, snap: snap}
	s.answer, s.hasAnswer = x.longAnswer(x.model().Name)
	return s
}

// Factor implements scheduling.Speeds.
func (s *speeds) Factor(server *datastore.Server) float64 {
	known, ok := s.snap.Server(server.ID)
	if !ok {
		return 1
	}
	return s.tracker.Factor(known)
}

// Generation implements scheduling.Speeds.
func (s *speeds) Generation(server *datastore.Server) (here, shortest time.Duration) {
	known, ok := s.snap.Server(server.ID)
	if !ok || !s.hasAnswer {
		return 0, 0
	}
	here, ok = s.tracker.GenerationTime(s.answer, known, utilizationOf(server))
	if !ok {
		return 0, 0
	}
	shortest, _ = s.tracker.ShortestGeneration(s.answer)
	return here, min(here, shortest)
}

// largestInTime returns the largest tier, up to next, whose model can complete a long answer before the deadline at the fastest server;
// ok is false if there is none above the present one. Where speeds or lengths are unknown it is next.
func (x *exchange) largestInTime(next int) (tier int, ok bool) {
	for ; next > x.tier; next-- {
		a, known := x.longAnswer(x.tiers[next].Model)
		if !known {
			return next, true
		}
		needed, known := x.d.Speeds.ShortestGeneration(a)
		needed += x.d.prefill.Estimate(x.modelOf(next), x.req.Prompt.InputTokens)
		if !known || needed < time.Until(x.deadline) {
			return next, true
		}
	}
	return x.tier, false
}

// slowness returns the factor of a slow server, and 1 for all others.
func (x *exchange) slowness(server *fleet.Server) float64 { return max(1, x.d.Speeds.Factor(server)) }
