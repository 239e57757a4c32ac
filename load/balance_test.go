package load

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// Guards against a call that is lost when an entry VM is down, and against one that is sent twice when its answer is lost.
func TestBalance(t *testing.T) {
	is := is.New(t)
	fleet := startFleet(t, 4, 1000)
	entry := &fakeEntry{endpoints: fleet.Endpoints()}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(closed.Close())
	breaking := serveOn(t, func(ctx *fasthttp.RequestCtx) {
		if ctx.IsGet() {
			return // ready
		}
		entry.serve(ctx)
		if string(ctx.Path()) == "/v1/jobs" {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(c net.Conn) { _ = c.Close() })
		}
	})
	working := serveOn(t, func(ctx *fasthttp.RequestCtx) {
		if !ctx.IsGet() {
			entry.serve(ctx)
		}
	})
	p := testProfile()
	p.Duration = time.Second
	report, err := Run(t.Context(), Config{
		Profile: p, Entries: []string{working, closed.Addr().String(), breaking}, StandIns: []string{fleet.Admin()}, FailoverToReady: true,
	})
	is.NoErr(err)
	is.NoErr(report.Err())
	outcomes := report.Classes[0].Outcomes
	is.True(report.FailedCallCount > 10)
	is.Equal(len(report.FailedCalls), report.FailedCallCount)
	is.Equal(report.FailedCalls[0].Entry, breaking)
	is.Equal(outcomes[outcomeUnreachable], 0)
	is.Equal(outcomes[outcomeBroken]+outcomes["complete"], report.Classes[0].Jobs)
	is.Equal(outcomes[outcomeBroken], report.FailedCallCount) // none is sent again
}

// Guards against a call that is given up when its entry VM stops between two checks of its readiness.
func TestFailover(t *testing.T) {
	is := is.New(t)
	entry := &fakeEntry{endpoints: startFleet(t, 1, 10).Endpoints()}
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(closed.Close())
	r, err := newRunner(Config{Profile: testProfile(), Entries: []string{closed.Addr().String(), serveOn(t, entry.serve)}, FailoverToReady: true})
	is.NoErr(err)
	a, _ := r.schedule.take()
	got := r.exchange(0, a, "", time.Now().Add(5*time.Second))
	is.Equal(got.outcome, "complete")
	is.Equal(r.recorder.failovers, 1)
	is.Equal(r.recorder.breakCount, 0)
}
