package storefeed

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

var errDown = errors.New("down")

// fakeStore is an in-memory store with one table, in virtual time.
type fakeStore struct {
	mu       sync.Mutex
	started  time.Time
	era      uint64
	revision uint64
	rows     map[string]Row
	log      []Row
	oldest   uint64
	calls    int
	refusals map[string]int
	// down lists the instances whose calls are refused; the empty name means all.
	down map[string]bool
	// stale is an old page that scans return instead of the current rows.
	stale   *Page
	changed chan struct{}
	// afterAnswer, if set, runs once, after the store has computed its next answer to a
	// feed and before the instance receives it.
	afterAnswer func()
}

func newFakeStore() *fakeStore {
	return &fakeStore{started: time.Now(), rows: make(map[string]Row), down: make(map[string]bool), refusals: make(map[string]int), changed: make(chan struct{})}
}

func (s *fakeStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.apply(Row{Key: key, Value: []byte(value), Revision: s.revision})
}

func (s *fakeStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.apply(Row{Key: key, Revision: s.revision, Deleted: true})
}

// apply applies a change of a row. The caller holds the lock.
func (s *fakeStore) apply(row Row) {
	if row.Deleted {
		delete(s.rows, row.Key)
	} else {
		s.rows[row.Key] = row
	}
	s.log = append(s.log, row)
	close(s.changed)
	s.changed = make(chan struct{})
}

// storeCopy is a copy of the store's content.
type storeCopy struct {
	revision uint64
	rows     map[string]Row
	log      []Row
}

func (s *fakeStore) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{revision: s.revision, rows: maps.Clone(s.rows), log: slices.Clone(s.log)}
}

// restore replaces the content by a copy and begins a new era.
func (s *fakeStore) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.rows, s.log = c.revision, maps.Clone(c.rows), slices.Clone(c.log)
	close(s.changed)
	s.changed = make(chan struct{})
}

// position returns the store's latest position. The caller holds the lock.
func (s *fakeStore) position() Position { return Position{Era: s.era, Revision: s.revision} }

// change updates the store's rows and wakes waiting feeds.
func (s *fakeStore) change(update func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.revision + 1
	s.log = nil
}

func (s *fakeStore) setDown(instance string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[instance] = down
}

func (s *fakeStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) refused(instance string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusals[instance]
}

// storeClient is an instance's connection to the store.
type storeClient struct {
	store    *fakeStore
	instance string
}

func (c storeClient) admit() error {
	c.store.calls++
	if c.store.down[""] || c.store.down[c.instance] {
		c.store.refusals[c.instance]++
		return errDown
	}
	return nil
}

func (c storeClient) Scan(context.Context, string) (*Page, error) {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := c.admit(); err != nil {
		return nil, err
	}
	if s.stale != nil {
		return s.stale, nil
	}
	page := &Page{Position: s.position(), Now: time.Since(s.started)}
	for _, row := range s.rows {
		row.Era = s.era
		page.Rows = append(page.Rows, row)
	}
	return page, nil
}

func (c storeClient) Feed(ctx context.Context, _ string, after uint64, wait time.Duration) (*Page, error) {
	s := c.store
	deadline := time.After(wait)
	s.mu.Lock()
	err := c.admit()
	era := s.era
	s.mu.Unlock()
	for err == nil {
		s.mu.Lock()
		page, changed := &Page{Position: s.position(), Now: time.Since(s.started)}, s.changed
		switch {
		case s.era != era:
			err = errDown // the restore breaks the connections
		case after+1 < s.oldest, after > s.revision:
			err = ErrHistoryGone
		}
		for _, row := range s.log {
			if row.Revision > after {
				row.Era = s.era
				page.Rows = append(page.Rows, row)
			}
		}
		s.mu.Unlock()
		if err != nil || len(page.Rows) > 0 || wait == 0 {
			s.runAfterAnswer()
			return page, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-deadline:
			s.mu.Lock()
			defer s.mu.Unlock()
			page.Now = time.Since(s.started)
			if s.down[""] || s.down[c.instance] {
				err = errDown
			}
			return page, err
		case <-changed:
		}
	}
	return nil, err
}

func (s *fakeStore) runAfterAnswer() {
	s.mu.Lock()
	hook := s.afterAnswer
	s.afterAnswer = nil
	s.mu.Unlock()
	if hook != nil {
		hook()
	}
}
