package wait

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/bubble"
)

func TestBoundEndsAfterItsTime(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		began := time.Now()
		ctx, cancel := Bound(t.Context(), 800*time.Millisecond)
		defer cancel()
		<-ctx.Done()
		assert.Equal(t, 800*time.Millisecond, time.Since(began))
		assert.Equal(t, context.DeadlineExceeded, context.Cause(ctx))
	})
}

func TestBoundEndsWithItsParentOrByItsFunction(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		parent, end := context.WithCancel(t.Context())
		ctx, cancel := Bound(parent, time.Second)
		end()
		assert.ErrorIs(t, ctx.Err(), context.Canceled)
		cancel()
		ctx, cancel = Bound(t.Context(), time.Second)
		cancel()
		assert.ErrorIs(t, ctx.Err(), context.Canceled)
		time.Sleep(2 * time.Second)
	})
}
