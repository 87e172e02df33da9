// Package capacity measures what an entry instance spends on its peers, as the
// fleet grows, and works out from it what a large fleet would spend.
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

// node is one instance on the loopback interface.
type node struct {
	mesh     *mesh.Mesh
	ledger   *billing.Ledger
	server   *http.Server
	listener net.Listener
	domain   string
}

// fleet is some nodes over one table in this process.
type fleet struct {
	nodes []*node
}

func startFleet(ctx context.Context, size int, seed uint64) (*fleet, error) {
	f := &fleet{}
	table := memtable.New()
	for i := range size {
		n, err := startNode(ctx, i, seed, table)
		if err != nil {
			f.close()
			return nil, err
		}
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		n.mesh.SetPeers(f.others(n))
	}
	return f, f.waitConnected(ctx)
}

func startNode(ctx context.Context, i int, seed uint64, table *memtable.Table) (*node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	n := &node{listener: listener, domain: fmt.Sprintf("domain-%d", i%failureDomains)}
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

func (f *fleet) others(self *node) []peers.Peer {
	var list []peers.Peer
	for _, n := range f.nodes {
		if n != self {
			list = append(list, peers.Peer{ID: n.mesh.Self(), FailureDomain: n.domain, Address: n.listener.Addr().String()})
		}
	}
	return list
}

// waitConnected waits until no more links are added.
func (f *fleet) waitConnected(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	for steady, last := 0, -1; steady < 6; {
		if err := wait.For(ctx, 500*time.Millisecond); err != nil {
			return errors.Wrap(err, "the fleet did not connect")
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

// sum adds up the counters of all nodes.
func (f *fleet) sum() mesh.Stats {
	var total mesh.Stats
	for _, n := range f.nodes {
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
	for _, n := range f.nodes {
		_ = n.server.Close()
	}
}
