package statechart

import "sync"

// Machine holds the current state of an object in a chart. It is safe for
// concurrent use.
type Machine struct {
	chart    *Chart
	mu       sync.Mutex
	state    State
	onChange func(from, to State, e Event)
}

// NewMachine returns a machine in the chart's start state.
func NewMachine(c *Chart) *Machine { return &Machine{chart: c, state: c.start} }

// OnChange sets a function that is called after each change of state, without any
// lock held. It must be called before the machine is shared.
func (m *Machine) OnChange(f func(from, to State, e Event)) { m.onChange = f }

// State returns the current state.
func (m *Machine) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Final reports whether the current state is final.
func (m *Machine) Final() bool { return m.chart.Final(m.State()) }

// Fire applies an event and returns the resulting state. An event that the current
// state does not accept changes nothing and returns a *TransitionError.
func (m *Machine) Fire(e Event) (State, error) {
	from, to, err := m.step(e)
	if err == nil && from != to && m.onChange != nil {
		m.onChange(from, to, e)
	}
	return to, err
}

func (m *Machine) step(e Event) (from, to State, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	from = m.state
	m.state, err = m.chart.Next(from, e)
	return from, m.state, err
}
