package engine

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/memnet"
	"github.com/basilrail/basilrail/internal/standin"
)

const version = "cheap@1"

// fixture is an engine and a client, connected in memory.
type fixture struct {
	t      *testing.T
	engine *Engine
	client *http.Client

	mu     sync.Mutex
	bodies []io.Closer
}

// closeLater registers a response body to be closed at the end of the test.
func (f *fixture) closeLater(resp *http.Response) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bodies = append(f.bodies, resp.Body)
}

func (f *fixture) closeAll() {
	for _, body := range f.bodies {
		_ = body.Close()
	}
	f.client.CloseIdleConnections()
}

// runInBubble runs the test body against an engine in virtual time.
func runInBubble(t *testing.T, cfg Config, body func(f *fixture)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		network := memnet.New()
		listener, err := network.Listen("engine:80")
		require.NoError(t, err)
		cfg.Versions = append(cfg.Versions, version)
		cfg.TimePerToken = DefaultTimePerToken
		e := New(cfg)
		server := &http.Server{Handler: e.Handler()}
		go func() { _ = server.Serve(listener) }()
		f := &fixture{t: t, engine: e, client: network.Client()}
		body(f)
		f.closeAll()
		require.NoError(t, server.Close())
	})
}

// post sends a chat completion request; headers are name, value pairs.
func (f *fixture) post(prompt string, stream bool, headers ...string) (*http.Response, error) {
	body, err := json.Marshal(ChatRequest{
		Model:    version,
		Messages: []Message{{Role: "user", Content: prompt}},
		Stream:   stream,
	})
	require.NoError(f.t, err)
	req, err := http.NewRequest(http.MethodPost, "http://engine:80/v1/chat/completions", strings.NewReader(string(body)))
	require.NoError(f.t, err)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := f.client.Do(req)
	if err == nil {
		f.closeLater(resp)
	}
	return resp, err
}

// events reads the chunks of a stream; err is the error that ended an incomplete
// stream.
func events(body io.Reader) (chunks []Completion, done bool, err error) {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return chunks, true, nil
		}
		var c Completion
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return chunks, false, err
		}
		chunks = append(chunks, c)
	}
	return chunks, false, scanner.Err()
}

func text(chunks []Completion) string {
	var b strings.Builder
	for _, c := range chunks {
		b.WriteString(c.Choices[0].Delta.Content)
	}
	return b.String()
}

func TestStreamMatchesUnstreamedAnswer(t *testing.T) {
	runInBubble(t, Config{}, func(f *fixture) {
		resp, err := f.post("a wardrobe", false, standin.HeaderAttemptID, "a-1")
		require.NoError(t, err)
		var unstreamed Completion
		require.NoError(t, json.NewDecoder(resp.Body).Decode(&unstreamed))
		assert.Equal(t, "a-1", unstreamed.ID)

		start := time.Now()
		resp, err = f.post("a wardrobe", true, standin.HeaderAttemptID, "a-2")
		require.NoError(t, err)
		chunks, done, err := events(resp.Body)
		require.NoError(t, err)
		require.True(t, done)
		assert.Equal(t, unstreamed.Choices[0].Message.Content, text(chunks))
		assert.Equal(t, "a-2", chunks[0].ID)
		last := chunks[len(chunks)-1]
		require.NotNil(t, last.Usage)
		assert.Equal(t, unstreamed.Usage.TotalTokens, last.Usage.TotalTokens)
		assert.Equal(t, time.Duration(last.Usage.CompletionTokens)*DefaultTimePerToken, time.Since(start))
	})
}

func TestCutStreamIsResumed(t *testing.T) {
	runInBubble(t, Config{ResumesStreams: true}, func(f *fixture) {
		f.engine.SetFaults(Faults{CutAfterChunks: 4})
		resp, err := f.post("a plan", true, standin.HeaderAttemptID, "a-1")
		require.NoError(t, err)
		first, done, err := events(resp.Body)
		require.Error(t, err)
		require.False(t, done)
		require.Len(t, first, 4)

		f.engine.SetFaults(Faults{})
		resp, err = f.post("a plan", true, standin.HeaderAttemptID, "a-2",
			standin.HeaderResumeAttempt, "a-1", standin.HeaderResumeOffset, strconv.Itoa(len(first)))
		require.NoError(t, err)
		rest, done, err := events(resp.Body)
		require.NoError(t, err)
		require.True(t, done)
		want := strings.Join(tokens(version, "a plan", false, 0), "")
		assert.Equal(t, want, text(first)+text(rest))
	})
}

