package explain

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/gateway"
	"github.com/basilrail/basilrail/internal/peers/membus"
	"github.com/basilrail/basilrail/internal/tracing"
)

// spans is a fixed set of spans.
type spans []tracing.Span

func (s spans) Spans(string) []tracing.Span { return s }

func record(id string) *gateway.Record {
	return &gateway.Record{
		RequestID: id,
		Account:   "shops/ikeja",
		Attempts:  []gateway.AttemptRecord{{ID: "a-1", Target: "writer@1", Server: "engine-1", Outcome: "ok"}},
	}
}

func TestExplainFindsRecordOnPeer(t *testing.T) {
	network := membus.New()
	served := New(network.Join("entry-1", "ikeja"), spans{{Hop: tracing.HopEntry}}, 10)
	asked := New(network.Join("entry-2", "lekki"), spans{}, 10)
	New(network.Join("entry-3", "yaba"), spans{}, 10)
	network.SetPartitioned("entry-3", true)
	served.Add(record("r-1"))

	account, text, ok := asked.Explain(context.Background(), "r-1")
	require.True(t, ok)
	assert.EqualValues(t, "shops/ikeja", account)
	var got Explanation
	require.NoError(t, json.Unmarshal(text, &got))
	assert.Equal(t, "entry-1", got.ServedBy)
	assert.Equal(t, "engine-1", got.Attempts[0].Server)
	assert.Equal(t, tracing.HopEntry, got.Spans[0].Hop)

	_, _, ok = asked.Explain(context.Background(), "r-2")
	assert.False(t, ok)
}

func TestStoreEvictsOldestRecord(t *testing.T) {
	s := New(membus.New().Join("entry-1", "ikeja"), spans{}, 2)
	for i := range 3 {
		s.Add(record(fmt.Sprint("r-", i)))
	}
	_, ok := s.Get("r-0")
	assert.False(t, ok)
	_, ok = s.Get("r-2")
	assert.True(t, ok)
}
