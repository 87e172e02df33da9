//go:build race

package bubble

const isRaceEnabled = true
