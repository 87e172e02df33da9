package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/adminapi"
	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/billing"
	"github.com/basilrail/basilrail/internal/configsync"
	"github.com/basilrail/basilrail/internal/peers/membus"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/tablestore/memtable"
)

const (
	operatorsDoc = "region: r\nfailure_domains: [h]\ntoken_keys: [{id: k}]\noperators:\n"
	modelDoc     = "# The writers' model.\nversions:\n  v1: {input_cost: 1}\n  v2: {input_cost: 2} # newer\n"
	teamDoc      = "deadline: 1s\nmodels: {m: {stable: v1, allowed: [v1, v2]}}\ncascades: {default: {models: [m]}}\n"
	rolloutDoc   = "model: m\nfrom: v1\nto: v2\nstatus: running\nstages: [{percent: 1}]\n"
)

func operator(name string, role settings.Role, subtree string) string {
	return "- {name: " + name + ", key_sha256: " + settings.HashKey(name) + ", role: " + string(role) + ", subtree: " + subtree + "}\n"
}

type fixture struct {
	*testing.T
	handler http.Handler
	table   *memtable.Table
}

type fakeRecords struct{}

func (fakeRecords) Explain(_ context.Context, id string) (settings.AccountID, json.RawMessage, bool) {
	return "t/a", json.RawMessage(`{"attempts":1}`), id == "r1"
}

func (fakeRecords) List(_ context.Context, account settings.AccountID, _ string, _ int) ([]billing.Record, string, error) {
	return []billing.Record{{Account: account, Total: 3}, {Account: account, Total: 4}}, "", nil
}

