package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/admin"
	"github.com/basilrail/basilrail/internal/adminapi"
	"github.com/basilrail/basilrail/internal/billing"
	"github.com/basilrail/basilrail/internal/configsync"
	"github.com/basilrail/basilrail/internal/peers/membus"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/standin/rawanswer"
	"github.com/basilrail/basilrail/internal/tablestore/memtable"
)

type fakeRecords struct{}

func (fakeRecords) Explain(context.Context, string) (settings.AccountID, json.RawMessage, bool) {
	return "ikoyi/shop-a", json.RawMessage(`{"attempts":1}`), true
}

func (fakeRecords) List(context.Context, settings.AccountID, string, int) ([]billing.Record, string, error) {
	return []billing.Record{{Account: "ikoyi/shop-a", RequestID: "r1", Total: 1_500_000}}, "", nil
}

// fixture is two instances that share one table, served over loopback.
type fixture struct {
	*testing.T
	table    *memtable.Table
	handlers []http.Handler
	entries  []string
	dir      string
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{T: t, table: memtable.New(), dir: t.TempDir()}
	network := membus.New()
	for i, id := range []string{"entry-0", "entry-1"} {
		syncer := configsync.New(configsync.Options{
			Table: f.table, Bus: network.Join(id, "hall-ikeja"), Rand: rand.New(rand.NewPCG(1, uint64(i))),
		})
		startSyncer(t, syncer)
		f.handlers = append(f.handlers, admin.New(admin.Options{
			Settings: syncer, Explainer: fakeRecords{}, Bills: fakeRecords{}, BootstrapKeySHA256: settings.HashKey("demo-operator"),
		}))
		f.entries = append(f.entries, f.serve(f.handlers[i]))
	}
	require.NoError(t, os.CopyFS(f.dir, os.DirFS(filepath.Join("..", "..", "examples", "lagos-main"))))
	return f
}

// startSyncer starts a syncer and waits until its settings are confirmed as current.
func startSyncer(t *testing.T, syncer *configsync.Syncer) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go syncer.Run(ctx)
	require.Eventually(t, func() bool {
		ok, _, _ := syncer.Confirmed()
		return ok
	}, time.Minute, time.Millisecond)
}

func (f *fixture) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	f.Cleanup(server.Close)
	return server.URL
}

// run runs the tool and checks its exit code.
func (f *fixture) run(wantCode int, args ...string) (out, errOut string) {
	f.Helper()
	var stdout, stderr bytes.Buffer
	args = append([]string{"--entry", strings.Join(f.entries, ","), "--key", "demo-operator"}, args...)
	code := Main(context.Background(), args, &stdout, &stderr)
	require.Equal(f, wantCode, code, stdout.String()+stderr.String())
	return stdout.String(), stderr.String()
}

func (f *fixture) edit(dir, file, from, to string) {
	f.Helper()
	name := filepath.Join(dir, file)
	raw, err := os.ReadFile(name)
	require.NoError(f, err)
	edited := strings.ReplaceAll(string(raw), from, to)
	require.NotEqual(f, string(raw), edited)
	require.NoError(f, os.WriteFile(name, []byte(edited), fileMode))
}

func TestApplyConflictAndReread(t *testing.T) {
	f := newFixture(t)
	out, _ := f.run(ExitOK, "apply", f.dir, "--change-id", "c1")
	assert.Equal(t, "change c1 is committed as revision 1\n", out)
	out, _ = f.run(ExitOK, "apply", f.dir)
	assert.Equal(t, "nothing to change; revision 1 is in effect\n", out)

	other := t.TempDir()
	f.run(ExitOK, "get", "/teams/ikoyi", "--to", other)
	f.edit(other, "teams/ikoyi.yaml", "deadline: 30s", "deadline: 20s")
	f.edit(f.dir, "teams/ikoyi.yaml", "deadline: 30s", "deadline: 10s")
	f.run(ExitOK, "apply", f.dir)
	_, errOut := f.run(ExitConflict, "apply", other)
	assert.Contains(t, errOut, "/teams/ikoyi is at revision 2")
	assert.Contains(t, errOut, "-deadline: 10s\n+deadline: 20s\n")

	f.run(ExitOK, "get", "/teams/ikoyi", "--to", other)
	f.edit(other, "teams/ikoyi.yaml", "deadline: 10s", "deadline: 20s")
	out, _ = f.run(ExitOK, "apply", other, "--dry-run")
	assert.Contains(t, out, "changed /teams/ikoyi\n")
	f.run(ExitOK, "apply", other)
	out, _ = f.run(ExitOK, "diff", f.dir)
	assert.Contains(t, out, "-deadline: 20s\n+deadline: 10s\n")
}

