package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/backend"
	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/gateway"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/standin/rawanswer"
)

// startRawServices starts a server for each one of a service in the settings. It answers with a
// text, byte by byte as it is, and closes the connection.
func (f *fleet) startRawServices(docs []settings.Document, text string) {
	tree, faults := settings.Parse(docs)
	require.NoError(f.t, faults.Err())
	for _, server := range tree.Servers {
		if server.Service == "" {
			continue
		}
		f.serve(server.Address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(backend.HeaderAttemptID) == "" {
				http.NotFound(w, r)
				return
			}
			rawanswer.Handler(text, backend.HeaderAttemptID)(w, r)
		}))
	}
}

// TestBrokenHeadsOfServicesDoNotReachCallers guards against a success, or a promise that the
// request did not run, that the caller gets although the server sent no valid head.
func TestBrokenHeadsOfServicesDoNotReachCallers(t *testing.T) {
	const body = "Content-Length: 2\r\n\r\nok"
	id := backend.HeaderAttemptID + ": " + rawanswer.Echo(backend.HeaderAttemptID) + "\r\n"
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"sound":                    {"HTTP/1.1 200 OK\r\n" + id + body, http.StatusOK},
		"status of zeros":          {"HTTP/1.1 000 OK\r\n" + id + body, http.StatusBadGateway},
		"status below 100":         {"HTTP/1.1 099 OK\r\n" + id + body, http.StatusBadGateway},
		"status above 599":         {"HTTP/1.1 600 OK\r\n" + id + body, http.StatusBadGateway},
		"status of zeros, refusal": {"HTTP/1.1 000 No\r\n" + id + backend.HeaderNotRun + ": true\r\n" + body, http.StatusBadGateway},
		"blank in a name":          {"HTTP/1.1 200 OK\r\n" + id + "X Odd: 1\r\n" + body, http.StatusBadGateway},
		"blank after a name":       {"HTTP/1.1 200 OK\r\n" + id + "Content-Length : 2\r\n\r\nok, not this", http.StatusBadGateway},
		"chunks, blank":            {"HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", http.StatusBadGateway},
		"control byte in a name":   {"HTTP/1.1 200 OK\r\n" + id + "X\x01Odd: 1\r\n" + body, http.StatusBadGateway},
		"blank in a name, failure": {"HTTP/1.1 500 Failed\r\n" + id + "X Odd: 1\r\n" + body, http.StatusBadGateway},
		"blank in a name, refusal": {"HTTP/1.1 503 Full\r\n" + id + backend.HeaderNotRun + ": true\r\nX Odd: 1\r\n" + body, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.close()
				docs := exampleDocs(t)
				f.startRawServices(docs, c.text)
				f.addInstance()
				f.apply(0, docs...)
				time.Sleep(settleTime)
				got := f.call(0, shopA, http.MethodPost, "/v1/services/booking/bookings", `{"van":1}`, gateway.HeaderIdempotencyKey, "van-1")
				require.NoError(t, got.err)
				assert.Equal(t, c.status, got.status, "%s", got.body)
				if refusal := got.refusal(); c.status != http.StatusOK && assert.NotNil(t, refusal) {
					assert.Equal(t, apierror.MayHaveRun, refusal.Execution)
				}
			})
		})
	}
}
