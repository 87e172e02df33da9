package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store as it is sent.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// maxPageRows is the number of rows of a page, as PROTOCOL.md says.
const maxPageRows = 500

// store is a stand-in of the platform's metadata store. It is linearizable and loses nothing. It may
// serve at several addresses.
type store struct {
	began time.Time

	mu      sync.Mutex
	ver     uint64
	rows    map[string]row
	history []row
	changed chan struct{}
}

func newStore() *store {
	return &store{began: time.Now(), rows: make(map[string]row), changed: make(chan struct{})}
}

func nameOf(table, key string) string { return table + "\x00" + key }

// put writes a row as the operator or a server does. It returns once the write is acknowledged.
func (s *store) put(table, key string, document any) {
	value, err := json.Marshal(document)
	if err != nil {
		fail("encode a row: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(row{Table: table, Key: key, Value: value, Ver: s.ver})
	s.notify()
}

// drop deletes a row.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(row{Table: table, Key: key, Ver: s.ver, Tombstone: true})
	s.notify()
}

// apply applies a row. The caller holds the lock.
func (s *store) apply(r row) {
	if r.Tombstone {
		delete(s.rows, nameOf(r.Table, r.Key))
	} else {
		s.rows[nameOf(r.Table, r.Key)] = r
	}
	s.history = append(s.history, r)
}

// notify wakes the calls that wait for changes. The caller holds the lock.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve serves the store at a free port of an IP and returns the address and a function that ends it.
func (s *store) serve(ip string) (address string, end func()) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fail("listen for the store: %v", err)
	}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), func() { _ = server.Close() }
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	switch r.URL.Path {
	case "/rows-get":
		s.get(w, r)
	case "/rows-feed":
		s.feed(w, r)
	case "/rows-tx":
		s.commit(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer sends rows and the newest version. The caller holds the lock.
func (s *store) answer(w http.ResponseWriter, status int, rows []row, hasMore bool) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has_more": hasMore, "ver": s.ver, "now_ms": time.Since(s.began).Milliseconds() + 1000,
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []row{}
	for _, have := range s.rows {
		isIn := have.Table == q.Get("table") && have.Part == q.Get("part") && have.Key >= q.Get("from")
		if isIn && (q.Get("to") == "" || have.Key < q.Get("to")) {
			list = append(list, have)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	s.answer(w, http.StatusOK, list[:min(limit, len(list))], len(list) > limit)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for isOver := wait <= 0; ; {
		s.mu.Lock()
		list := []row{}
		for _, have := range s.history {
			if have.Table == q.Get("table") && have.Ver > after {
				list = append(list, have)
			}
		}
		if len(list) > 0 || isOver {
			s.answer(w, http.StatusOK, list, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expected_revision"`
		Writes   []row `json:"writes"`
		Delete   []row `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range append(tx.Writes, tx.Delete...) {
		if change.Table == "op" || change.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	current := []row{}
	holds := true
	for _, e := range tx.Expected {
		have := s.rows[nameOf(e.Table, e.Key)]
		current = append(current, have)
		holds = holds && have.Ver == e.Ver
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.ver++
	for _, change := range tx.Writes {
		change.Ver = s.ver
		s.apply(change)
	}
	for _, change := range tx.Delete {
		change.Ver, change.Tombstone = s.ver, true
		s.apply(change)
	}
	s.notify()
	s.answer(w, http.StatusOK, nil, false)
}
