package billing

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// controlMemoryBytes is the memory budget of an instance for control data at
// the target fleet size.
const controlMemoryBytes = 64_000_000

// targetOutageRecords is the number of an instance's bills in a ten-minute
// outage at the target fleet size: 52,000 requests/s over 1,200 instances.
const targetOutageRecords = 600 * 52_000 / 1200

func heapInUse() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// realBill returns a bill with names of realistic length that share no memory
// with other bills.
func realBill(i int) Record {
	b := bill(i)
	b.Lines = []Line{b.Lines[0]}
	b.Lines[0].AttemptID = fmt.Sprintf("entry-0001-%012d-1", i)
	b.Lines[0].Target = fmt.Sprintf("assistant-small-%d@2026-11", i%16)
	b.Lines[0].Server = fmt.Sprintf("hall-ikeja-%04d", i)
	return b
}

func TestFullLedgerFitsMemoryBudgetAndTenMinuteOutage(t *testing.T) {
	before := heapInUse()
	l := &Ledger{nonDurable: make(map[*batch]struct{}), open: &block{}}
	admitted := 0
	for ; l.admit() == nil; admitted++ {
		l.add(realBill(admitted), 150+recordOverheadBytes)
	}
	payload, err := encodeRecords([]Record{realBill(0), realBill(1)})
	require.NoError(t, err)
	held := &heldBlock{}
	for size := 0; size < MaxHeldBytes; size += len(payload) + payloadOverheadBytes {
		held.payloads = append(held.payloads, bytes.Clone(payload))
	}
	used := heapInUse() - before
	t.Logf("%d own records, %d held payloads, %d bytes", admitted, len(held.payloads), used)
	require.Greater(t, admitted, targetOutageRecords)
	require.Greater(t, 2*len(held.payloads), targetOutageRecords)
	require.Less(t, used, controlMemoryBytes)
	runtime.KeepAlive(l)
	runtime.KeepAlive(held)
}
