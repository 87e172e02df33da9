package entry

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/gateway"
)

func TestServesChatsStreamsAndSessions(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		first := f.chat(0, "demo-ikoyi-shop-a", "auto", "oak wardrobe, two doors", gateway.HeaderTask, "describe")
		require.Equal(t, http.StatusOK, first.status, string(first.body))
		assert.Contains(t, first.header.Get(gateway.HeaderVersion), "@")

		stream := f.streamChat(1, "demo-ikoyi-shop-b", "auto", "collections of last week", gateway.HeaderTask, "plan")
		require.Equal(t, http.StatusOK, stream.status, string(stream.body))
		assert.True(t, strings.HasSuffix(string(stream.body), "data: [DONE]\n\n"), string(stream.body))

		token := first.header.Get(gateway.HeaderSessionToken)
		for n := range 3 {
			turn := f.chat(n, "demo-ikoyi-shop-a", "auto", "and its colour?", gateway.HeaderTask, "describe", gateway.HeaderSessionToken, token)
			require.Equal(t, http.StatusOK, turn.status, string(turn.body))
			assert.Equal(t, first.header.Get(gateway.HeaderVersion), turn.header.Get(gateway.HeaderVersion))
			token = turn.header.Get(gateway.HeaderSessionToken)
		}
	})
}

func TestBookingRunsOnce(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		book := func(n int, body string) reply {
			return f.call(n, "demo-ikoyi-shop-a", http.MethodPost, "/v1/services/booking/bookings", body, gateway.HeaderIdempotencyKey, "van-1")
		}
		first := book(0, `{"van":1}`)
		require.Equal(t, http.StatusCreated, first.status, string(first.body))
		repeated := book(1, `{"van":1}`)
		assert.Equal(t, first.body, repeated.body)
		assert.Equal(t, "true", repeated.header.Get(gateway.HeaderReplayed))
		other := book(1, `{"van":2}`)
		assert.Equal(t, http.StatusUnprocessableEntity, other.status)
		assert.Equal(t, 1, f.executions())
	})
}

// executions returns the number of bookings that the servers executed.
func (f *fleet) executions() int {
	n := 0
	for _, b := range f.bookings {
		n += len(b.Received())
	}
	return n
}
