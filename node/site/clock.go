package site

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot reads a clock that goes on while the machine is suspended. The steady
// clock that timers use stands still meanwhile.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Every Linux has this clock. Without it nothing could be proved, and the
		// greatest age is the safe answer.
		return 1<<62 - 1
	}
	return time.Duration(now.Nano())
}
