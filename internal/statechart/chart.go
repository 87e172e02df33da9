// Package statechart interprets state charts defined in YAML files: states, events,
// transitions, a start state and final states. A chart is fully validated when it
// is loaded.
package statechart

import (
	"fmt"
	"maps"
	"slices"
)

// State names a state of a chart.
type State string

// Event names an event of a chart.
type Event string

// Chart is a validated state chart. It is immutable.
type Chart struct {
	name   string
	start  State
	states map[State]stateDef
	events map[Event]string
}

// TransitionError reports an event that a state does not accept.
type TransitionError struct {
	Chart string
	State State
	Event Event
}

// Error names the chart, the state and the event.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("state chart %s: state %s does not accept event %s", e.Chart, e.State, e.Event)
}

// Name is the chart's name.
func (c *Chart) Name() string { return c.name }

// Start is the initial state of every Machine.
func (c *Chart) Start() State { return c.start }

// Final reports whether the state is final.
func (c *Chart) Final(s State) bool { return c.states[s].Final }

// Next returns the next state, or the same state and a *TransitionError.
func (c *Chart) Next(s State, e Event) (State, error) {
	next, ok := c.states[s].On[e]
	if !ok {
		return s, &TransitionError{Chart: c.name, State: s, Event: e}
	}
	return next, nil
}

// States lists the chart's states in alphabetical order.
func (c *Chart) States() []State { return slices.Sorted(maps.Keys(c.states)) }

// Events lists the chart's events in alphabetical order.
func (c *Chart) Events() []Event { return slices.Sorted(maps.Keys(c.events)) }

// Describe returns the description of an event.
func (c *Chart) Describe(e Event) string { return c.events[e] }
