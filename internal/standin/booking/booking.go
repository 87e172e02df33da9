// Package booking is a stand-in for plain services with non-idempotent calls,
// such as the van pickups of a booking application or the work orders of a
// scheduling service. It records each execution.
package booking

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/basilrail/basilrail/internal/standin"
	"github.com/basilrail/basilrail/internal/wait"
)

const maxBodyBytes = 1 << 20

// Config is the behaviour of the service without faults.
type Config struct {
	// Instance is the name of the backend server.
	Instance string
	// HonoursKeys makes a repeated idempotency key return the first booking.
	HonoursKeys bool
	// Time is the duration of a call.
	Time time.Duration
}

// Faults is the request body of POST /faults.
type Faults struct {
	// CrashAfterExecute executes the booking and closes the connection without a response.
	CrashAfterExecute bool `json:"crash_after_execute"`
	// SlowMillis is added to the duration of each call, in milliseconds.
	SlowMillis int `json:"slow_millis"`
	// Down closes every connection without a response.
	Down bool `json:"down"`
	// Draining refuses new calls, as a draining server does.
	Draining bool `json:"leaving"`
}

// Booking is the response body of POST /bookings and POST /work-orders.
type Booking struct {
	ID       string `json:"id"`
	Instance string `json:"instance"`
}

// Execution is one element of the response of GET /received.
type Execution struct {
	AttemptID string `json:"attempt_id"`
	Key       string `json:"key"`
	// BodySHA256 is the hexadecimal SHA-256 of the request body.
	BodySHA256 string `json:"body_sha256"`
	BookingID  string `json:"booking_id"`
}

// Slots is the response body of GET /slots and GET /units.
type Slots struct {
	Instance string   `json:"instance"`
	Free     []string `json:"free"`
}

// Service is the stand-in. It is safe for concurrent use.
type Service struct {
	cfg    Config
	faults standin.Faults[Faults]

	mu       sync.Mutex
	received []Execution
	byKey    map[string]Booking
}

// New returns a booking service.
func New(cfg Config) *Service {
	return &Service{cfg: cfg, byKey: make(map[string]Booking)}
}

// Handler returns the HTTP API.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(standin.AbortIf(func() bool { return s.faults.Get().Down }))
		r.Post("/bookings", s.book)
		r.Post("/work-orders", s.book)
		r.Get("/slots", s.slots)
		r.Get("/units", s.slots)
		r.Get("/status", s.status)
	})
	r.Get("/received", s.getReceived)
	r.Handle("/faults", &s.faults)
	return r
}

// SetFaults replaces the fault switches.
func (s *Service) SetFaults(f Faults) { s.faults.Set(f) }

// Received returns all executions in order.
func (s *Service) Received() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution{}, s.received...)
}

// delay waits for the duration of a call. It returns false if the caller has
// disconnected.
func (s *Service) delay(r *http.Request) bool {
	slow := time.Duration(s.faults.Get().SlowMillis) * time.Millisecond
	return wait.For(r.Context(), s.cfg.Time+slow) == nil
}

func (s *Service) book(w http.ResponseWriter, r *http.Request) {
	if s.faults.Get().Draining {
		standin.RefuseDraining(w)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		standin.Refuse(w, http.StatusBadRequest, "unreadable body")
		return
	}
	booking := s.execute(r, body)
	if s.faults.Get().CrashAfterExecute {
		standin.Abort()
	}
	if !s.delay(r) {
		return
	}
	w.Header().Set(standin.HeaderAttemptID, r.Header.Get(standin.HeaderAttemptID))
	standin.WriteJSON(w, http.StatusCreated, booking)
}

// execute records a new booking and returns it. If keys are honoured and the
// key was used before, it returns the earlier booking instead.
func (s *Service) execute(r *http.Request, body []byte) Booking {
	key := r.Header.Get(standin.HeaderIdempotencyKey)
	sum := sha256.Sum256(body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if earlier, ok := s.byKey[key]; ok && s.cfg.HonoursKeys {
		return earlier
	}
	booking := Booking{ID: fmt.Sprintf("%s-%d", s.cfg.Instance, len(s.received)+1), Instance: s.cfg.Instance}
	s.received = append(s.received, Execution{
		AttemptID:  r.Header.Get(standin.HeaderAttemptID),
		Key:        key,
		BodySHA256: hex.EncodeToString(sum[:]),
		BookingID:  booking.ID,
	})
	if key != "" {
		s.byKey[key] = booking
	}
	return booking
}

func (s *Service) slots(w http.ResponseWriter, r *http.Request) {
	if s.faults.Get().Draining {
		standin.RefuseDraining(w)
		return
	}
	if !s.delay(r) {
		return
	}
	w.Header().Set(standin.HeaderAttemptID, r.Header.Get(standin.HeaderAttemptID))
	standin.WriteJSON(w, http.StatusOK, Slots{Instance: s.cfg.Instance, Free: []string{"09:00", "11:30", "15:00"}})
}

func (s *Service) status(w http.ResponseWriter, _ *http.Request) {
	draining := s.faults.Get().Draining
	standin.WriteJSON(w, http.StatusOK, standin.Status{Instance: s.cfg.Instance, Versions: []string{}, Draining: draining})
}

func (s *Service) getReceived(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, s.Received())
}
