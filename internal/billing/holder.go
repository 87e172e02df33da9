package billing

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/wait"
)

const (
	// MaxHeldBytes limits the memory of records held for other instances.
	MaxHeldBytes = 16 << 20
	// payloadOverheadBytes is the memory of a held payload in addition to its length.
	payloadOverheadBytes = 128
	// watchInterval is the time between two checks of the held blocks.
	watchInterval = 5 * time.Second
	// ownerTimeout is how long an owner must be disconnected before its blocks
	// are stored on its behalf.
	ownerTimeout = 15 * time.Second
	// overdueAge is the age at which a block of a connected owner is looked up in
	// the table service.
	overdueAge = 2 * time.Minute
	// overdueLookups is the number of lookups that must not find an overdue block
	// before it is stored. The connected instance may be a new process with the
	// owner's id, which does not have the block.
	overdueLookups = 3
	// maxConcurrentStores limits the blocks of other instances stored in parallel.
	maxConcurrentStores = 64
)

// errHeldFull is returned for a replicateRequest that does not fit into MaxHeldBytes.
var errHeldFull = errors.New("memory for the bill records of other instances is full")

// heldBlock is the part of another instance's block that this instance holds.
type heldBlock struct {
	// payloads are outputs of encodeRecords. records is the number of records in
	// all of them.
	payloads   [][]byte
	records    int
	bytes      int
	receivedAt time.Time
	// disconnectedSince is when the owner was first found disconnected. It is zero
	// while the owner is connected.
	disconnectedSince time.Time
	lookups           int
}

// holder holds records of other instances until they are stored.
type holder struct {
	cfg Config

	mu     sync.Mutex
	blocks map[blockID]*heldBlock
	bytes  int
}

func newHolder(cfg Config) *holder {
	return &holder{cfg: cfg, blocks: make(map[blockID]*heldBlock)}
}

// handleReplicate handles a replicateRequest. Its reply is the acknowledgement.
func (h *holder) handleReplicate(_ context.Context, msg peers.Message) (any, error) {
	var m replicateRequest
	if err := cbor.Unmarshal(msg.Body, &m); err != nil {
		return nil, errors.Wrap(err, "decode bill handover")
	}
	records, err := decodeRecords(m.Records)
	if err != nil {
		return nil, err
	}
	if m.Block.Instance == "" {
		m.Block.Instance = msg.From
	}
	size := len(m.Records) + payloadOverheadBytes
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.bytes+size > MaxHeldBytes {
		return nil, errHeldFull
	}
	held := h.blocks[m.Block]
	if held == nil {
		held = &heldBlock{receivedAt: time.Now()}
		h.blocks[m.Block] = held
	}
	held.payloads = append(held.payloads, m.Records)
	held.records += len(records)
	held.bytes += size
	h.bytes += size
	return true, nil
}

// handleFlushed handles a flushedNotice from the owner of blocks.
func (h *holder) handleFlushed(_ context.Context, msg peers.Message) (any, error) {
	var m flushedNotice
	if err := cbor.Unmarshal(msg.Body, &m); err != nil {
		return nil, errors.Wrap(err, "decode bill notice")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range h.blocks {
		if id.Instance == msg.From && id.Incarnation == m.Incarnation && id.Number < m.Before {
			h.remove(id)
		}
	}
	return true, nil
}

// remove removes a block. The caller holds h.mu.
func (h *holder) remove(id blockID) {
	if held, ok := h.blocks[id]; ok {
		h.bytes -= held.bytes
		delete(h.blocks, id)
	}
}

func (h *holder) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, held := range h.blocks {
		n += held.records
	}
	return n
}

func (h *holder) watch(ctx context.Context) {
	for wait.For(ctx, watchInterval) == nil {
		h.storeOrphans(ctx, h.possibleOrphans())
	}
}

