package mesh

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/peers"
)

const (
	// protocolVersion is the version of the frames that this program writes.
	protocolVersion = 1
	// MaxMessageBytes bounds one frame.
	MaxMessageBytes = 1 << 20
	// maxNameBytes bounds an instance id, and maxErrorBytes an error's text.
	maxNameBytes  = 256
	maxErrorBytes = 1024
	// maxHops bounds how often a broadcast is relayed.
	maxHops = 12
)

// frameType tells how a frame is handled.
type frameType uint8

// The types of frame.
const (
	frameKeepalive frameType = iota + 1
	frameBroadcast
	frameRequest
	frameReply
)

// envelope is one frame.
type envelope struct {
	_       struct{} `cbor:",toarray"`
	Version uint8
	Type    frameType
	Kind    peers.Kind
	// Origin is the instance that first sent the message.
	Origin string
	// Sequence names a broadcast of its origin, or a request of its link.
	Sequence uint64
	// Hops is how often a broadcast may still be sent on.
	Hops uint8
	// Error is set in the reply of a failed request.
	Error string
	Body  []byte
}

// The faults of a received frame.
var (
	errVersion = errors.New("frame of another protocol version")
	errFrame   = errors.New("malformed frame")
)

var decoding = mustDecoding()

// mustDecoding makes a decoder with limits for bytes from outside.
func mustDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 16,
		MaxMapPairs:      16,
		MaxNestedLevels:  4,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func encodeEnvelope(e envelope) ([]byte, error) {
	e.Version = protocolVersion
	frame, err := cbor.Marshal(e)
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	if len(frame) > MaxMessageBytes {
		return nil, errors.Errorf("message of %d bytes passes the limit of %d", len(frame), MaxMessageBytes)
	}
	return frame, nil
}

func decodeEnvelope(frame []byte) (envelope, error) {
	var e envelope
	if len(frame) > MaxMessageBytes {
		return e, errFrame
	}
	if err := decoding.Unmarshal(frame, &e); err != nil {
		return e, errors.Wrap(errFrame, err.Error())
	}
	if e.Version != protocolVersion {
		return e, errVersion
	}
	if e.Type < frameKeepalive || e.Type > frameReply || e.Hops > maxHops {
		return e, errFrame
	}
	if len(e.Origin) > maxNameBytes || len(e.Error) > maxErrorBytes {
		return e, errFrame
	}
	return e, nil
}

// hops is how far a broadcast goes. The rare kinds that restrict what may run or
// tell of new settings reach the whole fleet, in a small one by a second way as
// well. The others, which every instance sends all the time, reach the
// neighbours only: relayed, they would grow with the square of the fleet.
func hops(kind peers.Kind, fullMesh bool) uint8 {
	switch kind {
	case peers.KindSettingsHint, peers.KindSuspension, peers.KindSuspect, peers.KindServerState:
		if fullMesh {
			return 2
		}
		return maxHops
	case peers.KindTableChange, peers.KindUpgradeEvidence, peers.KindContentBroke:
		if fullMesh {
			return 1
		}
		return maxHops
	}
	return 1
}
