package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const list = `# comment
test: internal/a TestRed
command: go test ./internal/a
seed: 7
seen: 2 executions
issue: 4
`

func lines(l ...string) string { return strings.Join(l, "\n") }

func TestVerdict(t *testing.T) {
	const (
		redFails   = `{"Action":"fail","Package":"m/internal/a","Test":"TestRed"}`
		subFails   = `{"Action":"fail","Package":"m/internal/a","Test":"TestRed/sub"}`
		otherFails = `{"Action":"fail","Package":"m/internal/a","Test":"TestRedder"}`
		sameName   = `{"Action":"fail","Package":"m/internal/b","Test":"TestRed"}`
		aFails     = `{"Action":"fail","Package":"m/internal/a"}`
		bFails     = `{"Action":"fail","Package":"m/internal/b"}`
		aPasses    = `{"Action":"pass","Package":"m/internal/a"}`
		panics     = `{"Action":"output","Package":"m/internal/a","Test":"TestRed","Output":"panic: x\n"}`
	)
	tests := []struct {
		desc  string
		input string
		want  bool
	}{
		{desc: "all pass", input: aPasses, want: true},
		{desc: "the listed test fails", input: lines(redFails, aFails), want: true},
		{desc: "a subtest of the listed test fails", input: lines(subFails, redFails, aFails), want: true},
		{desc: "another test fails", input: lines(otherFails, aFails), want: false},
		{desc: "another test and the listed one fail", input: lines(redFails, otherFails, aFails), want: false},
		{desc: "a test of the same name in another package fails", input: lines(sameName, bFails), want: false},
		{desc: "a package does not build", input: bFails, want: false},
		{desc: "a package's tests never end", input: lines(aPasses, `{"Action":"start","Package":"m/internal/b"}`), want: false},
		{desc: "the process ends by itself after the listed test failed", input: lines(redFails, `{"Action":"run","Package":"m/internal/a","Test":"TestCutOff"}`, aFails), want: false},
		{desc: "the listed test panics", input: lines(panics, redFails, aFails), want: false},
	}
	known, err := parseKnown("KNOWN-RED.txt", list)
	require.NoError(t, err)
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			var out strings.Builder
			g := newGate(known, &out)
			require.NoError(t, g.read(strings.NewReader(test.input)))
			assert.Equal(t, test.want, g.verdict())
			assert.Contains(t, out.String(), "seen: 2 executions")
		})
	}
}

// Guards against a test process that ends by itself without a word in CI on the cause.
func TestOutputOfATestThatDidNotEndIsPrinted(t *testing.T) {
	var out strings.Builder
	g := newGate(nil, &out)
	require.NoError(t, g.read(strings.NewReader(lines(
		`{"Action":"start","Package":"m/internal/a"}`,
		`{"Action":"run","Package":"m/internal/a","Test":"TestEnds"}`,
		`{"Action":"output","Package":"m/internal/a","Test":"TestEnds","Output":"of a test that passed\n"}`,
		`{"Action":"pass","Package":"m/internal/a","Test":"TestEnds"}`,
		`{"Action":"run","Package":"m/internal/a","Test":"TestCutOff"}`,
		`{"Action":"output","Package":"m/internal/a","Test":"TestCutOff","Output":"signal: killed\n"}`,
		`{"Action":"fail","Package":"m/internal/a"}`,
	))))
	assert.False(t, g.verdict())
	assert.Contains(t, out.String(), "UNFINISHED m/internal/a TestCutOff\nsignal: killed\n")
	assert.NotContains(t, out.String(), "TestEnds")
}

func TestNoTestsRunIsAnError(t *testing.T) {
	assert.Error(t, newGate(nil, &strings.Builder{}).read(strings.NewReader("")))
}

func TestAllListErrorsAreReported(t *testing.T) {
	_, err := parseKnown("KNOWN-RED.txt", "test: internal/a TestRed\nseed: 7\n\ntest: x\ncommand: c\nseed: 1\nseen: s\nissue: 4\n")
	require.Error(t, err)
	assert.Equal(t, 4, strings.Count(err.Error(), "KNOWN-RED.txt"))
}
