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
	// minPause is the pause after which other VMs count this one as silent.
	minPause = peer.ReadTimeout
	// resumeWindow is the time after a pause in which requests may have been waiting for it.
	resumeWindow = 250 * time.Millisecond
	// callerDisconnectWait is given to find that the caller of such a request has left.
	callerDisconnectWait = 30 * time.Millisecond
)

// pauseDetector finds pauses of the process.
type pauseDetector struct {
	boot   func() time.Duration // a clock that counts the time in which the VM is suspended
	steady func() time.Time

	mu        sync.Mutex
	lastBoot  time.Duration
	resumedAt time.Time // end of the last pause, by the steady clock
	pauses    int
}

// newPauseDetector returns a wakefulness that begins now.
func newPauseDetector(boot func() time.Duration, steady func() time.Time) *pauseDetector {
	return &pauseDetector{boot: boot, steady: steady, lastBoot: boot()}
}

// bootClock returns the time since the start of the VM, suspension included, 0 if the system has no such clock.
func bootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // a process that is stopped by a signal is still found by its late ticks
	}
	return time.Duration(t.Nano())
}

// detectPause returns the length of a pause since the last look, 0 if there was none.
func (p *pauseDetector) detectPause() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	boot := p.boot()
	elapsed := boot - p.lastBoot
	p.lastBoot = boot
	if elapsed < minPause {
		return 0
	}
	p.resumedAt = p.steady()
	p.pauses++
	return elapsed
}

// state returns the number of pauses so far, and whether the last one has only just ended.
func (p *pauseDetector) state() (pauses int, justResumed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pauses, p.pauses > 0 && p.steady().Sub(p.resumedAt) < resumeWindow
}

// checkPause gives up all groups after a pause in which others may have taken them; the VM claims those again that nobody
// has taken, by the revision that it knew before. Ticks look at least every tickInterval, so that a longer gap is a pause.
func (g *Gateway) checkPause(ctx context.Context) {
	paused := g.pauseDetector.detectPause()
	if paused == 0 {
		return
	}
	g.meter.pauses.Inc()
	drivers := g.allDrivers()
	g.log.Warn().Str("event", "paused").Int64("for-ms", paused.Milliseconds()).Int("groups", len(drivers)).Msg("the process was paused; its groups have to be claimed again")
	for _, d := range drivers {
		g.mu.Lock()
		g.fenceLosses[d.group] = fenceLoss{fence: d.currentFence(), at: time.Now().Add(-fenceLossWait)}
		g.mu.Unlock()
		g.dropDriver(d)
		d.applyUnchecked(ctx, placement.HandOver{})
	}
	g.wakeHoldLoop()
}

// awaitDisconnect gives a request that may have waited for the end of a pause the time to be found without its caller, who has
// sent it elsewhere meanwhile.
func (g *Gateway) awaitDisconnect(ctx context.Context) {
	g.checkPause(g.ctx)
	if _, justResumed := g.pauseDetector.state(); justResumed {
		pause(ctx, callerDisconnectWait)
	}
}
