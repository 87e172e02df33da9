package billing

import (
	"fmt"
	"time"
)

// blockID identifies a block: the records that one instance collected between
// two flushes.
type blockID struct {
	// Instance is the id of the instance that owns the block. It is empty in a
	// message if the sender is the owner. Incarnation is unique to its process.
	Instance    string `cbor:"1,keyasint,omitempty"`
	Incarnation string `cbor:"2,keyasint"`
	Number      uint64 `cbor:"3,keyasint"`
	// StartedMillis is when the block was opened, by its owner's clock, in Unix
	// milliseconds.
	StartedMillis int64 `cbor:"4,keyasint"`
}

// replicateRequest asks a peer to hold records until they are in the table service.
type replicateRequest struct {
	Block blockID `cbor:"1,keyasint"`
	// Records is the output of encodeRecords.
	Records []byte `cbor:"2,keyasint"`
}

// flushedNotice reports that all blocks of the process with a number below
// Before are stored.
type flushedNotice struct {
	Incarnation string `cbor:"1,keyasint"`
	Before      uint64 `cbor:"2,keyasint"`
}

// rowValue is the value of a row in the table service.
type rowValue struct {
	// Records is the output of encodeRecords.
	Records []byte `cbor:"1,keyasint"`
}

const (
	// keyPrefix is the prefix of all bill rows in the table service.
	keyPrefix = "bills/"
	// keyTimeLayout formats a block's start time in UTC so that rows sort by it.
	keyTimeLayout = "20060102T150405.000"
	// ownerWriter is the last part of the key of a row written by the block's owner.
	ownerWriter = "owner"
)

// prefix returns the common prefix of the keys of all rows of a block.
func (id blockID) prefix() string {
	started := time.UnixMilli(id.StartedMillis).UTC().Format(keyTimeLayout)
	return fmt.Sprintf("%s%s/%s.%s/%010d/", keyPrefix, started, id.Instance, id.Incarnation, id.Number)
}
