package quarantine

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/wait"
)

const (
	// catchUpTime is how long after its start an instance asks its peers for the contents that
	// disconnect servers, every catchUpInterval until one that knows them answers within
	// catchUpTimeout; catchUpPeers are asked at a time.
	catchUpTime     = 5 * time.Second
	catchUpInterval = 200 * time.Millisecond
	catchUpTimeout  = 500 * time.Millisecond
	catchUpPeers    = 3
	// maxKnownContents bounds the contents in an answer, to about 100 kB.
	maxKnownContents = 512
	// reportAnswers is the mean number of instances that answer a report by a peer that knows
	// less than they do.
	reportAnswers = 3.0
)

// catchUp fetches the contents that the peers know. Without them an instance that has just started
// would pass a content on until it has crashed as many servers again.
func (d *DisconnectTracker) catchUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTime)
	defer cancel()
	wait.Every(ctx, catchUpInterval, func() {
		asking, stop := context.WithTimeout(ctx, catchUpTimeout)
		defer stop()
		if peers.AskSome(asking, d.bus, catchUpPeers, d.fetch) > 0 {
			cancel()
		}
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isInformed = true
}

// fetch merges the contents that a peer knows. It returns an error if the peer knows no more than
// this instance, as it has just started or is of an earlier build.
func (d *DisconnectTracker) fetch(ctx context.Context, peer string) error {
	var answer *disconnectsMessage
	if err := d.bus.Request(ctx, peer, peers.KindCrashingContent, disconnectsMessage{IsRequest: true}, &answer); err != nil {
		err = errors.Wrapf(err, "fetch contents that disconnect servers from %s", peer)
		d.log.Log(events.CrashingContentsUnknown, events.Fields{Peer: peer, Err: err})
		return err
	}
	if answer == nil || len(answer.Disconnected) > maxKnownContents {
		return errors.Errorf("instance %s does not answer the request", peer)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, content := range answer.Disconnected {
		d.mergeReport(content)
	}
	if !answer.IsInformed {
		return errors.Errorf("instance %s has just started too", peer)
	}
	return nil
}

// known returns the contents that are known here, those with the most disconnects first.
func (d *DisconnectTracker) known() disconnectsMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := disconnectsMessage{IsInformed: d.isInformed}
	for fp, state := range d.refused {
		if len(state.servers) > 0 {
			m.Disconnected = append(m.Disconnected, state.report(fp))
		}
	}
	for _, fp := range d.contents.Keys() {
		if state, ok := d.contents.Peek(fp); ok {
			m.Disconnected = append(m.Disconnected, state.report(fp))
		}
	}
	slices.SortFunc(m.Disconnected, func(a, b contentReport) int { return cmp.Compare(len(b.Servers), len(a.Servers)) })
	m.Disconnected = m.Disconnected[:min(len(m.Disconnected), maxKnownContents)]
	return m
}

// answerReport lets some of the instances that know more disconnects than a peer reports broadcast what
// they know: the peer was cut off or has restarted. The caller holds the lock.
func (d *DisconnectTracker) answerReport(content contentReport) {
	state := d.peek(content.Fingerprint)
	if state == nil || len(state.servers) <= len(content.Servers) {
		return
	}
	if rand.Float64()*float64(len(d.bus.Peers())+1) < reportAnswers {
		d.unreported[content.Fingerprint] = true
	}
}
