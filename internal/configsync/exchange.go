package configsync

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/wait"
)

// Intervals and sizes of exchanges between instances.
const (
	// exchangeInterval is the time between two rounds.
	exchangeInterval = time.Second
	// exchangePeers is the number of connected peers queried in a round, and
	// outageExchangePeers the number while witness statements are needed.
	exchangePeers       = 4
	outageExchangePeers = 8
	// peerTimeout bounds one request to a peer.
	peerTimeout = time.Second
	// maxReplyBytes bounds the entries or documents of one reply; the first is
	// always included.
	maxReplyBytes = 256 << 10
	// maxPages is the maximum number of pages in one transfer of all documents.
	maxPages = 1024
)

// handleHint queues a peer's hint of a later revision; if the queue is full, the
// hint is discarded.
func (s *Syncer) handleHint(_ context.Context, msg peers.Message) (any, error) {
	var hint hintMessage
	if err := decodeMessage(msg.Body, &hint); err != nil {
		return nil, err
	}
	if hint.Revision > s.state.Load().revision {
		select {
		case s.hints <- receivedHint{peer: msg.From, revision: hint.Revision}:
		default:
		}
	}
	return nil, nil
}

// handleFetch replies to a peer's fetchRequest.
func (s *Syncer) handleFetch(_ context.Context, msg peers.Message) (any, error) {
	var request fetchRequest
	if err := decodeMessage(msg.Body, &request); err != nil {
		return nil, err
	}
	return s.reply(request), nil
}

func (s *Syncer) reply(request fetchRequest) fetchReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.state.Load()
	reply := fetchReply{
		Revision:           current.revision,
		Loaded:             s.loaded.Load(),
		InDoubt:            len(s.inDoubt) > 0,
		StoreDown:          s.storeDown,
		ConfirmedAgeMillis: -1,
	}
	if age := s.age(); age <= MaxConfirmationAge {
		reply.ConfirmedAgeMillis = ageMillis(age)
	}
	if request.Statements {
		reply.Statements = s.recentStatements()
	}
	if request.Since >= current.revision {
		return reply
	}
	entries, ok := s.history.since(request.Since, maxReplyBytes)
	switch {
	case ok && request.After == "":
		reply.Entries = entries
	case request.AllDocuments:
		reply.Documents, reply.More = page(current, request.After)
	}
	return reply
}

// recentStatements returns the ages of the witness statements received within
// MaxConfirmationAge. The caller holds mu.
func (s *Syncer) recentStatements() []witnessStatement {
	var list []witnessStatement
	for _, chosen := range s.currentWitnesses() {
		at, ok := s.statements[chosen.id]
		if age := time.Since(at); ok && age <= MaxConfirmationAge {
			list = append(list, witnessStatement{IDHash: chosen.hash, AgeMillis: ageMillis(age)})
		}
	}
	return list
}

// page returns the documents after a path, up to maxReplyBytes but at least one,
// and whether there are more.
func page(current *state, after string) (docs []settings.Document, more bool) {
	size := 0
	for _, doc := range sorted(current.docs) {
		if doc.Path <= after {
			continue
		}
		size += len(doc.Path) + len(doc.Body)
		if len(docs) > 0 && size > maxReplyBytes {
			return docs, true
		}
		docs = append(docs, doc)
	}
	return docs, false
}

// exchangeLoop fetches from a few peers each round, spread evenly over the round,
// and immediately from peers that sent a hint. Rounds of different instances are
// not synchronized, so that a revision or confirmation passes from one to the next in
// less than a round.
func (s *Syncer) exchangeLoop(ctx context.Context) {
	fetches := new(errgroup.Group)
	fetches.SetLimit(maxConcurrentFetches)
	defer func() { _ = fetches.Wait() }()
	if wait.For(ctx, s.exchangePhase()) != nil {
		return
	}
	ticker := time.NewTicker(exchangeInterval / outageExchangePeers)
	defer ticker.Stop()
	var round []string
	for turn := 0; ; turn++ {
		if turn%outageExchangePeers == 0 {
			round = s.beginRound()
		}
		select {
		case <-ctx.Done():
			return
		case hint := <-s.hints:
			turn--
			if hint.revision > s.state.Load().revision {
				s.syncInBackground(ctx, fetches, hint.peer)
			}
		case <-ticker.C:
			if len(round) > 0 {
				s.syncInBackground(ctx, fetches, round[0])
				round = round[1:]
			}
			s.confirmFromWitnesses()
		}
	}
}

