package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/peers/membus"
)

// Parts of prompts.
const (
	first, subject, otherSubject Part = 1, 2, 3
	guilty, otherGuilty          Part = 0xdead1, 0xdead2
)

// testCrash is a crash at a time, in milliseconds, with the parts of the requests that ran.
type testCrash struct {
	at       int
	requests [][]Part
}

// TestFindings guards against findings that are too wide, which refuse sound requests, and
// against parts that are not found.
func TestFindings(t *testing.T) {
	began := time.Now()
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	bad := []Part{first, subject, guilty}
	other := []Part{first, subject, otherGuilty}
	for _, c := range []struct {
		name    string
		crashes []testCrash
		// sound is when answers began that proved parts sound, in milliseconds.
		sound map[Part]int
		found []partSet
	}{
		{
			"three crashes suffice for a part that was never answered",
			[]testCrash{{0, [][]Part{bad}}, {300, [][]Part{bad}}, {600, [][]Part{bad}}},
			map[Part]int{first: -500, subject: -900},
			[]partSet{{guilty}},
		},
		{
			"two don't",
			[]testCrash{{0, [][]Part{bad}}, {300, [][]Part{bad}}},
			map[Part]int{first: -500, subject: -900},
			nil,
		},
		{
			"what always comes together is refused together",
			[]testCrash{{0, [][]Part{bad}}, {300, [][]Part{bad}}, {600, [][]Part{bad}}},
			map[Part]int{first: -500},
			[]partSet{{subject, guilty}},
		},
		{
			"another companion at a later crash narrows the finding",
			[]testCrash{{0, [][]Part{bad}}, {300, [][]Part{bad}}, {600, [][]Part{bad}}, {900, [][]Part{{first, otherSubject, guilty}}}},
			map[Part]int{first: -500},
			[]partSet{{guilty}},
		},
		{
			"crashes at one moment count once",
			[]testCrash{{0, [][]Part{bad}}, {20, [][]Part{bad}}, {40, [][]Part{bad}}, {60, [][]Part{bad}}, {99, [][]Part{bad}}},
			nil,
			nil,
		},
		{
			"a part that was answered long ago needs five crashes",
			[]testCrash{{0, [][]Part{bad}}, {300, [][]Part{bad}}, {600, [][]Part{bad}}, {900, [][]Part{bad}}},
			map[Part]int{first: -500, subject: -900, guilty: -60_000},
			nil,
		},
		{
			"and is then found",
			[]testCrash{{0, [][]Part{bad}}, {300, [][]Part{bad}}, {600, [][]Part{bad}}, {900, [][]Part{bad}}, {1200, [][]Part{bad}}},
			map[Part]int{first: -500, subject: -900, guilty: -60_000},
			[]partSet{{guilty}},
		},
		{
			"each crash has one cause, so neighbours of found parts are not found",
			[]testCrash{
				{0, [][]Part{bad, {first, otherSubject}}},
				{300, [][]Part{{first, otherSubject}, bad}},
				{600, [][]Part{bad, {first, otherSubject}}},
				{900, [][]Part{bad}},
			},
			map[Part]int{first: -500, subject: -900},
			[]partSet{{guilty}},
		},
		{
			"a request beside the cause at each crash leaves the finding open",
			[]testCrash{
				{0, [][]Part{bad, {first, otherSubject}}},
				{300, [][]Part{{first, otherSubject}, bad}},
				{600, [][]Part{bad, {first, otherSubject}}},
			},
			map[Part]int{first: -500, subject: -900},
			nil,
		},
		{
			"among other crashes three don't suffice",
			[]testCrash{
				{-400, [][]Part{{first, otherSubject}}},
				{0, [][]Part{bad}},
				{200, nil},
				{300, [][]Part{bad}},
				{600, [][]Part{bad}},
			},
			map[Part]int{first: -500, subject: -900},
			nil,
		},
		{
			"two parts by turns",
			[]testCrash{
				{0, [][]Part{bad}},
				{200, [][]Part{other}},
				{400, [][]Part{bad}},
				{600, [][]Part{other}},
				{800, [][]Part{bad}},
				{1000, [][]Part{other}},
				{1200, [][]Part{bad}},
				{1400, [][]Part{other}},
				{1600, [][]Part{bad}},
			},
			map[Part]int{first: -500, subject: -900},
			[]partSet{{guilty}, {otherGuilty}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEvidence()
			for p, ms := range c.sound {
				e.addSound(p, at(ms))
			}
			for i, crash := range c.crashes {
				var requests []partSet
				for _, r := range crash.requests {
					requests = append(requests, newPartSet(r))
				}
				e.addCrash(fleet.Process{ID: fmt.Sprint("s", i)}, at(crash.at), requests)
			}
			var found []partSet
			for _, f := range e.findings() {
				found = append(found, f.parts)
			}
			assert.ElementsMatch(t, c.found, found)
		})
	}
}

