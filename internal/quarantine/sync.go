package quarantine

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/tablestore"
)

const (
	// syncInterval is the average time between two rounds of Run.
	syncInterval = 20 * time.Second
	// loadRetry is the average time after which a table that was unavailable is read again.
	loadRetry = 2 * time.Second
	// startPulls is the number of peers asked for records when an instance starts.
	startPulls = 3
	// pullTimeout bounds the wait for one peer.
	pullTimeout = 2 * time.Second
	// rowPrefix is the key prefix of quarantined contents in the table service.
	rowPrefix = "quarantine/"
	// rowsPerScan bounds the rows per read.
	rowsPerScan = 500
)

// Run synchronizes the records with the peers and the table until ctx ends. It
// loads both at the start, the table until it was read once, registers suspects in flight with the arbiters, renews
// slots, pulls from a random peer to recover lost messages, and stores quarantined
// contents, so that they survive a restart of all instances.
func (q *Quarantine) Run(ctx context.Context) {
	isLoaded := q.load(ctx)
	q.pull(ctx, startPulls)
	timer := time.NewTimer(q.jittered(loadRetry))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
			q.holdSlots(ctx)
			q.persist(ctx)
		case <-timer.C:
			q.holdSlots(ctx)
			isLoaded = isLoaded || q.load(ctx)
			q.pull(ctx, 1)
			q.persist(ctx)
			if isLoaded {
				timer.Reset(q.jittered(syncInterval))
			} else {
				timer.Reset(q.jittered(loadRetry))
			}
		}
	}
}

// jittered returns a random duration between 0.5 and 1.5 times d.
func (q *Quarantine) jittered(d time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return d/2 + time.Duration(q.rand.Int64N(int64(d)))
}

// holdSlots registers every suspect content in flight here with the arbiters. This
// also renews the slots that Place acquired.
func (q *Quarantine) holdSlots(ctx context.Context) {
	for attempt, run := range q.suspectRuns() {
		q.requestSlot(ctx, slotRegister, serverKey(run.server), attempt, run.fingerprint)
		q.requestSlot(ctx, slotRegister, contentKey(run.fingerprint), attempt, run.fingerprint)
	}
}

// suspectRuns marks attempts in flight with suspect content as owners of slots, and
// returns all attempts in flight that own slots.
func (q *Quarantine) suspectRuns() map[string]run {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	held := make(map[string]run)
	for attempt, run := range q.runs {
		if run.crashed || !run.slotted && !q.isSuspect(run.fingerprint, now) {
			continue
		}
		run.slotted = true
		q.runs[attempt] = run
		held[attempt] = run
	}
	return held
}

// pull asks up to n random connected peers for their most recent records.
func (q *Quarantine) pull(ctx context.Context, n int) {
	list := slices.DeleteFunc(q.bus.Peers(), func(p peers.Peer) bool { return !p.Connected })
	q.mu.Lock()
	q.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	q.mu.Unlock()
	for _, p := range list[:min(n, len(list))] {
		q.pullFrom(ctx, p.ID)
	}
}

func (q *Quarantine) pullFrom(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var reply suspectsMessage
	if err := q.bus.Request(ctx, peer, peers.KindSuspect, suspectsMessage{Pull: true}, &reply); err != nil {
		return
	}
	q.mergeRecords(reply.Records)
}

func (q *Quarantine) handleSuspects(_ context.Context, msg peers.Message) (any, error) {
	body, err := decodeSuspects(msg.Body)
	if err != nil {
		return nil, err
	}
	q.mergeRecords(body.Records)
	if !body.Pull {
		return nil, nil
	}
	return suspectsMessage{Records: q.mostRecent()}, nil
}

// mergeRecords merges the records of peers, and wakes Run to hold the slots of
// contents that are in flight here.
func (q *Quarantine) mergeRecords(list []recordMessage) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	changed := false
	for _, m := range list {
		if q.mergeRecord(m.Fingerprint, m.Crashes, m.Cleared, now.Add(-m.Age)) {
			changed = true
		}
	}
	if changed {
		q.signal()
	}
}

// mostRecent returns the most recently touched records.
func (q *Quarantine) mostRecent() []recordMessage {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	var list []recordMessage
	for fp, r := range q.records.byContent {
		if !now.After(r.expiresAt()) {
			list = append(list, message(fp, r, now))
		}
	}
	slices.SortFunc(list, func(a, b recordMessage) int { return cmp.Compare(a.Age, b.Age) })
	return list[:min(len(list), maxRecordsPerMessage)]
}

func message(fp Fingerprint, r *record, now time.Time) recordMessage {
	return recordMessage{
		Fingerprint: fp,
		Crashes:     slices.Clone(r.crashes),
		Cleared:     slices.Clone(r.cleared),
		Age:         now.Sub(r.touchedAt),
	}
}

// load reads the stored contents, and reports whether it has read them all. While the table is unavailable, only the
// records of the peers are used.
func (q *Quarantine) load(ctx context.Context) bool {
	if q.table == nil {
		return true
	}
	after := ""
	for {
		rows, err := q.table.Scan(ctx, rowPrefix, after, rowsPerScan)
		if err != nil || len(rows) == 0 {
			return err == nil
		}
		for _, row := range rows {
			q.loadRow(ctx, row)
		}
		after = rows[len(rows)-1].Key
	}
}

// loadRow merges one stored content, or deletes its row when it is too old.
func (q *Quarantine) loadRow(ctx context.Context, row tablestore.Row) {
	stored, err := decodeStored(row.Value)
	if err != nil {
		return
	}
	if time.Since(stored.At) > quarantineTTL {
		q.table.Commit(ctx, tablestore.Txn{
			Conditions: []tablestore.Condition{{Key: row.Key, Revision: row.Revision}},
			Mutations:  []tablestore.Mutation{{Key: row.Key, Delete: true}},
		})
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.mergeRecord(stored.Fingerprint, stored.Crashes, nil, stored.At)
	q.records.getOrAdd(stored.Fingerprint, time.Now()).persisted = true
}
