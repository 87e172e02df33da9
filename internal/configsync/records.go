// Package configsync keeps the settings in effect on an entry instance in sync
// with those committed in the table service.
//
// A commit is one transaction: it moves the head row from the revision that the
// change was checked against to the next one, and writes the documents, a log
// row and a row under the change id. So commits are totally ordered, the change
// id resolves a commit whose reply was lost, and instances read only the log
// rows after their revision. Hints and deltas between instances spread a
// revision in milliseconds; an instance never goes back to an earlier revision.
package configsync

import (
	"crypto/sha256"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/tablestore"
)

// Keys and key prefixes of the rows in the table service.
const (
	headKey      = "settings/head"
	docPrefix    = "settings/doc"
	logPrefix    = "settings/log/"
	changePrefix = "settings/change/"
)

// LogRetention is the number of revisions whose log and change rows are kept.
const LogRetention = 16384

// headRow is the value of the head row, which holds the latest revision.
type headRow struct {
	Revision uint64 `cbor:"1,keyasint"`
	// ChangeID makes the value unique to the change that wrote it.
	ChangeID string `cbor:"2,keyasint"`
}

// changeRow is the value of a change's row, which records its commit.
type changeRow struct {
	Revision uint64 `cbor:"1,keyasint"`
	// Digest distinguishes a resent change from another one with the same id.
	Digest []byte `cbor:"2,keyasint"`
}

// logEntry is one committed change; its documents have the new bodies.
type logEntry struct {
	Revision  uint64              `cbor:"1,keyasint"`
	ChangeID  string              `cbor:"2,keyasint"`
	Author    string              `cbor:"3,keyasint"`
	Documents []settings.Document `cbor:"4,keyasint"`
}

// bytes returns the approximate encoded size of the entry.
func (e logEntry) bytes() int {
	total := len(e.ChangeID) + len(e.Author)
	for _, doc := range e.Documents {
		total += len(doc.Path) + len(doc.Body)
	}
	return total
}

func docKey(path string) string { return docPrefix + path }

func changeKey(id string) string { return changePrefix + id }

// logKey returns the key of a log row; keys sort in the order of revisions.
func logKey(revision uint64) string { return fmt.Sprintf("%s%020d", logPrefix, revision) }

// encode encodes one of this package's own types, which can't fail.
func encode(v any) []byte {
	body, err := cbor.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "encode a settings row"))
	}
	return body
}

func decode(row tablestore.Row, v any) error {
	return errors.Wrapf(cbor.Unmarshal(row.Value, v), "decode row %s", row.Key)
}

// digest returns a hash of the change's documents.
func digest(change settings.Change) []byte {
	sum := sha256.Sum256(encode(change.Documents))
	return sum[:]
}
