package serverpath

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// firstOpenings is the first bound on the number of streams that are being opened at a time,
	// minOpenings and maxOpenings are the bounds of the bound.
	firstOpenings = 8
	minOpenings   = 2
	maxOpenings   = 64
)

// waitedInVain is the message of the error of a caller whose context ended before its turn.
const waitedInVain = "wait until fewer streams are being opened"

// openings bounds the number of streams that are being opened at a time, as TCP bounds the bytes
// in flight. A peer that is short of processor time answers later the more streams it opens;
// past a point, none is open before it is given up, and all the work was in vain. So the bound
// is halved when a peer does not answer. While it is reached it grows, by one with each answer
// until the first time that a peer does not answer, then by one once as many as it allows have
// answered.
type openings struct {
	mu    sync.Mutex
	limit float64
	// open is the number of streams that are being opened.
	open int
	// waiting are the callers that wait for their turn, the newest last.
	waiting []chan struct{}
	// loweredAt is when the bound was last halved; zero for never.
	loweredAt time.Time
}

func newOpenings() *openings { return &openings{limit: firstOpenings} }

// acquire waits until one more stream may be opened, or returns the error of the context.
func (o *openings) acquire(ctx context.Context) error {
	o.mu.Lock()
	if o.open < int(o.limit) {
		o.open++
		o.mu.Unlock()
		return nil
	}
	turn := make(chan struct{})
	o.waiting = append(o.waiting, turn)
	o.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, other := range o.waiting {
		if other == turn {
			o.waiting = append(o.waiting[:i], o.waiting[i+1:]...)
			return errors.WithMessage(ctx.Err(), waitedInVain)
		}
	}
	// Its turn came at the same time.
	o.pass()
	return errors.WithMessage(ctx.Err(), waitedInVain)
}

// release ends an opening that began at a time. The peer has answered, or is unanswered: it was
// given up.
func (o *openings) release(began time.Time, answered, unanswered bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case answered && o.open < int(o.limit):
	case answered && o.loweredAt.IsZero():
		o.limit = min(maxOpenings, o.limit+1)
	case answered:
		o.limit = min(maxOpenings, o.limit+1/o.limit)
	case unanswered && began.After(o.loweredAt):
		// Those that began before met the same delay.
		o.limit = max(minOpenings, o.limit/2)
		o.loweredAt = time.Now()
	}
	o.pass()
}

// pass ends an opening and gives its turn to the newest callers that wait: the others have less
// of their time left. The caller holds the lock.
func (o *openings) pass() {
	o.open--
	for o.open < int(o.limit) && len(o.waiting) > 0 {
		last := len(o.waiting) - 1
		close(o.waiting[last])
		o.waiting = o.waiting[:last]
		o.open++
	}
}
