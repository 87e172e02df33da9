package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/wait"
)

const (
	// breakLimit is the number of servers that may break off one after the other
	// while they run a content: the operators allow three.
	breakLimit = 3
	// firstRefusal is how long such a content is refused at first; each further
	// break doubles the time. A domain that is cut off is back sooner.
	firstRefusal = 30 * time.Second
	// maxDoublings bounds the time to about four hours.
	maxDoublings = 9
	// tellEvery is how often peers are told: a third of the time in which an
	// instance must know what its peers know. A content that another server answers
	// meanwhile is not told of.
	tellEvery = time.Second
	// maxBroken bounds the contents that are remembered: about 200 bytes each.
	maxBroken = 4096
	// maxTold bounds a message to about 4 kB.
	maxTold = 64
)

// Breaks finds the content that breaks the server which runs it, where nothing
// but broken connections tells of a crash. A connection also breaks for other
// reasons: only breaks one after the other count, at different servers and with
// no whole answer between them, and a refusal ends by itself.
//
// It answers the pattern of a request that crashes servers and comes again at any
// instance. It is safe for concurrent use.
type Breaks struct {
	bus     peers.Bus
	log     *events.Logger
	mu      sync.Mutex
	broken  *lru.Cache[Fingerprint, *broken]
	untold  map[Fingerprint]bool
	answers []Fingerprint
}

// broken is what is known of one content.
type broken struct {
	// servers are those that broke, in order.
	servers []string
	last    time.Time
	// told tells that the peers know of it.
	told bool
}

// breaksMessage is the body of peers.KindContentBroke.
type breaksMessage struct {
	Broken []brokenContent `cbor:"1,keyasint,omitempty"`
	// Answered are contents that were told of and then answered whole.
	Answered []Fingerprint `cbor:"2,keyasint,omitempty"`
}

type brokenContent struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Servers     []string    `cbor:"2,keyasint"`
	// Age is the time since the last break, in milliseconds.
	Age int64 `cbor:"3,keyasint"`
}

// NewBreaks makes a Breaks and registers its message handler.
func NewBreaks(bus peers.Bus, log *events.Logger) *Breaks {
	// The only error is a size below one.
	cache, _ := lru.New[Fingerprint, *broken](maxBroken)
	b := &Breaks{bus: bus, log: log, broken: cache, untold: make(map[Fingerprint]bool)}
	bus.Handle(peers.KindContentBroke, b.handle)
	return b
}

// Empty reports whether nothing is known against any content.
func (b *Breaks) Empty() bool { return b.broken.Len() == 0 }

// Refused tells for how long a content is refused; zero if it may be sent.
func (b *Breaks) Refused(fp Fingerprint) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.broken.Get(fp)
	if !ok || len(known.servers) < breakLimit {
		return 0
	}
	doublings := min(len(known.servers)-breakLimit, maxDoublings)
	return max(0, time.Until(known.last.Add(firstRefusal<<doublings)))
}

// Broke notes that a server broke off while it ran a content since began.
func (b *Breaks) Broke(fp Fingerprint, server string, began time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.broken.Get(fp)
	if !ok {
		known = &broken{}
		b.broken.Add(fp, known)
	}
	if began.Before(known.last) || slices.Contains(known.servers, server) {
		return
	}
	b.add(fp, known, append(slices.Clone(known.servers), server), time.Now())
	b.untold[fp] = true
}

// add takes in a longer list of servers. The caller holds the lock.
func (b *Breaks) add(fp Fingerprint, known *broken, servers []string, last time.Time) {
	known.servers, known.last = servers, last
	if len(servers) >= breakLimit {
		b.log.Log(events.ContentBreaksServers, events.Fields{Reason: fp.String(), Count: len(servers), Server: servers[len(servers)-1]})
	}
}

// Answered notes that a server answered a content whole: it breaks none.
func (b *Breaks) Answered(fp Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known, ok := b.broken.Get(fp); ok {
		b.broken.Remove(fp)
		delete(b.untold, fp)
		if known.told {
			b.answers = append(b.answers, fp)
		}
	}
}

// Run tells the peers until the context ends.
func (b *Breaks) Run(ctx context.Context) {
	wait.Every(ctx, tellEvery, func() {
		if m := b.message(); len(m.Broken)+len(m.Answered) > 0 {
			b.bus.Broadcast(peers.KindContentBroke, m)
		}
	})
}

// message is what the peers were not told yet.
func (b *Breaks) message() breaksMessage {
	b.mu.Lock()
	defer b.mu.Unlock()
	var m breaksMessage
	for fp := range b.untold {
		if len(m.Broken) == maxTold {
			break
		}
		delete(b.untold, fp)
		if known, ok := b.broken.Peek(fp); ok {
			known.told = true
			m.Broken = append(m.Broken, brokenContent{
				Fingerprint: fp, Servers: slices.Clone(known.servers), Age: time.Since(known.last).Milliseconds(),
			})
		}
	}
	told := min(len(b.answers), maxTold)
	m.Answered, b.answers = slices.Clone(b.answers[:told]), slices.Delete(b.answers, 0, told)
	return m
}

// handle takes in what a peer found.
func (b *Breaks) handle(_ context.Context, msg peers.Message) (any, error) {
	var m breaksMessage
	if err := cbor.Unmarshal(msg.Body, &m); err != nil {
		return nil, errors.Wrap(err, "decode broken contents")
	}
	if len(m.Broken) > maxTold || len(m.Answered) > maxTold {
		return nil, errors.Errorf("%d broken and %d answered contents in one message", len(m.Broken), len(m.Answered))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, content := range m.Broken {
		b.learn(content)
	}
	for _, fp := range m.Answered {
		b.broken.Remove(fp)
		delete(b.untold, fp)
	}
	return nil, nil
}

// learn joins what a peer knows of a content with what is known here. The caller
// holds the lock.
func (b *Breaks) learn(content brokenContent) {
	known, ok := b.broken.Get(content.Fingerprint)
	if !ok {
		known = &broken{}
		b.broken.Add(content.Fingerprint, known)
	}
	known.told = true
	servers := slices.Clone(known.servers)
	for _, server := range content.Servers {
		if !slices.Contains(servers, server) && len(servers) < breakLimit+maxDoublings {
			servers = append(servers, server)
		}
	}
	if len(servers) > len(known.servers) {
		last := time.Now().Add(-time.Duration(content.Age) * time.Millisecond)
		if last.Before(known.last) {
			last = known.last
		}
		b.add(content.Fingerprint, known, servers, last)
	}
}
