package configsync

import (
	"context"

	"github.com/basilrail/basilrail/internal/tablestore"
)

// txn builds the transaction: it holds only if the head has not moved and the
// change id is new, so of two copies of it at most one takes effect.
func (a *attempt) txn(ctx context.Context, entry logEntry, headRevision uint64) (tablestore.Txn, error) {
	txn := tablestore.Txn{
		Conditions: []tablestore.Condition{
			{Key: headKey, Revision: headRevision},
			{Key: changeKey(entry.ChangeID)},
		},
		Mutations: []tablestore.Mutation{
			{Key: headKey, Value: encode(headRow{Revision: entry.Revision, ChangeID: entry.ChangeID})},
			{Key: changeKey(entry.ChangeID), Value: encode(changeRow{Revision: entry.Revision, Digest: digest(a.change)})},
			{Key: logKey(entry.Revision), Value: encode(entry)},
		},
	}
	for _, doc := range entry.Documents {
		row := tablestore.Mutation{Key: docKey(doc.Path), Value: encode(doc)}
		if len(doc.Body) == 0 {
			row = tablestore.Mutation{Key: docKey(doc.Path), Delete: true}
		}
		txn.Mutations = append(txn.Mutations, row)
	}
	expired, err := a.expired(ctx, entry.Revision)
	txn.Mutations = append(txn.Mutations, expired...)
	return txn, err
}

// expired deletes the rows of the revision that leaves the retained log.
func (a *attempt) expired(ctx context.Context, revision uint64) ([]tablestore.Mutation, error) {
	if revision <= LogRetention {
		return nil, nil
	}
	key := logKey(revision - LogRetention)
	rows, err := a.syncer.get(ctx, key)
	if err != nil || len(rows) == 0 {
		return nil, err
	}
	var old logEntry
	if err := decode(rows[0], &old); err != nil {
		return nil, err
	}
	return []tablestore.Mutation{{Key: key, Delete: true}, {Key: changeKey(old.ChangeID), Delete: true}}, nil
}

// commit sends the transaction. From before it is sent until its outcome is
// known, this instance must not state that it knows of every commit of its own.
func (a *attempt) commit(ctx context.Context, txn tablestore.Txn, next *state, entry logEntry) (ApplyResult, error) {
	if err := a.syncer.announce(ctx, entry.ChangeID); err != nil {
		return ApplyResult{}, a.unreachable()
	}
	a.syncer.addDoubt(entry.ChangeID)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	result := a.syncer.opts.Table.Commit(ctx, txn)
	switch result.Outcome {
	case tablestore.OutcomeCommitted:
		a.syncer.install(next, []logEntry{entry})
		a.syncer.settle(entry.ChangeID)
		return ApplyResult{ChangeID: entry.ChangeID, Revision: entry.Revision}, nil
	case tablestore.OutcomeConflict:
		return a.lost(ctx, result.Conflicts)
	case tablestore.OutcomeNotApplied:
		if a.unsettled {
			return ApplyResult{}, errRetry
		}
		a.notApplied(ctx)
		return ApplyResult{}, ErrUnavailable
	default:
		a.unsettled = true
		return ApplyResult{}, errRetry
	}
}

// lost handles a failed condition: the head moved, so that no copy of the
// transaction can take effect any more, or the change was committed before.
func (a *attempt) lost(ctx context.Context, conflicts []tablestore.Row) (ApplyResult, error) {
	for _, row := range conflicts {
		if row.Key != changeKey(a.change.ID) || row.Revision == 0 {
			continue
		}
		var done changeRow
		if err := decode(row, &done); err != nil {
			return ApplyResult{}, err
		}
		return a.replay(ctx, done)
	}
	a.unsettled = false
	a.notApplied(ctx)
	return ApplyResult{}, errRetry
}

// notApplied records, here and at the witnesses, that no copy of the change that
// this attempt sent took effect or ever will.
func (a *attempt) notApplied(ctx context.Context) {
	a.syncer.settle(a.change.ID)
	a.syncer.dropIntent(ctx, a.change.ID)
}