// maxConcurrentFetches is the maximum number of peers queried at once. Several are
// queried, so that slow ones don't delay the others.
const maxConcurrentFetches = 16

// syncInBackground runs syncFrom in the background; at the limit of concurrent
// fetches the peer is skipped until a later round.
func (s *Syncer) syncInBackground(ctx context.Context, fetches *errgroup.Group, peer string) {
	fetches.TryGo(func() error {
		s.syncFrom(ctx, peer)
		return nil
	})
}

// exchangePhase returns the random delay before the first round.
func (s *Syncer) exchangePhase() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rng.Int64N(int64(exchangeInterval)))
}

// beginRound updates the witnesses from the list of instances, logs a change of
// confirmation, and returns the peers to query in the round.
func (s *Syncer) beginRound() []string {
	ids := s.listedIDs()
	s.updateWitnesses(ids)
	s.removeUnlisted(ids)
	s.logConfirmation()
	return s.choosePeers(s.roundSize())
}

func (s *Syncer) roundSize() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.needsWitnesses() {
		return outageExchangePeers
	}
	return exchangePeers
}

// witnessCheckAge is the age of the settings at which an instance begins to
// request witness statements. In a large fleet its next poll, which would detect
// an outage, may come too late.
const witnessCheckAge = MaxConfirmationAge / 3

// needsWitnesses reports whether the settings are no longer confirmed by reads of
// the store. The caller holds mu.
func (s *Syncer) needsWitnesses() bool { return s.storeDown || s.age() > witnessCheckAge }

// choosePeers returns up to limit different connected peers, chosen at random.
func (s *Syncer) choosePeers(limit int) []string {
	var connected []string
	for _, peer := range s.opts.Bus.Peers() {
		if peer.Connected {
			connected = append(connected, peer.ID)
		}
	}
	s.mu.Lock()
	s.rng.Shuffle(len(connected), func(i, j int) { connected[i], connected[j] = connected[j], connected[i] })
	s.mu.Unlock()
	return connected[:min(limit, len(connected))]
}

// eachPeer calls visit for all peers concurrently and waits for the calls.
func (s *Syncer) eachPeer(ids []string, visit func(peer string)) {
	var all sync.WaitGroup
	for _, id := range ids {
		all.Go(func() { visit(id) })
	}
	all.Wait()
}

// syncFrom fetches later settings and confirmations from a peer and applies them.
func (s *Syncer) syncFrom(ctx context.Context, peer string) {
	request := s.fetchRequest()
	sent := time.Now()
	reply, err := s.fetch(ctx, peer, request)
	if err != nil {
		return
	}
	if reply.Revision > request.Since {
		s.applyReply(ctx, peer, request, reply)
	}
	s.noteReply(peer, sent, reply)
}

func (s *Syncer) fetchRequest() fetchRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fetchRequest{
		Since:        s.state.Load().revision,
		AllDocuments: s.storeDown || !s.loaded.Load(),
		Statements:   s.needsWitnesses(),
	}
}

func (s *Syncer) fetch(ctx context.Context, peer string, request fetchRequest) (fetchReply, error) {
	var reply fetchReply
	err := s.request(ctx, peer, peers.KindSettingsFetch, request, &reply)
	return reply, errors.Wrapf(err, "fetch settings from %s", peer)
}

