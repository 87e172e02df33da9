package logtrace

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/basilrail/basilrail/internal/dispatch"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/retry"
)

// lookBack is how long before a request's end a line may have led to it: a server
// is left alone, and a table's outage told of, for no longer.
const lookBack = 15 * time.Second

// Try is one of the caller's tries at one instance.
type Try struct {
	Instance string `json:"instance"`
	// Lines are the request's own, in order; the last one tells the end.
	Lines []Line `json:"lines"`
	// Related are lines of the same instance about the servers and tables that the
	// try depended on, shortly before its end.
	Related []Line `json:"related,omitempty"`
	// Cause tells why the try ended as it did.
	Cause string `json:"cause"`
}

// Story is what a request did.
type Story struct {
	RequestID string `json:"request_id"`
	Tries     []Try  `json:"tries"`
	// Deaths are the starts of instances that had ended without a word: what was in
	// flight there left no line.
	Deaths []Line `json:"deaths,omitempty"`
}

// Story tells the request's story from what was read.
func (c *Collector) Story() Story {
	slices.SortStableFunc(c.own, func(a, b Line) int { return a.Time.Compare(b.Time) })
	slices.SortStableFunc(c.beliefs, func(a, b Line) int { return a.Time.Compare(b.Time) })
	open := make(map[string][]Line)
	story := Story{RequestID: c.requestID, Deaths: c.deaths()}
	for _, line := range c.own {
		open[line.Instance] = append(open[line.Instance], line)
		if isEnd(line) {
			story.Tries = append(story.Tries, c.try(open[line.Instance]))
			delete(open, line.Instance)
		}
	}
	for _, lines := range open {
		cut := c.try(lines)
		cut.Cause = cutOff(lines[len(lines)-1], story.Deaths)
		story.Tries = append(story.Tries, cut)
	}
	slices.SortStableFunc(story.Tries, func(a, b Try) int {
		return cmp.Compare(a.Lines[0].Time.UnixNano(), b.Lines[0].Time.UnixNano())
	})
	return story
}

// deaths finds the starts of instances that had not told of their end.
func (c *Collector) deaths() []Line {
	running := make(map[string]bool)
	var list []Line
	for _, line := range c.beliefs {
		switch line.Event {
		case events.ProcessStarted.Number:
			if running[line.Instance] {
				list = append(list, line)
			}
			running[line.Instance] = true
		case events.ProcessStopped.Number:
			running[line.Instance] = false
		}
	}
	return list
}

// cutOff tells why a try has no end.
func cutOff(last Line, deaths []Line) string {
	for _, start := range deaths {
		if start.Instance == last.Instance && start.Time.After(last.Time) {
			return "the instance ended without a word while it worked on it; it started again at " + start.Time.Format(time.TimeOnly)
		}
	}
	return "the end is not in these logs: the instance still works on it, was ended, or left out lines"
}

func isEnd(line Line) bool {
	switch line.Event {
	case events.ExchangeAnswered.Number, events.ExchangeRefused.Number, events.ExchangeBroken.Number:
		return true
	}
	return false
}

func (c *Collector) try(lines []Line) Try {
	t := Try{Instance: lines[0].Instance, Lines: lines}
	t.Related = c.related(t)
	t.Cause = t.cause()
	return t
}

// related finds what the instance believed of the things that the try depended on.
func (c *Collector) related(t Try) []Line {
	end := t.Lines[len(t.Lines)-1]
	var found []Line
	for _, line := range c.beliefs {
		if line.Instance != t.Instance || line.Time.After(end.Time) || end.Time.Sub(line.Time) > lookBack {
			continue
		}
		if t.dependsOn(line, end) {
			found = append(found, line)
		}
	}
	return found
}

func (t Try) dependsOn(line, end Line) bool {
	switch line.Event {
	case events.StoreLost.Number, events.StoreRestored.Number, events.ProcessStateChanged.Number:
		return end.Reason == string(dispatch.NotVouched) || end.Reason == string(dispatch.NoConfiguration)
	case events.ServerEjected.Number, events.ServerGone.Number, events.ServerDraining.Number, events.ServerRestarted.Number:
		return end.Reason == string(dispatch.NoServer) || slices.ContainsFunc(t.attempts(), func(a Line) bool { return a.Server == line.Server })
	case events.ProcessDraining.Number:
		return true
	}
	return false
}

// attempts are the tries at backend servers.
func (t Try) attempts() []Line {
	var list []Line
	for _, line := range t.Lines {
		if line.Event == events.ExchangeAttempt.Number {
			list = append(list, line)
		}
	}
	return list
}

