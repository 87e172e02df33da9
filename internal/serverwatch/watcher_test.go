package serverwatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/backend"
	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/peers/membus"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/statechart"
	"github.com/basilrail/basilrail/internal/tablestore"
	"github.com/basilrail/basilrail/internal/wait"
)

// servers is an http.RoundTripper that answers status requests by address.
type servers struct {
	mu       sync.Mutex
	reports  map[string]report
	errs     map[string]error
	requests int
}

func newServers(n int) *servers {
	s := &servers{reports: make(map[string]report), errs: make(map[string]error)}
	for i := range n {
		s.reports[address(i)] = report{Process: "p1", Versions: []string{"writer@1"}}
	}
	return s
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:80", i/250, i%250+1) }

func (s *servers) set(i int, r report, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports[address(i)], s.errs[address(i)] = r, err
}

// requestCount returns the number of status requests so far.
func (s *servers) requestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

func (s *servers) RoundTrip(req *http.Request) (*http.Response, error) {
	// Simulates network latency.
	if err := wait.For(req.Context(), time.Millisecond); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	if err := s.errs[req.URL.Host]; err != nil {
		return nil, err
	}
	body, err := json.Marshal(s.reports[req.URL.Host])
	return &http.Response{StatusCode: http.StatusOK, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: io.NopCloser(strings.NewReader(string(body)))}, err
}

// fleet is a set of instances that watch the same servers.
type fleet struct {
	servers  *servers
	watchers []*Watcher
}

func newFleet(t *testing.T, instances, n int) *fleet {
	charts, err := statechart.Load()
	require.NoError(t, err)
	f := &fleet{servers: newServers(n)}
	tree := settings.Tree{Servers: make(map[string]settings.Server)}
	for i := range n {
		tree.Servers[fmt.Sprint("s", i)] = settings.Server{Address: address(i)}
	}
	network := membus.New()
	for i := range instances {
		store := datastore.New()
		store.SetSettings(settings.Compile(1, tree))
		w := New(Options{
			Store: store, Client: &http.Client{Transport: f.servers}, Bus: network.Join(fmt.Sprint("entry-", i), "a"),
			Chart: charts.Server, Rand: rand.New(rand.NewPCG(1, uint64(i))),
		})
		f.watchers = append(f.watchers, w)
		go w.Run(t.Context())
	}
	time.Sleep(2 * pollInterval)
	return f
}

// requireAtAllInstances waits until a server's status meets a condition at every instance.
func (f *fleet) requireAtAllInstances(t *testing.T, within time.Duration, server string, met func(*datastore.Status) bool) {
	t.Helper()
	all := func() bool {
		for _, w := range f.watchers {
			if !met(w.store.Snapshot().Servers[server].Status()) {
				return false
			}
		}
		return true
	}
	for start := time.Now(); !all(); time.Sleep(10 * time.Millisecond) {
		require.Less(t, time.Since(start), within)
	}
}

// propagationLimit is the time within which every instance must have a new state of a
// server.
const propagationLimit = 3 * time.Second

var errTimeout = context.DeadlineExceeded

// TestReportedVersions checks that a version is routed only to servers that report it as
// loaded.
func TestReportedVersions(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2)
		one, two := settings.VersionRef{Model: "writer", Version: "1"}, settings.VersionRef{Model: "writer", Version: "2"}
		snapshot := f.watchers[0].store.Snapshot
		require.Len(t, snapshot().ForVersion(one), 2)
		f.servers.set(1, report{Process: "p1", Versions: []string{"writer@2", "not a version"}}, nil)
		time.Sleep(2 * pollInterval)
		require.Len(t, snapshot().ForVersion(one), 1)
		require.Len(t, snapshot().ForVersion(two), 1)
	})
}

// TestDrainingStateReachesAllInstances checks that a server that one source reports as
// draining gets no new work from any instance, even while the membership list and its own
// status lag, and that its next process does.
func TestDrainingStateReachesAllInstances(t *testing.T) {
	tests := []struct {
		desc   string
		notice func(f *fleet)
	}{
		{desc: "its own status", notice: func(f *fleet) {
			f.servers.set(0, report{Process: "p1", Draining: true}, nil)
		}},
		{desc: "a refusal of an attempt", notice: func(f *fleet) {
			f.watchers[2].ReportFailure(&backend.Error{Outcome: backend.Refused, Server: "s0", Draining: true})
		}},
		{desc: "the list", notice: func(f *fleet) {
			for _, w := range f.watchers {
				w.SetMembers([]tablestore.Member{{ID: "s0", Kind: tablestore.MemberServer, Draining: true}})
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				f := newFleet(t, 9, 20)
				test.notice(f)
				f.requireAtAllInstances(t, propagationLimit, "s0", func(s *datastore.Status) bool { return s.Draining })
				time.Sleep(drainingHold / 2)
				f.requireAtAllInstances(t, time.Millisecond, "s0", func(s *datastore.Status) bool { return s.Draining })
				for _, w := range f.watchers {
					w.SetMembers(nil)
				}
				f.servers.set(0, report{Process: "p2"}, nil)
				f.requireAtAllInstances(t, 2*propagationLimit, "s0", func(s *datastore.Status) bool { return !s.Draining && s.Process == "p2" })
			})
		})
	}
}

