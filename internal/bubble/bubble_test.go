package bubble

import (
	"testing"
	"time"
)

// Guards against test processes that the race detector ends because goroutines of a bubble
// receive from expired timer channels at the same time.
func TestExpiredTimerChannelsDoNotEndTheProcess(t *testing.T) {
	const goroutines, timers = 8, 50_000
	Test(t, func(*testing.T) {
		done := make(chan struct{})
		for range goroutines {
			go func() {
				for range timers {
					<-time.After(0)
				}
				done <- struct{}{}
			}()
		}
		for range goroutines {
			<-done
		}
	})
}
