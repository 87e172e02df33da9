package measure

import (
	"io"
	"net/http"
)

// relayIdleConns is the number of idle connections the relay keeps to its server.
const relayIdleConns = 256

// NewRelay is the baseline of the throughput measure: it sends each request on
// to one server, unread, and its answer back.
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
