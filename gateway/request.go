package gateway

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"samphireplank.example/samphireplank/intake"
)

const (
	// defaultMaxBody and defaultMaxHeader apply where the configuration has no limit. They are those of the deployments.
	defaultMaxBody   = 262_144
	defaultMaxHeader = 16_384
	// maxHeaderLines limits the header lines of a request. A parsed line takes 60 bytes and more, however short it is.
	maxHeaderLines = 128
	// idleTimeout is how long an idle connection is kept between two requests where the configuration has no limit.
	idleTimeout = 75 * time.Second
	// maxTimeout limits the timeouts that operators may set.
	maxTimeout = time.Hour
	// budgetRetryDelay is when a client may send a request again for which memory was short. Bodies arrive within
	// milliseconds, and incomplete ones hold their memory for readTimeout.
	budgetRetryDelay = time.Second
)

// requestLimits are the limits of requests that the operators may set.
type requestLimits struct {
	maxBody, maxHeader         int
	headerTimeout, idleTimeout time.Duration
}

// requestLimits returns the operators' limits, or the defaults where the configuration has none.
func (g *Gateway) requestLimits() requestLimits {
	c, _ := g.cache.currentConfig()
	if c == nil {
		c = &Configuration{}
	}
	return requestLimits{
		// A body beyond the share of one client would never be granted.
		maxBody:       min(cmp.Or(max(c.MaxBodyBytes, 0), defaultMaxBody), int(g.limits.ClientBodyBytes)),
		maxHeader:     min(cmp.Or(max(c.MaxHeaderBytes, 0), defaultMaxHeader), defaultMaxHeader),
		headerTimeout: min(cmp.Or(max(c.HeaderTimeout, 0), readTimeout), maxTimeout),
		idleTimeout:   min(cmp.Or(max(c.IdleTimeout, 0), idleTimeout), maxTimeout),
	}
}

// tooManyHeaders reports whether a header exceeds its limits.
func (g *Gateway) tooManyHeaders(h *fasthttp.RequestHeader) bool {
	raw := h.RawHeaders()
	return len(raw) > g.requestLimits().maxHeader || bytes.Count(raw, newline) > maxHeaderLines
}

var newline = []byte("\n")

// The server knows no connection when it calls checkHeader, but sets the returned time on the connection. These times, far
// beyond any other, tell watchedConn that the request is refused and that no more of it is to be read.
const (
	headerRefusedTimeout = 10_000 * time.Hour
	bodyRefusedTimeout   = 2 * headerRefusedTimeout
)

// checkHeader sets the time for the body, or refuses the request. Of a body that needs a reservation the server reads only
// the first byte; ReadBody reads the rest.
func (g *Gateway) checkHeader(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	n := h.ContentLength()
	switch {
	case g.tooManyHeaders(h):
		return fasthttp.RequestConfig{ReadTimeout: headerRefusedTimeout}
	case n > g.requestLimits().maxBody:
		return fasthttp.RequestConfig{ReadTimeout: bodyRefusedTimeout, MaxRequestBodySize: 1}
	case n > intake.FreeBodyBytes:
		return fasthttp.RequestConfig{ReadTimeout: readTimeout, MaxRequestBodySize: 1}
	default:
		return fasthttp.RequestConfig{ReadTimeout: readTimeout}
	}
}

// checkExpect refuses a body over the limit before its client sends it.
func (g *Gateway) checkExpect(rc *fasthttp.RequestCtx) int {
	switch {
	case g.tooManyHeaders(&rc.Request.Header):
		g.refuseHeader(rc)
	case rc.Request.Header.ContentLength() > g.requestLimits().maxBody:
		g.refuseBody(rc)
	default:
		return fasthttp.StatusContinue
	}
	return rc.Response.StatusCode()
}

