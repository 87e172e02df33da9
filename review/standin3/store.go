package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// rowName names a row.
type rowName struct{ table, part, key string }

// row is a row in the store's encoding.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r row) name() rowName { return rowName{r.Table, r.Part, r.Key} }

// maxRows is the number of rows in an answer of rows-get.
const maxRows = 500

// store is the platform's store, in the form of tables.
type store struct {
	began time.Time

	mu      sync.Mutex
	era     uint64
	version uint64
	rows    map[rowName]row
	log     []row
	changed chan struct{}
	isDown  bool
}

func newStore() *store {
	return &store{began: time.Now(), era: 1, rows: make(map[rowName]row), changed: make(chan struct{})}
}

// setDown makes the store refuse all calls, or ends that. Calls that wait are ended.
func (s *store) setDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
	s.wake()
}

// isAway reports whether the store refuses all calls.
func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isDown
}

// wake ends the waits of the feeds. The caller holds the lock.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row of its own transaction, as the operator, a server or another writer.
func (s *store) put(table, part, key string, document any) {
	value, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Part: part, Key: key, Value: value})
	s.wake()
}

// drop removes a row.
func (s *store) drop(table, part, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.rows[rowName{table, part, key}]; !exists {
		return
	}
	s.version++
	s.apply(row{Table: table, Part: part, Key: key, Tombstone: true})
	s.wake()
}

// apply applies a change of the present transaction. The caller holds the lock.
func (s *store) apply(r row) {
	r.Version = s.version
	if r.Tombstone {
		r.Value = nil
		delete(s.rows, r.name())
	} else {
		s.rows[r.name()] = r
	}
	s.log = append(s.log, r)
}

// storeCopy is a copy of the content of a store.
type storeCopy struct {
	version uint64
	rows    map[rowName]row
	log     []row
}

func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{version: s.version, rows: maps.Clone(s.rows), log: slices.Clone(s.log)}
}

// restore brings the store back from a copy, in a new era.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.version, s.rows, s.log = c.version, maps.Clone(c.rows), slices.Clone(c.log)
	s.wake()
}

// ServeHTTP serves the calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	if s.isDown {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/rows-get":
		s.get(w, r)
	case "/rows-feed":
		s.feed(w, r)
	case "/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer writes rows. The caller holds the lock.
func (s *store) answer(w http.ResponseWriter, status int, rows []row, hasMore bool) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has_more": hasMore, "ver": s.version, "now_ms": time.Since(s.began).Milliseconds() + 1,
	})
}

// get serves rows-get. The caller holds the lock.
func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	rows := []row{}
	for name, stored := range s.rows {
		isIn := name.key >= q.Get("from") && (q.Get("to") == "" || name.key < q.Get("to"))
		if name.table == q.Get("table") && name.part == q.Get("part") && isIn {
			rows = append(rows, stored)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 && n < limit {
		limit = n
	}
	hasMore := len(rows) > limit
	s.answer(w, http.StatusOK, rows[:min(len(rows), limit)], hasMore)
}

// feed serves rows-feed: the changes of all parts of a table. The caller holds the lock.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	era, isOver := s.era, wait == 0
	for {
		if s.era != era || s.isDown {
			panic(http.ErrAbortHandler)
		}
		if after > s.version {
			w.WriteHeader(http.StatusGone)
			return
		}
		rows := []row{}
		for _, r := range s.log {
			if r.Table == q.Get("table") && r.Version > after {
				rows = append(rows, r)
			}
		}
		if len(rows) > 0 || isOver {
			s.answer(w, http.StatusOK, rows, false)
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-deadline:
			isOver = true
		}
		s.mu.Lock()
		if r.Context().Err() != nil {
			return
		}
	}
}

// transact serves rows-tx. The caller holds the lock.
func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expected_revision"`
		Writes   []row `json:"writes"`
		Delete   []row `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, c := range slices.Concat(tx.Writes, tx.Delete) {
		if c.Table == "op" || c.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	current, holds := []row{}, true
	for _, e := range tx.Expected {
		stored := s.rows[e.name()]
		holds = holds && stored.Version == e.Version
		if stored.Version > 0 {
			current = append(current, stored)
		}
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.version++
	for _, c := range tx.Writes {
		c.Tombstone = false
		s.apply(c)
	}
	for _, c := range tx.Delete {
		if _, exists := s.rows[c.name()]; exists {
			c.Tombstone = true
			s.apply(c)
		}
	}
	s.wake()
	s.answer(w, http.StatusOK, []row{}, false)
}
