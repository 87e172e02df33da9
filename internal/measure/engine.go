package measure

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/basilrail/basilrail/internal/flowcontrol"
)

// simulation runs events in virtual time.
type simulation struct {
	now    time.Time
	events eventHeap
	count  int
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// after schedules a function to run after d.
func (s *simulation) after(d time.Duration, run func()) {
	s.count++
	heap.Push(&s.events, event{at: s.now.Add(d), seq: s.count, run: run})
}

// runUntil runs all events that are due before end.
func (s *simulation) runUntil(end time.Time) {
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// The duration of one step of the fake engine, which uses continuous batching:
// stepBase to read the weights, stepPerSequence for each running sequence, and
// stepPerPromptToken for each prompt token prefilled.
const (
	stepBase           = 20 * time.Millisecond
	stepPerSequence    = 500 * time.Microsecond
	stepPerPromptToken = 100 * time.Microsecond
	// maxPrefillPerStep is the maximum number of prompt tokens prefilled in one step.
	maxPrefillPerStep = 512
)

// engine is a fake model engine.
type engine struct {
	sim      *simulation
	capacity int
	// slowdown multiplies the duration of every step; 1 is the normal speed.
	slowdown float64
	// honoursPriority is whether priorities order the waiting jobs and the prefill.
	honoursPriority bool

	waiting  []*job
	running  []*job
	stepping bool
}

// job is a request at an engine.
type job struct {
	seq      int
	priority flowcontrol.Priority
	// input and output are the tokens still to prefill and to decode.
	input        int
	output       int
	onFirstToken func()
	onDone       func()
}

func (e *engine) submit(j *job) {
	e.waiting = append(e.waiting, j)
	if !e.stepping {
		e.step()
	}
}

// load returns the number of tokens still to be prefilled and decoded, for waiting
// and for running jobs.
func (e *engine) load() (queued, running int64) {
	for _, j := range e.waiting {
		queued += int64(j.input + j.output)
	}
	for _, j := range e.running {
		running += int64(j.input + j.output)
	}
	return queued, running
}

func (e *engine) step() {
	e.admit()
	e.stepping = len(e.running) > 0
	if !e.stepping {
		return
	}
	prefilled := e.prefill()
	took := stepBase + time.Duration(len(e.running))*stepPerSequence + time.Duration(prefilled)*stepPerPromptToken
	e.sim.after(time.Duration(float64(took)*e.slowdown), func() {
		e.decode()
		e.step()
	})
}

func (e *engine) sortByPriority(jobs []*job) {
	if !e.honoursPriority {
		return
	}
	slices.SortStableFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.seq, b.seq))
	})
}

// admit moves waiting jobs into the batch.
func (e *engine) admit() {
	e.sortByPriority(e.waiting)
	room := min(e.capacity-len(e.running), len(e.waiting))
	e.running = append(e.running, e.waiting[:room]...)
	e.waiting = slices.Delete(e.waiting, 0, room)
}

// prefill processes prompt tokens of the running jobs and returns their number.
func (e *engine) prefill() int {
	e.sortByPriority(e.running)
	budget := maxPrefillPerStep
	for _, j := range e.running {
		n := min(budget, j.input)
		j.input -= n
		budget -= n
	}
	return maxPrefillPerStep - budget
}

// decode generates one token for each sequence whose prompt is prefilled.
func (e *engine) decode() {
	running := slices.Clone(e.running)
	e.running = slices.DeleteFunc(e.running, func(j *job) bool { return j.input == 0 && j.output == 1 })
	for _, j := range running {
		if j.input > 0 {
			continue
		}
		j.emitToken()
	}
}

func (j *job) emitToken() {
	j.output--
	if j.onFirstToken != nil {
		j.onFirstToken()
		j.onFirstToken = nil
	}
	if j.output == 0 {
		j.onDone()
	}
}
