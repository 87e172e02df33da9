package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bootclock"
)

func testTable(version uint64) *Table {
	alice := &Account{Name: "alice"}
	return New(Config{
		Version: version,
		Routes: []Route{
			{Name: "all", Host: "a.example", Prefix: "/", Targets: []Target{{Service: "web", Weight: 1}}},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Targets: []Target{{Service: "deep", Weight: 3}, {Service: "new", Weight: 1}}},
			{Name: "short", Host: "a.example", Prefix: "/x/", Anonymous: true, Targets: []Target{{Service: "web", Weight: 1}}},
		},
		Services: []Service{{Name: "web"}},
		Keys:     map[string]*Account{"k1": alice, "k2": alice},
	})
}

func TestMatchReturnsLongestPrefixOfHost(t *testing.T) {
	table := testTable(1)
	for path, want := range map[string]string{"/": "all", "/x": "all", "/x/": "short", "/x/yz": "short", "/x/y/z": "deep"} {
		route, ok := table.Match("a.example", path)
		require.True(t, ok, path)
		assert.Equal(t, want, route.Name, path)
	}
	_, ok := table.Match("b.example", "/")
	assert.False(t, ok)
}

func TestChooseFollowsWeights(t *testing.T) {
	route, _ := testTable(1).Match("a.example", "/x/y/")
	counts := make(map[string]int)
	for i := range 100 {
		service, ok := route.Choose((float64(i) + 0.5) / 100)
		require.True(t, ok)
		counts[service]++
	}
	assert.Equal(t, map[string]int{"deep": 75, "new": 25}, counts)
	_, ok := (&Route{}).Choose(0.5)
	assert.False(t, ok)
}

func TestAllowsUsesCurrentTable(t *testing.T) {
	table := testTable(1)
	route, _ := table.Match("a.example", "/x/y/")
	account, _ := table.Account("k1")
	assert.True(t, table.Allows(route, "k1", account, "deep"))
	assert.False(t, table.Allows(route, "k1", account, "web"), "the service is not a target of the route")
	assert.False(t, table.Allows(route, "gone", account, "deep"), "the key was revoked")

	moved := New(Config{Version: 2, Routes: []Route{{Host: "a.example", Prefix: "/x/y/", Targets: []Target{{Service: "deep", Weight: 0}}}}})
	assert.False(t, moved.Allows(route, "k1", account, "deep"), "the target has no weight")
}

func TestStateRejectsOlderVersions(t *testing.T) {
	s := NewState(func() bootclock.Time { return 0 }, time.Second)
	assert.True(t, s.Put(testTable(5)))
	assert.False(t, s.Put(testTable(4)))
	assert.False(t, s.Put(testTable(5)))
	assert.Equal(t, uint64(5), s.Table().Version())
}

func TestConfirmedRequiresRecentConfirmation(t *testing.T) {
	now := bootclock.Time(10 * time.Second)
	s := NewState(func() bootclock.Time { return now }, 3*time.Second)
	assert.False(t, s.Confirmed(), "no table")
	s.Put(testTable(1))
	s.Confirm(now)
	assert.True(t, s.Confirmed())
	s.Confirm(now - bootclock.Time(time.Second))
	now += bootclock.Time(3 * time.Second)
	assert.True(t, s.Confirmed(), "an older confirmation changes nothing")
	now++
	assert.False(t, s.Confirmed())
}

func TestHostOnly(t *testing.T) {
	assert.Equal(t, "a.example", HostOnly("A.example:8080"))
	assert.Equal(t, "a.example", HostOnly("a.example"))
	assert.Equal(t, "[::1]", HostOnly("[::1]"))
}
