// Package claim makes a non-idempotent request run at most once: an instance may send
// it only if it owns the request's permanent put-if-absent claim in the table service.
package claim

import (
	"net/http"

	"github.com/basilrail/basilrail/internal/settings"
)

// Key identifies a non-idempotent request by the client account and the caller's key.
type Key struct {
	Account    settings.AccountID
	RequestKey string
}

// Status is the state of a claim after Acquire; it determines whether the request may be
// sent.
type Status int

// The values of Status.
const (
	// Owned means that this request owns the claim: only it may be sent, and may run once.
	Owned Status = iota + 1
	// Completed means that the request ran; Outcome holds the recorded answer.
	Completed
	// Pending means that another request owns the claim and has recorded no outcome yet.
	Pending
	// Mismatch means that the key was used with another body.
	Mismatch
	// Unavailable means that the store could not determine the owner; the request must
	// not be sent.
	Unavailable
)

// Outcome is a recorded answer.
type Outcome struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint"`
	// RequestID identifies the request that ran.
	RequestID string `cbor:"4,keyasint"`
	// BodyBytes and BodySHA256 replace a body that was too large to record. Body is empty
	// then and the answer can't be replayed.
	BodyBytes  int    `cbor:"5,keyasint,omitempty"`
	BodySHA256 []byte `cbor:"6,keyasint,omitempty"`
}

// BodyOmitted reports whether the body was too large to be recorded and replayed.
func (o *Outcome) BodyOmitted() bool { return len(o.BodySHA256) > 0 }

// Result is what Acquire returns.
type Result struct {
	Status  Status
	Outcome *Outcome
	// OwnerRequestID identifies the request that owns the claim. It is empty if Status is
	// Unavailable.
	OwnerRequestID string
}
