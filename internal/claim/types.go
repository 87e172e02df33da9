// Package claim makes a non-idempotent request run at most once: whoever sends
// it must first own a permanent put-if-absent claim in the table service.
package claim

import (
	"net/http"

	"github.com/basilrail/basilrail/internal/settings"
)

// Key names a non-idempotent request: the client account and the caller's key.
type Key struct {
	Account    settings.AccountID
	RequestKey string
}

// Status is what a caller of Acquire may do.
type Status int

// The results of Acquire.
const (
	// Owned means that this attempt, and no other ever, may send the request.
	Owned Status = iota + 1
	// Completed means that the request ran; Outcome holds the recorded answer.
	Completed
	// Pending means that another attempt owns the claim and has not reported.
	Pending
	// Mismatch means that the key was used with another body.
	Mismatch
	// Unavailable means that the store can't tell; nothing was sent.
	Unavailable
)

// Outcome is a recorded answer.
type Outcome struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint"`
	// RequestID is the request that ran.
	RequestID string `cbor:"4,keyasint"`
	// BodyBytes and BodySHA256 stand for a body that was too large to record;
	// Body is empty then and the answer can't be repeated.
	BodyBytes  int    `cbor:"5,keyasint,omitempty"`
	BodySHA256 []byte `cbor:"6,keyasint,omitempty"`
}

// BodyOmitted reports whether the answer ran but was too large to be repeated.
func (o *Outcome) BodyOmitted() bool { return len(o.BodySHA256) > 0 }

// Result is the answer of Acquire.
type Result struct {
	Status  Status
	Outcome *Outcome
	// OwnerRequestID names the request that owns a pending or completed claim.
	OwnerRequestID string
}
