package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/intake"
)

// HandlerFactory returns the handler that turns callers' requests into calls of a Gateway and its replies into
// responses.
type HandlerFactory func(g *Gateway) fasthttp.RequestHandler

const (
	// readTimeout is the maximum time for the header of a request, unless the operators set another one, and for its body.
	readTimeout = 15 * time.Second
	// writeTimeout is the maximum time for writing a response, after which its client counts as one that does not read.
	writeTimeout = 10 * time.Second
	// readBufferBytes is the size of the buffer for a header: defaultMaxHeader and a request line. A longer header is refused.
	readBufferBytes = 17 << 10
	// unreadyDelay is the time after which the platform sends no new connections to a VM that is not ready: two failed
	// checks, at one check a second.
	unreadyDelay = 2500 * time.Millisecond
	// exitMargin is reserved from StopGrace for the exit of the process.
	exitMargin = 500 * time.Millisecond
)

// servers are the listeners of a VM.
type servers struct {
	callers, ready, metrics net.Listener
}

func (g *Gateway) listen() (servers, error) {
	var s servers
	var errs []error
	open := func(address string) net.Listener {
		listener, err := g.config.Listen(address)
		if err != nil {
			errs = append(errs, err)
		}
		return listener
	}
	s.callers, s.ready, s.metrics = open(g.settings.CallerAddress), open(g.settings.ReadyAddress), open(g.settings.MetricsAddress)
	if err := errors.Join(errs...); err != nil {
		return s, fmt.Errorf("listen: %w", err)
	}
	return s, nil
}

// run serves until ctx ends, then drains: it hands the groups over and waits until all requests are answered.
func (s servers) run(ctx, work context.Context, g *Gateway) error {
	callers := g.httpServer(g.trackRequests(g.withRecovery(g.config.NewHandler(g))))
	ready := g.httpServer(g.limitRequest(g.readiness))
	metrics := g.httpServer(g.limitRequest(g.metrics))
	var group errgroup.Group
	group.Go(func() error { return callers.Serve(watchedListener{s.callers, g}) })
	group.Go(func() error { return ready.Serve(g.serviceListener(s.ready, "ready")) })
	group.Go(func() error { return metrics.Serve(g.serviceListener(s.metrics, "metrics")) })
	<-ctx.Done()
	began := time.Now()
	g.stopping.Store(true)
	g.log.Info().Str("event", "stopping").Int64("requests", g.requests.Load()).Msg("stopping")
	limit, cancel := context.WithTimeout(work, g.settings.StopGrace-exitMargin)
	defer cancel()
	g.wakeHoldLoop()
	g.handOverGroups(limit)
	for limit.Err() == nil && (time.Since(began) < unreadyDelay || g.requests.Load() > 0 || !g.driversIdle()) {
		pause(limit, holdLoopInterval)
	}
	stop, cancelStop := context.WithTimeout(work, exitMargin/2)
	defer cancelStop()
	err := errors.Join(callers.ShutdownWithContext(stop), ready.ShutdownWithContext(stop), metrics.ShutdownWithContext(stop))
	if errors.Is(err, context.DeadlineExceeded) {
		g.log.Warn().Str("event", "stop-late").Int64("requests", g.requests.Load()).Msg("connections were still open at the shutdown timeout")
		return nil
	}
	return errors.Join(err, group.Wait())
}

func (g *Gateway) driversIdle() bool {
	for _, d := range g.allDrivers() {
		if !d.lostFence() && !d.idle() {
			return false
		}
	}
	return true
}

func (g *Gateway) httpServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		// A body is read by ReadBody. Read timeouts are set by watchedConn, since the operators may change them.
		Handler: handler, MaxRequestBodySize: intake.FreeBodyBytes, StreamRequestBody: true, ReadBufferSize: readBufferBytes,
		IdleTimeout: maxTimeout, WriteTimeout: writeTimeout, ConnState: trackState,
		HeaderReceived: g.checkHeader, ExpectHandler: g.checkExpect, ErrorHandler: g.requestError,
		CloseOnShutdown: true, NoDefaultServerHeader: true, NoDefaultContentType: true, Logger: discardLogger{},
		DisablePreParseMultipartForm: true,
	}
}

// discardLogger drops the lines that fasthttp logs about connections.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}

// trackRequests counts the requests in progress and closes connections after their request while the VM stops.
func (g *Gateway) trackRequests(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	handler = g.limitRequest(handler)
	return func(ctx *fasthttp.RequestCtx) {
		g.noteContact()
		g.requests.Add(1)
		defer g.requests.Add(-1)
		handler(ctx)
		if g.stopping.Load() {
			ctx.SetConnectionClose()
		}
	}
}

func (g *Gateway) readiness(ctx *fasthttp.RequestCtx) {
	if err := g.Ready(); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusOK)
}

// Ready returns the reason why the VM should get no new connections, nil if it is ready.
func (g *Gateway) Ready() error {
	if g.stopping.Load() {
		return errors.New("stopping")
	}
	if c, _ := g.cache.currentConfig(); c == nil {
		return errors.New("no configuration")
	}
	for _, group := range g.groups() {
		if g.holderOf(group) != nil {
			return nil
		}
	}
	return errors.New("no group of workers can be reached")
}

func (g *Gateway) metrics(ctx *fasthttp.RequestCtx) {
	var b bytes.Buffer
	g.meter.write(&b)
	g.config.Traffic.WriteMetrics(&b)
	g.writeInterference(&b)
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBody(b.Bytes())
}
