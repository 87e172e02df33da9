package entry

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/statechart"
)

// drainingRetry is when a caller that still reaches a leaving instance should
// come back; the balancer has forgotten the instance by then.
const drainingRetry = time.Second

// voucher tells whether the settings in force are known to be current.
type voucher interface {
	Vouch() (ok bool, reason string, retryAfter time.Duration)
}

// lifecycle is where the instance stands; the state chart "entry" rules it.
type lifecycle struct {
	machine  *statechart.Machine
	settings voucher
	log      *events.Logger
	// closed is set when a draining instance takes no new work any longer.
	closed atomic.Bool
}

func newLifecycle(charts *statechart.Set, settings voucher, log *events.Logger) *lifecycle {
	return &lifecycle{machine: statechart.NewMachine(charts.Entry), settings: settings, log: log}
}

// fire moves the instance on; every state of the chart accepts these events.
func (l *lifecycle) fire(e statechart.Event) {
	if _, err := l.machine.Fire(e); err != nil {
		l.log.Log(events.ProcessStepRefused, events.Fields{Err: err})
	}
}

// Ready returns nil, or why new work is refused. It is asked for each request.
func (l *lifecycle) Ready() *apierror.Error {
	if l.closed.Load() {
		return apierror.New(http.StatusServiceUnavailable, apierror.CodeDraining, "the entry instance is leaving").Retry(drainingRetry)
	}
	ok, reason, retryAfter := l.settings.Vouch()
	if !ok {
		return apierror.New(http.StatusServiceUnavailable, apierror.CodeSettingsStale, "%s", reason).Retry(retryAfter)
	}
	return nil
}

// observe follows the settings' state.
func (l *lifecycle) observe() {
	if ok, _, _ := l.settings.Vouch(); ok {
		l.fire(statechart.EntrySettingsCurrent)
		return
	}
	l.fire(statechart.EntrySettingsStale)
}

// unready says why a balancer should send no new requests; empty for ready.
func (l *lifecycle) unready() string {
	if l.machine.State() == statechart.EntryDraining || l.closed.Load() {
		return "draining"
	}
	if ok, reason, _ := l.settings.Vouch(); !ok {
		return reason
	}
	return ""
}
