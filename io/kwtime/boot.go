package kwtime

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the VM started as a time.Time. Unlike the runtime's monotonic clock it goes on while the
// VM is suspended, so a lease does not outlive a suspension; unlike the wall clock it never steps.
func BootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("the boot-time clock cannot be read: " + err.Error())
	}
	return time.Unix(0, ts.Nano())
}
