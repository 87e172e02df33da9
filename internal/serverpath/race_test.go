//go:build race

package serverpath

// raceEnabled leaves out the largest fleet, which takes minutes under the race detector.
const raceEnabled = true
