// Package platformserver is an HTTP stand-in for the platform: its table
// service and a membership list that can lag. /faults reads and sets the fault
// switches, and /rows lists the rows of the table.
package platformserver

import (
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/basilrail/basilrail/internal/tablestore"
	"github.com/basilrail/basilrail/internal/tablestore/httptable"
	"github.com/basilrail/basilrail/internal/tablestore/memtable"
)

// maxBodyBytes limits the size of a request body.
const maxBodyBytes = 64 << 20

// MemberFaults are the fault switches of the membership list.
type MemberFaults struct {
	// Down refuses every request.
	Down bool `json:"down"`
	// Lag is the age of the returned list, in nanoseconds in JSON.
	Lag time.Duration `json:"lag"`
}

// Faults are the fault switches; the zero value is a platform without faults.
type Faults struct {
	Table   memtable.Faults `json:"table"`
	Members MemberFaults    `json:"members"`
}

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	table   *memtable.Table
	members *members

	mu     sync.Mutex
	faults Faults
}

// New returns a stand-in with an empty table and membership list.
func New() *Server {
	return &Server{table: memtable.New(), members: newMembers()}
}

// Table returns the stand-in's table, for tests in the same process.
func (s *Server) Table() *memtable.Table { return s.table }

// SetFaults replaces the fault switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.table.SetFaults(f.Table)
}

// Faults returns the fault switches.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Handler returns the platform's HTTP API, and /faults, /rows and /counts.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post(httptable.PathCommit, s.commit)
	r.Post(httptable.PathGet, s.get)
	r.Post(httptable.PathScan, s.scan)
	r.Route(httptable.PathMembers, func(r chi.Router) {
		r.Use(s.refuseWhileDown)
		r.Get("/", s.list)
		r.Put("/{id}", s.register)
		r.Delete("/{id}", s.deregister)
	})
	r.Get("/faults", s.getFaults)
	r.Put("/faults", s.putFaults)
	r.Get("/rows", s.rows)
	r.Get("/counts", s.counts)
	return r
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var txn tablestore.Txn
	if !decode(w, r, &txn) {
		return
	}
	result := s.table.Commit(r.Context(), txn)
	switch result.Outcome {
	case tablestore.OutcomeUnknown:
		// Closing the connection without a response simulates a lost response.
		panic(http.ErrAbortHandler)
	case tablestore.OutcomeNotApplied:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		encode(w, result)
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	var req httptable.GetRequest
	if !decode(w, r, &req) {
		return
	}
	rows, err := s.table.Get(r.Context(), req.Keys...)
	respondRows(w, rows, err)
}

func (s *Server) scan(w http.ResponseWriter, r *http.Request) {
	var req httptable.ScanRequest
	if !decode(w, r, &req) {
		return
	}
	rows, err := s.table.Scan(r.Context(), req.Prefix, req.After, req.Limit)
	respondRows(w, rows, err)
}

// rows lists the table for inspection, regardless of the fault switches.
func (s *Server) rows(w http.ResponseWriter, r *http.Request) {
	respondRows(w, s.table.Rows(r.URL.Query().Get("prefix")), nil)
}

func (s *Server) counts(w http.ResponseWriter, _ *http.Request) { encode(w, s.table.Counts()) }

func respondRows(w http.ResponseWriter, rows []tablestore.Row, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	encode(w, httptable.RowsResponse{Rows: rows})
}

func (s *Server) refuseWhileDown(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Faults().Members.Down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) list(w http.ResponseWriter, _ *http.Request) {
	encode(w, httptable.MembersResponse{Members: s.members.list(s.Faults().Members.Lag)})
}

func (s *Server) register(w http.ResponseWriter, r *http.Request) {
	var m tablestore.Member
	if !decode(w, r, &m) {
		return
	}
	m.ID = memberID(r)
	s.members.put(m)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) deregister(w http.ResponseWriter, r *http.Request) {
	s.members.remove(memberID(r))
	w.WriteHeader(http.StatusNoContent)
}

// memberID returns the ID in the path, which chi does not unescape.
func memberID(r *http.Request) string {
	id, err := url.PathUnescape(chi.URLParam(r, "id"))
	if err != nil {
		return chi.URLParam(r, "id")
	}
	return id
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) { encode(w, s.Faults()) }

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !decode(w, r, &f) {
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func encode(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The client may have disconnected; then the error can't be reported to anyone.
	_ = json.NewEncoder(w).Encode(v)
}
