package quarantine

import (
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/tablestore"
)

// maxPersistPerRound bounds the writes per round.
const maxPersistPerRound = 32

// storedRecord is the row of a quarantined content in the table service.
type storedRecord struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Crashes     []Crash     `cbor:"2,keyasint"`
	// At is when the row was written, by the clock of the writing instance. It only
	// limits how long the row is kept.
	At time.Time `cbor:"3,keyasint"`
}

func decodeStored(value []byte) (storedRecord, error) {
	var stored storedRecord
	err := cbor.Unmarshal(value, &stored)
	return stored, errors.Wrap(err, "decode quarantine row")
}

// persist stores newly quarantined contents. Any instance may write the row; the
// first write wins, and failed writes are retried in the next round.
func (q *Quarantine) persist(ctx context.Context) {
	if q.table == nil {
		return
	}
	for _, stored := range q.unpersisted() {
		key := rowPrefix + stored.Fingerprint.String()
		value, err := cbor.Marshal(stored)
		if err != nil {
			return
		}
		result := q.table.Commit(ctx, tablestore.Txn{
			Conditions: []tablestore.Condition{{Key: key}},
			Mutations:  []tablestore.Mutation{{Key: key, Value: value}},
		})
		if result.Outcome == tablestore.OutcomeCommitted || result.Outcome == tablestore.OutcomeConflict {
			q.markPersisted(stored.Fingerprint)
		}
	}
}

func (q *Quarantine) unpersisted() []storedRecord {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	var list []storedRecord
	for fp, r := range q.records.byContent {
		if len(list) == maxPersistPerRound {
			break
		}
		if r.quarantined() && !r.persisted && !now.After(r.expiresAt()) {
			list = append(list, storedRecord{Fingerprint: fp, Crashes: slices.Clone(r.unclearedCrashes()), At: now})
		}
	}
	return list
}

func (q *Quarantine) markPersisted(fp Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r, ok := q.records.byContent[fp]; ok {
		r.persisted = true
	}
}
