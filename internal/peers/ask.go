package peers

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
)

// AskSome calls ask for some of the linked peers, drawn at random, at once and returns the number of
// calls without an error.
func AskSome(ctx context.Context, bus Bus, most int, ask func(ctx context.Context, peer string) error) int {
	var linked []Peer
	for _, p := range bus.Peers() {
		if p.Connected {
			linked = append(linked, p)
		}
	}
	rand.Shuffle(len(linked), func(i, j int) { linked[i], linked[j] = linked[j], linked[i] })
	var answered atomic.Int64
	var all sync.WaitGroup
	for _, p := range linked[:min(len(linked), most)] {
		all.Go(func() {
			if ask(ctx, p.ID) == nil {
				answered.Add(1)
			}
		})
	}
	all.Wait()
	return int(answered.Load())
}
