//go:build !race

package serverpath

const raceEnabled = false
