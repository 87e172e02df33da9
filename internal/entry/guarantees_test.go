package entry

import (
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/gateway"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/standin/booking"
	"github.com/basilrail/basilrail/internal/standin/engine"
	"github.com/basilrail/basilrail/internal/standin/rater"
)

const shopA = "demo-ikoyi-shop-a"

// edit returns a document of the current settings with the first occurrence of
// old replaced by new.
func (f *fleet) edit(path, old, new string) settings.Document {
	f.t.Helper()
	docs, _ := f.instances[0].syncer.Documents(path)
	require.NotEmpty(f.t, docs, path)
	body := strings.Replace(string(docs[0].Body), old, new, 1)
	require.NotEqual(f.t, string(docs[0].Body), body, "nothing replaced in %s", path)
	return settings.Document{Path: path, Body: []byte(body)}
}

// inFlight returns the number of unfinished attempts that an instance has sent,
// including those queued inside an engine.
func (m *member) inFlight() int {
	sum := 0
	for _, server := range m.data.Snapshot().Servers {
		requests, _ := server.InFlight()
		sum += int(requests)
	}
	return sum
}

// received returns the number of attempts that the engines started, by version.
func (f *fleet) received() map[string]int {
	counts := make(map[string]int)
	for _, e := range f.allEngines() {
		for _, a := range e.Received() {
			counts[a.Model]++
		}
	}
	return counts
}

// reachedBackend reports whether any backend server started the request.
func (f *fleet) reachedBackend(requestID string) bool {
	for _, e := range f.allEngines() {
		for _, a := range e.Received() {
			if strings.HasPrefix(a.ID, requestID) {
				return true
			}
		}
	}
	for _, b := range f.bookings {
		for _, x := range b.Received() {
			if strings.HasPrefix(x.AttemptID, requestID) {
				return true
			}
		}
	}
	return false
}

// setFaults sets the same faults on every engine.
func (f *fleet) setFaults(faults engine.Faults) {
	for _, e := range f.allEngines() {
		e.SetFaults(faults)
	}
}

// allEngines returns the current process of each engine.
func (f *fleet) allEngines() []*engine.Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Values(f.engines))
}

func TestWithdrawnVersionGetsNoNewWork(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		first := f.chat(0, shopA, "writer", "oak wardrobe")
		require.Equal(t, http.StatusOK, first.status, string(first.body))
		require.Equal(t, "writer@v1", first.header.Get(gateway.HeaderVersion))
		f.apply(1, f.edit("/models/writer", "output_cost: 360", "output_cost: 360\n    withdrawn: true"))
		time.Sleep(settleTime)
		before := f.received()["writer@v1"]
		for n := range f.instances {
			pinned := f.chat(n, shopA, "writer", "its colour?", gateway.HeaderSessionToken, first.header.Get(gateway.HeaderSessionToken))
			require.NotNil(t, pinned.refusal(), string(pinned.body))
			assert.Equal(t, apierror.CodeVersionWithdrawn, pinned.refusal().Code)
			assert.Equal(t, apierror.NotRun, pinned.refusal().Execution)
			exact := f.chat(n, shopA, "writer@v1", "another wardrobe")
			assert.Equal(t, apierror.CodeVersionWithdrawn, exact.refusal().Code)
			fresh := f.chat(n, shopA, "writer", "a chest")
			assert.Equal(t, "writer@v2", fresh.header.Get(gateway.HeaderVersion), string(fresh.body))
		}
		assert.Equal(t, before, f.received()["writer@v1"], "attempts on the withdrawn version")
	})
}

// A request that is queued while its version is withdrawn must not be sent when
// it leaves the queue.
func TestQueuedRequestRespectsWithdrawal(t *testing.T) {
	inFleet(t, 1, func(f *fleet) {
		f.setFaults(engine.Faults{SlowMillis: 500})
		var replies sync.WaitGroup
		results := make([]reply, 200)
		for i := range results {
			replies.Go(func() {
				results[i] = f.chat(0, "demo-ikoyi-depot", "planner@v1", "plan the round of today", gateway.HeaderDeadline, "300000")
			})
		}
		time.Sleep(time.Second)
		f.apply(0, f.edit("/models/planner", "output_cost: 2700", "output_cost: 2700\n    withdrawn: true"))
		sent := f.instances[0].inFlight()
		require.Less(t, sent, 128, "some requests wait")
		replies.Wait()
		assert.Equal(t, sent, f.received()["planner@v1"], "attempts on the withdrawn version")
		withdrawn := 0
		for _, r := range results {
			if refusal := r.refusal(); refusal != nil && refusal.Code == apierror.CodeVersionWithdrawn {
				withdrawn++
				assert.Equal(t, apierror.NotRun, refusal.Execution)
			}
		}
		assert.Positive(t, withdrawn)
	})
}

