package booking

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/standin"
)

func book(h http.Handler, key string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/bookings", strings.NewReader(`{"van":"1"}`))
	r.Header.Set(standin.HeaderIdempotencyKey, key)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func TestRepeatedKey(t *testing.T) {
	tests := []struct {
		desc       string
		honours    bool
		executions int
	}{
		{desc: "keys honoured: executes once", honours: true, executions: 1},
		{desc: "keys ignored: executes twice", honours: false, executions: 2},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			s := New(Config{Instance: "b", HonoursKeys: test.honours})
			first, second := book(s.Handler(), "k"), book(s.Handler(), "k")
			assert.Equal(t, http.StatusCreated, second.Code)
			assert.Len(t, s.Received(), test.executions)
			assert.Equal(t, test.honours, first.Body.String() == second.Body.String())
		})
	}
}

func TestCrashAfterExecuteRecordsTheBooking(t *testing.T) {
	s := New(Config{Instance: "b"})
	s.SetFaults(Faults{CrashAfterExecute: true})
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { book(s.Handler(), "k") })
	assert.Len(t, s.Received(), 1)
}

func TestDrainingServerRefusesWithoutExecuting(t *testing.T) {
	s := New(Config{Instance: "b"})
	s.SetFaults(Faults{Draining: true})
	w := book(s.Handler(), "k")
	assert.Equal(t, http.StatusServiceUnavailable, w.Code)
	assert.Equal(t, "true", w.Header().Get(standin.HeaderNotRun))
	assert.Empty(t, s.Received())
}
