package entry

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/statechart"
)

// drainingRetryAfter is the retry delay sent to a caller that reaches a draining
// instance; by then the load balancer no longer selects the instance.
const drainingRetryAfter = time.Second

// settingsConfirmer reports whether the settings in effect are confirmed to be
// current.
type settingsConfirmer interface {
	// Confirmed returns ok if the settings are confirmed to be current, otherwise the
	// reason and the retry delay.
	Confirmed() (ok bool, reason string, retryAfter time.Duration)
}

// lifecycle holds the state of the instance, as defined by the state chart "entry".
type lifecycle struct {
	machine  *statechart.Machine
	settings settingsConfirmer
	log      *events.Logger
	// closed is set when a draining instance stops accepting requests.
	closed atomic.Bool
}

func newLifecycle(charts *statechart.Set, settings settingsConfirmer, log *events.Logger) *lifecycle {
	return &lifecycle{machine: statechart.NewMachine(charts.Entry), settings: settings, log: log}
}

// fire applies an event to the state machine. Every state of the chart accepts
// the events used here, so an error is a program fault; it is only logged.
func (l *lifecycle) fire(e statechart.Event) {
	if _, err := l.machine.Fire(e); err != nil {
		l.log.Log(events.ProcessStepRefused, events.Fields{Err: err})
	}
}

// Ready returns nil if the instance accepts new requests, or the refusal to send.
// It is called for each request.
func (l *lifecycle) Ready() *apierror.Error {
	if l.closed.Load() {
		return apierror.New(http.StatusServiceUnavailable, apierror.CodeDraining, "the entry instance is leaving").WithRetryAfter(drainingRetryAfter)
	}
	ok, reason, retryAfter := l.settings.Confirmed()
	if !ok {
		return apierror.New(http.StatusServiceUnavailable, apierror.CodeSettingsStale, "%s", reason).WithRetryAfter(retryAfter)
	}
	return nil
}

// checkSettings fires EntrySettingsCurrent if the settings are confirmed to be
// current, otherwise EntrySettingsStale.
func (l *lifecycle) checkSettings() {
	if ok, _, _ := l.settings.Confirmed(); ok {
		l.fire(statechart.EntrySettingsCurrent)
		return
	}
	l.fire(statechart.EntrySettingsStale)
}

// unreadyReason returns why a load balancer should send no new requests; empty if
// the instance is ready.
func (l *lifecycle) unreadyReason() string {
	if l.machine.State() == statechart.EntryDraining || l.closed.Load() {
		return "draining"
	}
	if ok, reason, _ := l.settings.Confirmed(); !ok {
		return reason
	}
	return ""
}
