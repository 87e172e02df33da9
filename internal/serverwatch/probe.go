package serverwatch

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/statechart"
)

const (
	// statusPath is where a backend server reports its status.
	statusPath = "/status"
	// maxStatusBytes bounds a report.
	maxStatusBytes = 64 << 10
	// maxVersions bounds the versions read from a report.
	maxVersions = 64
	// maxProcessIDBytes bounds the id of a server process.
	maxProcessIDBytes = 128
)

// report is the body of GET /status, which a plain service may omit.
type report struct {
	Process       string   `json:"instance"`
	Versions      []string `json:"versions"`
	QueuedTokens  int64    `json:"queued_tokens"`
	RunningTokens int64    `json:"running_tokens"`
	Draining      bool     `json:"leaving"`
}

// errStatus is returned for a status response other than 200 and 404.
var errStatus = errors.New("unexpected response to status request")

// startDue starts the probes that are due, within the rate limit, and returns the
// time until it should be called again.
func (w *Watcher) startDue(ctx context.Context) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	next := pollInterval
	for _, id := range w.byDue() {
		t := w.servers[id]
		if wait := t.due.Sub(now); wait > 0 {
			return min(next, wait)
		}
		reservation := w.limiter.ReserveN(now, 1)
		if wait := reservation.DelayFrom(now); wait > 0 {
			reservation.CancelAt(now)
			return min(next, wait)
		}
		t.probing = true
		w.probes.Go(func() { w.probe(ctx, id, t) })
	}
	return next
}

// byDue lists the servers without a probe in flight, the most overdue first.
func (w *Watcher) byDue() []string {
	var list []string
	for id, t := range w.servers {
		if !t.probing {
			list = append(list, id)
		}
	}
	slices.SortFunc(list, func(a, b string) int {
		if c := w.servers[a].due.Compare(w.servers[b].due); c != 0 {
			return c
		}
		return strings.Compare(a, b)
	})
	return list
}

// probe fetches the status of one server and schedules its next probe.
func (w *Watcher) probe(ctx context.Context, id string, t *tracked) {
	got, err := w.fetchStatus(ctx, t.address)
	if ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	t.probing = false
	if w.servers[id] == t {
		w.applyProbe(id, t, got, err)
	}
	w.signal()
}

// applyProbe applies the outcome of a probe. The caller holds the lock.
func (w *Watcher) applyProbe(id string, t *tracked, got report, err error) {
	if err != nil {
		w.applyFailure(id, t, errors.Is(err, syscall.ECONNREFUSED))
		return
	}
	t.failures = 0
	t.due = time.Now().Add(w.jitter(pollInterval))
	t.status.Process = got.Process
	t.status.Versions = parseVersions(got.Versions)
	t.status.QueuedTokens, t.status.RunningTokens = max(got.QueuedTokens, 0), max(got.RunningTokens, 0)
	t.status.ReportedAt = time.Now()
	if got.Draining && t.machine.State() != statechart.ServerDraining {
		w.broadcastState(id, t, statechart.ServerDraining)
	}
	w.fire(id, t, reportEvent(got, t))
	if until := t.ejection.until; until.After(time.Now()) && until.Before(t.due) {
		t.due = until
	}
}

func reportEvent(got report, t *tracked) statechart.Event {
	if got.Draining || t.markedDraining() {
		return statechart.ServerReportDraining
	}
	return statechart.ServerReportOK
}

// applyFailure applies a failed probe or connection attempt. The caller holds the lock.
func (w *Watcher) applyFailure(id string, t *tracked, refused bool) {
	t.failures++
	wait := min(retryInterval<<min(t.failures-1, maxDoublings), retryIntervalMax)
	t.due = time.Now().Add(w.jitter(wait))
	event := statechart.ServerProbeFailed
	if refused {
		event = statechart.ServerConnectionRefused
		if t.machine.State() != statechart.ServerDown {
			w.broadcastState(id, t, statechart.ServerDown)
		}
	}
	w.fire(id, t, event)
}

// jitter returns a random duration between 0.75 and 1.25 times d. The caller holds
// the lock.
func (w *Watcher) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(w.rand.Int64N(int64(d)/2))
}

// fetchStatus requests the status of the server at address.
func (w *Watcher) fetchStatus(ctx context.Context, address string) (report, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+statusPath, nil)
	if err != nil {
		return report{}, errors.Wrap(err, "create status request")
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return report{}, errors.Wrap(err, "request status")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		// A plain service without a status endpoint is healthy if it answers.
		return report{}, nil
	}
	if resp.StatusCode != http.StatusOK {
		return report{}, errors.Wrapf(errStatus, "HTTP status %d", resp.StatusCode)
	}
	return decodeReport(io.LimitReader(resp.Body, maxStatusBytes))
}

func decodeReport(body io.Reader) (report, error) {
	var got report
	if err := json.NewDecoder(body).Decode(&got); err != nil {
		return report{}, errors.Wrap(err, "decode status")
	}
	if len(got.Process) > maxProcessIDBytes {
		return report{}, errors.New("instance id in status report is too long")
	}
	return got, nil
}

// parseVersions returns the well-formed versions, sorted and without duplicates.
func parseVersions(names []string) []settings.VersionRef {
	var refs []settings.VersionRef
	for _, name := range names[:min(len(names), maxVersions)] {
		if ref, ok := settings.ParseVersionRef(name); ok {
			refs = append(refs, ref)
		}
	}
	slices.SortFunc(refs, func(a, b settings.VersionRef) int { return strings.Compare(a.String(), b.String()) })
	return slices.Compact(refs)
}
