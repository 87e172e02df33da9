package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/brittle"
	"github.com/basilrail/basilrail/internal/retry"
)

// fullServers have a slot for the first attempt. While its answer is judged only the ejected server may
// be asked for one, in vain, and then only the first server has one again.
type fullServers struct {
	noLimits
	ejected, first string
	isOpen         bool
}

func (f *fullServers) MaySend(server string) bool {
	return f.first == "" || f.isOpen && server == f.first || !f.isOpen && server == f.ejected
}

func (f *fullServers) Take(server string, _ time.Time) (*brittle.Slot, bool) {
	if f.first == "" {
		f.first = server
		return nil, true
	}
	return nil, f.isOpen
}

// openingCaller opens the servers with the first event.
type openingCaller struct {
	caller
	servers *fullServers
}

func (c *openingCaller) Event(e Event) error {
	c.servers.isOpen = true
	return c.caller.Event(e)
}

// TestServersWithoutASlotDoNotReplaceTriedServers guards against a request that is sent to the same
// server again: servers that were asked for a slot in vain took its place among those that were tried.
func TestServersWithoutASlotDoNotReplaceTriedServers(t *testing.T) {
	b := newSetup(streams(20, 1, 2, NewSendError(retry.OutcomeDisconnected, errTest)), streams(90, 3, 4, nil))
	// With an ejected server the choice goes on to the list of tried servers alone.
	ejected := b.d.Fleet.Snapshot().Servers("models")[0]
	for !ejected.RecordFailure(time.Now()) {
	}
	servers := &fullServers{ejected: ejected.ID}
	b.d.Limits = servers
	c := &openingCaller{servers: servers}
	b.d.Serve(context.Background(), &Request{ID: "id", Host: "h", Path: "/chat/", Key: "key", Arrived: time.Now(), AnyModel: true}, c)
	require.NotEmpty(t, b.script.attempts)
	for _, a := range b.script.attempts[1:] {
		assert.NotEqual(t, servers.first, a.Server.ID)
	}
}
