package statechart

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/settings"
)

func TestParseFindings(t *testing.T) {
	tests := []struct {
		desc string
		text string
		want string
	}{
		{
			desc: "unreachable state",
			text: "name: c\nstart: a\nevents: {go: x}\nstates: {a: {on: {go: b}}, b: {final: true}, z: {on: {go: b}}}",
			want: `f: the state "z" can't be reached from the start state`,
		},
		{
			desc: "state without transitions that is not final",
			text: "name: c\nstart: a\nevents: {go: x, stop: x}\nstates: {a: {on: {go: b, stop: e}}, b: {}, e: {final: true}}",
			want: "f: the state \"b\" is not final and has no transition\nf: no final state can be reached from the state \"b\"",
		},
		{
			desc: "cycle without a final state",
			text: "name: c\nstart: a\nevents: {go: x}\nstates: {a: {on: {go: b}}, b: {on: {go: a}}}",
			want: "f: no final state can be reached from the state \"a\"\nf: no final state can be reached from the state \"b\"",
		},
		{
			desc: "undefined event and unused event reported together",
			text: "name: c\nstart: a\nevents: {go: x}\nstates: {a: {on: {jump: b}}, b: {final: true}}",
			want: "f: the state \"a\" accepts the undefined event \"jump\"\nf: no state accepts the event \"go\"",
		},
		{
			desc: "undefined target",
			text: "name: c\nstart: a\nevents: {go: x, end: x}\nstates: {a: {on: {go: q, end: b}}, b: {final: true}}",
			want: `f: the state "a" leads to the undefined state "q"`,
		},
		{
			desc: "final state with a transition",
			text: "name: c\nstart: a\nevents: {go: x}\nstates: {a: {on: {go: b}}, b: {final: true, on: {go: a}}}",
			want: `f: the final state "b" has transitions`,
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			_, err := Parse("f", []byte(test.text))
			require.EqualError(t, err, test.want)
		})
	}
}

func TestMachineRefusesUnknownEvent(t *testing.T) {
	set, err := Load()
	require.NoError(t, err)
	m := NewMachine(set.Request)
	_, err = m.Fire(RequestBill)
	var refused *TransitionError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, RequestReceived, m.State(), "a refused event changes nothing")
	for _, e := range []Event{RequestIdentify, RequestClassify, RequestAdmit, RequestPlan, RequestSend, RequestRetry, RequestSend, RequestAnswer, RequestAccept, RequestBill} {
		_, err = m.Fire(e)
		require.NoError(t, err)
	}
	require.Equal(t, RequestAnswered, m.State())
	require.True(t, m.Final())
}

// TestNamesMatchCharts checks that the names in Go and in the chart files agree.
func TestNamesMatchCharts(t *testing.T) {
	set, err := Load()
	require.NoError(t, err)
	state := func(s settings.RolloutStatus) State { return State(s) }
	require.ElementsMatch(t, set.Rollout.States(), []State{
		state(settings.RolloutRunning), state(settings.RolloutPaused),
		state(settings.RolloutComplete), state(settings.RolloutWithdrawn),
	})
	require.ElementsMatch(t, set.Entry.States(), []State{EntryStarting, EntryReady, EntryUnconfirmed, EntryDraining, EntryStopped})
	require.ElementsMatch(t, set.Server.States(), []State{ServerUnknown, ServerUp, ServerSuspect, ServerDown, ServerDraining, ServerRemoved})
	require.ElementsMatch(t, set.Request.States(), []State{
		RequestReceived, RequestIdentified, RequestClassified, RequestAdmitted, RequestPlanned, RequestClaimed,
		RequestAttempting, RequestJudging, RequestEscalating, RequestBilling, RequestAnswered, RequestRefused, RequestFailed,
	})
	require.ElementsMatch(t, set.Rollout.Events(), []Event{
		RolloutOperatorPause, RolloutOperatorResume, RolloutOperatorWithdraw,
		RolloutStagePassed, RolloutLastStagePassed, RolloutVersionBad,
	})
}
