package cwtimer

import (
	"time"

	"golang.org/x/sys/unix"
)

// NewMonotonic starts a timer service and returns it with a function that stops it. Its clock starts at the current time of
// day, ignores later steps of the system time and keeps running while the host is suspended.
func NewMonotonic() (s *Service, stop func()) {
	start, origin := time.Now().Round(0), bootTime()
	return startService(func() time.Time { return start.Add(bootTime() - origin) })
}

// bootTime returns the time since the host was booted, including time suspended.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // all kernels supported by Go have this clock
	}
	return time.Duration(ts.Nano())
}

// RuntimeTime returns the time of the runtime's clock, for deadlines of connections and for short durations. Steps of the time of day do not
// affect either.
func RuntimeTime() time.Time { return time.Now() }

// WallTime returns the current time of day, which may be stepped.
func WallTime() time.Time { return time.Now().Round(0) }
