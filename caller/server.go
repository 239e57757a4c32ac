package caller

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"samphireplank.example/samphireplank/job"
)

// Defaults for fields of Config that are zero.
const (
	DefaultMaxBodyBytes   = 1 << 20 // bytes
	DefaultMaxHeaderBytes = 8 << 10 // bytes
	DefaultMaxDeadline    = 30 * time.Second
	DefaultMaxInFlight    = 16384
	DefaultReadTimeout    = 10 * time.Second
	DefaultIdleTimeout    = 75 * time.Second
	DefaultWriteTimeout   = 30 * time.Second
)

// MaxTicketsPerRequest is the maximum number of tickets in one request.
const MaxTicketsPerRequest = 1000

// answerGracePeriod is added to the deadline of a job that a caller waits for: the answer is created at the deadline,
// so a wait that ends at the same time would miss it.
const answerGracePeriod = 2 * time.Second

// Config holds the settings of a Server; zero limits take the defaults.
type Config struct {
	Dispatcher     Dispatcher
	ReadinessCheck func() error            // returns nil if callers may send work; optional
	MetricsHandler fasthttp.RequestHandler // of GET /metrics; optional
	StatusHandler  fasthttp.RequestHandler // of GET /v1/status; optional
	MaxBodyBytes   int                     // bytes of a request's body
	MaxHeaderBytes int                     // bytes of a request's headers
	MaxTasks       int                     // tasks of one job
	MaxDeadline    time.Duration           // maximum deadline of a submission and maximum wait for an answer
	MaxInFlight    int                     // requests in progress
	ReadTimeout    time.Duration           // from the first byte of a request to its last
	WriteTimeout   time.Duration           // for writing an answer to the caller
	IdleTimeout    time.Duration           // of a connection between two requests
	Now            func() time.Time        // clock for deadlines
}

// Server is the HTTP server for callers.
type Server struct {
	config   Config
	http     *fasthttp.Server
	inFlight atomic.Int64 // in progress
	draining atomic.Bool
}

// NewServer returns a server that does not listen yet.
func NewServer(config Config) *Server {
	config.setDefaults()
	s := &Server{config: config}
	s.http = &fasthttp.Server{
		Handler:                      s.handle,
		ErrorHandler:                 s.handleReadError,
		Concurrency:                  2*config.MaxInFlight + 1024, // above MaxInFlight, so that most excess requests get a JSON answer
		ReadBufferSize:               config.MaxHeaderBytes,
		MaxRequestBodySize:           config.MaxBodyBytes,
		ReadTimeout:                  config.ReadTimeout,
		IdleTimeout:                  config.IdleTimeout,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		Logger:                       discardLogger{},
	}
	return s
}

func (c *Config) setDefaults() {
	setDefault(&c.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&c.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&c.MaxTasks, job.MaxTasks)
	setDefault(&c.MaxDeadline, DefaultMaxDeadline)
	setDefault(&c.MaxInFlight, DefaultMaxInFlight)
	setDefault(&c.ReadTimeout, DefaultReadTimeout)
	setDefault(&c.WriteTimeout, DefaultWriteTimeout)
	setDefault(&c.IdleTimeout, DefaultIdleTimeout)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.ReadinessCheck == nil {
		c.ReadinessCheck = func() error { return nil }
	}
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Serve serves callers on the listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	return s.http.Serve(lingeringListener{listener})
}

// Drain makes readiness checks fail and closes each connection after its next answer; new requests are still served.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown stops listening, waits until all requests in progress are answered, and returns an error if ctx ends first.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Drain()
	return s.http.ShutdownWithContext(ctx)
}

// InFlight returns the number of requests that are in progress.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
	s.route(ctx)
	// A deadline set here also makes fasthttp send the answer at once; otherwise it delays an answer while a later request
	// on the same connection is in its buffer, and that request may wait for seconds.
	_ = ctx.SetWriteDeadline(time.Now().Add(s.config.WriteTimeout))
}

const (
	pathJob  = "/v1/jobs/"
	pathKind = "/v1/kinds/"
)

func (s *Server) route(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/v1/jobs":
		s.requireMethod(ctx, fasthttp.MethodPost, s.limitInFlight(s.handleSubmit))
	case strings.HasPrefix(path, pathJob):
		s.limitInFlight(s.handleJob)(ctx)
	case strings.HasPrefix(path, pathKind):
		s.requireMethod(ctx, fasthttp.MethodPost, s.limitInFlight(s.handleSingle))
	case path == "/v1/tickets":
		s.requireMethod(ctx, fasthttp.MethodPost, s.limitInFlight(s.handleTickets))
	case path == "/livez":
		writeText(ctx, fasthttp.StatusOK, "ok")
	case path == "/readyz":
		s.handleReady(ctx)
	case path == "/metrics" && s.config.MetricsHandler != nil:
		s.requireMethod(ctx, fasthttp.MethodGet, s.config.MetricsHandler)
	case path == "/v1/status" && s.config.StatusHandler != nil:
		s.requireMethod(ctx, fasthttp.MethodGet, s.config.StatusHandler)
	default:
		s.writeStatus(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

func (s *Server) requireMethod(ctx *fasthttp.RequestCtx, method string, handler fasthttp.RequestHandler) {
	if string(ctx.Method()) != method {
		ctx.Response.Header.Set("Allow", method)
		s.writeStatus(ctx, fasthttp.StatusMethodNotAllowed, "method not allowed, use "+method)
		return
	}
	handler(ctx)
}

// limitInFlight refuses requests beyond MaxInFlight; health checks, metrics and status are not counted.
func (s *Server) limitInFlight(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		defer s.inFlight.Add(-1)
		if s.inFlight.Add(1) > int64(s.config.MaxInFlight) {
			s.writeError(ctx, job.ID{}, &NotRunError{Reason: "too many requests in progress", RetryAfter: time.Second})
			return
		}
		handler(ctx)
	}
}

func (s *Server) handleReady(ctx *fasthttp.RequestCtx) {
	err := s.config.ReadinessCheck()
	if s.draining.Load() {
		err = errors.New("stopping")
	}
	if err != nil {
		writeText(ctx, fasthttp.StatusServiceUnavailable, err.Error())
		return
	}
	writeText(ctx, fasthttp.StatusOK, "ok")
}

func writeText(ctx *fasthttp.RequestCtx, status int, text string) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(text + "\n")
}

// handleReadError answers a request that could not be read and was not passed to the dispatcher.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var timeout interface{ Timeout() bool }
	timedOut := errors.As(err, &timeout) && timeout.Timeout()
	if c, ok := ctx.Conn().(*lingeringConn); ok {
		c.linger = !timedOut
	}
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		s.writeError(ctx, job.ID{}, tooLarge("body is larger than %d bytes", s.config.MaxBodyBytes))
	case errors.As(err, &small):
		s.writeStatus(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, "headers are too large")
	case timedOut:
		s.writeStatus(ctx, fasthttp.StatusRequestTimeout, "request was not complete within "+s.config.ReadTimeout.String())
	default:
		s.writeStatus(ctx, fasthttp.StatusBadRequest, "malformed HTTP request")
	}
}

// discardLogger discards the log lines of fasthttp about connections.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}
