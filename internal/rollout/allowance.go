package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// firstSessions is the number of sessions, over all entry instances, that may
	// try a new version before anything is known of it.
	firstSessions = 12.0
	// sessionsPerAnswer is how many more may try it for each rated answer.
	sessionsPerAnswer = 1.5
	// sessionsPerSecond lets a few more try it when no ratings come.
	sessionsPerSecond = 0.02
)

// allowance is the number of sessions that one of n entry instances may have put
// on a version under test: its part of what the whole fleet may, with the
// remainder given to the same instances everywhere. It doubles as evidence comes
// in, so that a stage's percentage is reached in a few rounds of evidence, and
// exposure stays small until then whatever the traffic.
func allowance(entry string, t Trial, n int, rated uint64, age time.Duration) int {
	whole := firstSessions + sessionsPerAnswer*float64(rated) + sessionsPerSecond*age.Seconds()
	share := whole / float64(n)
	part := int(share)
	rank := float64(xxhash.Sum64String(entry+"/"+t.Team+"/"+t.Rollout)%bucketCount) / bucketCount
	if rank < share-float64(part) {
		part++
	}
	return part
}
