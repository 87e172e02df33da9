package serverpath

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/peers"
)

const (
	// noticeInterval is how often an instance repeats which services it is cut off from, and
	// noticeTTL how long its peers believe it.
	noticeInterval = 2 * time.Second
	noticeTTL      = 5 * time.Second
)

// message is the body of peers.KindServerPath. It speaks of the links of the sender, never of
// servers.
type message struct {
	// CutOff are the services that the sender can't connect to.
	CutOff []string `cbor:"1,keyasint"`
}

// notify broadcasts which services this instance is cut off from.
func (p *Paths) notify() {
	m := message{CutOff: []string{}}
	for _, service := range p.Fleet.Snapshot().Services() {
		if !p.IsDirect(service) {
			m.CutOff = append(m.CutOff, service)
		}
	}
	p.Bus.Broadcast(peers.KindServerPath, m)
}

// repeatNotice repeats the notice while this instance is cut off from a service.
func (p *Paths) repeatNotice(now time.Time) {
	if p.Unreached() == 0 || now.Sub(p.noticedAt) < noticeInterval {
		return
	}
	p.noticedAt = now
	p.notify()
}

// handle applies a notice from a peer.
func (p *Paths) handle(_ context.Context, msg peers.Message) (any, error) {
	var m message
	if err := cbor.Unmarshal(msg.Body, &m); err != nil {
		return nil, errors.Wrap(err, "decode server-path notice")
	}
	p.relays.report(msg.From, m.CutOff)
	return nil, nil
}
