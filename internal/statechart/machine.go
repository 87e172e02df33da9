package statechart

import "sync"

// Machine is one thing that moves through a chart. It is safe for concurrent use.
type Machine struct {
	chart    *Chart
	mu       sync.Mutex
	state    State
	onChange func(from, to State, e Event)
}

// NewMachine makes a machine in the chart's start state.
func NewMachine(c *Chart) *Machine { return &Machine{chart: c, state: c.start} }

// OnChange sets a function that is called after each change to another state,
// without any lock held. Set it before the machine is shared.
func (m *Machine) OnChange(f func(from, to State, e Event)) { m.onChange = f }

// State returns the present state.
func (m *Machine) State() State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

// Final reports whether the present state is final.
func (m *Machine) Final() bool { return m.chart.Final(m.State()) }

// Fire applies an event and returns the state that follows. An event that the
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
