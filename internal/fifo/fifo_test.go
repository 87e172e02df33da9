package fifo

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/bubble"
)

// TestCallersFollowInOrderAndSpaced covers the end of a pause for which many requests
// waited.
func TestCallersFollowInOrderAndSpaced(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const spacing = 10 * time.Millisecond
		q := New(spacing)
		var order []int
		var times []time.Duration
		began := time.Now()
		for i := range 5 {
			p := q.Join()
			assert.Equal(t, i, p.Ahead())
			go func() {
				defer p.Leave()
				if i == 3 {
					time.Sleep(time.Millisecond)
					return // gives up
				}
				<-p.Front()
				if i == 0 {
					time.Sleep(time.Second)
				}
				order, times = append(order, i), append(times, time.Since(began))
			}()
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Equal(t, []int{0, 1, 2, 4}, order)
		for i, at := range times {
			assert.Equal(t, time.Second+time.Duration(i)*spacing, at)
		}
		assert.Zero(t, q.Len())
		p := q.Join()
		p.Leave()
		p.Leave()
		assert.Zero(t, q.Len())
	})
}

// TestFrontThatLeavesEarlyLetsTheNextFollow covers a caller that leaves during the
// spacing before it.
func TestFrontThatLeavesEarlyLetsTheNextFollow(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		q := New(time.Second)
		first, second, third := q.Join(), q.Join(), q.Join()
		first.Leave()
		second.Leave() // not at the front yet, called in a second
		time.Sleep(1500 * time.Millisecond)
		select {
		case <-third.Front():
		default:
			t.Fatal("the third caller is not at the front")
		}
		third.Leave()
		time.Sleep(2 * time.Second)
	})
}