// The expensive version is withdrawn while the cheap answer is being rated: the
// request must not escalate to it.
func TestEscalationRespectsWithdrawal(t *testing.T) {
	inFleet(t, 1, func(f *fleet) {
		f.setFaults(engine.Faults{BadRate: map[string]float64{"writer@v1": 1, "writer@v2": 1}})
		f.rater.SetFaults(rater.Faults{SlowMillis: 2000})
		var calls sync.WaitGroup
		results := make([]reply, 10)
		for i := range results {
			calls.Go(func() {
				results[i] = f.chat(0, shopA, "auto", fmt.Sprintf("wardrobe %d", i), gateway.HeaderTask, "describe")
			})
		}
		time.Sleep(time.Second)
		f.apply(0, f.edit("/models/planner", "output_cost: 2700", "output_cost: 2700\n    withdrawn: true"))
		before := f.received()["planner@v1"]
		require.Positive(t, f.received()["writer@v1"])
		calls.Wait()
		assert.Equal(t, before, f.received()["planner@v1"], "attempts on the withdrawn version")
		refused := 0
		for _, r := range results {
			if refusal := r.refusal(); refusal != nil {
				refused++
				assert.Equal(t, apierror.CodeVersionWithdrawn, refusal.Code)
				assert.Equal(t, apierror.DidRun, refusal.Execution, "the cheap version ran")
			}
		}
		assert.Positive(t, refused)
	})
}

// Settings, session pins and claims survive the crash of all instances.
func TestStateSurvivesInstanceCrashes(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		first := f.chat(0, shopA, "writer", "oak wardrobe")
		booked := f.call(0, shopA, http.MethodPost, "/v1/services/booking/bookings", "{}", gateway.HeaderIdempotencyKey, "k1")
		f.kill(0)
		f.kill(1)
		f.addInstance()
		time.Sleep(settleTime)
		next := f.chat(2, shopA, "writer", "its colour?", gateway.HeaderSessionToken, first.header.Get(gateway.HeaderSessionToken))
		assert.Equal(t, first.header.Get(gateway.HeaderVersion), next.header.Get(gateway.HeaderVersion), string(next.body))
		repeated := f.call(2, shopA, http.MethodPost, "/v1/services/booking/bookings", "{}", gateway.HeaderIdempotencyKey, "k1")
		assert.Equal(t, booked.body, repeated.body)
		assert.Equal(t, 1, f.executions())
	})
}

func TestSessionTokenOfAnotherAccountIsRefused(t *testing.T) {
	inFleet(t, 1, func(f *fleet) {
		first := f.chat(0, shopA, "auto", "oak wardrobe")
		token := first.header.Get(gateway.HeaderSessionToken)
		tests := []struct {
			desc  string
			key   string
			token string
		}{
			{desc: "other account", key: "demo-ikoyi-shop-b", token: token},
			{desc: "forged", key: shopA, token: token[:len(token)-4] + "AAAA"},
			{desc: "not a token", key: shopA, token: "x"},
		}
		for _, tt := range tests {
			got := f.chat(0, tt.key, "auto", "its colour?", gateway.HeaderSessionToken, tt.token)
			require.NotNil(t, got.refusal(), tt.desc)
			assert.Equal(t, apierror.CodeSessionInvalid, got.refusal().Code, tt.desc)
			assert.Equal(t, apierror.NotRun, got.refusal().Execution, tt.desc)
		}
		f.apply(0, f.edit("/fleet", "- id: key-1", "- id: key-2\n  - id: key-1"))
		accepted := f.chat(0, shopA, "auto", "its colour?", gateway.HeaderSessionToken, token)
		assert.Equal(t, http.StatusOK, accepted.status, "a token signed with the previous key is accepted")
		f.apply(0, f.edit("/fleet", "\n  - id: key-1", ""))
		rejected := f.chat(0, shopA, "auto", "its colour?", gateway.HeaderSessionToken, token)
		require.NotNil(t, rejected.refusal())
		assert.Equal(t, apierror.CodeSessionInvalid, rejected.refusal().Code, "a token signed with a removed key")
	})
}

