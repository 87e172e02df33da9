package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	partServers = 18
	partSlots   = 64
	// partBack is how long a server that crashed is away, partInterval the time between two requests
	// with the deadly part, and partRequests their number.
	partBack     = 3 * time.Second
	partInterval = 1500 * time.Millisecond
	partRequests = 24
	// maxLateParts is how many requests with the part may reach servers later than contactTime after
	// the fifth crash.
	maxLateParts = 3
	soundEvery   = 100 * time.Millisecond
	partEvents   = 8
	partPause    = 20 * time.Millisecond
	promptHeader = "Basilrail-Prefix-Hash"
	sealHeader   = "Basilrail-Server-Seal"
)

// partID returns the id of a part: the number of its hexadecimal digits is that of a hash of 128 bits.
func partID(seed int) string {
	digits := 32
	if n, err := strconv.Atoi(os.Getenv("ID_DIGITS")); err == nil && n > 0 {
		digits = n
	}
	id := fmt.Sprintf("%08x", uint32(seed)*2654435761+0x9e3779b9)
	for len(id) < digits {
		id += id
	}
	return id[:digits]
}

// runDeadlyPart sends requests with a part that crashes each server which begins to write an answer on
// it, no two alike, beside sound ones with the same other parts.
func runDeadlyPart(w *world, hasTrouble bool) (isBroken bool, err error) {
	system, deadly := partID(1), partID(2)
	var mu sync.Mutex
	var crashes []time.Time
	reached := make(map[string]time.Time)
	handle := func(p *process, out http.ResponseWriter, r *http.Request, _ []byte) {
		p.note(r, true)
		out.Header().Set(sealHeader, "seal."+p.id)
		out.Header().Set("Content-Type", "text/event-stream")
		isDeadly := strings.Contains(r.Header.Get(promptHeader), deadly+":")
		if isDeadly {
			mu.Lock()
			if id := r.Header.Get("Basilrail-Attempt-Id"); reached[id].IsZero() {
				reached[id] = time.Now()
			}
			if hasTrouble {
				crashes = append(crashes, time.Now())
			}
			mu.Unlock()
		}
		if isDeadly && hasTrouble {
			out.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(out).Flush()
			p.crash(partBack)
			return
		}
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for n := from + 1; n <= partEvents; n++ {
			if _, err := io.WriteString(out, fmt.Sprintf("id: %d\ndata: %s, line %d of %d\n\n", n, p.id, n, partEvents)); err != nil || http.NewResponseController(out).Flush() != nil {
				return
			}
			time.Sleep(partPause)
		}
	}
	for n := range partServers {
		if _, err := w.addServer(fmt.Sprint("llm", n+1), "modele-atelier", partSlots, handle); err != nil {
			return false, err
		}
	}
	w.configure(1, []string{callerKey}, route{
		name: "resume-bons", prefix: "/draft/", kind: "streaming", service: "modele-atelier", attempts: 3, timeout: 20 * time.Second, target: time.Second, isPrompt: true,
	})
	if err := w.startInstances(3); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	var answered, refused, lost atomic.Int64
	var calls sync.WaitGroup
	done := make(chan struct{})
	calls.Go(func() {
		for n := 100; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(soundEvery):
			}
			calls.Go(func() {
				switch status := draft(w.instances[n%len(w.instances)], system, partID(1000+n%20), partID(100000+n)); status {
				case http.StatusOK:
					answered.Add(1)
				case http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					lost.Add(1)
				}
			})
		}
	})
	for n := range partRequests {
		i := w.instances[n%len(w.instances)]
		w.printf("caller: request with the part at %s: %d", i.name, draft(i, system, deadly, partID(50000+n)))
		time.Sleep(partInterval)
	}
	close(done)
	calls.Wait()
	w.printf("sound requests: %d answered whole, %d refused as not run, %d lost", answered.Load(), refused.Load(), lost.Load())
	mu.Lock()
	defer mu.Unlock()
	w.printf("the part, of %d hexadecimal digits, crashed servers %d times", len(deadly), len(crashes))
	if len(crashes) < 5 {
		return false, nil
	}
	late := 0
	for _, at := range slices.SortedFunc(maps.Values(reached), time.Time.Compare) {
		if at.After(crashes[4].Add(contactTime)) {
			late++
			w.printf("a request with the part reached a server %.3f s after the fifth crash", at.Sub(crashes[4]).Seconds())
		}
	}
	w.printf("%d requests with the part reached servers later than %v after the fifth crash; %d may", late, contactTime, maxLateParts)
	return late > maxLateParts, nil
}

// draft makes one attempt with a prompt and returns the status; zero if there is no complete answer.
func draft(i *instance, parts ...string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.front+"/draft/2f", strings.NewReader("draft "+strings.Join(parts, " ")))
	if err != nil {
		return 0
	}
	var prefix []string
	for _, id := range parts {
		prefix = append(prefix, id+":200")
	}
	req.Host = hostName
	req.Header.Set("Basilrail-Attempt-Id", fmt.Sprintf("%016x", lastAttempt.Add(1)))
	req.Header.Set("Basilrail-Deadline-Ms", "10000")
	req.Header.Set("Basilrail-Key", callerKey)
	req.Header.Set("Basilrail-Model", "daka510000")
	req.Header.Set("Basilrail-Token-Usage", "600,80")
	req.Header.Set(promptHeader, strings.Join(prefix, ","))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
