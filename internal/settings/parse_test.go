package settings

import (
	"os"
	"path/filepath"
	"testing"
	"testing/fstest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// validDocs returns a valid set with at least one document of each kind.
func validDocs() map[string]string {
	return map[string]string{
		"/fleet": "region: r\nfailure_domains: [hall-a]\ntoken_keys:\n- id: k1\noperators:\n" +
			"- name: op\n  key_sha256: " + HashKey("op") + "\n  role: editor\n  subtree: /\n",
		"/models/m":                   "versions:\n  v1: {input_cost: 1, output_cost: 2}\n  v2: {}\n",
		"/services/booking":           "call_cost: 5\noperations:\n- {method: POST, path_prefix: /bookings}\n",
		"/servers/s1":                 "address: 127.0.0.1:1\nfailure_domain: hall-a\nmodels: [m]\ncapacity: 4\n",
		"/teams/t":                    "deadline: 30s\nmodels:\n  m: {stable: v1, allowed: [v1, v2]}\ncascades:\n  default: {models: [m]}\nservices: [booking]\n",
		"/teams/t/accounts/a":         "key_sha256: [" + HashKey("a") + "]\nweight: 1\n",
		"/teams/t/rollouts/m-v2":      "model: m\nfrom: v1\nto: v2\nstatus: running\nstages:\n- percent: 1\n  min_duration: 1m\n",
		"/teams/t/accounts/b":         "key_sha256: [" + HashKey("b") + "]\n",
		"/teams/t/rollouts/m-v1-to-2": "model: m\nfrom: v1\nto: v2\nstatus: complete\nstages: [{percent: 1}]\n",
	}
}

func documents(bodies map[string]string) []Document {
	var docs []Document
	for _, path := range sortedKeys(bodies) {
		docs = append(docs, Document{Path: path, Body: []byte(bodies[path])})
	}
	return docs
}

func TestParseFindings(t *testing.T) {
	testCases := []struct {
		desc string
		path string
		body string
		want []string
	}{
		{
			desc: "unknown field and wrong types, all at once with their lines",
			path: "/servers/s1",
			body: "adress: x\naddress: 127.0.0.1:1\nfailure_domain: hall-a\nmodels: m\ncapacity: many\ntraits: {checks_fencing: maybe}\nservice: booking\n",
			want: []string{
				`/servers/s1:1: unknown field "adress"`,
				`/servers/s1:4: models must be a list, not "m"`,
				`/servers/s1:5: capacity must be a whole number, not "many"`,
				`/servers/s1:5: capacity must be from 1 to 1e+06, not 0`,
				`/servers/s1:6: traits.checks_fencing must be true or false, not "maybe"`,
			},
		},
		{
			desc: "misspelled field name",
			path: "/models/m",
			body: "versions:\n  v1: {}\n  v2: {input-costs: 1}\n",
			want: []string{`/models/m:3: unknown field "versions.v2.input-costs"; did you mean "input_cost"?`},
		},
		{
			desc: "dangling references of a team",
			path: "/teams/t",
			body: "deadline: 30s\nmodels:\n  m: {stable: v1, allowed: [v1, v2, v9]}\n  ghost: {stable: v1, allowed: [v1]}\n" +
				"cascades:\n  default: {models: [m, other]}\nservices: [nowhere]\n",
			want: []string{
				`/teams/t:3: version m@v9 does not exist`,
				`/teams/t:4: model "ghost" does not exist`,
				`/teams/t:6: cascade "default": the team may not use model "other"`,
				`/teams/t:7: service "nowhere" does not exist`,
			},
		},
		{
			desc: "caller key listed in two client accounts",
			path: "/teams/t/accounts/b",
			body: "key_sha256:\n- " + HashKey("a") + "\n",
			want: []string{`/teams/t/accounts/b:2: the key also belongs to client account "t/a"`},
		},
		{
			desc: "second active rollout of a model, and decreasing stage percentages",
			path: "/teams/t/rollouts/z",
			body: "model: m\nfrom: v2\nto: v1\nstatus: paused\nstages:\n- percent: 50\n- percent: 5\n",
			want: []string{
				`/teams/t/rollouts/z:1: roll-out "m-v2" of model "m" is also under way`,
				`/teams/t/rollouts/z:7: a stage must not have a smaller percent than the one before it`,
			},
		},
		{
			desc: "no editor of the whole tree",
			path: "/fleet",
			body: "region: r\nfailure_domains: [hall-a]\ntoken_keys: [{id: k}]\n",
			want: []string{"/fleet:1: operators must hold an editor of the whole tree, or nobody could change settings again"},
		},
		{
			desc: "anchors and aliases",
			path: "/models/m",
			body: "versions: &a\n  v1: {}\n  v2: {}\n",
			want: []string{
				"/models/m:1: versions uses a YAML anchor or alias, which settings don't allow",
				"/models/m:1: versions must hold at least one version",
				"/teams/t:3: version m@v1 does not exist",
				"/teams/t:3: version m@v2 does not exist",
			},
		},
		{desc: "path of no document kind", path: "/nothing/here/at-all", body: "a: 1\n", want: []string{"/nothing/here/at-all: no document belongs at this path"}},
		{desc: "invalid YAML", path: "/models/n", body: "{", want: []string{"/models/n: line 1: did not find expected node content"}},
		{desc: "two YAML documents in one body", path: "/models/n", body: "versions: {v: {}}\n---\nx: 1\n", want: []string{"/models/n: the file must hold exactly one YAML document"}},
		{desc: "duplicate key", path: "/services/booking", body: "call_cost: 1\ncall_cost: 2\n", want: []string{`/services/booking:2: "call_cost" stands twice, first on line 1`}},
		{desc: "duration without a unit", path: "/teams/u", body: "deadline: 30\n", want: []string{
			`/teams/u:1: deadline must be a duration with a unit, such as 30s, not "30"`,
			"/teams/u:1: deadline must be longer than zero",
		}},
		{desc: "no findings", path: "/models/n", body: "versions: {v: {}}\n"},
	}
	for _, tc := range testCases {
		t.Run(tc.desc, func(t *testing.T) {
			bodies := validDocs()
			bodies[tc.path] = tc.body
			_, list := Parse(documents(bodies))
			var got []string
			for _, f := range list {
				got = append(got, f.String())
			}
			assert.ElementsMatch(t, tc.want, got)
		})
	}
}

func TestParseValues(t *testing.T) {
	tree, list := Parse(documents(validDocs()))
	require.NoError(t, list.Err())
	assert.Equal(t, TeamModel{Stable: "v1", Allowed: []string{"v1", "v2"}}, tree.Teams["t"].Models["m"])
	assert.Equal(t, "1m0s", tree.Rollouts["t"]["m-v2"].Stages[0].MinDuration.String())
	assert.False(t, tree.Services["booking"].IsIdempotent("POST", "/bookings"))
}

func TestLoadMapsFilesToPaths(t *testing.T) {
	docs, list := Load(fstest.MapFS{
		"fleet.yaml":                     {Data: []byte("region: r\n")},
		"teams/ikoyi/accounts/shop.yaml": {Data: []byte("weight: 1\n")},
		"teams/ikoyi/notes.txt":          {Data: []byte("x")},
		".git/config.yaml":               {Data: []byte("x")},
	})
	require.Len(t, docs, 2)
	assert.Equal(t, "/fleet", docs[0].Path)
	assert.Equal(t, "/teams/ikoyi/accounts/shop", docs[1].Path)
	assert.EqualError(t, list, "teams/ikoyi/notes.txt: the file's name must end in .yaml")
}

func TestExamplesAreValid(t *testing.T) {
	testCases := []struct {
		desc                                     string
		domains, engines, plain, accounts, teams int
	}{
		{desc: "lagos-main", domains: 4, engines: 18, plain: 4, accounts: 10, teams: 2},
		{desc: "quebec-est", domains: 3, engines: 18, plain: 3, accounts: 10, teams: 2},
	}
	for _, tc := range testCases {
		t.Run(tc.desc, func(t *testing.T) {
			docs, list := Load(os.DirFS(filepath.Join("..", "..", "examples", tc.desc)))
			require.NoError(t, list.Err())
			tree, list := Parse(docs)
			require.NoError(t, list.Err())
			engines, plain, accounts := 0, 0, 0
			for _, server := range tree.Servers {
				if server.Service == "" {
					engines++
				} else {
					plain++
				}
			}
			for _, teamAccounts := range tree.Accounts {
				accounts += len(teamAccounts)
			}
			assert.Equal(t, []int{tc.domains, tc.engines, tc.plain, tc.accounts, tc.teams},
				[]int{len(tree.Fleet.FailureDomains), engines, plain, accounts, len(tree.Teams)})
		})
	}
}

func TestDiff(t *testing.T) {
	before := documents(map[string]string{"/a": "x: 1\ny: 2\n", "/b": "b\n", "/same": "s\n"})
	after := documents(map[string]string{"/a": "x: 1\ny: 3\n", "/c": "c", "/same": "s\n"})
	diffs := Diff(before, after)
	require.Len(t, diffs, 3)
	assert.Equal(t, DocumentDiff{Path: "/a", Kind: DiffChanged, Text: "@@ -1,2 +1,2 @@\n x: 1\n-y: 2\n+y: 3\n"}, diffs[0])
	assert.Equal(t, DiffRemoved, diffs[1].Kind)
	assert.Equal(t, DocumentDiff{Path: "/c", Kind: DiffAdded, Text: "@@ -0,0 +1 @@\n+c\n"}, diffs[2])
}

func FuzzParse(f *testing.F) {
	for path, body := range validDocs() {
		f.Add(path, []byte(body))
	}
	f.Add("/fleet", []byte("a: &x [*x]"))
	f.Add("/teams/t", []byte("models: {m: {allowed: [[]]}}"))
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		valid := documents(validDocs())
		tree, list := Parse(append(valid, Document{Path: path, Body: body}))
		if list.Err() == nil {
			Compile(1, tree)
		}
	})
}