func TestDocumentsWithoutBaseRevisionAreNotOverwritten(t *testing.T) {
	f := newFixture(t)
	f.run(ExitOK, "apply", f.dir)
	require.NoError(t, os.Remove(filepath.Join(f.dir, baseFileName)))
	f.edit(f.dir, "teams/ikoyi.yaml", "deadline: 30s", "deadline: 10s")
	f.run(ExitConflict, "apply", f.dir)
}

func TestAllFindingsAreReportedTogether(t *testing.T) {
	f := newFixture(t)
	f.edit(f.dir, "teams/ikoyi.yaml", "quality_target: 0.95", "qualty: 2")
	f.edit(f.dir, "servers/lagos-engine-01.yaml", "hall-ikeja", "hall-nowhere")
	for _, command := range []string{"check", "apply"} {
		_, errOut := f.run(ExitFindings, command, f.dir)
		assert.Contains(t, errOut, `/teams/ikoyi:2: unknown field "qualty"`)
		assert.Contains(t, errOut, `/servers/lagos-engine-01:2: failure_domain "hall-nowhere" is not listed in /fleet`)
	}
}

func TestErrorsAsJSON(t *testing.T) {
	f := newFixture(t)
	f.run(ExitOK, "apply", f.dir)
	require.NoError(t, os.Remove(filepath.Join(f.dir, baseFileName)))
	f.edit(f.dir, "teams/ikoyi.yaml", "deadline: 30s", "deadline: 10s")
	_, errOut := f.run(ExitConflict, "-o", "json", "apply", f.dir)
	var refusal adminapi.ErrorBody
	require.NoError(t, json.Unmarshal([]byte(errOut), &refusal))
	require.Len(t, refusal.Conflicts, 1)
	assert.Equal(t, "/teams/ikoyi", refusal.Conflicts[0].Current.Path)

	f.edit(f.dir, "teams/ikoyi.yaml", "deadline: 10s", "deadline: 0s")
	_, errOut = f.run(ExitFindings, "-o", "json", "check", f.dir)
	var failed failureBody
	require.NoError(t, json.Unmarshal([]byte(errOut), &failed))
	assert.Equal(t, "/teams/ikoyi:3: deadline must be longer than zero", failed.Error.Findings.Error())
}

func TestPruneDeletes(t *testing.T) {
	f := newFixture(t)
	f.run(ExitOK, "apply", f.dir)
	require.NoError(t, os.Remove(filepath.Join(f.dir, "teams/ikoyi/accounts/shop-d.yaml")))
	f.run(ExitOK, "apply", f.dir)
	out, _ := f.run(ExitOK, "tree", "/teams/ikoyi/accounts")
	assert.Contains(t, out, "shop-d")
	f.run(ExitOK, "apply", f.dir, "--prune", "/teams/ikoyi")
	out, _ = f.run(ExitOK, "tree", "/teams/ikoyi/accounts")
	assert.NotContains(t, out, "shop-d")
}

// droppingResponses answers GET requests. It handles other requests but closes the
// connection before the response.
func droppingResponses(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			handler.ServeHTTP(w, r)
			return
		}
		handler.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	})
}

