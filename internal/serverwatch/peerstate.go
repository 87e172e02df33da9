package serverwatch

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/statechart"
)

// stateMessage is the body of peers.KindServerState: a server observed draining or down.
type stateMessage struct {
	Server  string           `cbor:"1,keyasint"`
	Process string           `cbor:"2,keyasint"`
	State   statechart.State `cbor:"3,keyasint"`
}

// broadcastState sends the observed state of a server to the peers. It broadcasts in
// a goroutine so that the lock is not held during the call to the bus.
func (w *Watcher) broadcastState(id string, t *tracked, state statechart.State) {
	msg := stateMessage{Server: id, Process: t.status.Process, State: state}
	go w.bus.Broadcast(peers.KindServerState, msg)
}

func (w *Watcher) handleState(_ context.Context, msg peers.Message) (any, error) {
	body, err := decodeState(msg.Body)
	if err != nil {
		return nil, err
	}
	w.withServer(body.Server, func(t *tracked) { w.applyPeerState(body, t) })
	return nil, nil
}

// applyPeerState applies a state that a peer observed of the same server process. A
// server that is down for a peer gets no new work until this instance has probed it
// itself. That probe becomes due at a random time within retryInterval, so that the
// instances' probes are spread out.
func (w *Watcher) applyPeerState(msg stateMessage, t *tracked) {
	if msg.Process != t.status.Process {
		return
	}
	switch msg.State {
	case statechart.ServerDraining:
		t.refusedAt, t.refusedProcess = time.Now(), t.status.Process
		w.fire(msg.Server, t, statechart.ServerReportDraining)
	case statechart.ServerDown:
		t.due = time.Now().Add(time.Duration(w.rand.Int64N(int64(retryInterval))))
		w.fire(msg.Server, t, statechart.ServerConnectionRefused)
		w.signal()
	}
}

func decodeState(body []byte) (stateMessage, error) {
	var msg stateMessage
	if err := cbor.Unmarshal(body, &msg); err != nil {
		return msg, errors.Wrap(err, "decode server state")
	}
	if msg.Server == "" || len(msg.Process) > maxProcessIDBytes {
		return msg, errors.New("malformed server state")
	}
	return msg, nil
}
