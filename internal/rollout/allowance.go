package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// firstSessions is the number of sessions, over all instances, that may use a
	// version under test before any of its answers is rated.
	firstSessions = 12.0
	// sessionsPerAnswer is the number of additional sessions per rated answer.
	sessionsPerAnswer = 1.5
	// sessionsPerSecond admits a few more sessions when no ratings arrive.
	sessionsPerSecond = 0.02
)

// allowance returns the number of sessions that one of n instances may have assigned
// to a version under test: its share of the fleet's allowance. The remainder goes to
// instances selected by a hash of instance, team and rollout, which needs no agreement
// between instances. The allowance doubles as evidence arrives, so that a stage's
// percentage is reached in a few rounds of evidence, and exposure stays small until
// then whatever the traffic.
func allowance(instance string, key EvidenceKey, n int, rated uint64, age time.Duration) int {
	fleetAllowance := firstSessions + sessionsPerAnswer*float64(rated) + sessionsPerSecond*age.Seconds()
	share := fleetAllowance / float64(n)
	own := int(share)
	rank := float64(xxhash.Sum64String(instance+"/"+key.Team+"/"+key.Rollout)%bucketCount) / bucketCount
	if rank < share-float64(own) {
		own++
	}
	return own
}
