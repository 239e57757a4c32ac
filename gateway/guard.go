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

// An unexpected error in one request, message or group must not end the process: its other groups and requests go on. Code
// is guarded where input enters and no lock is held, or is released on the way out.

const (
	// maxStackBytes bounds the stack in a log line.
	maxStackBytes = 2048
	// restartDelay is the pause before a part of the VM that has failed begins again.
	restartDelay = 500 * time.Millisecond
)

// catchPanic runs f and returns false if it has panicked.
func (g *Gateway) catchPanic(where string, f func()) (ok bool) {
	defer func() {
		if reason := recover(); reason != nil {
			ok = false
			g.meter.panics.Inc()
			stack := debug.Stack()
			g.log.Error().Str("event", "panic").Str("where", where).Str("reason", fmt.Sprint(reason)).
				Bytes("stack", stack[:min(len(stack), maxStackBytes)]).Msg("unexpected error; the rest of the VM goes on")
		}
	}()
	f()
	return true
}

// keepRunning runs f until ctx ends, and again if it panics.
func (g *Gateway) keepRunning(ctx context.Context, where string, f func(context.Context)) {
	g.background(ctx, func(ctx context.Context) {
		for ctx.Err() == nil && !g.catchPanic(where, func() { f(ctx) }) {
			pause(ctx, restartDelay)
		}
	})
}

// withRecovery answers a request without a verdict if its handler panics: its job may have been started.
func (g *Gateway) withRecovery(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if !g.catchPanic("request", func() { handler(ctx) }) {
			ctx.Error(`{"reason":"unexpected error"}`, fasthttp.StatusGatewayTimeout)
		}
	}
}

// recoveringPeer closes a connection whose message makes the handler panic.
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

// updateScheduler lets the pool decide; false means that it has panicked and must not be used again.
func (d *groupDriver) updateScheduler(now time.Time, m placement.Message) (effects []placement.Effect, ok bool) {
	ok = d.catchPanic("group "+d.group, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if s, ok := m.(placement.Submit); ok && len(s.Work.Steps) > 0 {
			d.lastNeed[s.Policy.Service] = s.Work.Steps[0].Need
		}
		effects = d.scheduler.Update(now, m)
	})
	return effects, ok
}

// abandonScheduler gives up a pool that has panicked. The group counts as lost to a higher fence, so that the VM claims it again
// under a higher one; the pool's jobs move there, but for that of the message, which is answered without a verdict.
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