// TestDownServerRecovers checks that a server that refuses connections is soon down at all
// instances, and up again soon after it has recovered.
func TestDownServerRecovers(t *testing.T) {
	const backWithin = 5 * time.Second
	bubble.Test(t, func(t *testing.T) {
		f := newFleet(t, 9, 20)
		f.servers.set(3, report{}, syscall.ECONNREFUSED)
		f.requireAtAllInstances(t, propagationLimit, "s3", func(s *datastore.Status) bool { return s.Down })
		time.Sleep(time.Minute)
		f.servers.set(3, report{Process: "p2"}, nil)
		f.requireAtAllInstances(t, backWithin, "s3", func(s *datastore.Status) bool { return !s.Down })
	})
}

// TestConfirmCrash checks that only the end of the server process counts as a crash, not a
// time-out or a network failure.
func TestConfirmCrash(t *testing.T) {
	tests := []struct {
		desc   string
		report report
		err    error
		want   bool
	}{
		{desc: "nothing listens", err: syscall.ECONNREFUSED, want: true},
		{desc: "another process answers", report: report{Process: "p2"}, want: true},
		{desc: "the same process answers", report: report{Process: "p1"}},
		{desc: "no answer", err: errTimeout},
		{desc: "network partition", err: errors.New("no route to host")},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				f := newFleet(t, 1, 2)
				f.servers.set(0, test.report, test.err)
				const together = 64
				before := f.servers.requestCount()
				var checks sync.WaitGroup
				for range together {
					checks.Go(func() { assert.Equal(t, test.want, f.watchers[0].ConfirmCrash(t.Context(), "s0", "p1")) })
				}
				checks.Wait()
				require.LessOrEqual(t, f.servers.requestCount()-before, confirmAttempts+1, "attempts that fail at the same time share their probes")
			})
		})
	}
}

// TestFailingServerIsEjected checks that a server that reports itself healthy but fails
// attempts is ejected, for longer each time and never for more than maxEjectionTime.
func TestFailingServerIsEjected(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2)
		w := f.watchers[0]
		down := func() bool { return w.store.Snapshot().Servers["s0"].Status().Down }
		fail := func() { w.ReportFailure(&backend.Error{Outcome: backend.Answered, Server: "s0"}) }
		for range ejectAfterFailures - 1 {
			fail()
			require.False(t, down())
		}
		last := time.Duration(0)
		for range 6 {
			fail()
			require.True(t, down(), "after the first ejection a single failed attempt ejects")
			start := time.Now()
			for down() {
				time.Sleep(10 * time.Millisecond)
			}
			require.GreaterOrEqual(t, time.Since(start), last)
			last = min(time.Since(start), maxEjectionTime)
		}
		require.Equal(t, maxEjectionTime, last)
		w.ReportSuccess("s0")
		for range ejectAfterFailures {
			w.ReportFailure(&backend.Error{Outcome: backend.Refused, Server: "s0"})
		}
		require.False(t, down(), "a refusal for lack of capacity is not a failure")
	})
}

// TestProbeRateIsBounded checks that the probe rate stays bounded, and is used up, with
// more servers than it can poll at pollInterval.
func TestProbeRateIsBounded(t *testing.T) {
	const servers, seconds = 1000, 60
	bubble.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, servers)
		before := f.servers.requestCount()
		time.Sleep(seconds * time.Second)
		requests := f.servers.requestCount() - before
		require.LessOrEqual(t, requests, int(pollsPerSecond*seconds+pollBurst))
		require.GreaterOrEqual(t, requests, int(pollsPerSecond*seconds*9/10))
	})
}

func FuzzDecodeReport(f *testing.F) {
	f.Add([]byte(`{"instance":"p1","versions":["writer@1"],"queued_tokens":1,"leaving":true}`))
	f.Fuzz(func(_ *testing.T, body []byte) {
		if got, err := decodeReport(strings.NewReader(string(body))); err == nil {
			parseVersions(got.Versions)
		}
		_, _ = decodeState(body)
	})
}
