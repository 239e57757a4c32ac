package gateway

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/valyala/fasthttp"

	"samphireplank.example/samphireplank/peer"
	"samphireplank.example/samphireplank/placement"
)

// A panic in one request, message or group must not end the process, which has other groups and requests. Panics are
// recovered where input enters and where no lock is held or locks are released by defer.

const (
	// maxStackBytes is the maximum size of a stack trace in a log line.
	maxStackBytes = 2048
	// restartDelay is the delay before a background function that has panicked is restarted.
	restartDelay = 500 * time.Millisecond
)

// catchPanic runs f, logs a panic and returns false if there was one.
func (g *Gateway) catchPanic(where string, f func()) (ok bool) {
	defer func() {
		if reason := recover(); reason != nil {
			ok = false
			g.meter.panics.Inc()
			stack := debug.Stack()
			g.log.Error().Str("event", "panic").Str("where", where).Str("reason", fmt.Sprint(reason)).
				Bytes("stack", stack[:min(len(stack), maxStackBytes)]).Msg("unexpected error; other requests and groups continue")
		}
	}()
	f()
	return true
}

// keepRunning runs f in the background and restarts it if it panics, until ctx ends.
func (g *Gateway) keepRunning(ctx context.Context, where string, f func(context.Context)) {
	g.background(ctx, func(ctx context.Context) {
		for ctx.Err() == nil && !g.catchPanic(where, func() { f(ctx) }) {
			pause(ctx, restartDelay)
		}
	})
}

// withRecovery answers 504 if the handler of a request panics, since its job may have been started.
func (g *Gateway) withRecovery(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if !g.catchPanic("request", func() { handler(ctx) }) {
			ctx.Error(`{"reason":"unexpected error"}`, fasthttp.StatusGatewayTimeout)
		}
	}
}

// recoveringPeer closes a connection if the handler of one of its messages panics.
type recoveringPeer struct {
	peer.Handler
	g *Gateway
}

// Received handles a message.
func (h recoveringPeer) Received(c *peer.Conn, m peer.Message) {
	if !h.g.catchPanic(fmt.Sprintf("message %T", m), func() { h.Handler.Received(c, m) }) {
		c.Close(errPanic)
	}
}

// errPanic closes a connection whose message could not be handled.
var errPanic = fmt.Errorf("a message could not be handled")

// updateScheduler passes a message to the scheduler; false means that it has panicked and must not be used again.
func (d *groupDriver) updateScheduler(now time.Time, m placement.Message) (effects []placement.Effect, ok bool) {
	ok = d.catchPanic("group "+d.group, func() {
		d.mu.Lock()
		durable := d.scheduler.NeedsDurablePermit(m)
		d.mu.Unlock()
		var permit time.Duration
		if durable {
			permit = d.durablePermit()
		}
		evacuated, known := d.evacuation()
		d.mu.Lock()
		defer d.mu.Unlock()
		if known {
			effects = d.scheduler.Update(now, placement.Evacuation{Active: evacuated})
		}
		if durable {
			d.scheduler.Update(now, placement.DurablePermit{Until: now.Add(permit), Evidence: now.Add(permit - durablePermitDuration)})
		}
		if s, ok := m.(placement.Submit); ok && len(s.Work.Steps) > 0 {
			d.lastNeed[s.Policy.Service] = s.Work.Steps[0].Need
		}
		effects = append(effects, d.scheduler.Update(now, m)...)
	})
	return effects, ok
}

// abandonScheduler stops using a scheduler that has panicked. The group counts as lost to a higher fence, so that the
// VM claims it again under a higher one. The scheduler's jobs are resumed there, except the job of the message that
// caused the panic: unless it is durable, it is answered as having exceeded its deadline.
func (d *groupDriver) abandonScheduler(ctx context.Context, m placement.Message) {
	if s, ok := m.(placement.Submit); ok && !s.Durable {
		d.sendVerdict(s.Key, placement.DeadlineExceeded{}, nil)
	}
	d.mu.Lock()
	before := d.panicked
	d.panicked = true
	d.mu.Unlock()
	if before {
		return
	}
	if effects, ok := d.updateScheduler(time.Now(), placement.HandOver{}); ok {
		for _, e := range effects {
			d.execute(ctx, e)
		}
	}
}