// limitRequest refuses requests whose header exceeds the limits, and lets the response of a request with an unread body
// arrive.
func (g *Gateway) limitRequest(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(rc *fasthttp.RequestCtx) {
		if g.tooManyHeaders(&rc.Request.Header) {
			g.refuseHeader(rc)
			return
		}
		c, ok := rc.Conn().(*watchedConn)
		if ok && !rc.Request.IsBodyStream() && !c.limiter.setState(c, intake.Working) {
			return // the connection has made room for another one
		}
		handler(rc)
		if ok && rc.Request.IsBodyStream() && rc.Request.Header.ContentLength() != 0 {
			c.linger.Store(true)
		}
	}
}

// requestError answers a request that could not be read.
func (g *Gateway) requestError(rc *fasthttp.RequestCtx, err error) {
	var netErr net.Error
	var small *fasthttp.ErrSmallBuffer
	refused, idle := refusal(""), false
	if c, ok := rc.Conn().(*watchedConn); ok {
		refused, idle = c.refused, c.state == intake.Idle
	}
	broken := errors.As(err, &netErr)
	switch {
	case idle, broken && !netErr.Timeout():
		rc.SetStatusCode(fasthttp.StatusRequestTimeout) // no request was begun, or its client has left
	case errors.As(err, &small), refused == refusedHeader:
		g.refuseHeader(rc)
	case refused == refusedBodySize:
		g.refuseBody(rc)
	case broken:
		g.refuse(rc, refusedTime)
		writeRefusal(rc, fasthttp.StatusRequestTimeout, "the request was not complete in time")
	default:
		g.refuse(rc, refusedSyntax)
		writeRefusal(rc, fasthttp.StatusBadRequest, "the request is malformed")
	}
}

func (g *Gateway) refuseHeader(rc *fasthttp.RequestCtx) {
	g.refuse(rc, refusedHeader)
	rc.Request.Header = fasthttp.RequestHeader{} // the parsed lines would be kept for another request
	writeRefusal(rc, fasthttp.StatusRequestHeaderFieldsTooLarge, "the header is too large")
}

func (g *Gateway) refuseBody(rc *fasthttp.RequestCtx) {
	g.refuse(rc, refusedBodySize)
	writeRefusal(rc, fasthttp.StatusRequestEntityTooLarge, g.tooLargeError().Error())
}

// refuse counts a refusal and closes the connection after the response.
func (g *Gateway) refuse(rc *fasthttp.RequestCtx, r refusal) {
	client := netip.Addr{}
	if c, ok := rc.Conn().(*watchedConn); ok {
		client = c.client
		c.linger.Store(true)
	}
	g.refusals.note(r, client)
	rc.SetConnectionClose()
}

func writeRefusal(rc *fasthttp.RequestCtx, status int, reason string) {
	rc.SetStatusCode(status)
	rc.SetContentType("application/json")
	rc.SetBodyString(`{"reason":` + strconv.Quote(reason) + `}`)
}

// BodyTooLargeError means that a body exceeds the limit.
type BodyTooLargeError struct{ Limit int } // bytes

// Error returns the text of the error.
func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("body is larger than %d bytes", e.Limit)
}

// BodyBudgetError means that the memory for bodies is in use. Nothing of the request was acted on.
type BodyBudgetError struct{ RetryAfter time.Duration }

// Error returns the text of the error.
func (e *BodyBudgetError) Error() string { return "too many request bodies are being read" }

// ErrBodyIncomplete means that a body did not arrive completely and in time.
var ErrBodyIncomplete = errors.New("the body is incomplete")

// Body is the body of a request.
type Body struct {
	Bytes   []byte
	release func()
}

// Release returns the memory of the body to the budget; the bytes must not be used afterwards.
func (b Body) Release() {
	if b.release != nil {
		b.release()
	}
}

// bodyBudget is the memory for bodies of all clients.
type bodyBudget struct {
	mu     sync.Mutex
	budget *intake.Budget
}

func (b *bodyBudget) extend(e intake.Extension) intake.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Extend(e)
}

func (b *bodyBudget) release(client netip.Addr, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Release(client, n)
}

func (b *bodyBudget) used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Used()
}

