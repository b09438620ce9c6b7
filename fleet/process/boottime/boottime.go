// Package boottime reads a steady clock that goes on while the machine is
// suspended. Go's own steady clock stands still then, so that ages and leases
// measured with it would seem younger than they are.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's boot, suspension included. It panics
// if the kernel lacks the clock, which Linux has since 2.6.39.
func Now() time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		panic("boottime: " + err.Error())
	}
	return time.Duration(spec.Nano())
}
