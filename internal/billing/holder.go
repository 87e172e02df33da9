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
	// MaxHeldBytes bounds the records held for other instances.
	MaxHeldBytes = 16 << 20
	// payloadOverheadBytes is what a held payload takes beyond its length.
	payloadOverheadBytes = 128
	// watchInterval is the time between two looks at the held blocks.
	watchInterval = 5 * time.Second
	// ownerGoneAfter is how long an owner must be unconnected before its blocks
	// are stored for it.
	ownerGoneAfter = 15 * time.Second
	// overdueAfter is the age at which a block of a connected owner is looked up.
	overdueAfter = 2 * time.Minute
	// overdueLookups is how often an overdue block is looked up in vain before
	// it is stored: its owner may be a new process of the same name.
	overdueLookups = 3
	// storesAtOnce bounds the blocks stored for others in parallel.
	storesAtOnce = 64
)

// errHeldFull refuses a handover.
var errHeldFull = errors.New("memory for the bill records of other instances is full")

// heldBlock is what this instance holds of another's block.
type heldBlock struct {
	// payloads are packed records, records in all.
	payloads [][]byte
	records  int
	bytes    int
	since    time.Time
	// goneSince is when the owner was first seen unconnected; zero if connected.
	goneSince time.Time
	lookups   int
}

// holder keeps the records of other instances until they are stored.
type holder struct {
	cfg Config

	mu     sync.Mutex
	blocks map[blockID]*heldBlock
	bytes  int
}

func newHolder(cfg Config) *holder {
	return &holder{cfg: cfg, blocks: make(map[blockID]*heldBlock)}
}

// take handles a handover; its reply is the acknowledgement.
func (h *holder) take(_ context.Context, msg peers.Message) (any, error) {
	var m handover
	if err := cbor.Unmarshal(msg.Body, &m); err != nil {
		return nil, errors.Wrap(err, "decode bill handover")
	}
	records, err := unpack(m.Records)
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
		held = &heldBlock{since: time.Now()}
		h.blocks[m.Block] = held
	}
	held.payloads = append(held.payloads, m.Records)
	held.records += len(records)
	held.bytes += size
	h.bytes += size
	return true, nil
}

// drop handles an owner's notice that blocks are stored.
func (h *holder) drop(_ context.Context, msg peers.Message) (any, error) {
	var m flushed
	if err := cbor.Unmarshal(msg.Body, &m); err != nil {
		return nil, errors.Wrap(err, "decode bill notice")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range h.blocks {
		if id.Instance == msg.From && id.Incarnation == m.Incarnation && id.Number < m.Before {
			h.forget(id)
		}
	}
	return true, nil
}

// forget removes a block. The caller holds the lock.
func (h *holder) forget(id blockID) {
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
		h.storeFor(ctx, h.suspects())
	}
}

// suspects lists the blocks whose owner may not store them any more.
func (h *holder) suspects() []blockID {
	connected := make(map[string]bool)
	for _, p := range h.cfg.Bus.Peers() {
		connected[p.ID] = p.Connected
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []blockID
	for id, held := range h.blocks {
		if held.suspect(connected[id.Instance]) {
			list = append(list, id)
		}
	}
	return list
}

func (b *heldBlock) suspect(connected bool) bool {
	switch {
	case connected:
		b.goneSince = time.Time{}
	case b.goneSince.IsZero():
		b.goneSince = time.Now()
	}
	return b.ownerGone() || time.Since(b.since) >= overdueAfter
}

func (b *heldBlock) ownerGone() bool {
	return !b.goneSince.IsZero() && time.Since(b.goneSince) >= ownerGoneAfter
}

// storeFor looks each block up and stores it if its owner did not. While the
// first can't be looked up, the others need not be tried.
func (h *holder) storeFor(ctx context.Context, ids []blockID) {
	if len(ids) == 0 || h.storeOne(ctx, ids[0]) != nil {
		return
	}
	slots := make(chan struct{}, storesAtOnce)
	var stores sync.WaitGroup
	for _, id := range ids[1:] {
		slots <- struct{}{}
		stores.Go(func() {
			defer func() { <-slots }()
			_ = h.storeOne(ctx, id)
		})
	}
	stores.Wait()
}

func (h *holder) storeOne(ctx context.Context, id blockID) error {
	found, err := h.lookup(ctx, id)
	if err != nil {
		return err
	}
	payloads, due := h.due(id)
	if !found && !due {
		return nil
	}
	if !found && !h.storePayloads(ctx, id, payloads) {
		return nil
	}
	h.forgetStored(id, len(payloads))
	return nil
}

func (h *holder) storePayloads(ctx context.Context, id blockID, payloads [][]byte) bool {
	records, err := unpackAll(payloads)
	if err != nil || !h.cfg.store(ctx, h.key(id, records), records) {
		return false
	}
	h.cfg.Log.Log(events.BillsFlushedForPeer, events.Fields{Peer: id.Instance, Count: len(records)})
	return true
}

// due returns the payloads of a block, and whether it should be stored now.
func (h *holder) due(id blockID) ([][]byte, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, ok := h.blocks[id]
	if !ok {
		return nil, false
	}
	held.lookups++
	return held.payloads, held.ownerGone() || held.lookups >= overdueLookups
}

// forgetStored removes a block unless records came in after it was stored.
func (h *holder) forgetStored(id blockID, count int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if held, ok := h.blocks[id]; ok && len(held.payloads) == count {
		h.forget(id)
	}
}

// lookup reports whether the owner stored the block, which then is whole.
func (h *holder) lookup(ctx context.Context, id blockID) (bool, error) {
	rows, err := h.cfg.Reads.Scan(ctx, id.prefix()+ownerWriter, "", 1)
	return len(rows) > 0, err
}

// key names the row of a block stored for its owner. The hash of the records'
// names keeps apart two rows of one writer with different contents.
func (h *holder) key(id blockID, records []Record) string {
	var names strings.Builder
	for _, r := range records {
		names.WriteString(string(r.Account) + "\x00" + r.RequestID + "\x00")
	}
	hash := strconv.FormatUint(xxhash.Sum64String(names.String()), 16)
	return id.prefix() + "peer-" + h.cfg.Bus.Self() + "-" + hash
}

// handOn gives what this instance holds to another peer before it leaves.
func (h *holder) handOn(ctx context.Context) {
	all := h.cfg.Bus.Peers()
	for id, payloads := range h.contents() {
		targets := elsewhere(all, h.cfg.FailureDomain, map[string]bool{id.Instance: true})
		for _, payload := range payloads {
			h.handOnTo(ctx, targets, handover{Block: id, Records: payload})
		}
	}
}

func (h *holder) handOnTo(ctx context.Context, targets []peers.Peer, m handover) {
	for _, p := range targets {
		if offer(ctx, h.cfg.Bus, p.ID, m) == nil {
			return
		}
	}
}

func (h *holder) contents() map[blockID][][]byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	contents := make(map[blockID][][]byte, len(h.blocks))
	for id, held := range h.blocks {
		contents[id] = held.payloads
	}
	return contents
}