// ReadBody reads the body of a request. If it fails, nothing of the request may be acted on; the error is a
// BodyTooLargeError, a BodyBudgetError or ErrBodyIncomplete, and the connection will be closed.
func (g *Gateway) ReadBody(rc *fasthttp.RequestCtx) (Body, error) {
	c, _ := rc.Conn().(*watchedConn)
	n, limit := rc.Request.Header.ContentLength(), g.requestLimits().maxBody
	stream := rc.RequestBodyStream()
	var body Body
	var err error
	switch {
	case n > limit:
		err = g.tooLargeError()
	case stream == nil, n >= 0 && n <= intake.FreeBodyBytes:
		body.Bytes = rc.PostBody() // has been read with the header
	default:
		r := bodyReader{g: g, client: netip.Addr{}, limit: limit}
		if c != nil {
			r.client = c.client
		}
		if body.Bytes, err = r.read(stream, n); err != nil {
			r.release()
			break
		}
		body.release = r.release
		_ = rc.Request.CloseBodyStream() // it has ended
		g.noteContact()
	}
	if err == nil && c != nil && !c.limiter.setState(c, intake.Working) {
		body.Release()
		err = ErrBodyIncomplete // the connection has made room for another one
	}
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, ErrBodyIncomplete):
		g.refuse(rc, refusedBodyBroken)
	case errors.As(err, new(*BodyTooLargeError)):
		g.refuse(rc, refusedBodySize)
	default:
		g.refuse(rc, refusedBodyBudget)
	}
	return Body{}, err
}

func (g *Gateway) tooLargeError() error {
	return &BodyTooLargeError{Limit: g.requestLimits().maxBody}
}

// bodyReader reads a body into memory that it reserves before.
type bodyReader struct {
	g      *Gateway
	client netip.Addr
	limit  int
	held   int
	buffer *[]byte // from largeBodies, nil if there is none
}

// largeBodies holds buffers of bodies that needed a reservation. It may keep as many bytes as were reserved at a time, until
// the next two garbage collections.
var largeBodies = sync.Pool{New: func() any { return new([]byte) }}

func (r *bodyReader) release() {
	r.g.bodies.release(r.client, int64(r.held))
	r.held = 0
	if r.buffer != nil {
		largeBodies.Put(r.buffer)
		r.buffer = nil
	}
}

// reserve extends the reservation to a size.
func (r *bodyReader) reserve(size int) error {
	switch r.g.bodies.extend(intake.Extension{Client: r.client, Held: int64(r.held), Wanted: int64(size), Limit: int64(r.limit)}) {
	case intake.Granted:
		r.held = size
		return nil
	case intake.TooLarge:
		return &BodyTooLargeError{Limit: r.limit}
	default:
		return &BodyBudgetError{RetryAfter: budgetRetryDelay}
	}
}

// read reads n bytes, or up to the end of the stream if n is negative.
func (r *bodyReader) read(stream io.Reader, n int) ([]byte, error) {
	if n >= 0 {
		if err := r.reserve(n); err != nil {
			return nil, err
		}
		r.buffer = largeBodies.Get().(*[]byte) // as New returns them
		if cap(*r.buffer) < n {
			*r.buffer = make([]byte, n)
		}
		body := (*r.buffer)[:n]
		if _, err := io.ReadFull(stream, body); err != nil {
			return nil, ErrBodyIncomplete
		}
		return body, nil
	}
	body := make([]byte, 0, min(intake.FreeBodyBytes, r.limit))
	for {
		if len(body) == cap(body) {
			size := min(2*cap(body), r.limit)
			if size == cap(body) { // the body may end exactly at the limit
				var one [1]byte
				switch k, err := io.ReadFull(stream, one[:]); {
				case k > 0:
					return nil, &BodyTooLargeError{Limit: r.limit}
				case errors.Is(err, io.EOF):
					return body, nil
				default:
					return nil, ErrBodyIncomplete
				}
			}
			if err := r.reserve(size); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		k, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+k]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, ErrBodyIncomplete
		}
	}
}
