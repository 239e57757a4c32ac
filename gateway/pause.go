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
	resumedAt time.Time     // end of the last pause, by the monotonic clock
	length    time.Duration // of the last pause, with those that ended less than resumeWindow before it
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
	now := p.steady()
	if now.Sub(p.resumedAt) > resumeWindow+elapsed { // the monotonic clock may have run during the pause
		p.length = 0
	}
	p.length += elapsed
	p.resumedAt = now
	p.pauses++
	return elapsed
}

// count returns the number of pauses so far.
func (p *pauseDetector) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pauses
}

// justEnded returns the length of a pause that has only just ended, 0 if there is none, and the number of pauses so far.
func (p *pauseDetector) justEnded() (length time.Duration, pauses int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pauses == 0 || p.steady().Sub(p.resumedAt) >= resumeWindow {
		return 0, p.pauses
	}
	return p.length, p.pauses
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

// checkWaited returns a reply for a request that has waited in its socket, or may have during a pause, for so long that its
// caller has sent the job elsewhere, nil for others. They are delayed if they may have arrived during a pause, so that the disconnect of the
// caller is detected first. The number of pauses is that of the check, so that later ones are noticed.
func (g *Gateway) checkWaited(ctx context.Context, waited time.Duration) (pauses int, reply Reply) {
	g.checkPause(g.ctx)
	longest := g.settings.ClientRetryDelay - resendMargin
	paused, pauses := g.pauseDetector.justEnded()
	if waited > max(longest, minPause) {
		return pauses, OutcomeUnknown{Reason: "the request waited in its socket, and the caller may have sent the job elsewhere"}
	}
	if paused == 0 {
		return pauses, nil
	}
	pause(ctx, callerDisconnectWait)
	switch {
	case ctx.Err() != nil:
		return pauses, CallerGone{}
	case paused > longest:
		return pauses, OutcomeUnknown{Reason: reasonPaused}
	}
	return pauses, nil
}

// reasonPaused is the reason why a request has no verdict after a pause.
const reasonPaused = "the VM was paused, and the caller may have sent the job elsewhere"
