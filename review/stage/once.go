package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Values of the case "once".
const (
	onceRequests   = 40
	onceEvents     = 5
	onceEventGap   = 20 * time.Millisecond
	lowConfidence  = "10"
	highConfidence = "90"
)

// runLog counts the runs of requests.
type runLog struct {
	mu   sync.Mutex
	runs map[string][]string
}

func (l *runLog) add(id, what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], what)
}

func (l *runLog) of(id string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// isHard reports whether a request is too hard for the smallest model: every second one.
func isHard(id string) bool { return strings.ContainsRune("02468ace", rune(id[len(id)-1])) }

// playOnce sends requests to a streaming route that may not be resumed and names several models. The
// smallest model answers every second request with a low confidence. It returns how many requests ran
// more than once.
func playOnce(r *recorder) int {
	f := newFleet()
	defer f.end()
	log := &runLog{runs: make(map[string][]string)}
	models := []string{"daka510000", "rada7437b5", "ravo486f6a"}
	run := func(s *server, w http.ResponseWriter, req *http.Request, _ []byte) {
		id, model := req.Header.Get("Basilrail-Attempt-Id"), req.Header.Get("Basilrail-Model")
		log.add(id, s.id+" as "+model)
		r.note("server %s runs request %s with model %s", s.id, id, model)
		confidence := highConfidence
		if hasTrouble() && model == models[0] && isHard(id) {
			confidence = lowConfidence
		}
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Basilrail-Confidence", confidence)
		for i := 1; i <= onceEvents; i++ {
			fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, id)
			if http.NewResponseController(w).Flush() != nil {
				return
			}
			time.Sleep(onceEventGap)
		}
	}
	for i := range 4 {
		f.startServer(fmt.Sprintf("i-model%d", i), "huvo11a", "salle-levis", models, run)
	}
	engine := plainService("huvo11a")
	engine["engine"] = document{
		"slots": 16, "kv_capacity": 432311, "kv_bytes": 163840, "link_mbps": 1100000.0, "stride": 6, "most": 12,
		"models": []document{{"name": models[0], "cost": 0.023}, {"name": models[1], "cost": 0.18}, {"name": models[2], "cost": 0.35}},
	}
	f.putConfig(7, []document{engine}, route("/lohu930/", "streaming", "huvo11a", document{
		"sizes": models, "sticky": true, "resumable": false, "gap_target_ms": 800, "timeout_ms": 25000, "target_latency_ms": 3000,
	}))
	m := f.start("edge-salle-levis-1", "salle-levis")
	f.awaitReady()
	twice := 0
	for i := range onceRequests {
		id := requestID(i)
		header := map[string]string{
			"Basilrail-Model": "*", "Basilrail-Token-Usage": "460,30",
			"Basilrail-Prefix-Hash": fmt.Sprintf("5c1e07a2:400,%x:60", 0xb0000000+i), "Content-Type": "application/json",
		}
		r.note("request %s is sent", id)
		a := m.send(http.MethodPost, "/lohu930/2f", id, 20*time.Second, header, "{}")
		runs := log.of(id)
		r.note("request %s: %s; it ran %d times: %v", id, a, len(runs), runs)
		if len(runs) > 1 {
			twice++
		}
	}
	return twice
}
