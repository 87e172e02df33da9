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

// The pace and size of exchanges between instances.
const (
	// exchangeInterval is the time between two rounds.
	exchangeInterval = time.Second
	// exchangePeers is the number of connected peers asked in a round, and
	// outageExchangePeers while the store can't be reached.
	exchangePeers       = 4
	outageExchangePeers = 8
	// peerTimeout bounds one question to a peer.
	peerTimeout = time.Second
	// maxReplyBytes bounds the entries or documents of one reply, beyond its first.
	maxReplyBytes = 256 << 10
	// maxPages bounds one transfer of all documents.
	maxPages = 1024
)

// handleHint queues a peer's hint.
func (s *Syncer) handleHint(_ context.Context, msg peers.Message) (any, error) {
	var hint hintMessage
	if err := decodeMessage(msg.Body, &hint); err != nil {
		return nil, err
	}
	if hint.Revision > s.state.Load().revision {
		select {
		case s.hints <- hintFrom{peer: msg.From, revision: hint.Revision}:
		default:
		}
	}
	return nil, nil
}

// handleFetch answers a peer's question.
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
		Revision:    current.revision,
		Loaded:      s.loaded.Load(),
		InDoubt:     len(s.inDoubt) > 0,
		StoreDown:   s.storeDown,
		FreshMillis: -1,
	}
	if age := s.age(); age <= FreshFor {
		reply.FreshMillis = ageMillis(age)
	}
	if request.Heard {
		reply.Heard = s.heardList()
	}
	if request.Since >= current.revision {
		return reply
	}
	entries, ok := s.history.since(request.Since, maxReplyBytes)
	switch {
	case ok && request.After == "":
		reply.Entries = entries
	case request.Whole:
		reply.Documents, reply.More = page(current, request.After)
	}
	return reply
}

// heardList is which witnesses this instance heard; the caller holds mu.
func (s *Syncer) heardList() []heardInstance {
	var list []heardInstance
	for _, chosen := range s.heardChoice() {
		at, ok := s.heard[chosen.id]
		if age := time.Since(at); ok && age <= FreshFor {
			list = append(list, heardInstance{IDHash: chosen.hash, AgeMillis: ageMillis(age)})
		}
	}
	return list
}

// page returns documents after a path, up to a size but at least one.
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

// exchangeLoop asks a few peers each round, spread over its time, and at once
// those that sent a hint. Rounds of different instances are out of step, so
// that what one learns reaches the next sooner than in a round's time.
func (s *Syncer) exchangeLoop(ctx context.Context) {
	asking := new(errgroup.Group)
	asking.SetLimit(maxAsked)
	defer func() { _ = asking.Wait() }()
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
				s.askBeside(ctx, asking, hint.peer)
			}
		case <-ticker.C:
			if len(round) > 0 {
				s.askBeside(ctx, asking, round[0])
				round = round[1:]
			}
			s.concludeFromWitnesses()
		}
	}
}

// maxAsked bounds the peers asked at once; slow ones must not hold up the rest.
const maxAsked = 16

// askBeside asks a peer in the background; if too many are being asked already,
// the peer is left to a later round.
func (s *Syncer) askBeside(ctx context.Context, asking *errgroup.Group, peer string) {
	asking.TryGo(func() error {
		s.ask(ctx, peer)
		return nil
	})
}

// exchangePhase is when the first round begins.
func (s *Syncer) exchangePhase() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rng.Int64N(int64(exchangeInterval)))
}

