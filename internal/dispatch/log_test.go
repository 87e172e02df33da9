package dispatch

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/retry"
)

// TestInterruptedAttemptNamesThePartsOfItsPrompt guards against crashes that the logs can't
// trace to a part that the interrupted requests share.
func TestInterruptedAttemptNamesThePartsOfItsPrompt(t *testing.T) {
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	logger.SetFormatter(events.NewFormatter())
	b := newSetup(fails(retry.OutcomeDisconnected), streams(90, 1, 2, nil))
	b.d.Log = events.NewLogger(logger)
	b.d.Serve(t.Context(), &Request{
		ID: "id", Host: "h", Path: "/chat/", Key: "key", Arrived: time.Now(), AnyModel: true,
		Prompt: Prompt{Parts: []Part{{ID: 0x5c1e}, {ID: 0x91bd}}, InputTokens: 9},
	}, &caller{})
	assert.Equal(t, 1, strings.Count(out.String(), `"prompt_parts":"5c1e,91bd"`), out.String())
	assert.Equal(t, 2, strings.Count(out.String(), `"exchange_attempt"`))
}
