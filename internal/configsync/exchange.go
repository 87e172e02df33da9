package configsync

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/settings"
)

// The pace and size of exchanges between instances.
const (
	// exchangeInterval is the time between two rounds.
	exchangeInterval = time.Second
	// exchangePeers is the number of connected peers asked in a round.
	exchangePeers = 4
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

// heardList is what this instance heard; the caller holds mu.
func (s *Syncer) heardList() []heardInstance {
	if len(s.heard) > maxHeardInstances {
		return nil
	}
	var list []heardInstance
	for id, at := range s.heard {
		if age := time.Since(at); age <= FreshFor {
			list = append(list, heardInstance{ID: id, AgeMillis: ageMillis(age)})
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

// exchangeLoop asks a few peers each round, and at once those that sent a hint.
func (s *Syncer) exchangeLoop(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case hint := <-s.hints:
			if hint.revision > s.state.Load().revision {
				s.ask(ctx, hint.peer)
			}
		case <-ticker.C:
			s.eachPeer(s.choosePeers(exchangePeers), func(peer string) { s.ask(ctx, peer) })
			s.concludeFromAll()
			s.noteVouching()
		}
	}
}

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
	request := s.request()
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

func (s *Syncer) request() fetchRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fetchRequest{
		Since: s.state.Load().revision,
		Whole: s.storeDown || !s.loaded.Load(),
		Heard: s.storeDown,
	}
}

func (s *Syncer) fetch(ctx context.Context, peer string, request fetchRequest) (fetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply fetchReply
	err := s.opts.Bus.Request(ctx, peer, peers.KindSettingsFetch, request, &reply)
	return reply, errors.Wrapf(err, "ask %s for settings", peer)
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
	for _, other := range reply.Heard {
		if at, ok := stated(sent, other.AgeMillis); ok && other.ID != s.opts.Bus.Self() {
			s.noteHeard(other.ID, at)
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
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	// A lost hint is repaired by the next exchange.
	_ = s.opts.Bus.Request(ctx, peer, peers.KindSettingsHint, hint, nil)
}
