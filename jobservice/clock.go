package jobservice

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock gives the time for leases and the time of day.
type Clock interface {
	// Now is a monotonic time that advances while the VM is suspended. The usual
	// monotonic clock stops then, and a leader that resumes after seconds would treat
	// its lapsed lease as valid.
	Now() time.Time
	// Wall is the time of day.
	Wall() time.Time
}

// BootClock is the clock of the VM.
type BootClock struct{}

// Now returns the time since boot, as a time whose absolute value has no meaning.
func (BootClock) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since version 2.6.39.
		panic(err)
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// Wall returns the time of day.
func (BootClock) Wall() time.Time { return time.Now() }