// request sends a request to one peer and waits up to peerTimeout for the reply.
func (s *Syncer) request(ctx context.Context, peer string, kind peers.Kind, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return s.opts.Bus.Request(ctx, peer, kind, body, reply)
}

// applyReply installs the entries or documents of a peer's reply. If there are
// none, because the peer's history does not go back far enough and the store is
// reachable, the store is polled immediately instead.
func (s *Syncer) applyReply(ctx context.Context, peer string, request fetchRequest, reply fetchReply) {
	switch {
	case len(reply.Entries) > 0:
		// A missing or unreadable revision leaves the state unchanged. The error is
		// ignored: the next poll of the store finds and reports the same fault.
		_ = s.advance(reply.Entries)
	case len(reply.Documents) > 0:
		s.transferDocuments(ctx, peer, request, reply)
	default:
		signal(s.pollNow)
	}
}

// transferDocuments fetches the remaining pages of all documents and installs
// them. If the peer's revision changes between two pages, the transfer is
// abandoned; a later round starts a new one.
func (s *Syncer) transferDocuments(ctx context.Context, peer string, request fetchRequest, reply fetchReply) {
	if !s.transferring.CompareAndSwap(false, true) {
		return
	}
	defer s.transferring.Store(false)
	revision := reply.Revision
	docs := merge(nil, reply.Documents)
	for range maxPages {
		if !reply.More {
			s.installFromPeer(peer, revision, docs)
			return
		}
		request.After = reply.Documents[len(reply.Documents)-1].Path
		var err error
		reply, err = s.fetch(ctx, peer, request)
		if err != nil || reply.Revision != revision || len(reply.Documents) == 0 {
			return
		}
		docs = merge(docs, reply.Documents)
	}
}

func (s *Syncer) installFromPeer(peer string, revision uint64, docs map[string]settings.Document) {
	if s.installDocs(revision, docs, nil) == nil {
		s.opts.Log.Log(events.SettingsFromPeers, events.Fields{Peer: peer, Revision: revision})
	}
}

// noteReply records the confirmations in a peer's reply. They count only if this
// instance has reached the peer's revision.
func (s *Syncer) noteReply(peer string, sent time.Time, reply fetchReply) {
	if !reply.Loaded || reply.Revision > s.state.Load().revision {
		return
	}
	s.loaded.Store(true)
	if at, ok := timeFromAge(sent, reply.ConfirmedAgeMillis); ok {
		s.noteConfirmed(at)
	}
	if !reply.InDoubt {
		s.noteStatement(peer, sent)
	}
	s.noteRelayedStatements(sent, reply.Statements)
}

// noteRelayedStatements records the witness statements that a peer received.
func (s *Syncer) noteRelayedStatements(sent time.Time, relayed []witnessStatement) {
	if len(relayed) == 0 {
		return
	}
	byHash := make(map[uint64]string)
	for _, chosen := range s.currentWitnesses() {
		byHash[chosen.hash] = chosen.id
	}
	for _, statement := range relayed {
		id, known := byHash[statement.IDHash]
		if at, ok := timeFromAge(sent, statement.AgeMillis); ok && known {
			s.noteStatement(id, at)
		}
	}
}

// hintLoop sends a hint of each new revision to connected peers, up to
// maxHintedPeers of them. A peer that already has the revision discards the hint;
// any other fetches it and sends hints to its own peers.
func (s *Syncer) hintLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
		}
		hint := hintMessage{Revision: s.state.Load().revision}
		s.eachPeer(s.choosePeers(maxHintedPeers), func(peer string) { s.sendHint(ctx, peer, hint) })
	}
}

// maxHintedPeers is the maximum number of peers that one instance sends a hint to.
const maxHintedPeers = 16

func (s *Syncer) sendHint(ctx context.Context, peer string, hint hintMessage) {
	// The next exchange makes up for a lost hint.
	_ = s.request(ctx, peer, peers.KindSettingsHint, hint, nil)
}
