package locality

import "time"

const (
	// PlainWork is the time that a plain call takes at a server; calls of the plain services known take 30 to 60 ms.
	PlainWork = 45 * time.Millisecond
	// runningWork is the delay per running model request, and queuedWork the delay per model request beyond the slots, as in scheduling.
	runningWork = 4 * time.Millisecond
	queuedWork  = 250 * time.Millisecond
	// bytesPerToken is the size of a token in a prompt or an answer, with its part of the frame of an event.
	bytesPerToken = 8
	// plainBytes is the size of a plain answer with the heads of request and answer.
	plainBytes = 2 << 10
)

// Wait estimates the wait at a server with a number of requests and an outstanding prefill time.
func Wait(requests, slots float64, prefill time.Duration, isPlain bool) time.Duration {
	over := max(0, requests+1-slots)
	if isPlain {
		return time.Duration(over / max(1, slots) * float64(PlainWork))
	}
	return prefill + time.Duration(requests*float64(runningWork)+over*float64(queuedWork))
}

// Bytes estimates the bytes of a request and its answer.
func Bytes(body int, answerTokens int64) int {
	return body + plainBytes + int(max(0, answerTokens))*bytesPerToken
}

// LinkTime is how much longer a request to another failure domain takes.
func LinkTime() time.Duration { return linkTime }
