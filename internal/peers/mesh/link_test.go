package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestLateInstanceKeepsItsLinks guards against all links of an instance being closed because it had
// no processor time to read the frames of its peers.
func TestLateInstanceKeepsItsLinks(t *testing.T) {
	now := time.Now()
	l := &link{opened: now.Add(-2 * receiveTimeout)}
	assert.False(t, l.isSilent(now.Add(-maxCheckDelay)), "the check is late")
	l = &link{opened: now.Add(-2 * receiveTimeout)}
	assert.True(t, l.isSilent(now.Add(-keepaliveInterval)))
	l.received()
	assert.False(t, l.isSilent(now.Add(-keepaliveInterval)))
}