func TestLostResponseIsResolvedAtAnotherEntry(t *testing.T) {
	f := newFixture(t)
	f.entries[0] = f.serve(droppingResponses(f.handlers[0]))
	out, _ := f.run(ExitOK, "apply", f.dir, "--change-id", "c1")
	assert.Equal(t, "change c1 had been committed as revision 1\n", out)
}

// TestMalformedAnswerIsNoResult guards against a change that is reported as committed, or as
// refused, on the word of a malformed answer.
func TestMalformedAnswerIsNoResult(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX Odd: 1\r\n", "HTTP/1.1 409 Conflict\r\nX Odd: 1\r\n"} {
		f := newFixture(t)
		malformed := rawanswer.Handler(head + "\r\n{}")
		f.entries = []string{f.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				f.handlers[0].ServeHTTP(w, r)
				return
			}
			malformed(w, r)
		}))}
		_, errOut := f.run(ExitUnknown, "--timeout", "300ms", "apply", f.dir, "--change-id", "c1")
		assert.Contains(t, errOut, "run the same command again with --change-id c1", "%q", head)
	}
}

func TestUnknownOutcome(t *testing.T) {
	f := newFixture(t)
	f.entries = []string{f.serve(droppingResponses(f.handlers[0]))}
	_, errOut := f.run(ExitUnknown, "--timeout", "300ms", "apply", f.dir, "--change-id", "c1")
	assert.Contains(t, errOut, "run the same command again with --change-id c1")
	// The output is "nothing to change" if the other instance has already
	// received revision 1, otherwise "had been committed".
	f.entries = []string{f.serve(f.handlers[1])}
	out, _ := f.run(ExitOK, "apply", f.dir, "--change-id", "c1")
	assert.Contains(t, out, "revision 1")
}

func TestExitCodes(t *testing.T) {
	testCases := []struct {
		desc string
		args []string
		// entry replaces the two instances.
		entry string
		down  bool
		want  int
	}{
		{desc: "unknown command", args: []string{"bogus"}, want: ExitUsage},
		{desc: "help", args: []string{"--help"}, want: ExitOK},
		{desc: "wrong key", args: []string{"--key", "x", "status"}, want: ExitRefused},
		{desc: "no entry instance", args: []string{"status"}, entry: "http://127.0.0.1:1", want: ExitUnavailable},
		{desc: "table service down", args: []string{"withdraw", "writer@v2"}, down: true, want: ExitUnavailable},
		{desc: "no such version", args: []string{"withdraw", "writer@v7"}, want: ExitFailed},
		{desc: "withdraw", args: []string{"withdraw", "writer@v2"}, want: ExitOK},
		{desc: "rollout", args: []string{"rollout", "pause", "ikoyi/writer-v2", "--reason", "r"}, want: ExitOK},
		{desc: "rollout that can't resume", args: []string{"rollout", "resume", "surulere/none"}, want: ExitFailed},
	}
	f := newFixture(t)
	f.run(ExitOK, "apply", f.dir)
	for _, tc := range testCases {
		t.Run(tc.desc, func(t *testing.T) {
			f.table.SetFaults(memtable.Faults{Down: tc.down})
			at := *f
			at.T = t
			if tc.entry != "" {
				at.entries = []string{tc.entry}
			}
			at.run(tc.want, tc.args...)
		})
	}
}

func TestJSONOutput(t *testing.T) {
	f := newFixture(t)
	f.run(ExitOK, "apply", f.dir)
	out, _ := f.run(ExitOK, "-o", "json", "status")
	var status adminapi.Status
	require.NoError(t, json.Unmarshal([]byte(out), &status))
	assert.Equal(t, uint64(1), status.Revision)
	require.Len(t, status.Instances, 2)

	out, _ = f.run(ExitOK, "explain", "r1")
	assert.Equal(t, "client account ikoyi/shop-a\n{\n  \"attempts\": 1\n}\n", out)
	out, _ = f.run(ExitOK, "bills")
	assert.Contains(t, out, "total 1.500000\n")
	out, _ = f.run(ExitOK, "rollout", "show")
	assert.Contains(t, out, "ikoyi/writer-v2")
}
