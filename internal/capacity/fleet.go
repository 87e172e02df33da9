// Package capacity measures the network and CPU cost of peer messages per entry
// instance as the fleet grows, and projects the cost for a large fleet. It also
// measures the cost of the backend servers for one instance.
package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/billing"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/peers/mesh"
	"github.com/basilrail/basilrail/internal/tablestore/memtable"
	"github.com/basilrail/basilrail/internal/wait"
)

const (
	failureDomains    = 4
	connectTimeout    = 10 * time.Second
	readHeaderTimeout = 5 * time.Second
)

// instance is one instance of a fleet, on the loopback interface.
type instance struct {
	mesh     *mesh.Mesh
	ledger   *billing.Ledger
	server   *http.Server
	listener net.Listener
	domain   string
}

// fleet is a set of instances that share one in-memory table.
type fleet struct {
	instances []*instance
}

func startFleet(ctx context.Context, size int, seed uint64) (*fleet, error) {
	f := &fleet{}
	table := memtable.New()
	for i := range size {
		inst, err := startInstance(ctx, i, seed, table)
		if err != nil {
			f.close()
			return nil, err
		}
		f.instances = append(f.instances, inst)
	}
	for _, inst := range f.instances {
		inst.mesh.SetPeers(f.others(inst))
	}
	return f, f.waitConnected(ctx)
}

func startInstance(ctx context.Context, i int, seed uint64, table *memtable.Table) (*instance, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	inst := &instance{listener: listener, domain: fmt.Sprintf("domain-%d", i%failureDomains)}
	inst.mesh = mesh.New(mesh.Config{
		Self:   fmt.Sprintf("entry-%04d", i),
		Secret: []byte("capacity"),
		Rand:   rand.New(rand.NewPCG(seed, uint64(i))),
	})
	inst.ledger = billing.New(billing.Config{Bus: inst.mesh, FailureDomain: inst.domain, Committer: table, Scanner: table})
	inst.mesh.Handle(peers.KindHeartbeat, accept)
	inst.mesh.Handle(peers.KindSettingsHint, accept)
	inst.server = &http.Server{Handler: inst.mesh.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = inst.server.Serve(listener) }()
	go inst.mesh.Run(ctx)
	go inst.ledger.Run(ctx)
	return inst, nil
}

func accept(context.Context, peers.Message) (any, error) { return true, nil }

func (f *fleet) others(self *instance) []peers.Peer {
	var list []peers.Peer
	for _, inst := range f.instances {
		if inst != self {
			list = append(list, peers.Peer{ID: inst.mesh.Self(), FailureDomain: inst.domain, Address: inst.listener.Addr().String()})
		}
	}
	return list
}

// waitConnected waits until the number of links is stable.
func (f *fleet) waitConnected(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for steady, last := 0, -1; steady < 6; {
		if err := wait.For(ctx, 500*time.Millisecond); err != nil {
			return errors.Wrap(err, "fleet did not connect in time")
		}
		links := f.sum().Links
		if links != last {
			steady = 0
		}
		steady++
		last = links
	}
	return nil
}

// sum returns the sums of the counters of all instances.
func (f *fleet) sum() mesh.Stats {
	var total mesh.Stats
	for _, inst := range f.instances {
		s := inst.mesh.Stats()
		total.Links += s.Links
		total.Dropped += s.Dropped
		for i := range s.Kinds {
			total.Kinds[i].SentBytes += s.Kinds[i].SentBytes
			total.Kinds[i].SentFrames += s.Kinds[i].SentFrames
			total.Kinds[i].ReceivedBytes += s.Kinds[i].ReceivedBytes
			total.Kinds[i].ReceivedFrames += s.Kinds[i].ReceivedFrames
		}
	}
	return total
}

func (f *fleet) close() {
	for _, inst := range f.instances {
		_ = inst.server.Close()
	}
}
