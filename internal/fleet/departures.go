package fleet

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// departedHold is how long a restored registration of a departed server is not used.
	// The store drops the registration of a server that is gone after three missed
	// heartbeats.
	departedHold = 5 * time.Second
	// maxDepartures bounds the departures that are remembered. A store is restored from a
	// copy that is seconds old.
	maxDepartures = 4096
)

// departure is what is known about the end of a server process.
type departure struct {
	// draining is set if the server registered as draining, in eraDraining or earlier.
	draining    bool
	eraDraining uint64
	// gone is set if the server deregistered, in eraGone.
	gone    bool
	eraGone uint64
	// announced is set if the server announced in an answer that it is leaving.
	announced bool
}

// departures remembers server processes that are leaving or gone, so that an outdated
// registration of them does not bring them back. It is not safe for concurrent use.
type departures struct {
	byProcess *lru.Cache[Process, departure]
}

func newDepartures() *departures {
	// The only error is a size below one.
	cache, _ := lru.New[Process, departure](maxDepartures)
	return &departures{byProcess: cache}
}

// add records that a server deregistered in an era.
func (d *departures) add(r Registration, era uint64) {
	entry, _ := d.byProcess.Get(r.Process())
	entry.gone, entry.eraGone = true, era
	d.byProcess.Add(r.Process(), entry)
}

// hasDeparted reports whether a registration is that of a server that deregistered in an
// earlier era.
func (d *departures) hasDeparted(r Registration) bool {
	entry, _ := d.byProcess.Get(r.Process())
	return entry.gone && entry.eraGone < r.Era
}

// markLeaving records an announcement and reports whether it is new.
func (d *departures) markLeaving(p Process) bool {
	entry, _ := d.byProcess.Get(p)
	if entry.announced {
		return false
	}
	entry.announced = true
	d.byProcess.Add(p, entry)
	return true
}

// isDraining reports whether a registered server is draining: by its registration, by an
// announcement, or because it was draining in an earlier era. It records registrations as
// draining.
func (d *departures) isDraining(r Registration) bool {
	entry, _ := d.byProcess.Get(r.Process())
	if r.Draining && !entry.draining {
		entry.draining, entry.eraDraining = true, r.Era
		d.byProcess.Add(r.Process(), entry)
	}
	return r.Draining || entry.announced || entry.draining && entry.eraDraining < r.Era
}
