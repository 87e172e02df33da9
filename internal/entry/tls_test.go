package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Probes and commands do not set the https scheme. If certificates for the backend
// servers are configured, they must use TLS like the attempts.
func TestBackendServerCallsUseTLS(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	}))
	defer server.Close()
	client := &http.Client{Transport: secureScheme{server.Client().Transport}}
	resp, err := client.Get(strings.Replace(server.URL, "https://", "http://", 1) + "/status")
	require.NoError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, http.StatusNoContent, resp.StatusCode)
}