// newFixture serves the API of an instance that has the settings of two teams.
func newFixture(t *testing.T) *fixture {
	table := memtable.New()
	syncer := configsync.New(configsync.Options{
		Table: table,
		Bus:   membus.New().Join("entry-0", "h"),
		Rand:  rand.New(rand.NewPCG(1, 1)),
	})
	startSyncer(t, syncer)
	f := &fixture{T: t, table: table, handler: New(Options{
		Settings: syncer, Explainer: fakeRecords{}, Bills: fakeRecords{}, BootstrapKeySHA256: settings.HashKey("first"),
	})}
	docs := []adminapi.Document{
		{Path: "/fleet", Body: operatorsDoc + operator("root", settings.RoleEditor, "/") +
			operator("reader", settings.RoleReader, "/") + operator("team-t", settings.RoleEditor, "/teams/t")},
		{Path: "/models/m", Body: modelDoc},
		{Path: "/teams/t", Body: teamDoc},
		{Path: "/teams/tt", Body: teamDoc},
		{Path: "/teams/t/rollouts/m2", Body: rolloutDoc},
	}
	f.call("first", "POST", adminapi.PathApply, adminapi.Change{ID: "c1", Documents: docs}, http.StatusOK, nil)
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

// call sends a request, checks the status and decodes the response body into
// answer unless that is nil.
func (f *fixture) call(key, method, target string, body any, wantStatus int, answer any) {
	f.Helper()
	raw, err := json.Marshal(body)
	require.NoError(f, err)
	r := httptest.NewRequest(method, target, bytes.NewReader(raw))
	r.Header.Set("Authorization", "Bearer "+key)
	w := httptest.NewRecorder()
	f.handler.ServeHTTP(w, r)
	got, err := io.ReadAll(w.Body)
	require.NoError(f, err)
	require.Equal(f, wantStatus, w.Code, string(got))
	if answer != nil {
		require.NoError(f, json.Unmarshal(got, answer), string(got))
	}
}

func TestOperatorAccessIsLimitedByRoleAndSubtree(t *testing.T) {
	team := func(path string) adminapi.Change {
		return adminapi.Change{ID: "x", Documents: []adminapi.Document{{Path: path, Body: teamDoc + "quality_target: 0.5\n", Revision: 1}}}
	}
	testCases := []struct {
		desc, key, method, target string
		body                      any
		want                      int
	}{
		{desc: "no key", method: "GET", target: adminapi.PathSettings, want: 401},
		{desc: "unknown key", key: "guess", method: "GET", target: adminapi.PathSettings, want: 401},
		{desc: "bootstrap key after the first settings", key: "first", method: "GET", target: adminapi.PathSettings, want: 401},
		{desc: "reader reads", key: "reader", method: "GET", target: adminapi.PathSettings, want: 200},
		{desc: "reader writes", key: "reader", method: "POST", target: adminapi.PathApply, body: team("/teams/t"), want: 403},
		{desc: "reader withdraws", key: "reader", method: "POST", target: adminapi.PathWithdraw, body: adminapi.WithdrawRequest{ChangeID: "x", Version: "m@v2"}, want: 403},
		{desc: "team editor writes its team", key: "team-t", method: "POST", target: adminapi.PathApply, body: team("/teams/t"), want: 200},
		{desc: "team editor writes a team whose name has the same prefix", key: "team-t", method: "POST", target: adminapi.PathApply, body: team("/teams/tt"), want: 403},
		{desc: "team editor diffs another team", key: "team-t", method: "POST", target: adminapi.PathDiff, body: adminapi.Documents{Documents: team("/teams/tt").Documents}, want: 403},
		{desc: "team editor withdraws for everyone", key: "team-t", method: "POST", target: adminapi.PathWithdraw, body: adminapi.WithdrawRequest{ChangeID: "x", Version: "m@v2"}, want: 403},
		{desc: "team editor reads all bills", key: "team-t", method: "GET", target: adminapi.PathBills, want: 403},
		{desc: "team editor reads its bills", key: "team-t", method: "GET", target: adminapi.PathBills + "?account=t/a", want: 200},
		{desc: "team editor explains its request", key: "team-t", method: "GET", target: adminapi.PathRequests + "/r1", want: 200},
		{desc: "request without a record", key: "root", method: "GET", target: adminapi.PathRequests + "/r2", want: 404},
		{desc: "unknown field", key: "root", method: "POST", target: adminapi.PathApply, body: map[string]int{"idd": 1}, want: 400},
		{desc: "body too large", key: "root", method: "POST", target: adminapi.PathApply, body: bytes.Repeat([]byte("x"), maxBodyBytes), want: 413},
	}
	for _, tc := range testCases {
		t.Run(tc.desc, func(t *testing.T) {
			f := newFixture(t)
			var refusal adminapi.ErrorBody
			f.call(tc.key, tc.method, tc.target, tc.body, tc.want, &refusal)
			if tc.want != http.StatusOK {
				require.NotNil(t, refusal.Error)
				assert.Equal(t, apierror.NotRun, refusal.Error.Execution)
			}
		})
	}
}

func TestTeamOperatorSeesOnlyItsSubtree(t *testing.T) {
	f := newFixture(t)
	var answer adminapi.Documents
	f.call("team-t", "GET", adminapi.PathTree, nil, http.StatusOK, &answer)
	require.Len(t, answer.Documents, 2)
	assert.Equal(t, "/teams/t", answer.Documents[0].Path)
	assert.Equal(t, "/teams/t/rollouts/m2", answer.Documents[1].Path)
}

func TestInstanceWithoutSettingsReportsStaleSettingsForAnyKey(t *testing.T) {
	syncer := configsync.New(configsync.Options{Table: memtable.New(), Bus: membus.New().Join("entry-0", "h"), Rand: rand.New(rand.NewPCG(1, 1))})
	f := &fixture{T: t, handler: New(Options{Settings: syncer, BootstrapKeySHA256: settings.HashKey("first")})}
	for _, key := range []string{"root", "first"} {
		var refusal adminapi.ErrorBody
		f.call(key, "GET", adminapi.PathSettings, nil, http.StatusServiceUnavailable, &refusal)
		assert.Equal(t, apierror.CodeSettingsStale, refusal.Error.Code)
	}
}

func TestConflictResponseContainsDiff(t *testing.T) {
	f := newFixture(t)
	change := func(id, target string) adminapi.Change {
		return adminapi.Change{ID: id, Documents: []adminapi.Document{{Path: "/teams/t", Body: teamDoc + "quality_target: " + target + "\n", Revision: 1}}}
	}
	f.call("root", "POST", adminapi.PathApply, change("a", "0.8"), http.StatusOK, nil)
	var refusal adminapi.ErrorBody
	f.call("team-t", "POST", adminapi.PathApply, change("b", "0.9"), http.StatusConflict, &refusal)
	assert.Equal(t, apierror.CodeConflict, refusal.Error.Code)
	require.Len(t, refusal.Conflicts, 1)
	assert.Equal(t, uint64(2), refusal.Conflicts[0].Current.Revision)
	assert.Contains(t, refusal.Conflicts[0].Diff.Text, "-quality_target: 0.8\n+quality_target: 0.9\n")
}

func TestRevokedOperatorCannotCommit(t *testing.T) {
	f := newFixture(t)
	// Another instance, whose hints do not reach this one, commits settings without
	// the operator. This instance still has the operator when the request arrives.
	other := configsync.New(configsync.Options{Table: f.table, Bus: membus.New().Join("entry-1", "h"), Rand: rand.New(rand.NewPCG(1, 2))})
	_, err := other.Apply(context.Background(), settings.Change{ID: "o", Documents: []settings.Document{
		{Path: "/fleet", Body: []byte(operatorsDoc + operator("root", settings.RoleEditor, "/")), Revision: 1},
	}})
	require.NoError(t, err)
	body := adminapi.Change{ID: "x", Documents: []adminapi.Document{{Path: "/teams/t", Body: teamDoc + "quality_target: 1\n", Revision: 1}}}
	f.call("team-t", "POST", adminapi.PathApply, body, http.StatusForbidden, nil)
}

func TestWithdrawKeepsTheRestOfTheDocument(t *testing.T) {
	f := newFixture(t)
	var result adminapi.ApplyResult
	f.call("root", "POST", adminapi.PathWithdraw, adminapi.WithdrawRequest{ChangeID: "w", Version: "m@v2"}, http.StatusOK, &result)
	assert.Equal(t, uint64(2), result.Revision)
	var docs adminapi.Documents
	f.call("root", "GET", adminapi.PathSettings+"?subtree=/models/m", nil, http.StatusOK, &docs)
	assert.Equal(t, "# The writers' model.\nversions:\n  v1: {input_cost: 1}\n  v2: {input_cost: 2, withdrawn: true} # newer\n", docs.Documents[0].Body)
	f.call("root", "POST", adminapi.PathWithdraw, adminapi.WithdrawRequest{ChangeID: "w", Version: "m@v2"}, http.StatusOK, &result)
	assert.True(t, result.Unchanged, "resent under the same id")
	f.call("root", "POST", adminapi.PathWithdraw, adminapi.WithdrawRequest{ChangeID: "w2", Version: "m@v9"}, http.StatusNotFound, nil)
}

func TestRefusalIsBasedOnLatestSettings(t *testing.T) {
	f := newFixture(t)
	other := configsync.New(configsync.Options{Table: f.table, Bus: membus.New().Join("entry-1", "h"), Rand: rand.New(rand.NewPCG(1, 2))})
	_, err := other.Apply(context.Background(), settings.Change{ID: "o", Documents: []settings.Document{
		{Path: "/models/m", Body: []byte(modelDoc + "  v3: {}\n"), Revision: 1},
	}})
	require.NoError(t, err)
	withdraw := adminapi.WithdrawRequest{ChangeID: "w", Version: "m@v3"}
	f.call("root", "POST", adminapi.PathWithdraw, withdraw, http.StatusOK, nil)
	f.table.SetFaults(memtable.Faults{Down: true})
	withdraw.Version = "m@v4"
	f.call("root", "POST", adminapi.PathWithdraw, withdraw, http.StatusServiceUnavailable, nil)
}

func TestRolloutActions(t *testing.T) {
	f := newFixture(t)
	act := func(action string, want int) {
		t.Helper()
		f.call("team-t", "POST", adminapi.PathRollouts+"/t/m2/"+action, adminapi.RolloutRequest{ChangeID: "r-" + action, Reason: "checking"}, want, nil)
	}
	act("pause", http.StatusOK)
	act("pause", http.StatusOK)
	var list adminapi.Rollouts
	f.call("reader", "GET", adminapi.PathRollouts, nil, http.StatusOK, &list)
	require.Len(t, list.Rollouts, 1)
	assert.Equal(t, settings.RolloutPaused, list.Rollouts[0].Status)
	assert.Equal(t, "checking", list.Rollouts[0].Reason)
	act("resume", http.StatusOK)
	act("withdraw", http.StatusOK)
	act("resume", http.StatusConflict)
	act("dance", http.StatusNotFound)
}

func TestStoreOutageIsReported(t *testing.T) {
	f := newFixture(t)
	f.table.SetFaults(memtable.Faults{Down: true})
	var refusal adminapi.ErrorBody
	body := adminapi.Change{ID: "x", Documents: []adminapi.Document{{Path: "/teams/t", Body: teamDoc, Revision: 1}}}
	f.call("root", "POST", adminapi.PathApply, body, http.StatusServiceUnavailable, &refusal)
	assert.Equal(t, apierror.CodeStoreUnavailable, refusal.Error.Code)
	assert.Equal(t, apierror.NotRun, refusal.Error.Execution)
	assert.Positive(t, refusal.Error.RetryAfterSeconds)
	f.table.SetFaults(memtable.Faults{LoseAnswers: true, Delay: time.Millisecond})
	var result adminapi.ApplyResult
	body.Documents[0].Body += "quality_target: 1\n"
	f.call("root", "POST", adminapi.PathApply, body, http.StatusOK, &result)
	assert.True(t, result.Replayed)
}