// cause names why a try ended as it did.
func (t Try) cause() string {
	end := t.Lines[len(t.Lines)-1]
	switch end.Event {
	case events.ExchangeAnswered.Number:
		return t.answered(end)
	case events.ExchangeRefused.Number, events.ExchangeBroken.Number:
		return t.failed(end)
	}
	return ""
}

func (t Try) failed(end Line) string {
	switch dispatch.Reason(end.Reason) {
	case dispatch.NoConfiguration:
		return "the instance had just started and knew no configuration yet"
	case dispatch.NotVouched:
		if end.AgeMS == 0 {
			return "the configuration was not confirmed since the instance started: " + t.lostStore()
		}
		return fmt.Sprintf("the configuration was last confirmed %v before: %s", milliseconds(end.AgeMS), t.lostStore())
	case dispatch.NoRoute:
		return fmt.Sprintf("no route of revision %d answers the host and path", end.Revision)
	case dispatch.BadKey:
		return fmt.Sprintf("revision %d knows no such key", end.Revision)
	case dispatch.Withdrawn:
		return "a newer configuration took the key, the route or the service away before it was sent again"
	case dispatch.Quarantined:
		return "servers broke off one after the other while they ran this content"
	case dispatch.CallerGone:
		return "the caller closed its connection" + t.afterAttempts()
	case dispatch.NoServer:
		return "no backend server could take it" + t.lostServers() + t.afterAttempts()
	case dispatch.Overloaded:
		return "the backend servers were full" + t.afterAttempts()
	case dispatch.TimedOut:
		return fmt.Sprintf("the time was over after %v", milliseconds(end.DurationMS)) + t.afterAttempts()
	case dispatch.ServerFailed:
		return "backend servers failed, the last while it may have run the request" + t.afterAttempts()
	case dispatch.Rejected:
		return "the backend server found the request itself at fault" + t.afterAttempts()
	}
	return end.Reason + t.afterAttempts()
}

func (t Try) lostStore() string {
	for _, line := range slices.Backward(t.Related) {
		if line.Event == events.StoreLost.Number {
			return "the store was lost at " + line.Time.Format(time.TimeOnly) + detail(line.Error)
		}
	}
	return "neither the store nor a peer confirmed it; look at the links of the instance"
}

func (t Try) lostServers() string {
	lost := 0
	for _, line := range t.Related {
		if line.Event == events.ServerEjected.Number || line.Event == events.ServerGone.Number || line.Event == events.ServerDraining.Number {
			lost++
		}
	}
	if lost == 0 {
		return ""
	}
	return fmt.Sprintf(" (%d were found silent, failing, leaving or gone in the %v before)", lost, lookBack)
}

func (t Try) afterAttempts() string {
	var parts []string
	for _, a := range t.attempts() {
		parts = append(parts, a.Server+" "+attemptText(a))
	}
	if len(parts) == 0 {
		return "; it was not sent"
	}
	return "; " + strings.Join(parts, ", then ")
}

func attemptText(a Line) string {
	switch a.Outcome {
	case retry.OutcomeBroken.String():
		return "broke off after " + milliseconds(a.DurationMS).String()
	case retry.OutcomeTimeout.String():
		return "was silent for " + milliseconds(a.DurationMS).String()
	case retry.OutcomeNoCapacity.String():
		return "was full"
	case retry.OutcomeServerError.String():
		return "answered with a failure"
	case retry.OutcomeConnectFailed.String():
		return "could not be reached"
	}
	return "ended as " + a.Outcome
}

// answered tells what made an answer what it was.
func (t Try) answered(end Line) string {
	if end.Status >= 500 {
		return fmt.Sprintf("the backend server's own answer was %d", end.Status) + t.afterAttempts()
	}
	attempts := t.attempts()
	if len(attempts) == 0 {
		return "answered; its attempts are not in these logs"
	}
	last := attempts[len(attempts)-1]
	first := int64(0)
	for _, a := range attempts[:len(attempts)-1] {
		first += a.DurationMS
	}
	text := fmt.Sprintf("answered, the first part after %v", milliseconds(first+last.LatencyMS))
	if last.Model != "" {
		text += " by model " + last.Model
	}
	if last.Load > 0 {
		text += fmt.Sprintf("; the server had %.2f s of work before it", last.Load)
	}
	if len(attempts) > 1 {
		text += t.afterAttempts()
	}
	return text
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func detail(text string) string {
	if text == "" {
		return ""
	}
	return ": " + text
}
