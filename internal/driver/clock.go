package driver

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootTime returns the time since the machine was booted, including the time for
// which the process or the machine was suspended, or 0 if the clock cannot be read.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