// possibleOrphans returns the blocks that their owner may no longer store.
func (h *holder) possibleOrphans() []blockID {
	connected := make(map[string]bool)
	for _, p := range h.cfg.Bus.Peers() {
		connected[p.ID] = p.Connected
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []blockID
	for id, held := range h.blocks {
		if held.possiblyOrphaned(connected[id.Instance]) {
			list = append(list, id)
		}
	}
	return list
}

// possiblyOrphaned updates disconnectedSince and reports whether the owner may no longer
// store the block: it timed out, or the block is overdue.
func (b *heldBlock) possiblyOrphaned(connected bool) bool {
	switch {
	case connected:
		b.disconnectedSince = time.Time{}
	case b.disconnectedSince.IsZero():
		b.disconnectedSince = time.Now()
	}
	return b.ownerTimedOut() || time.Since(b.receivedAt) >= overdueAge
}

func (b *heldBlock) ownerTimedOut() bool {
	return !b.disconnectedSince.IsZero() && time.Since(b.disconnectedSince) >= ownerTimeout
}

// storeOrphans looks up each block and stores it if its owner did not. If the
// first lookup fails, the other blocks are skipped.
func (h *holder) storeOrphans(ctx context.Context, ids []blockID) {
	if len(ids) == 0 || h.storeOrphan(ctx, ids[0]) != nil {
		return
	}
	slots := make(chan struct{}, maxConcurrentStores)
	var stores sync.WaitGroup
	for _, id := range ids[1:] {
		slots <- struct{}{}
		stores.Go(func() {
			defer func() { <-slots }()
			_ = h.storeOrphan(ctx, id)
		})
	}
	stores.Wait()
}

func (h *holder) storeOrphan(ctx context.Context, id blockID) error {
	found, err := h.storedByOwner(ctx, id)
	if err != nil {
		return err
	}
	payloads, orphaned := h.countLookup(id)
	if !found && !orphaned {
		return nil
	}
	if !found && !h.storePayloads(ctx, id, payloads) {
		return nil
	}
	h.removeStored(id, len(payloads))
	return nil
}

func (h *holder) storePayloads(ctx context.Context, id blockID, payloads [][]byte) bool {
	records, err := decodeAll(payloads)
	if err != nil || !h.cfg.store(ctx, h.key(id, records), records) {
		return false
	}
	h.cfg.Log.Log(events.BillsFlushedForPeer, events.Fields{Peer: id.Instance, Count: len(records)})
	return true
}

// countLookup counts a lookup of a block. It returns the block's payloads and
// whether the block counts as orphaned and should be stored.
func (h *holder) countLookup(id blockID) ([][]byte, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, ok := h.blocks[id]
	if !ok {
		return nil, false
	}
	held.lookups++
	return held.payloads, held.ownerTimedOut() || held.lookups >= overdueLookups
}

// removeStored removes a block of which count payloads were stored, unless more
// payloads have arrived since.
func (h *holder) removeStored(id blockID, count int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if held, ok := h.blocks[id]; ok && len(held.payloads) == count {
		h.remove(id)
	}
}

// storedByOwner reports whether the owner stored the block. The owner's row
// holds all records of the block.
func (h *holder) storedByOwner(ctx context.Context, id blockID) (bool, error) {
	rows, err := h.cfg.Scanner.Scan(ctx, id.prefix()+ownerWriter, "", 1)
	return len(rows) > 0, err
}

// key returns the key of the row of a block that is stored for its owner. The
// hash of the records' keys distinguishes two rows of one writer with different
// contents.
func (h *holder) key(id blockID, records []Record) string {
	var keys strings.Builder
	for _, r := range records {
		keys.WriteString(string(r.Account) + "\x00" + r.RequestID + "\x00")
	}
	hash := strconv.FormatUint(xxhash.Sum64String(keys.String()), 16)
	return id.prefix() + "peer-" + h.cfg.Bus.Self() + "-" + hash
}

// transferAll sends the records that this instance holds to other peers before
// it stops.
func (h *holder) transferAll(ctx context.Context) {
	all := h.cfg.Bus.Peers()
	for id, payloads := range h.snapshot() {
		targets := inOtherDomains(all, h.cfg.FailureDomain, map[string]bool{id.Instance: true})
		for _, payload := range payloads {
			h.transfer(ctx, targets, replicateRequest{Block: id, Records: payload})
		}
	}
}

func (h *holder) transfer(ctx context.Context, targets []peers.Peer, m replicateRequest) {
	for _, p := range targets {
		if requestReplica(ctx, h.cfg.Bus, p.ID, m) == nil {
			return
		}
	}
}

func (h *holder) snapshot() map[blockID][][]byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	snapshot := make(map[blockID][][]byte, len(h.blocks))
	for id, held := range h.blocks {
		snapshot[id] = held.payloads
	}
	return snapshot
}