func TestAnswersAreCompleteOrReportedIncomplete(t *testing.T) {
	const prompt = "oak wardrobe with two doors"
	tests := []struct {
		desc   string
		faults engine.Faults
		model  string
		// complete requires that the answer arrives complete.
		complete bool
	}{
		{desc: "duplicate chunks", faults: engine.Faults{DuplicateChunks: true}, model: "tagger@v1", complete: true},
		{desc: "answer of another attempt", faults: engine.Faults{WrongAttemptID: true}, model: "tagger@v1"},
		{desc: "interrupted stream, on servers with and without resumption", faults: engine.Faults{CutAfterChunks: 4}, model: "tagger@v1"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			inFleet(t, 1, func(f *fleet) {
				good := f.streamChat(0, shopA, tt.model, prompt)
				require.True(t, isComplete(good), string(good.body))
				f.setFaults(tt.faults)
				for range 12 {
					got := f.streamChat(0, shopA, tt.model, prompt)
					if isComplete(got) {
						assert.Equal(t, streamText(good), streamText(got), "a complete answer has the expected text")
						continue
					}
					assert.False(t, tt.complete, string(got.body))
					assertReportedIncomplete(t, got)
				}
			})
		})
	}
}

// isComplete reports whether a stream ended with its terminal event.
func isComplete(r reply) bool {
	return r.status == http.StatusOK && r.err == nil && bytes.HasSuffix(r.body, []byte("data: [DONE]\n\n"))
}

// assertReportedIncomplete checks that a caller can't mistake the answer for a
// complete one.
func assertReportedIncomplete(t *testing.T, r reply) {
	t.Helper()
	assert.NotContains(t, string(r.body), "[DONE]")
	if r.status == http.StatusOK {
		assert.Contains(t, string(r.body), "event: error")
		return
	}
	require.NotNil(t, r.refusal(), string(r.body))
}

// streamText returns the concatenated contents of a stream's chunks.
func streamText(r reply) string {
	var text strings.Builder
	for _, line := range strings.Split(string(r.body), "\n") {
		_, rest, ok := strings.Cut(line, `"content":"`)
		if !ok {
			continue
		}
		content, _, _ := strings.Cut(rest, `"`)
		text.WriteString(content)
	}
	return text.String()
}

// An interrupted stream is resumed if the server supports it.
func TestInterruptedStreamIsResumed(t *testing.T) {
	inFleet(t, 1, func(f *fleet) {
		for id, e := range f.engines {
			if !f.instances[0].data.Snapshot().Servers[id].Settings.Traits.ResumesStreams {
				e.SetFaults(engine.Faults{Draining: true})
				continue
			}
			e.SetFaults(engine.Faults{CutAfterChunks: 10})
		}
		time.Sleep(settleTime)
		for range 10 {
			got := f.streamChat(0, shopA, "tagger@v1", "oak wardrobe")
			assert.True(t, isComplete(got), string(got.body))
		}
	})
}

func TestNotRunMeansNotExecuted(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		tests := []struct {
			desc  string
			setUp func()
			call  func() reply
		}{
			{desc: "no key", call: func() reply { return f.chat(0, "nobody", "auto", "x") }},
			{desc: "bad body", call: func() reply {
				return f.call(0, shopA, http.MethodPost, "/v1/chat/completions", `{"messages":7}`)
			}},
			{desc: "version not allowed", call: func() reply { return f.chat(0, "demo-surulere-shop-e", "writer@v2", "x") }},
			{desc: "unknown model", call: func() reply { return f.chat(0, shopA, "nothing", "x") }},
			{desc: "booking without a key", call: func() reply {
				return f.call(0, shopA, http.MethodPost, "/v1/services/booking/bookings", "{}")
			}},
			{desc: "unknown service", call: func() reply { return f.call(0, shopA, http.MethodGet, "/v1/services/none/x", "") }},
			{desc: "engines draining", setUp: func() { f.setFaults(engine.Faults{Draining: true}) }, call: func() reply { return f.chat(0, shopA, "auto", "x") }},
			{
				desc: "booking servers draining",
				setUp: func() {
					for _, b := range f.bookings {
						b.SetFaults(booking.Faults{Draining: true})
					}
				},
				call: func() reply {
					return f.call(0, shopA, http.MethodPost, "/v1/services/booking/bookings", "{}", gateway.HeaderIdempotencyKey, "k1")
				},
			},
		}
		for _, tt := range tests {
			if tt.setUp != nil {
				tt.setUp()
			}
			got := tt.call()
			require.NotNil(t, got.refusal(), "%s: %s", tt.desc, got.body)
			assert.Equal(t, apierror.NotRun, got.refusal().Execution, tt.desc)
			assert.False(t, f.reachedBackend(got.header.Get(gateway.HeaderRequestID)), "%s: ran although refused as not run", tt.desc)
		}
		for _, b := range f.bookings {
			b.SetFaults(booking.Faults{})
		}
		time.Sleep(settleTime)
		repeated := f.call(1, shopA, http.MethodPost, "/v1/services/booking/bookings", "{}", gateway.HeaderIdempotencyKey, "k1")
		assert.Equal(t, http.StatusCreated, repeated.status, "the key of a request that did not run may be used again: %s", repeated.body)
	})
}

