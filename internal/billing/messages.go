package billing

import (
	"fmt"
	"time"
)

// blockID names a block: the records that one instance gathered between two
// flushes.
type blockID struct {
	// Instance is the id of the entry instance that owns the block, empty in a
	// message if it is the sender; Incarnation is unique to its process.
	Instance    string `cbor:"1,keyasint,omitempty"`
	Incarnation string `cbor:"2,keyasint"`
	Number      uint64 `cbor:"3,keyasint"`
	// StartedMillis is when the block was begun, by its owner's clock, in
	// milliseconds of Unix time.
	StartedMillis int64 `cbor:"4,keyasint"`
}

// handover asks a peer to hold records until they are in the table service.
type handover struct {
	Block blockID `cbor:"1,keyasint"`
	// Records are packed.
	Records []byte `cbor:"2,keyasint"`
}

// flushed tells that all blocks of the process before a number are stored.
type flushed struct {
	Incarnation string `cbor:"1,keyasint"`
	Before      uint64 `cbor:"2,keyasint"`
}

// stored is the value of a row.
type stored struct {
	// Records are packed.
	Records []byte `cbor:"1,keyasint"`
}

const (
	// keyPrefix is where the bills stand in the table service.
	keyPrefix = "bills/"
	// keyTimeLayout orders the rows by the start of their block, in UTC.
	keyTimeLayout = "20060102T150405.000"
	// ownerWriter ends the key of a row written by the block's owner.
	ownerWriter = "owner"
)

// prefix is the common part of the keys of all rows of a block.
func (id blockID) prefix() string {
	started := time.UnixMilli(id.StartedMillis).UTC().Format(keyTimeLayout)
	return fmt.Sprintf("%s%s/%s.%s/%010d/", keyPrefix, started, id.Instance, id.Incarnation, id.Number)
}
