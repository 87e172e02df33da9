package configsync

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/tablestore"
)

// Intervals and timeouts of reads of the store.
const (
	// minPollInterval is the time between polls in a small fleet.
	minPollInterval = time.Second
	// pollIntervalPerInstance limits the whole fleet to 100 polls per second.
	pollIntervalPerInstance = 10 * time.Millisecond
	// groupPollInterval is the average time between polls within a group of
	// instances that can still reach one another, however small the group.
	groupPollInterval = 2 * time.Second
	// storeTimeout bounds one call to the store.
	storeTimeout = 3 * time.Second
	// pollJitter is the fraction of the interval by which a poll may be earlier or
	// later.
	pollJitter = 0.2
)

// Page sizes of scans.
const (
	logPageRows = 64
	docPageRows = 200
)

// pollInterval returns the time between an instance's polls, by the number of
// listed instances and of reachable ones, both including this one. A fleet shares
// the store's read budget; an instance in a small isolated group polls more often,
// because no other instance reads for it.
func pollInterval(listed, reachable int) time.Duration {
	fleet := max(minPollInterval, time.Duration(listed)*pollIntervalPerInstance)
	group := time.Duration(reachable) * groupPollInterval
	return min(fleet, group)
}

// pollLoop polls the store until the context ends.
func (s *Syncer) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		s.poll(ctx)
		timer := time.NewTimer(s.nextPoll())
		select {
		case <-timer.C:
		case <-s.pollNow:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

func (s *Syncer) nextPoll() time.Duration {
	listed := len(s.opts.Bus.Peers()) + 1
	s.mu.Lock()
	defer s.mu.Unlock()
	interval := pollInterval(listed, s.countRecentStatements()+1)
	return time.Duration(float64(interval) * (1 + pollJitter*(2*s.rng.Float64()-1)))
}

// poll reads the commits after the state in effect.
func (s *Syncer) poll(ctx context.Context) {
	// Refresh records a failure, and a later poll makes up for it.
	_ = s.Refresh(ctx)
}

// Refresh reads and applies all commits up to now. Errors wrap
// tablestore.ErrUnavailable if the store is unreachable.
func (s *Syncer) Refresh(ctx context.Context) error {
	start := time.Now()
	err := s.catchUp(ctx)
	if ctx.Err() == nil {
		s.noteRead(start, err)
	}
	return err
}

// noteRead records the result of a read of the store that began at start. A
// successful read confirms the settings as of start.
func (s *Syncer) noteRead(start time.Time, err error) {
	s.mu.Lock()
	changed := s.storeDown != (err != nil)
	s.storeDown = err != nil
	if err == nil {
		s.loaded.Store(true)
		s.expireInDoubt(start)
	}
	s.mu.Unlock()
	if err == nil {
		s.noteConfirmed(start)
	}
	if changed {
		s.logStore(err)
	}
}

func (s *Syncer) logStore(err error) {
	if err != nil {
		s.opts.Log.Log(events.SettingsStoreUnreachable, events.Fields{Err: err})
		return
	}
	s.opts.Log.Log(events.SettingsStoreReached, events.Fields{Revision: s.state.Load().revision})
}

// catchUp brings the state to the store's latest revision: by the log if it goes
// back far enough, and otherwise by reading all documents.
func (s *Syncer) catchUp(ctx context.Context) error {
	for {
		current := s.state.Load().revision
		entries, err := s.readLog(ctx, current)
		if err != nil {
			return err
		}
		if current == 0 && len(entries) > 0 {
			return s.loadAll(ctx)
		}
		err = s.advance(entries)
		if errors.Is(err, errGap) {
			return s.loadAll(ctx)
		}
		if err != nil {
			return err
		}
		if len(entries) < logPageRows {
			return nil
		}
	}
}

// readLog reads one page of the log after a revision.
func (s *Syncer) readLog(ctx context.Context, after uint64) ([]logEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := s.opts.Table.Scan(ctx, logPrefix, logKey(after), logPageRows)
	if err != nil {
		return nil, errors.Wrap(err, "read the settings log")
	}
	entries := make([]logEntry, len(rows))
	for i, row := range rows {
		if err := decode(row, &entries[i]); err != nil {
			return nil, err
		}
	}
	return entries, nil
}

// loadAll reads all documents and installs them. Commits made meanwhile may be
// visible in some documents and not in others; replaying the log from the head
// read first makes them consistent, because log entries hold complete documents.
func (s *Syncer) loadAll(ctx context.Context) error {
	head, _, err := s.readHead(ctx)
	if err != nil {
		return err
	}
	docs, err := s.readDocs(ctx)
	if err != nil {
		return err
	}
	revision, docs, err := s.replayLog(ctx, head.Revision, docs)
	if err != nil {
		return err
	}
	if revision == 0 {
		return nil
	}
	return s.installDocs(revision, docs, nil)
}

// replayLog applies all log entries after a revision to the documents, and returns
// the last revision and the resulting documents.
func (s *Syncer) replayLog(ctx context.Context, revision uint64, docs map[string]settings.Document) (uint64, map[string]settings.Document, error) {
	for {
		entries, err := s.readLog(ctx, revision)
		if err != nil {
			return 0, nil, err
		}
		next, ok := following(revision, entries)
		if !ok {
			return 0, nil, errGap
		}
		for _, entry := range next {
			docs = merge(docs, entry.Documents)
			revision = entry.Revision
		}
		if len(entries) < logPageRows {
			return revision, docs, nil
		}
	}
}

// readHead reads the head row and its table revision; both are zero before the
// first commit.
func (s *Syncer) readHead(ctx context.Context) (headRow, uint64, error) {
	var head headRow
	rows, err := s.get(ctx, headKey)
	if err != nil || len(rows) == 0 {
		return head, 0, err
	}
	return head, rows[0].Revision, decode(rows[0], &head)
}

func (s *Syncer) get(ctx context.Context, keys ...string) ([]tablestore.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return s.opts.Table.Get(ctx, keys...)
}

func (s *Syncer) readDocs(ctx context.Context) (map[string]settings.Document, error) {
	docs := make(map[string]settings.Document)
	after := ""
	for {
		rows, err := s.scanDocs(ctx, after)
		if err != nil {
			return nil, errors.Wrap(err, "read the settings documents")
		}
		for _, row := range rows {
			var doc settings.Document
			if err := decode(row, &doc); err != nil {
				return nil, err
			}
			docs[doc.Path] = doc
			after = row.Key
		}
		if len(rows) < docPageRows {
			return docs, nil
		}
	}
}

func (s *Syncer) scanDocs(ctx context.Context, after string) ([]tablestore.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return s.opts.Table.Scan(ctx, docPrefix+"/", after, docPageRows)
}