// A booking whose answer is lost may have run, so it must not be run again.
func TestBookingWithLostAnswerIsNotRepeated(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		for _, b := range f.bookings {
			b.SetFaults(booking.Faults{CrashAfterExecute: true})
		}
		first := f.call(0, shopA, http.MethodPost, "/v1/services/booking/bookings", "{}", gateway.HeaderIdempotencyKey, "k1")
		require.NotNil(t, first.refusal(), string(first.body))
		assert.Equal(t, apierror.MayHaveRun, first.refusal().Execution)
		for _, b := range f.bookings {
			b.SetFaults(booking.Faults{})
		}
		time.Sleep(settleTime)
		repeated := f.call(1, shopA, http.MethodPost, "/v1/services/booking/bookings", "{}", gateway.HeaderIdempotencyKey, "k1")
		require.NotNil(t, repeated.refusal(), string(repeated.body))
		assert.Equal(t, apierror.MayHaveRun, repeated.refusal().Execution)
		assert.Equal(t, 1, f.executions())
	})
}

func TestGracefulShutdownCompletesRequests(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		f.setFaults(engine.Faults{SlowMillis: 1000})
		var stream, answer reply
		var calls sync.WaitGroup
		calls.Go(func() { stream = f.streamChat(0, shopA, "tagger@v1", "a long list", gateway.HeaderDeadline, "300000") })
		calls.Go(func() { answer = f.chat(0, shopA, "tagger@v1", "another list", gateway.HeaderDeadline, "300000") })
		time.Sleep(2 * time.Second)
		f.instances[0].stop()
		time.Sleep(time.Second)
		during := f.chat(0, shopA, "tagger@v1", "short", gateway.HeaderDeadline, "300000")
		assert.Equal(t, http.StatusOK, during.status, "requests that the load balancer still sends are served")
		calls.Wait()
		assert.True(t, isComplete(stream), string(stream.body))
		assert.Equal(t, http.StatusOK, answer.status, string(answer.body))
		<-f.instances[0].done
	})
}

// All instances stop sending to a draining server within seconds, while the
// membership list still contains it, rather than relying on its own refusals.
func TestDrainingServerGetsNoNewWork(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		const draining = "lagos-engine-09"
		f.engines[draining].SetFaults(engine.Faults{Draining: true})
		time.Sleep(5 * time.Second)
		for i := range 40 {
			got := f.chat(i%2, shopA, "auto", fmt.Sprintf("oak wardrobe %d", i))
			require.Equal(t, http.StatusOK, got.status, string(got.body))
			record, ok := f.instances[i%2].explain.Get(got.header.Get(gateway.HeaderRequestID))
			require.True(t, ok)
			for _, attempt := range record.Attempts {
				assert.NotEqual(t, draining, attempt.Server)
			}
		}
	})
}

// A stream may last longer than the read timeout for the request.
func TestLongStreamOutlastsReadTimeout(t *testing.T) {
	inFleet(t, 1, func(f *fleet) {
		f.setFaults(engine.Faults{SlowMillis: 5000})
		got := f.streamChat(0, shopA, "tagger@v1", "a long list")
		assert.True(t, isComplete(got), "%v: %s", got.err, got.body)
	})
}