// TestEvidenceIsBounded guards against evidence that fills the memory: many crashes, many
// requests at each, long prompts, and messages of that kind.
func TestEvidenceIsBounded(t *testing.T) {
	e := newEvidence()
	long := make([]Part, 1000)
	for i := range long {
		long[i] = Part(i)
	}
	for i := range 1000 {
		for range 10 {
			e.addCrash(fleet.Process{ID: fmt.Sprint("s", i)}, time.Now(), []partSet{newPartSet(long), {1}, {2}, {3}, {4}, {5}, {6}, {7}, {8}})
		}
		e.addSound(Part(i)<<20, time.Now())
	}
	assert.LessOrEqual(t, len(e.crashes), maxCrashes)
	for _, c := range e.crashes {
		assert.LessOrEqual(t, len(c.requests), maxRequestsPerCrash)
		for _, r := range c.requests {
			assert.LessOrEqual(t, len(r), maxParts)
		}
	}
	for i := range 2 * maxSoundParts {
		e.addSound(Part(i), time.Now())
	}
	assert.Equal(t, maxSoundParts, e.sound.Len())

	tracker := newTracker(membus.New(), "i0")
	for name, m := range map[string]message{
		"crashes":  {Crashes: make([]crashReport, maxPerMessage+1)},
		"requests": {Crashes: []crashReport{{Server: "s", Requests: make([][]byte, maxRequestsPerCrash+1)}}},
		"parts":    {Crashes: []crashReport{{Server: "s", Requests: [][]byte{make([]byte, (maxParts+1)*partBytes)}}}},
		"bytes":    {Verdicts: []verdictReport{{Parts: []byte{1, 2, 3}}}},
		"none":     {Verdicts: []verdictReport{{}}},
	} {
		body, err := cbor.Marshal(m)
		require.NoError(t, err)
		_, err = tracker.handle(t.Context(), peers.Message{Body: body})
		assert.Error(t, err, name)
	}
	for i := range 2 * maxVerdicts {
		tracker.refuse(partSet{Part(i)}, time.Now(), 0, "")
	}
	assert.Len(t, tracker.verdicts, maxVerdicts)
}

func newTracker(network *membus.Network, name string) *Tracker {
	return New(Options{Bus: network.Join(name, "d"), FleetSize: func() int { return 2 }, Seed: 1})
}

// Guards against deadly parts that are found late, or not at all, because the reports on crashes
// wait until the links to the servers are known to work (BUDGET).
func TestLateReportCountsFromTheEndOfTheConnection(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		tracker := newTracker(membus.New(), "a")
		go tracker.Run(t.Context())
		for n := range newPartCrashes {
			attempt := tracker.Begin(fleet.Process{ID: fmt.Sprint("s", n)}, []Part{first, subject}, func() {})
			time.Sleep(200 * time.Millisecond)
			attempt.Received()
			time.Sleep(60 * time.Millisecond)
			at := time.Now()
			attempt.Ended()
			time.Sleep(accusedFor)
			attempt.Disconnected(at)
			time.Sleep(300 * time.Millisecond)
		}
		_, refused, _ := tracker.Refused([]Part{first, subject})
		assert.True(t, refused)
	})
}

