package kwtime

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the VM was booted, as a time.Time counted from the Unix epoch. Unlike the monotonic
// clock of the Go runtime, it keeps running while the VM is suspended, so that a lease does not outlive a suspension;
// unlike the wall clock, it never steps.
func BootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("reading the boot-time clock: " + err.Error())
	}
	return time.Unix(0, ts.Nano())
}
