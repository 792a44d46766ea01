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
		// Every Linux has this clock. Any reading made up in its place could make an old
		// proof of the configuration look young, and keys that were taken away would be
		// served on; a node that ends is replaced.
		panic(Error.New("no clock that goes on while the machine is suspended: %v", err))
	}
	return time.Duration(now.Nano())
}
