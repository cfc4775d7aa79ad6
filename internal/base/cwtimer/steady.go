package cwtimer

import (
	"time"

	"golang.org/x/sys/unix"
)

// NewMonotonic returns a service whose clock goes on while the host is suspended and does not follow steps of the time of
// day, and the function that stops it. Its times start at the time of day of the call.
func NewMonotonic() (s *Service, stop func()) {
	start, origin := time.Now().Round(0), bootTime()
	return serve(func() time.Time { return start.Add(bootTime() - origin) })
}

// bootTime returns the time since the host was started, including suspensions.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every kernel that Go supports has this clock
	}
	return time.Duration(ts.Nano())
}

// WallTime returns the present time of day, which may be stepped.
func WallTime() time.Time { return time.Now().Round(0) }
