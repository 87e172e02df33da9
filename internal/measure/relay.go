package measure

import (
	"io"
	"net/http"
)

// relayIdleConns is the maximum number of idle connections to the server.
const relayIdleConns = 256

// NewRelay returns the baseline of the throughput measure: a handler that forwards
// each request to one server without inspecting its body, and returns the answer's
// status, content type and body.
func NewRelay(server string) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: relayIdleConns}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, err := http.NewRequestWithContext(r.Context(), r.Method, server+r.URL.Path, r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		req.Header = r.Header
		req.ContentLength = r.ContentLength
		resp, err := client.Do(req)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	})
}