func TestCrashClosesEveryRequestInFlight(t *testing.T) {
	runInBubble(t, Config{}, func(f *fixture) {
		f.engine.SetFaults(Faults{CrashOn: "poison", CrashMillis: 1000})
		concurrent := make(chan error, 1)
		go func() {
			_, err := f.post("innocent", false, standin.HeaderAttemptID, "a-1")
			concurrent <- err
		}()
		synctest.Wait()
		_, err := f.post("poison", false, standin.HeaderAttemptID, "a-2")
		require.Error(t, err)
		require.Error(t, <-concurrent)
		_, err = f.post("later", false)
		require.Error(t, err, "the engine is unavailable after the crash")

		time.Sleep(time.Second)
		resp, err := f.post("later", false, standin.HeaderAttemptID, "a-3")
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, resp.StatusCode)
		received := f.engine.Received()
		require.Len(t, received, 3)
		assert.Equal(t, []bool{false, false, true},
			[]bool{received[0].Completed, received[1].Completed, received[2].Completed})
	})
}

func TestRefusedRequestsAreNotExecuted(t *testing.T) {
	tests := []struct {
		desc    string
		faults  Faults
		unload  bool
		headers []string
		status  int
	}{
		{desc: "draining", faults: Faults{Draining: true}, status: http.StatusServiceUnavailable},
		{desc: "version not loaded", unload: true, status: http.StatusConflict},
		{
			desc:    "unknown stream to resume",
			headers: []string{standin.HeaderResumeOffset, "2", standin.HeaderResumeAttempt, "none"},
			status:  http.StatusConflict,
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			runInBubble(t, Config{}, func(f *fixture) {
				f.engine.SetFaults(test.faults)
				if test.unload {
					f.engine.apply(Command{Action: ActionUnload, Version: version})
				}
				resp, err := f.post("x", false, test.headers...)
				require.NoError(t, err)
				assert.Equal(t, test.status, resp.StatusCode)
				assert.Equal(t, "true", resp.Header.Get(standin.HeaderNotRun))
				assert.Empty(t, f.engine.Received())
			})
		})
	}
}

func TestCommandsWithOldFencingNumber(t *testing.T) {
	tests := []struct {
		desc   string
		checks bool
		status int
		loaded int
	}{
		{desc: "checked: an old number is refused", checks: true, status: http.StatusConflict, loaded: 2},
		{desc: "unchecked: an old number is accepted", checks: false, status: http.StatusOK, loaded: 1},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			runInBubble(t, Config{ChecksFencing: test.checks}, func(f *fixture) {
				command := func(body string) int {
					resp, err := f.client.Post("http://engine:80/orders", "application/json", strings.NewReader(body))
					require.NoError(t, err)
					f.closeLater(resp)
					return resp.StatusCode
				}
				require.Equal(t, http.StatusOK, command(`{"fencing":5,"action":"load","version":"expensive@1"}`))
				assert.Equal(t, test.status, command(`{"fencing":4,"action":"unload","version":"expensive@1"}`))
				assert.Len(t, f.engine.Status().Versions, test.loaded)
			})
		})
	}
}

func TestQueueServesHigherPriorityFirst(t *testing.T) {
	runInBubble(t, Config{Capacity: 1, Queue: 2}, func(f *fixture) {
		results := make(chan int, 4)
		start := func(id, priority string) {
			go func() {
				resp, err := f.post("prompt "+id, false, standin.HeaderAttemptID, id, standin.HeaderPriority, priority)
				if err == nil {
					results <- resp.StatusCode
				}
			}()
			synctest.Wait()
		}
		start("running", "0")
		start("low", "1")
		start("high", "9")
		assert.Positive(t, f.engine.Status().QueuedTokens)
		start("too many", "9")
		assert.Equal(t, http.StatusTooManyRequests, <-results)
		for range 3 {
			assert.Equal(t, http.StatusOK, <-results)
		}
		received := f.engine.Received()
		assert.Equal(t, []string{"running", "high", "low"}, []string{received[0].ID, received[1].ID, received[2].ID})
		queued, running := f.engine.slots.load()
		assert.Zero(t, queued+running)
	})
}

func TestUnacceptableFractionIsByPrompt(t *testing.T) {
	const prompts = 1000
	e := New(Config{Versions: []string{version}, UnacceptableFraction: map[string]float64{version: 0.3}})
	bad := 0
	for i := range prompts {
		req := ChatRequest{Model: version, Messages: []Message{{Content: "prompt " + strconv.Itoa(i)}}}
		answer := strings.Join(e.newGeneration(req, 0).tokens, "")
		require.Equal(t, answer, strings.Join(e.newGeneration(req, 0).tokens, ""))
		if strings.Contains(answer, UnacceptableMarker) {
			bad++
		}
	}
	assert.InDelta(t, 0.3*prompts, bad, 50)
}
