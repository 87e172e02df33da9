package configsync

import (
	"context"

	"github.com/basilrail/basilrail/internal/tablestore"
)

// txn builds the transaction. It commits only if the head has not changed and the
// change id is new, so that of two copies at most one takes effect.
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

// expired returns the mutations that delete the rows of the revision that is
// LogRetention revisions older.
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

// commit announces the change to the witnesses and sends the transaction. The commit
// counts as in doubt from before it is sent until its outcome is known: meanwhile this
// instance must not state to peers that it knows all of its own commits.
func (a *attempt) commit(ctx context.Context, txn tablestore.Txn, next *state, entry logEntry) (ApplyResult, error) {
	if err := a.syncer.announce(ctx, entry.ChangeID); err != nil {
		return ApplyResult{}, a.unreachable()
	}
	a.syncer.addInDoubt(entry.ChangeID)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	result := a.syncer.opts.Table.Commit(ctx, txn)
	switch result.Outcome {
	case tablestore.OutcomeCommitted:
		a.syncer.install(next, []logEntry{entry})
		a.syncer.resolve(entry.ChangeID)
		return ApplyResult{ChangeID: entry.ChangeID, Revision: entry.Revision}, nil
	case tablestore.OutcomeConflict:
		return a.handleConflict(ctx, result.Conflicts)
	case tablestore.OutcomeNotApplied:
		if a.outcomeUnknown {
			return ApplyResult{}, errRetry
		}
		a.notApplied(ctx)
		return ApplyResult{}, ErrUnavailable
	default:
		a.outcomeUnknown = true
		return ApplyResult{}, errRetry
	}
}

// handleConflict handles a failed condition: either the change was committed
// before, or the head changed, so that no copy of the transaction can take effect
// any more.
func (a *attempt) handleConflict(ctx context.Context, conflicts []tablestore.Row) (ApplyResult, error) {
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
	a.outcomeUnknown = false
	a.notApplied(ctx)
	return ApplyResult{}, errRetry
}

// notApplied records here and at the witnesses that no copy of the change that
// this attempt sent took effect or can still do so.
func (a *attempt) notApplied(ctx context.Context) {
	a.syncer.resolve(a.change.ID)
	a.syncer.dropIntent(ctx, a.change.ID)
}
