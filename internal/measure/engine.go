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

// after runs a function once some time has passed.
func (s *simulation) after(d time.Duration, run func()) {
	s.count++
	heap.Push(&s.events, event{at: s.now.Add(d), seq: s.count, run: run})
}

// runUntil runs all events before a time.
func (s *simulation) runUntil(end time.Time) {
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// The time of one step of the fake engine, which batches continuously: it
// reads the weights, then each running sequence makes a token, and part of the
// step goes to reading prompts.
const (
	stepBase        = 20 * time.Millisecond
	stepPerSequence = 500 * time.Microsecond
	stepPerInput    = 100 * time.Microsecond
	// maxInputPerStep bounds the prompt tokens read in one step.
	maxInputPerStep = 512
)

// engine is a fake model engine.
type engine struct {
	sim      *simulation
	capacity int
	// slowdown stretches every step; 1 is the normal speed.
	slowdown float64
	// honoursPriority tells whether priorities order waiting and prompt reading.
	honoursPriority bool

	waiting  []*job
	running  []*job
	stepping bool
}

// job is a request at an engine.
type job struct {
	seq      int
	priority flowcontrol.Priority
	// input and output are the tokens still to read and to make.
	input  int
	output int
	first  func()
	done   func()
}

func (e *engine) submit(j *job) {
	e.waiting = append(e.waiting, j)
	if !e.stepping {
		e.step()
	}
}

// load is the tokens still to be read and made, waiting and running.
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
	read := e.readPrompts()
	took := stepBase + time.Duration(len(e.running))*stepPerSequence + time.Duration(read)*stepPerInput
	e.sim.after(time.Duration(float64(took)*e.slowdown), func() {
		e.makeTokens()
		e.step()
	})
}

func (e *engine) order(jobs []*job) {
	if !e.honoursPriority {
		return
	}
	slices.SortStableFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.seq, b.seq))
	})
}

// admit moves waiting jobs into the batch.
func (e *engine) admit() {
	e.order(e.waiting)
	room := min(e.capacity-len(e.running), len(e.waiting))
	e.running = append(e.running, e.waiting[:room]...)
	e.waiting = slices.Delete(e.waiting, 0, room)
}

// readPrompts reads prompt tokens and returns how many.
func (e *engine) readPrompts() int {
	e.order(e.running)
	left := maxInputPerStep
	for _, j := range e.running {
		n := min(left, j.input)
		j.input -= n
		left -= n
	}
	return maxInputPerStep - left
}

// makeTokens gives each sequence whose prompt is read one more token.
func (e *engine) makeTokens() {
	running := slices.Clone(e.running)
	e.running = slices.DeleteFunc(e.running, func(j *job) bool { return j.input == 0 && j.output == 1 })
	for _, j := range running {
		if j.input > 0 {
			continue
		}
		j.token()
	}
}

func (j *job) token() {
	j.output--
	if j.first != nil {
		j.first()
		j.first = nil
	}
	if j.output == 0 {
		j.done()
	}
}