// beginRound takes stock and chooses whom to ask.
func (s *Syncer) beginRound() []string {
	ids := s.listedIDs()
	s.chooseHeard(ids)
	s.forgetUnlisted(ids)
	s.noteVouching()
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

// witnessAge is the age of the settings at which an instance begins to gather
// the witnesses' statements. In a large fleet its own next poll, which would tell
// it of an outage, may come too late.
const witnessAge = FreshFor / 3

// needsWitnesses reports whether reads of the store no longer keep the settings
// fresh; the caller holds mu.
func (s *Syncer) needsWitnesses() bool { return s.storeDown || s.age() > witnessAge }

// choosePeers picks connected peers at random, without repetition.
func (s *Syncer) choosePeers(most int) []string {
	var connected []string
	for _, peer := range s.opts.Bus.Peers() {
		if peer.Connected {
			connected = append(connected, peer.ID)
		}
	}
	s.mu.Lock()
	s.rng.Shuffle(len(connected), func(i, j int) { connected[i], connected[j] = connected[j], connected[i] })
	s.mu.Unlock()
	return connected[:min(most, len(connected))]
}

// eachPeer runs the function for every peer at once and waits.
func (s *Syncer) eachPeer(ids []string, visit func(peer string)) {
	var all sync.WaitGroup
	for _, id := range ids {
		all.Go(func() { visit(id) })
	}
	all.Wait()
}

// ask brings this instance to what a peer knows.
func (s *Syncer) ask(ctx context.Context, peer string) {
	request := s.fetchRequest()
	sent := time.Now()
	reply, err := s.fetch(ctx, peer, request)
	if err != nil {
		return
	}
	if reply.Revision > request.Since {
		s.takeFrom(ctx, peer, request, reply)
	}
	s.takeAges(peer, sent, reply)
}

func (s *Syncer) fetchRequest() fetchRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fetchRequest{
		Since: s.state.Load().revision,
		Whole: s.storeDown || !s.loaded.Load(),
		Heard: s.needsWitnesses(),
	}
}

func (s *Syncer) fetch(ctx context.Context, peer string, request fetchRequest) (fetchReply, error) {
	var reply fetchReply
	err := s.request(ctx, peer, peers.KindSettingsFetch, request, &reply)
	return reply, errors.Wrapf(err, "ask %s for settings", peer)
}

// request asks one peer and waits for peerTimeout at most.
func (s *Syncer) request(ctx context.Context, peer string, kind peers.Kind, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return s.opts.Bus.Request(ctx, peer, kind, body, reply)
}

// takeFrom installs what a peer has. Where its history does not reach back and
// the store is within reach, the store is polled at once instead.
func (s *Syncer) takeFrom(ctx context.Context, peer string, request fetchRequest, reply fetchReply) {
	switch {
	case len(reply.Entries) > 0:
		// A gap or an unreadable revision leaves the state as it is; the next poll
		// of the store finds the same and reports it.
		_ = s.advance(reply.Entries)
	case len(reply.Documents) > 0:
		s.takeWhole(ctx, peer, request, reply)
	default:
		signal(s.pollNow)
	}
}

// takeWhole collects the pages of all documents. The peer may move on between
// two pages; then the transfer is given up and the next round starts it anew.
func (s *Syncer) takeWhole(ctx context.Context, peer string, request fetchRequest, reply fetchReply) {
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

// takeAges adopts what a peer's reply proves, which holds only if everything
// that the peer has in force is in force here too.
func (s *Syncer) takeAges(peer string, sent time.Time, reply fetchReply) {
	if !reply.Loaded || reply.Revision > s.state.Load().revision {
		return
	}
	s.loaded.Store(true)
	if at, ok := stated(sent, reply.FreshMillis); ok {
		s.noteFresh(at)
	}
	if !reply.InDoubt {
		s.noteHeard(peer, sent)
	}
	s.takeHeard(sent, reply.Heard)
}

// takeHeard adopts which witnesses a peer heard.
func (s *Syncer) takeHeard(sent time.Time, heard []heardInstance) {
	if len(heard) == 0 {
		return
	}
	byHash := make(map[uint64]string)
	for _, chosen := range s.heardChoice() {
		byHash[chosen.hash] = chosen.id
	}
	for _, other := range heard {
		id, known := byHash[other.IDHash]
		if at, ok := stated(sent, other.AgeMillis); ok && known {
			s.noteHeard(id, at)
		}
	}
}

// tellLoop hints every connected peer at each new revision. A peer that had it
// already drops the hint; one that had not fetches it and tells its own peers.
func (s *Syncer) tellLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
		}
		hint := hintMessage{Revision: s.state.Load().revision}
		s.eachPeer(s.choosePeers(maxToldPeers), func(peer string) { s.tell(ctx, peer, hint) })
	}
}

// maxToldPeers bounds the peers that one instance hints.
const maxToldPeers = 16

func (s *Syncer) tell(ctx context.Context, peer string, hint hintMessage) {
	// A lost hint is repaired by the next exchange.
	_ = s.request(ctx, peer, peers.KindSettingsHint, hint, nil)
}
