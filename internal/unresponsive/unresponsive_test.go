package unresponsive

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers/membus"
	"github.com/basilrail/basilrail/internal/serverpath"
)

// TestNoticesAreCheckedBeforeAServerIsEjected guards against sound servers that are ejected because one
// instance can't connect to them, and against lost ones that stay in use because a check does not end.
func TestNoticesAreCheckedBeforeAServerIsEjected(t *testing.T) {
	refused := func(context.Context) error { return errors.New("connection refused") }
	hangs := func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
	cutOff := func(context.Context) error { return errors.WithMessage(serverpath.ErrCutOff, "connection refused") }
	accepts := func(context.Context) error { return nil }
	for _, c := range []struct {
		name     string
		dial     func(ctx context.Context) error
		isSilent bool
		// after is how long after the notice the server is ejected; negative for never.
		after time.Duration
		kept  int
	}{
		{name: "unreachable, refuses", dial: refused},
		{name: "unreachable, hangs", dial: hangs, after: checkTimeout},
		{name: "unreachable, this instance is cut off too", dial: cutOff, after: -1},
		{name: "unreachable, accepts", dial: accepts, after: -1, kept: 1},
		{name: "silent, accepts", dial: accepts, isSilent: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := membus.New()
				set := fleet.NewSet("z", nil)
				set.Put(fleet.Registration{ID: "s", Service: "web", Address: "s:1", FailureDomain: "z", Slots: 4})
				server, _ := set.Snapshot().Server("s")
				dials, kept := 0, 0
				New(Options{
					Bus: network.Join("b", "z"), Fleet: set,
					Dial: func(ctx context.Context, id string) (net.Conn, error) {
						dials++
						assert.Equal(t, "s", id)
						if err := c.dial(ctx); err != nil {
							return nil, err
						}
						near, _ := net.Pipe()
						return near, nil
					},
					Keep: func(address string, c net.Conn) {
						assert.Equal(t, "s:1", address)
						kept++
						assert.NoError(t, c.Close())
					},
				})
				a := New(Options{Bus: network.Join("a", "z"), Fleet: set})
				if c.isSilent {
					a.NotifySilent(server)
				} else {
					a.NotifyUnreachable(server)
					a.NotifyUnreachable(server)
				}
				if c.after > 0 {
					time.Sleep(c.after - time.Millisecond)
					assert.True(t, server.Available(time.Now()))
					time.Sleep(time.Millisecond)
				}
				synctest.Wait()
				assert.Equal(t, c.after >= 0, !server.Available(time.Now()))
				assert.Equal(t, c.kept, kept)
				if c.isSilent {
					assert.Zero(t, dials)
				}
				if c.after > 0 {
					assert.Equal(t, 1, dials, "notices during a check are part of it")
				}
			})
		})
	}
}
