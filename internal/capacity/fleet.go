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

// instance is one entry instance on the loopback interface.
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
		n, err := startInstance(ctx, i, seed, table)
		if err != nil {
			f.close()
			return nil, err
		}
		f.instances = append(f.instances, n)
	}
	for _, n := range f.instances {
		n.mesh.SetPeers(f.others(n))
	}
	return f, f.waitConnected(ctx)
}

func startInstance(ctx context.Context, i int, seed uint64, table *memtable.Table) (*instance, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	n := &instance{listener: listener, domain: fmt.Sprintf("domain-%d", i%failureDomains)}
	n.mesh = mesh.New(mesh.Config{
		Self:   fmt.Sprintf("entry-%04d", i),
		Secret: []byte("capacity"),
		Rand:   rand.New(rand.NewPCG(seed, uint64(i))),
	})
	n.ledger = billing.New(billing.Config{Bus: n.mesh, FailureDomain: n.domain, Committer: table, Scanner: table})
	n.mesh.Handle(peers.KindHeartbeat, accept)
	n.mesh.Handle(peers.KindSettingsHint, accept)
	n.server = &http.Server{Handler: n.mesh.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = n.server.Serve(listener) }()
	go n.mesh.Run(ctx)
	go n.ledger.Run(ctx)
	return n, nil
}

func accept(context.Context, peers.Message) (any, error) { return true, nil }

func (f *fleet) others(self *instance) []peers.Peer {
	var list []peers.Peer
	for _, n := range f.instances {
		if n != self {
			list = append(list, peers.Peer{ID: n.mesh.Self(), FailureDomain: n.domain, Address: n.listener.Addr().String()})
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
	for _, n := range f.instances {
		s := n.mesh.Stats()
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
	for _, n := range f.instances {
		_ = n.server.Close()
	}
}
