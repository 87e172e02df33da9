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
	// maxVersions bounds the versions taken from a report.
	maxVersions = 64
	// maxInstanceBytes bounds a process's id.
	maxInstanceBytes = 128
)

// report is the body of GET /status. A plain service need not have one.
type report struct {
	Instance      string   `json:"instance"`
	Versions      []string `json:"versions"`
	QueuedTokens  int64    `json:"queued_tokens"`
	RunningTokens int64    `json:"running_tokens"`
	Leaving       bool     `json:"leaving"`
}

// errStatus is returned for a server that answers with a failure.
var errStatus = errors.New("the server's status is not to be had")

// startDue starts every probe that is due, and returns when to look again.
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

// byDue lists the servers that are not being probed, the longest due first.
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

// probe asks one server and plans its next probe.
func (w *Watcher) probe(ctx context.Context, id string, t *tracked) {
	got, err := w.ask(ctx, t.address)
	if ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	t.probing = false
	if w.servers[id] == t {
		w.take(id, t, got, err)
	}
	w.signal()
}

// take applies the outcome of a probe. The caller holds the lock.
func (w *Watcher) take(id string, t *tracked, got report, err error) {
	if err != nil {
		w.failed(id, t, errors.Is(err, syscall.ECONNREFUSED))
		return
	}
	t.failures = 0
	t.due = time.Now().Add(w.jitter(pollInterval))
	t.status.Instance = got.Instance
	t.status.Versions = parseVersions(got.Versions)
	t.status.QueuedTokens, t.status.RunningTokens = max(got.QueuedTokens, 0), max(got.RunningTokens, 0)
	t.status.ReportedAt = time.Now()
	if got.Leaving && t.machine.State() != statechart.ServerLeaving {
		w.tell(id, t, statechart.ServerLeaving)
	}
	w.fire(id, t, reportEvent(got, t))
	if until := t.ejection.until; until.After(time.Now()) && until.Before(t.due) {
		t.due = until
	}
}

func reportEvent(got report, t *tracked) statechart.Event {
	if got.Leaving || t.mustLeave() {
		return statechart.ServerReportLeaving
	}
	return statechart.ServerReportOK
}

// failed applies a failed probe or connection. The caller holds the lock.
func (w *Watcher) failed(id string, t *tracked, refused bool) {
	t.failures++
	wait := min(retryInterval<<min(t.failures-1, maxDoublings), retryIntervalMax)
	t.due = time.Now().Add(w.jitter(wait))
	event := statechart.ServerProbeFailed
	if refused {
		event = statechart.ServerConnectionRefused
		if t.machine.State() != statechart.ServerDown {
			w.tell(id, t, statechart.ServerDown)
		}
	}
	w.fire(id, t, event)
}

// jitter spreads a wait over 0.75 to 1.25 of itself. The caller holds the lock.
func (w *Watcher) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(w.rand.Int64N(int64(d)/2))
}

// ask reads a server's status.
func (w *Watcher) ask(ctx context.Context, address string) (report, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+statusPath, nil)
	if err != nil {
		return report{}, errors.Wrap(err, "make status request")
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return report{}, errors.Wrap(err, "ask for status")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		// A plain service without a status is well when it answers.
		return report{}, nil
	}
	if resp.StatusCode != http.StatusOK {
		return report{}, errors.Wrapf(errStatus, "status %d", resp.StatusCode)
	}
	return decodeReport(io.LimitReader(resp.Body, maxStatusBytes))
}

func decodeReport(body io.Reader) (report, error) {
	var got report
	if err := json.NewDecoder(body).Decode(&got); err != nil {
		return report{}, errors.Wrap(err, "decode status")
	}
	if len(got.Instance) > maxInstanceBytes {
		return report{}, errors.New("the process id in a status is too long")
	}
	return got, nil
}

// parseVersions returns the well-formed versions in order.
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
