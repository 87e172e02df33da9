package mesh

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// handshakeTimeout bounds a dial and, separately, the handshake at each end.
	handshakeTimeout = 2 * time.Second
	// maxHandshakeBytes bounds a frame before the peer is authenticated.
	maxHandshakeBytes = 4 << 10
	nonceBytes        = 32
)

// errUnauthenticated is returned if the peer did not prove that it has the shared
// secret.
var errUnauthenticated = errors.New("peer did not prove the shared secret")

// identity identifies one process of an instance.
type identity struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

// hello is the dialer's first frame.
type hello struct {
	Version uint8    `cbor:"1,keyasint"`
	From    identity `cbor:"2,keyasint"`
	Nonce   []byte   `cbor:"3,keyasint"`
	// Transient marks a connection for requests only, which is not a link of the
	// mesh.
	Transient bool `cbor:"4,keyasint"`
	// Target is what a stream is opened to; empty for a link. It is set exactly if Version
	// is streamVersion.
	Target string `cbor:"5,keyasint,omitempty"`
}

// isValid reports whether a hello is complete and its version is known.
func (h *hello) isValid() error {
	isStream := h.Version == streamVersion && h.Target != ""
	if !isStream && (h.Version != protocolVersion || h.Target != "") {
		return errVersion
	}
	if len(h.Nonce) != nonceBytes || h.From.ID == "" || len(h.From.ID) > maxNameBytes || len(h.Target) > maxNameBytes {
		return errFrame
	}
	return nil
}

// welcome is the acceptor's answer, with its proof of the shared secret.
type welcome struct {
	Version uint8    `cbor:"1,keyasint"`
	From    identity `cbor:"2,keyasint"`
	Nonce   []byte   `cbor:"3,keyasint"`
	MAC     []byte   `cbor:"4,keyasint"`
}

// proof is the dialer's proof of the shared secret.
type proof struct {
	MAC []byte `cbor:"1,keyasint"`
}

// mac returns the HMAC of a role and of all fields that both ends sent.
func mac(secret []byte, role string, h hello, w welcome) []byte {
	sum := hmac.New(sha256.New, secret)
	transient := []byte{0}
	if h.Transient {
		transient[0] = 1
	}
	fields := [][]byte{
		[]byte(role),
		{h.Version, w.Version},
		transient, h.Nonce, w.Nonce,
		[]byte(h.From.ID), []byte(h.From.Incarnation), []byte(w.From.ID), []byte(w.From.Incarnation),
	}
	if h.Target != "" {
		fields = append(fields, []byte(h.Target))
	}
	for _, field := range fields {
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(field)))
		sum.Write(length[:])
		sum.Write(field)
	}
	return sum.Sum(nil)
}

const (
	roleAcceptor = "acceptor"
	roleDialer   = "dialer"
)

func nonce() []byte {
	b := make([]byte, nonceBytes)
	_, _ = rand.Read(b) // never fails
	return b
}

// dialHandshake runs the dialer's side of the handshake with a hello, whose nonce it sets,
// and returns the identity of the acceptor.
func dialHandshake(ctx context.Context, conn *websocket.Conn, secret []byte, h hello) (identity, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn.SetReadLimit(maxHandshakeBytes)
	h.Nonce = nonce()
	if err := write(ctx, conn, h); err != nil {
		return identity{}, err
	}
	var w welcome
	if err := read(ctx, conn, &w); err != nil {
		return identity{}, err
	}
	if w.Version != protocolVersion {
		return identity{}, errVersion
	}
	if len(w.Nonce) != nonceBytes || !hmac.Equal(w.MAC, mac(secret, roleAcceptor, h, w)) {
		return identity{}, errUnauthenticated
	}
	return w.From, write(ctx, conn, proof{MAC: mac(secret, roleDialer, h, w)})
}

// acceptHandshake runs the acceptor's side of the handshake and returns the dialer's
// hello.
func acceptHandshake(ctx context.Context, conn *websocket.Conn, secret []byte, self identity) (hello, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn.SetReadLimit(maxHandshakeBytes)
	var h hello
	if err := read(ctx, conn, &h); err != nil {
		return h, err
	}
	if err := h.isValid(); err != nil {
		return h, err
	}
	w := welcome{Version: protocolVersion, From: self, Nonce: nonce()}
	w.MAC = mac(secret, roleAcceptor, h, w)
	if err := write(ctx, conn, w); err != nil {
		return h, err
	}
	var p proof
	if err := read(ctx, conn, &p); err != nil {
		return h, err
	}
	if !hmac.Equal(p.MAC, mac(secret, roleDialer, h, w)) {
		return h, errUnauthenticated
	}
	return h, nil
}

func write(ctx context.Context, conn *websocket.Conn, v any) error {
	encoded, err := cbor.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode handshake")
	}
	return conn.Write(ctx, websocket.MessageBinary, encoded)
}

func read(ctx context.Context, conn *websocket.Conn, v any) error {
	_, encoded, err := conn.Read(ctx)
	if err != nil {
		return err
	}
	if err := decMode.Unmarshal(encoded, v); err != nil {
		return errors.Wrap(errFrame, err.Error())
	}
	return nil
}
