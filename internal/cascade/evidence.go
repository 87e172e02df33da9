package cascade

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/basilrail/basilrail/internal/settings"
)

const (
	// maxUnsent bounds the keys whose evidence waits to be sent to peers.
	maxUnsent = 1_024
	// maxSenders bounds the senders whose last sequence number is stored.
	maxSenders = 4_096
)

// Item holds the ratings of one key.
type Item struct {
	Account settings.AccountID `cbor:"1,keyasint"`
	Task    string             `cbor:"2,keyasint"`
	// Version is "model@version".
	Version string  `cbor:"3,keyasint"`
	Pass    float64 `cbor:"4,keyasint"`
	Total   float64 `cbor:"5,keyasint"`
}

// Evidence is a message with the ratings that an instance recorded since its
// previous message.
type Evidence struct {
	// Sequence increases with each message of a sender, also across restarts.
	Sequence uint64 `cbor:"1,keyasint"`
	Items    []Item `cbor:"2,keyasint"`
}

// queue adds evidence to be sent to peers. New keys beyond maxUnsent are not sent.
func (l *Learner) queue(key Key, c counts) {
	have, ok := l.unsent[key]
	if !ok && len(l.unsent) >= maxUnsent {
		return
	}
	have.pass += c.pass
	have.total += c.total
	l.unsent[key] = have
}

// TakeUnsent removes and returns the unsent evidence of up to limit keys, those with
// the most ratings first. A lost message only loses evidence.
func (l *Learner) TakeUnsent(now time.Time, limit int) Evidence {
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

// Merge adds a peer's evidence and returns the number of items merged. It ignores a
// message whose sequence number is not above the sender's last one, so that a repeated
// message counts once. Invalid items are skipped.
func (l *Learner) Merge(now time.Time, sender string, message Evidence) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if last, ok := l.received.Get(sender); ok && message.Sequence <= last {
		return 0
	}
	l.received.Add(sender, message.Sequence)
	merged := 0
	for _, item := range message.Items {
		ref, ok := settings.ParseVersionRef(item.Version)
		if !ok || !item.isValid() {
			continue
		}
		l.add(now, Key{Account: item.Account, Task: item.Task, Version: ref}, counts{pass: item.Pass, total: item.Total})
		merged++
	}
	return merged
}

// isValid reports whether the counts are in range; it also rejects NaN.
func (i Item) isValid() bool {
	return i.Pass >= 0 && i.Pass <= i.Total && i.Total <= maxWeight
}
