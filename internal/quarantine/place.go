package quarantine

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/wait"
)

// Errors returned by Place. In both cases nothing was sent.
var (
	// ErrNoSlot means that the slot of the content itself or a slot of a server could
	// not be acquired in time.
	ErrNoSlot = errors.New("no backend server is free of other suspect content")
	// ErrQuarantined means that the content must no longer be sent.
	ErrQuarantined = errors.New("the content is quarantined")
)

const (
	// registrationDelay is the time from a content becoming suspect to its first
	// placement. Meanwhile every instance registers with the arbiters the attempts with
	// suspect content that it already has in flight.
	registrationDelay = 200 * time.Millisecond
	// placeInterval is the delay between two rounds over the candidates.
	placeInterval = 100 * time.Millisecond
	// maxServersPerRound bounds the servers whose slot is requested in one round.
	maxServersPerRound = 8
)

// Place finds a candidate server on which the suspect content may run alone, and
// acquires the slots of the server and of the content for the attempt until End.
// Candidates are in order of preference. A suspect content runs at most once at a
// time in the fleet. Place waits until ctx ends and then returns ErrNoSlot; it
// returns ErrQuarantined as soon as the content is quarantined. Servers that
// crashed while running the content are used only if there is no other candidate.
func (q *Quarantine) Place(ctx context.Context, fp Fingerprint, attempt string, candidates []string) (string, error) {
	if wait.For(ctx, q.remainingRegistrationDelay(fp)) != nil {
		return "", ErrNoSlot
	}
	server, err := q.place(ctx, fp, attempt, candidates)
	if err != nil {
		go q.requestSlot(context.WithoutCancel(ctx), slotRelease, contentKey(fp), attempt, fp)
		return "", err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.placed[attempt] = placement{server: server, fingerprint: fp}
	return server, nil
}

// place tries the candidates in rounds.
func (q *Quarantine) place(ctx context.Context, fp Fingerprint, attempt string, candidates []string) (string, error) {
	for {
		server, ok := q.tryRound(ctx, fp, attempt, candidates)
		if q.Check(fp).Quarantined {
			q.releaseServer(ctx, server, attempt, fp)
			return "", ErrQuarantined
		}
		if ok {
			return server, nil
		}
		if wait.For(ctx, placeInterval) != nil {
			return "", ErrNoSlot
		}
	}
}

// tryRound acquires the content's slot and then the slot of the first free server.
func (q *Quarantine) tryRound(ctx context.Context, fp Fingerprint, attempt string, candidates []string) (string, bool) {
	if !q.requestSlot(ctx, slotAcquire, contentKey(fp), attempt, fp) {
		return "", false
	}
	for _, server := range q.filterCandidates(fp, candidates) {
		if q.requestSlot(ctx, slotAcquire, serverKey(server), attempt, fp) {
			return server, true
		}
	}
	return "", false
}

func (q *Quarantine) releaseServer(ctx context.Context, server, attempt string, fp Fingerprint) {
	if server != "" {
		q.requestSlot(ctx, slotRelease, serverKey(server), attempt, fp)
	}
}

// remainingRegistrationDelay returns how long to wait until registrationDelay has
// passed since the content became suspect.
func (q *Quarantine) remainingRegistrationDelay(fp Fingerprint) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.records.get(fp, time.Now())
	if r == nil {
		return 0
	}
	return time.Until(r.createdAt.Add(registrationDelay))
}

// filterCandidates removes servers that already run suspect content of this instance,
// and those that crashed while running the content unless there is no other candidate.
// It returns at most maxServersPerRound.
func (q *Quarantine) filterCandidates(fp Fingerprint, candidates []string) []string {
	avoid := q.Check(fp).Avoid
	notAvoided := func(s string) bool { return !slices.Contains(avoid, s) }
	if slices.ContainsFunc(candidates, notAvoided) {
		candidates = filter(candidates, notAvoided)
	}
	candidates = filter(candidates, func(s string) bool { return !q.runsSuspect(s) })
	return candidates[:min(len(candidates), maxServersPerRound)]
}

// runsSuspect reports whether this instance has suspect content in flight on the
// server.
func (q *Quarantine) runsSuspect(server string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	for _, run := range q.runs {
		if run.server == server && q.isSuspect(run.fingerprint, now) {
			return true
		}
	}
	return false
}

func (q *Quarantine) isSuspect(fp Fingerprint, now time.Time) bool {
	r := q.records.get(fp, now)
	return r != nil && len(r.unclearedCrashes()) > 0
}

func filter(list []string, keep func(string) bool) []string {
	var kept []string
	for _, s := range list {
		if keep(s) {
			kept = append(kept, s)
		}
	}
	return kept
}

func compare(a, b string) int { return cmp.Compare(a, b) }
