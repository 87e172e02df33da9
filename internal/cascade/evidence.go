package cascade

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/basilrail/basilrail/internal/settings"
)

const (
	// maxUnsent bounds the keys that wait to be told to peers.
	maxUnsent = 1_024
	// maxSenders bounds the senders whose sequence numbers are remembered.
	maxSenders = 4_096
)

// Item is the ratings of one key.
type Item struct {
	Account settings.AccountID `cbor:"1,keyasint"`
	Task    string             `cbor:"2,keyasint"`
	// Version is "model@version".
	Version string  `cbor:"3,keyasint"`
	Pass    float64 `cbor:"4,keyasint"`
	Total   float64 `cbor:"5,keyasint"`
}

// Evidence is a message with the ratings of one entry since its last one.
type Evidence struct {
	// Sequence rises with each message of a sender, also over its restarts.
	Sequence uint64 `cbor:"1,keyasint"`
	Items    []Item `cbor:"2,keyasint"`
}

// queue keeps evidence for peers. What does not fit is not told to them.
func (l *Learner) queue(key Key, c counts) {
	have, ok := l.unsent[key]
	if !ok && len(l.unsent) >= maxUnsent {
		return
	}
	have.pass += c.pass
	have.total += c.total
	l.unsent[key] = have
}

// Take returns up to limit keys' evidence for the peers, those with the most
// ratings first, and forgets it. A lost message loses evidence, no more.
func (l *Learner) Take(now time.Time, limit int) Evidence {
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := slices.SortedFunc(maps.Keys(l.unsent), func(a, b Key) int {
		if d := l.unsent[b].total - l.unsent[a].total; d != 0 {
			return int(d)
		}
		return strings.Compare(a.name(), b.name())
	})
	l.sent = max(l.sent+1, uint64(now.UnixMilli()))
	message := Evidence{Sequence: l.sent}
	for _, key := range keys[:min(limit, len(keys))] {
		c := l.unsent[key]
		message.Items = append(message.Items, Item{
			Account: key.Account, Task: key.Task, Version: key.Version.String(), Pass: c.pass, Total: c.total,
		})
		delete(l.unsent, key)
	}
	return message
}

func (k Key) name() string {
	return string(k.Account) + " " + k.Task + " " + k.Version.String()
}

// Merge counts a peer's evidence, once, and returns the number of items taken.
// Items that make no sense are left out.
func (l *Learner) Merge(now time.Time, sender string, message Evidence) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if last, ok := l.heard.Get(sender); ok && message.Sequence <= last {
		return 0
	}
	l.heard.Add(sender, message.Sequence)
	taken := 0
	for _, item := range message.Items {
		ref, ok := settings.ParseVersionRef(item.Version)
		if !ok || !item.isSane() {
			continue
		}
		l.add(now, Key{Account: item.Account, Task: item.Task, Version: ref}, counts{pass: item.Pass, total: item.Total})
		taken++
	}
	return taken
}

// isSane also rejects values that are not numbers.
func (i Item) isSane() bool {
	return i.Pass >= 0 && i.Pass <= i.Total && i.Total <= maxWeight
}
