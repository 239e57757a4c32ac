package gateway

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"samphireplank.example/samphireplank/job"
)

// Guards against a VM that was paused and starts the jobs of callers who have left since: it reaches their requests only after
// resumeWindow, since many requests have arrived during the pause.
func TestPausedVMStartsJobsOfCallersWhoHaveLeft(t *testing.T) {
	is := is.New(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // as on a VM with one core
	workers := &countingWorkers{}
	g := holderWithWorker(t, workers, bootClock)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	const requests = 20
	for i := range requests {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		is.NoErr(err)
		_, err = fmt.Fprintf(conn, "POST /%016x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", i)
		is.NoErr(err)
		is.NoErr(conn.Close()) // the VM is paused, and its caller does not wait any longer
	}
	time.Sleep(20 * time.Millisecond)
	handled := make(chan struct{}, requests)
	server := g.httpServer(func(rc *fasthttp.RequestCtx) {
		ctx, stop := g.Watch(rc)
		g.Submit(ctx, Submission{
			Work:   job.Work{ID: string(rc.Path()[1:]), BestEffort: true, Steps: []job.Step{{Count: 1, Estimate: time.Second}}},
			Policy: job.Policy{Service: "s", Stretch: 2, Target: time.Minute}, Budget: time.Minute,
		})
		stop()
		handled <- struct{}{}
	})
	g.background(g.ctx, func(context.Context) { _ = server.Serve(watchedListener{listener, g}) })
	for range requests {
		<-handled
	}
	is.NoErr(server.Shutdown())
	is.Equal(len(workers.running()), 0)
}

// Guards against a job that is started after its request has waited in a socket for so long that its caller has sent it
// elsewhere, although the VM was not paused or reads it long after the pause.
func TestRequestThatWaitedInSocketStartsJob(t *testing.T) {
	is := is.New(t)
	workers := &countingWorkers{}
	g := holderWithWorker(t, workers, func() time.Duration { return 0 })
	g.settings.ClientRetryDelay = minPause + resendMargin
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	replies := make(chan Reply, 1)
	server := g.httpServer(func(rc *fasthttp.RequestCtx) {
		waited := g.Waited(rc)
		ctx, stop := g.Watch(rc)
		replies <- g.Submit(ctx, Submission{
			Work:   job.Work{ID: string(rc.Path()[1:]), BestEffort: true, Steps: []job.Step{{Count: 1, Estimate: time.Second}}},
			Policy: job.Policy{Service: "s", Stretch: 2, Target: time.Minute}, Budget: time.Second, Waited: waited,
		})
		stop()
	})
	send := func(id int) {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = fmt.Fprintf(conn, "POST /%016x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", id)
		is.NoErr(err)
	}
	send(1)
	time.Sleep(minPause + 50*time.Millisecond)
	g.background(g.ctx, func(context.Context) { _ = server.Serve(watchedListener{listener, g}) })
	_, undecided := (<-replies).(OutcomeUnknown)
	is.True(undecided)
	is.Equal(len(workers.running()), 0)
	send(2)
	<-replies
	is.Equal(len(workers.running()), 1)
	is.NoErr(server.Shutdown())
}
