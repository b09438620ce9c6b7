// Package boottime reads a monotonic clock that includes the time the machine is
// suspended. Go's monotonic clock stops during suspension, so ages measured with
// it would be too short and leases would last too long.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, including suspension. It panics if the kernel
// lacks CLOCK_BOOTTIME, which Linux has had since 2.6.39.
func Now() time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		panic("boottime: " + err.Error())
	}
	return time.Duration(spec.Nano())
}
