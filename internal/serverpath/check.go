package serverpath

import (
	"context"
	"net"
	"time"

	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/statechart"
	"github.com/basilrail/basilrail/internal/wait"
)

const (
	// maxCheckedServers is the number of servers that a check tries at most. A service half of
	// whose servers are down is wrongly found unreachable by one check in 16, until the next
	// one.
	maxCheckedServers = 4
	// checkTimeout bounds a check, in time that this process ran: what it misses while it
	// lacks processor time says nothing about the links. checkSpacing is the time until a check
	// tries one more server. A connection takes a few milliseconds.
	checkTimeout = 800 * time.Millisecond
	checkSpacing = 50 * time.Millisecond
)

// check finds out whether some server of a service accepts a connection.
type check struct {
	done    chan struct{}
	reached bool
}

// Check reports whether a server of the service accepts a connection of this instance now, or
// whether that was so last if the context ends before.
func (p *Paths) Check(ctx context.Context, service string) bool {
	if p == nil {
		return true
	}
	c := p.startCheck(service)
	select {
	case <-c.done:
		return c.reached
	case <-ctx.Done():
		return p.IsDirect(service)
	}
}

// startCheck starts a check of a service, or returns the one in progress.
func (p *Paths) startCheck(service string) *check {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.path(service)
	if s.running != nil {
		return s.running
	}
	c := &check{done: make(chan struct{})}
	s.running = c
	go p.runCheck(s, c)
	return c
}

func (p *Paths) runCheck(s *path, c *check) {
	c.reached = p.reaches(s.service)
	event := statechart.PathServersLost
	if c.reached {
		event = statechart.PathServersReached
	}
	p.fire(s.service, event)
	p.mu.Lock()
	s.running = nil
	p.mu.Unlock()
	close(c.done)
}

// reaches tries some servers of a service, one more after each failure and after each
// checkSpacing, and reports whether one accepted a connection. A service without servers
// counts as reached.
func (p *Paths) reaches(service string) bool {
	servers := p.sample(service)
	if len(servers) == 0 {
		return true
	}
	ctx, cancel := wait.Bound(context.Background(), checkTimeout)
	defer cancel()
	results := make(chan bool, len(servers))
	spacing := time.NewTicker(checkSpacing)
	defer spacing.Stop()
	started, failed := 0, 0
	for {
		if started <= failed && started < len(servers) {
			p.try(ctx, servers[started].Registration.Address, results)
			started++
		}
		select {
		case ok := <-results:
			if ok {
				return true
			}
			failed++
			if failed == len(servers) {
				return false
			}
		case <-spacing.C:
			if started < len(servers) {
				p.try(ctx, servers[started].Registration.Address, results)
				started++
			}
		case <-ctx.Done():
			return false
		}
	}
}

// try connects to an address in the background.
func (p *Paths) try(ctx context.Context, address string, results chan<- bool) {
	go func() {
		c, err := p.Dial(ctx, "tcp", address)
		if err == nil {
			p.keep(address, c)
		}
		results <- err == nil
	}()
}

func (p *Paths) keep(address string, c net.Conn) {
	if p.Keep != nil {
		p.Keep(address, c)
		return
	}
	_ = c.Close()
}

// sample returns up to maxCheckedServers random servers of a service that are not draining.
func (p *Paths) sample(service string) []*fleet.Server {
	all := p.Fleet.Snapshot().Servers(service)
	p.mu.Lock()
	order := p.rng.Perm(len(all))
	p.mu.Unlock()
	var chosen []*fleet.Server
	for _, i := range order {
		if !all[i].Status().Draining && len(chosen) < maxCheckedServers {
			chosen = append(chosen, all[i])
		}
	}
	return chosen
}
