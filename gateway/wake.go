package gateway

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"samphireplank.example/samphireplank/peer"
	"samphireplank.example/samphireplank/placement"
)

// A VM may be paused for seconds at any instruction. Its steady clock may stand still meanwhile, so that its leases and
// time-outs look unspent, while others have taken its groups over and its callers have gone elsewhere. So a pause is looked
// for before each decision, by a clock that counts it.

const (
	// pauseTime is the pause after which other VMs count this one as silent.
	pauseTime = peer.ReadTimeout
	// wakeTime is the time after a pause in which requests may have been waiting for it.
	wakeTime = 250 * time.Millisecond
	// goneTime is given to find that the caller of such a request has left.
	goneTime = 30 * time.Millisecond
)

// wakefulness finds pauses of the process.
type wakefulness struct {
	boot   func() time.Duration // a clock that counts the time in which the VM is suspended
	steady func() time.Time

	mu       sync.Mutex
	lastBoot time.Duration
	woke     time.Time // end of the last pause, by the steady clock
	pauses   int
}

// newWakefulness returns a wakefulness that begins now.
func newWakefulness(boot func() time.Duration, steady func() time.Time) *wakefulness {
	return &wakefulness{boot: boot, steady: steady, lastBoot: boot()}
}

// bootClock returns the time since the start of the VM, suspension included, 0 if the system has no such clock.
func bootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // a process that is stopped by a signal is still found by its late ticks
	}
	return time.Duration(t.Nano())
}

// look returns the length of a pause since the last look, 0 if there was none.
func (w *wakefulness) look() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	boot := w.boot()
	gap := boot - w.lastBoot
	w.lastBoot = boot
	if gap < pauseTime {
		return 0
	}
	w.woke = w.steady()
	w.pauses++
	return gap
}

// state returns the number of pauses so far, and whether the last one has only just ended.
func (w *wakefulness) state() (pauses int, justWoke bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pauses, w.pauses > 0 && w.steady().Sub(w.woke) < wakeTime
}

// checkPause gives up all groups after a pause in which others may have taken them; the VM claims those again that nobody
// has taken, by the revision that it knew before. Ticks look at least every tickInterval, so that a longer gap is a pause.
func (g *Gateway) checkPause(ctx context.Context) {
	gap := g.wake.look()
	if gap == 0 {
		return
	}
	g.meter.pauses.Inc()
	drivers := g.allDrivers()
	g.log.Warn().Str("event", "paused").Int64("for-ms", gap.Milliseconds()).Int("groups", len(drivers)).Msg("the process was paused; its groups have to be claimed again")
	for _, d := range drivers {
		g.mu.Lock()
		g.outranked[d.group] = outranked{fence: d.fenceNow(), at: time.Now().Add(-outrankedTime)}
		g.mu.Unlock()
		g.dropDriver(d)
		d.decide(ctx, placement.HandOver{})
	}
	g.nudge()
}

// awaitGone gives a request that may have waited for the end of a pause the time to be found without its caller, who has
// sent it elsewhere meanwhile.
func (g *Gateway) awaitGone(ctx context.Context) {
	g.checkPause(g.ctx)
	if _, justWoke := g.wake.state(); justWoke {
		pause(ctx, goneTime)
	}
}
