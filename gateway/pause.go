package gateway

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"samphireplank.example/samphireplank/peer"
	"samphireplank.example/samphireplank/placement"
)

// A VM may be paused for seconds at any instruction. Its monotonic clock may stop meanwhile, so that its leases and
// timeouts seem not to have expired, although other VMs have claimed its groups and its callers have retried elsewhere.
// So each decision first checks for a pause, by a clock that includes the time of suspension.

const (
	// minPause is the pause after which other VMs consider this one unreachable.
	minPause = peer.ReadTimeout
	// resumeWindow is the time after a pause in which arriving requests may date from before its end.
	resumeWindow = 250 * time.Millisecond
	// callerDisconnectWait is the time allowed to detect that the caller of such a request has disconnected.
	callerDisconnectWait = 30 * time.Millisecond
)

// pauseDetector detects pauses of the process.
type pauseDetector struct {
	boot   func() time.Duration // a clock that includes the time in which the VM is suspended
	steady func() time.Time

	handling sync.Mutex // held from the detection of a pause until the groups are dropped

	mu        sync.Mutex
	lastBoot  time.Duration
	resumedAt time.Time // end of the last pause, by the monotonic clock
	pauses    int
}

// newPauseDetector returns a pauseDetector that detects pauses from now on.
func newPauseDetector(boot func() time.Duration, steady func() time.Time) *pauseDetector {
	return &pauseDetector{boot: boot, steady: steady, lastBoot: boot()}
}

// bootClock returns the time since the start of the VM, suspension included, 0 if the system has no such clock.
func bootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0 // without this clock no pause is detected
	}
	return time.Duration(t.Nano())
}

// detectPause returns the length of a pause since the last call, 0 if there was none.
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

// checkPause drops all groups after a pause in which other VMs may have claimed them. The VM claims again those that no
// other VM has claimed, at the revision known before. Ticks call it every tickInterval, so a much longer gap is a
// pause.
func (g *Gateway) checkPause(ctx context.Context) {
	// Messages of other goroutines wait here until the groups are dropped.
	g.pauseDetector.handling.Lock()
	defer g.pauseDetector.handling.Unlock()
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

// awaitDisconnect delays a request that may have arrived during a pause, so that the disconnect of its caller, who may
// have retried elsewhere, is detected first.
func (g *Gateway) awaitDisconnect(ctx context.Context) {
	g.checkPause(g.ctx)
	if _, justResumed := g.pauseDetector.state(); justResumed {
		pause(ctx, callerDisconnectWait)
	}
}
