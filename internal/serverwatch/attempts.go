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

// ReportFailure records a failed attempt. A refused connection counts as a failed probe;
// a refusal for lack of capacity is not a failure of the server.
func (w *Watcher) ReportFailure(failure *backend.Error) {
	switch {
	case failure.Draining:
		w.ReportDraining(failure.Server)
	case failure.Outcome == backend.NotSent && errors.Is(failure, syscall.ECONNREFUSED):
		w.withServer(failure.Server, func(t *tracked) { w.applyFailure(failure.Server, t, true) })
	case failure.Outcome != backend.Refused:
		w.withServer(failure.Server, func(t *tracked) { w.attemptFailed(failure.Server, t) })
	}
}

// ReportSuccess records that an attempt was answered.
func (w *Watcher) ReportSuccess(server string) {
	w.withServer(server, func(t *tracked) { t.ejection.recordSuccess() })
}

// ReportDraining records that the server refused work because it is draining.
func (w *Watcher) ReportDraining(server string) {
	w.withServer(server, func(t *tracked) {
		t.refusedAt, t.refusedProcess = time.Now(), t.status.Process
		if t.machine.State() != statechart.ServerDraining {
			w.broadcastState(server, t, statechart.ServerDraining)
		}
		w.fire(server, t, statechart.ServerReportDraining)
	})
}

// attemptFailed ejects a server after ejectAfterFailures failed attempts in a row.
// The caller holds the lock.
func (w *Watcher) attemptFailed(id string, t *tracked) {
	if !t.ejection.recordFailure(time.Now()) {
		return
	}
	// The probe at the end of the ejection updates the stored status.
	t.due = t.ejection.until
	w.updateStatus(id, t)
	w.signal()
}

// withServer runs f on a watched server under the lock; unknown servers are ignored.
func (w *Watcher) withServer(server string, f func(t *tracked)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t, ok := w.servers[server]; ok {
		f(t)
	}
}

// ConfirmCrash checks whether the process of a server whose connection failed during
// an attempt has ended: the connection is refused or another process answers. A
// network partition or a frozen or powered-off machine does not count as a crash, so
// that the requests in flight do not become suspects.
func (w *Watcher) ConfirmCrash(ctx context.Context, server, process string) bool {
	// All attempts in flight on the process fail at once and share one check.
	crashed, _, _ := w.crashChecks.Do(server+"/"+process, func() (any, error) {
		return w.confirmCrash(ctx, server, process), nil
	})
	return crashed.(bool)
}

func (w *Watcher) confirmCrash(ctx context.Context, server, process string) bool {
	address, ok := w.addressOf(server)
	if !ok {
		return false
	}
	got, err := w.fetchConclusiveStatus(ctx, address)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	crashed := refused || err == nil && process != "" && got.Process != process
	if crashed {
		w.withServer(server, func(t *tracked) { w.applyProbe(server, t, got, err) })
	}
	return crashed
}

const (
	// confirmAttempts bounds the probes that confirm a crash.
	confirmAttempts = 3
	// confirmRetryInterval is the wait between these probes.
	confirmRetryInterval = 100 * time.Millisecond
)

// fetchConclusiveStatus probes until the server answers or refuses the connection: a
// process that is exiting may still accept a connection and reset it.
func (w *Watcher) fetchConclusiveStatus(ctx context.Context, address string) (got report, err error) {
	for range confirmAttempts {
		got, err = w.fetchStatus(ctx, address)
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) || wait.For(ctx, confirmRetryInterval) != nil {
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
