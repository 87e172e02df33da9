package mesh

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/peers"
)

const (
	// protocolVersion is the version of the frame format.
	protocolVersion = 1
	// MaxMessageBytes bounds one frame.
	MaxMessageBytes = 1 << 20
	// maxNameBytes bounds an instance id, and maxErrorBytes the text of an error.
	maxNameBytes  = 256
	maxErrorBytes = 1024
	// maxHops bounds the number of hops of a broadcast.
	maxHops = 12
)

// frameType selects how a frame is handled.
type frameType uint8

// The frame types.
const (
	frameKeepalive frameType = iota + 1
	frameBroadcast
	frameRequest
	frameReply
)

// envelope is the decoded form of one frame.
type envelope struct {
	_       struct{} `cbor:",toarray"`
	Version uint8
	Type    frameType
	Kind    peers.Kind
	// Origin is the instance that first sent the message.
	Origin string
	// Sequence identifies a broadcast within its origin, or a request within its link.
	Sequence uint64
	// Hops is the number of times that a broadcast may still be relayed.
	Hops uint8
	// Error is set in the reply to a failed request.
	Error string
	Body  []byte
}

// Errors of received frames.
var (
	errVersion = errors.New("frame of another protocol version")
	errFrame   = errors.New("malformed frame")
)

var decMode = mustDecMode()

// mustDecMode returns a decoding mode with limits for untrusted input.
func mustDecMode() cbor.DecMode {
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
	if err := decMode.Unmarshal(frame, &e); err != nil {
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

// initialHops returns the hop limit of a new broadcast. Rare kinds that restrict what
// may run or announce new settings reach the whole fleet; some of them are relayed
// once even in a full mesh, so that they also arrive by a second path. The others,
// which every instance sends continuously, reach only the neighbours: if they were
// relayed, their traffic would grow with the square of the fleet size.
func initialHops(kind peers.Kind, fullMesh bool) uint8 {
	switch kind {
	case peers.KindSettingsHint, peers.KindSuspension, peers.KindSuspect, peers.KindServerState:
		if fullMesh {
			return 2
		}
		return maxHops
	case peers.KindTableChange, peers.KindUpgradeEvidence, peers.KindCrashingContent, peers.KindServerLeaving, peers.KindRequestLimit, peers.KindPromptCrash,
		peers.KindServerBrittle, peers.KindServerFull, peers.KindSlotClaim, peers.KindDomainSummary:
		if fullMesh {
			return 1
		}
		return maxHops
	}
	return 1
}