// crashServer lets a request crash a server at an instance, beside another one that goes on
// if the connection alone was lost.
func crashServer(a *Tracker, server string, parts []Part, serverGoesOn bool) {
	other := a.Begin(fleet.Process{ID: server}, []Part{first, otherSubject + Part(server[len(server)-1])}, func() {})
	other.Received()
	attempt := a.Begin(fleet.Process{ID: server}, parts, func() {})
	time.Sleep(200 * time.Millisecond)
	attempt.Received()
	time.Sleep(60 * time.Millisecond)
	attempt.Disconnected(time.Now())
	if !serverGoesOn {
		other.Disconnected(time.Now())
	}
	for range 10 {
		time.Sleep(100 * time.Millisecond)
		if serverGoesOn {
			other.Received()
		}
	}
	if serverGoesOn {
		other.Answered()
	}
}

// loseAnswer lets a request lose its connection at an instance whose peer has another request at the
// server, which goes on.
func loseAnswer(a, peer *Tracker, process fleet.Process, parts []Part) {
	other := peer.Begin(process, []Part{first, otherSubject}, func() {})
	other.Received()
	attempt := a.Begin(process, parts, func() {})
	time.Sleep(100 * time.Millisecond)
	attempt.Received()
	attempt.Disconnected(time.Now())
	for range 10 {
		time.Sleep(50 * time.Millisecond)
		other.Received()
	}
	other.Ended()
}

// TestLostConnectionsAreNoCrashes guards against parts that are refused because connections
// were reset or answers lost while the servers went on, seen here or by another instance.
func TestLostConnectionsAreNoCrashes(t *testing.T) {
	parts := []Part{first, subject}
	for _, seenByPeer := range []bool{false, true} {
		t.Run(fmt.Sprintf("seen by a peer %t", seenByPeer), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				network := membus.New()
				a, b := newTracker(network, "i0"), newTracker(network, "i1")
				go a.Run(t.Context())
				go b.Run(t.Context())
				for i := range 8 {
					server := fmt.Sprint("s", i)
					if !seenByPeer {
						crashServer(a, server, parts, true)
						continue
					}
					loseAnswer(a, b, fleet.Process{ID: server}, parts)
				}
				for _, tracker := range []*Tracker{a, b} {
					_, refused, _ := tracker.Refused(parts)
					assert.False(t, refused)
				}
			})
		})
	}
}

// TestAnswerLiftsTheVerdict guards against a verdict that stays although a server answered a
// request with the part.
func TestAnswerLiftsTheVerdict(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		network := membus.New()
		a, b := newTracker(network, "i0"), newTracker(network, "i1")
		go a.Run(t.Context())
		go b.Run(t.Context())
		parts := []Part{first, subject, guilty}
		late := b.Begin(fleet.Process{ID: "late"}, parts, func() {})
		for i := range 3 {
			crashServer(a, fmt.Sprint("s", i), parts, false)
		}
		for _, tracker := range []*Tracker{a, b} {
			_, refused, _ := tracker.Refused(parts)
			require.True(t, refused)
		}
		require.True(t, late.WasRefused(), "attempts in flight are cancelled")
		late.Received()
		late.Answered()
		time.Sleep(time.Second)
		for _, tracker := range []*Tracker{a, b} {
			_, refused, _ := tracker.Refused(parts)
			assert.False(t, refused)
		}
	})
}

// TestVerdictLeavesAnswersInProgress guards against answers that are broken off although
// their server has written them for so long that they can't crash it.
func TestVerdictLeavesAnswersInProgress(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		a := newTracker(membus.New(), "i0")
		go a.Run(t.Context())
		parts := []Part{first, subject, guilty}
		longer := a.Begin(fleet.Process{ID: "other"}, parts, func() { t.Error("cancelled") })
		longer.Received()
		time.Sleep(2 * soundAfter)
		longer.Received()
		time.Sleep(2 * immunity)
		for i := range answeredPartCrashes {
			crashServer(a, fmt.Sprint("s", i), parts, false)
		}
		_, refused, _ := a.Refused(parts)
		require.True(t, refused)
		assert.False(t, longer.WasRefused())
	})
}
