package load

import (
	"syscall"
	"time"
)

// sleepPrecisely sleeps in the kernel, since timers of the Go runtime are up to 1 ms late on an idle process.
func sleepPrecisely(d time.Duration) {
	left := syscall.NsecToTimespec(int64(d))
	// An interrupted sleep is short, and the caller checks the time again.
	_ = syscall.Nanosleep(&left, nil)
}
