package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// feedEvents is the number of events of an answer, and feedPause the time between two.
	feedEvents = 10
	feedPause  = 60 * time.Millisecond
	// feedCrash is the interval of the crashes, and feedBack how long a server is away.
	feedCrash    = 3 * time.Second
	feedBack     = 2 * time.Second
	feedInterval = 250 * time.Millisecond
	feedTime     = 20 * time.Second
	feedSeal     = "Basilrail-Server-Seal"
)

// feedBody is the whole body of the answer of a run.
func feedBody(run string) string {
	var b strings.Builder
	for n := 1; n <= feedEvents; n++ {
		b.WriteString(feedEvent(run, n))
	}
	return b.String()
}

func feedEvent(run string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s, line %d of %d\n\n", n, run, n, feedEvents)
}

// runJoined answers idempotent requests with a list of events, while servers crash.
func runJoined(w *world, hasTrouble bool) (isBroken bool, err error) {
	var mu sync.Mutex
	atWork := make(map[*process]int)
	handle := func(p *process, out http.ResponseWriter, r *http.Request, _ []byte) {
		p.note(r, true)
		mu.Lock()
		atWork[p]++
		mu.Unlock()
		defer func() {
			mu.Lock()
			defer mu.Unlock()
			atWork[p]--
		}()
		out.Header().Set(feedSeal, "seal."+p.id)
		out.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= feedEvents; n++ {
			if _, err := io.WriteString(out, feedEvent(p.id, n)); err != nil || http.NewResponseController(out).Flush() != nil {
				return
			}
			select {
			case <-time.After(feedPause):
			case <-r.Context().Done():
				return
			}
		}
	}
	for n := range 4 {
		if _, err := w.addServer(fmt.Sprint("desk", n+1), "shopdesk", 6, handle); err != nil {
			return false, err
		}
	}
	w.configure(1, []string{callerKey}, route{name: "stock-look", prefix: "/stock/", kind: "idempotent", service: "shopdesk", attempts: 3, timeout: 4 * time.Second, target: 300 * time.Millisecond})
	if err := w.startInstances(2); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	var whole, wrong, failed int
	var calls sync.WaitGroup
	began, crashed := time.Now(), 0
	for n := 0; time.Since(began) < feedTime; n++ {
		if due := int(time.Since(began) / feedCrash); hasTrouble && due > crashed {
			mu.Lock()
			var busy *process
			for p, n := range atWork {
				if n > 0 {
					busy = p
				}
			}
			mu.Unlock()
			if busy != nil {
				busy.crash(feedBack)
			}
			crashed = due
		}
		i := w.instances[n%len(w.instances)]
		calls.Go(func() {
			id, status, seal, body, err := getFeed(i)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil || status != http.StatusOK:
				failed++
				w.printf("caller: request %s at %s: status %d, %v", id, i.name, status, err)
			case body == feedBody(strings.TrimPrefix(seal, "seal.")):
				whole++
			default:
				wrong++
				w.printf("caller: request %s at %s: 200 with the seal %s, complete, and the body %s", id, i.name, seal, feedLines(body))
			}
		})
		time.Sleep(feedInterval)
	}
	calls.Wait()
	w.printf("%d successes with the server's whole body, %d successes with another body, %d failures", whole, wrong, failed)
	return wrong > 0, nil
}

// getFeed makes one attempt and reads the answer to its end.
func getFeed(i *instance) (id string, status int, seal, body string, err error) {
	id = fmt.Sprintf("%016x", lastAttempt.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.front+"/stock/1a", nil)
	if err != nil {
		return id, 0, "", "", err
	}
	req.Host = hostName
	req.Header.Set("Basilrail-Attempt-Id", id)
	req.Header.Set("Basilrail-Deadline-Ms", strconv.Itoa(4000))
	req.Header.Set("Basilrail-Key", callerKey)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return id, 0, "", "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return id, resp.StatusCode, resp.Header.Get(feedSeal), string(text), err
}

// feedLines returns the lines of a body in short.
func feedLines(body string) string {
	var list []string
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			run, rest, _ := strings.Cut(data, ", line ")
			number, _, _ := strings.Cut(rest, " ")
			list = append(list, run+"/"+number)
		}
	}
	return strings.Join(list, " ")
}
