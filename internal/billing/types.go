// Package billing records the cost of each request in the table service. Records are
// replicated to peers until they are stored; a record that is stored more than once is
// billed once, by its key.
package billing

import (
	"time"

	"github.com/basilrail/basilrail/internal/settings"
)

// Line is one attempt of a request.
type Line struct {
	AttemptID string `cbor:"1,keyasint" json:"attempt_id"`
	// Target is "model@version", or the name of a plain service.
	Target       string              `cbor:"2,keyasint" json:"target"`
	Server       string              `cbor:"3,keyasint" json:"server"`
	InputTokens  int                 `cbor:"4,keyasint" json:"input_tokens"`
	OutputTokens int                 `cbor:"5,keyasint" json:"output_tokens"`
	Cost         settings.MicroUnits `cbor:"6,keyasint" json:"cost"`
	// Billed is false for an attempt that the caller is not charged for, such
	// as a retried or abandoned one.
	Billed bool `cbor:"7,keyasint" json:"billed"`
}

// Record is the bill of one request. Account and RequestID are its key: a
// second record with the same key is the same bill.
type Record struct {
	Account   settings.AccountID `cbor:"1,keyasint" json:"account"`
	RequestID string             `cbor:"2,keyasint" json:"request_id"`
	// At is when the request ended, by the instance's clock. It is used for
	// reports only.
	At    time.Time           `cbor:"3,keyasint" json:"at"`
	Lines []Line              `cbor:"4,keyasint" json:"lines"`
	Total settings.MicroUnits `cbor:"5,keyasint" json:"total"`
}
