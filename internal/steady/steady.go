// Package steady reads a clock that no one sets and that goes on while the machine is suspended.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

// maxReadingTime is the longest time between the two steady readings around one of the wall clock;
// a longer one means that the process was interrupted. maxReadings limits the attempts.
const (
	maxReadingTime = time.Millisecond
	maxReadings    = 5
)

// Now returns the time since the machine started, its suspended time included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every supported kernel has this clock
	}
	return time.Duration(ts.Nano())
}

// NowWithWall returns readings of the steady clock and of the wall clock at the same moment.
func NowWithWall() (now time.Duration, wall time.Time) {
	for range maxReadings {
		now = Now()
		wall = time.Now()
		if Now()-now <= maxReadingTime {
			break
		}
	}
	return now, wall
}
