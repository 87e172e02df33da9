package dispatch

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/basilrail/basilrail/internal/brittle"
	"github.com/basilrail/basilrail/internal/requestlimit"
	"github.com/basilrail/basilrail/internal/retry"
)

// simTransport is the Transport of an instance.
type simTransport struct {
	fleet    *simFleet
	instance string
	limits   *requestlimit.Limits
	brittle  *brittle.Guard
}

// noteLimit passes on the limit that the answer of a server names.
func (t *simTransport) noteLimit(a *Attempt, server *simServer) {
	t.fleet.mu.Lock()
	limit := server.limit
	if _, told := server.toldAt[t.instance]; !told && limit > 0 {
		if len(server.toldAt) == 0 {
			server.namedAt = time.Now()
		}
		server.toldAt[t.instance] = time.Now()
	}
	t.fleet.mu.Unlock()
	if limit > 0 {
		t.limits.Named(a.Server, limit)
	}
}

// Send implements Transport.
func (t *simTransport) Send(ctx context.Context, a *Attempt) (Answer, error) {
	f := t.fleet
	if f.work != nil {
		return t.sendPlain(ctx, a)
	}
	deadly := f.deadlyPartOf(a.Request.Prompt)
	f.mu.Lock()
	server, ok := f.servers[a.Server.ID]
	delay := simPrefill + time.Duration(f.rng.Int64N(int64(simPrefill)))
	events, confidence := 5+f.rng.IntN(30), f.rng.IntN(100)
	if ok {
		server.arrivals = append(server.arrivals, simArrival{at: time.Now(), instance: t.instance})
	}
	if ok && deadly != 0 {
		f.sends[deadly] = append(f.sends[deadly], time.Now())
	}
	f.mu.Unlock()
	if !ok {
		return nil, NewSendError(retry.OutcomeConnectFailed, errTest)
	}
	outcome, _ := ctx.Value(simRequestKey{}).(*simOutcome)
	isFirst := f.countAttempt(outcome)
	if !f.enter(server) {
		t.noteBrittle(a)
		return nil, NewSendError(retry.OutcomeNoCapacity, errTest)
	}
	answer := &simAnswer{fleet: f, ctx: ctx, server: server, attempt: a, events: events, head: Head{Status: http.StatusOK, Stream: true, Confidence: confidence}}
	if a.ResumeAfter != "" {
		last, err := strconv.Atoi(a.ResumeAfter)
		if err != nil {
			return nil, NewSendError(retry.OutcomeRejected, err)
		}
		answer.last = last
	}
	answer.leave = sync.OnceFunc(func() { f.leave(server) })
	if err := answer.sleep(f.delayed(delay)); err != nil {
		answer.Close()
		return nil, err
	}
	if deadly != 0 {
		time.AfterFunc(simCrashDelay, func() { f.crash(server.id, deadly) })
	}
	if isFirst {
		f.mu.Lock()
		outcome.began = true
		f.mu.Unlock()
	}
	a.Server.RecordReceived()
	t.noteLimit(a, server)
	t.noteBrittle(a)
	return answer, nil
}

// countAttempt counts an attempt of a sound request and reports whether it is the first one.
func (f *simFleet) countAttempt(o *simOutcome) bool {
	if o == nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	o.attempts++
	return o.attempts == 1
}

// simAnswer is a stream of a simulated server.
type simAnswer struct {
	fleet   *simFleet
	ctx     context.Context
	server  *simServer
	attempt *Attempt
	head    Head
	// events is the number of events to come, last the id of the one before.
	events, last int
	// leave frees the place at the server.
	leave func()
}

// sleep waits for the server; it returns an error if the server crashes or the context ends.
func (s *simAnswer) sleep(d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-s.server.crashed:
		return NewSendError(retry.OutcomeDisconnected, errTest)
	case <-s.ctx.Done():
		return NewSendError(retry.OutcomeCallerGone, s.ctx.Err())
	case <-timer.C:
		return nil
	}
}

func (s *simAnswer) Head() Head             { return s.head }
func (s *simAnswer) Body() ([]byte, error)  { return nil, errTest }
func (s *simAnswer) Keep() (release func()) { return func() {} }
func (s *simAnswer) Close()                 { s.leave() }

func (s *simAnswer) Next() (Event, error) {
	if s.events == 0 {
		return Event{}, io.EOF
	}
	if err := s.sleep(s.fleet.delayed(simEventGap)); err != nil {
		return Event{}, err
	}
	s.events--
	s.last++
	s.attempt.Server.RecordReceived()
	return Event{ID: strconv.Itoa(s.last), Raw: []byte("x")}, nil
}
