// Package bootclock reads a monotonic clock that keeps running while the machine
// is suspended. It is used for the age of state that expires, since the Go
// runtime's monotonic clock stops during a suspension.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is the time since the machine booted, including suspensions.
type Time time.Duration

// Clock returns the current time. Tests can replace it.
type Clock func() Time

// Now returns the time of CLOCK_BOOTTIME.
func Now() Time {
	var ts unix.Timespec
	// CLOCK_BOOTTIME exists on every kernel that Go supports.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return Time(ts.Nano())
}

// Sub returns the duration t-earlier.
func (t Time) Sub(earlier Time) time.Duration { return time.Duration(t - earlier) }
