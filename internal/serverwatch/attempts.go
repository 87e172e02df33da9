package serverwatch

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/backend"
	"github.com/basilrail/basilrail/internal/statechart"
	"github.com/basilrail/basilrail/internal/wait"
)

// Report takes in how an attempt failed.
func (w *Watcher) Report(failure *backend.Error) {
	switch {
	case failure.Leaving:
		w.ReportLeaving(failure.Server)
	case failure.Fate == backend.NotSent && errors.Is(failure, syscall.ECONNREFUSED):
		w.with(failure.Server, func(t *tracked) { w.failed(failure.Server, t, true) })
	case failure.Fate != backend.Refused:
		w.with(failure.Server, func(t *tracked) { w.attemptFailed(failure.Server, t) })
	}
}

// Succeeded takes in that an attempt was answered.
func (w *Watcher) Succeeded(server string) {
	w.with(server, func(t *tracked) { t.ejection.succeed() })
}

// ReportLeaving takes in that the server refused work because it is leaving.
func (w *Watcher) ReportLeaving(server string) {
	w.with(server, func(t *tracked) {
		t.refusedAt, t.refusedInstance = time.Now(), t.status.Instance
		if t.machine.State() != statechart.ServerLeaving {
			w.tell(server, t, statechart.ServerLeaving)
		}
		w.fire(server, t, statechart.ServerReportLeaving)
	})
}

// attemptFailed ejects a server that fails attempt after attempt. The caller
// holds the lock.
func (w *Watcher) attemptFailed(id string, t *tracked) {
	if !t.ejection.fail(time.Now()) {
		return
	}
	// The status is stored anew when the ejection ends.
	t.due = t.ejection.until
	w.settle(id, t)
	w.signal()
}

// with runs f on a watched server under the lock.
func (w *Watcher) with(server string, f func(t *tracked)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t, ok := w.servers[server]; ok {
		f(t)
	}
}

// ConfirmCrash asks a server, whose connection broke under an attempt, whether
// its process ended: nothing listens any more, or another process answers. A cut
// in the network, a frozen or a powered-off machine is no crash, so that it
// makes no suspects of the requests in flight.
func (w *Watcher) ConfirmCrash(ctx context.Context, server, instance string) bool {
	// Every attempt in flight on the process asks at the same moment.
	crashed, _, _ := w.confirms.Do(server+"/"+instance, func() (any, error) {
		return w.confirmCrash(ctx, server, instance), nil
	})
	return crashed.(bool)
}

func (w *Watcher) confirmCrash(ctx context.Context, server, instance string) bool {
	address, ok := w.addressOf(server)
	if !ok {
		return false
	}
	got, err := w.askUntilClear(ctx, address)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	crashed := refused || err == nil && instance != "" && got.Instance != instance
	if crashed {
		w.with(server, func(t *tracked) { w.take(server, t, got, err) })
	}
	return crashed
}

const (
	// confirmTries bounds the probes that confirm a crash.
	confirmTries = 3
	// confirmPause is the wait before the next one.
	confirmPause = 100 * time.Millisecond
)

// askUntilClear asks until the server answers or refuses the connection: a
// process that is just ending may still take a connection and break it.
func (w *Watcher) askUntilClear(ctx context.Context, address string) (got report, err error) {
	for range confirmTries {
		got, err = w.ask(ctx, address)
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) || wait.For(ctx, confirmPause) != nil {
			return got, err
		}
	}
	return got, err
}

func (w *Watcher) addressOf(server string) (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, ok := w.servers[server]
	if !ok {
		return "", false
	}
	return t.address, true
}
