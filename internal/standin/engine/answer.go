package engine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// UnacceptableMarker makes the rating service rate an answer that contains it as bad.
const UnacceptableMarker = "[unacceptable]"

const (
	fingerprintBytes  = 8
	minAnswerTokens   = 12
	answerTokensRange = 20
)

var words = [...]string{
	"oak", "wardrobe", "with", "two", "doors", "and", "brass", "handles",
	"clean", "finish", "light", "marks", "on", "one", "side", "collection",
	"ready", "from", "hall", "before", "noon", "check", "brakes", "plan",
}

// Fingerprint is a short hash of a prompt.
func Fingerprint(prompt string) string {
	sum := sha256.Sum256([]byte(prompt))
	return hex.EncodeToString(sum[:fingerprintBytes])
}

// draw maps a purpose, version and prompt deterministically to a number in [0, 1).
func draw(purpose, version, prompt string) float64 {
	return float64(hash(purpose, version, prompt)>>11) / (1 << 53)
}

func hash(parts ...string) uint64 {
	sum := sha256.Sum256([]byte(strings.Join(parts, "\x00")))
	return binary.BigEndian.Uint64(sum[:8])
}

// tokens generates the answer of a version to a prompt, one string per token. A
// positive limit truncates it.
func tokens(version, prompt string, bad bool, limit int) []string {
	seed := hash("answer", version, prompt)
	n := minAnswerTokens + int(seed%answerTokensRange)
	out := make([]string, 0, n+1)
	out = append(out, Fingerprint(prompt))
	if bad {
		out = append(out, " "+UnacceptableMarker)
	}
	for len(out) < n {
		seed = seed*6364136223846793005 + 1442695040888963407
		out = append(out, " "+words[(seed>>33)%uint64(len(words))])
	}
	if limit > 0 && limit < len(out) {
		out = out[:limit]
	}
	return out
}

func countTokens(text string) int { return len(strings.Fields(text)) }
