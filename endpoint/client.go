package endpoint

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// HTTP headers of a task and of its answer.
const (
	HeaderTaskID  = "Task-Id"
	HeaderAttempt = "Attempt"
	HeaderNotRun  = "Not-Run"
)

// Defaults for zero fields of ClientConfig and Request.
const (
	DefaultMaxConnections = 16
	DefaultDialTimeout    = time.Second
	DefaultTimeout        = 30 * time.Second
	DefaultIdleTimeout    = 10 * time.Second
	DefaultMaxBodySize    = 1 << 20 // bytes
	DefaultMaxHeaderSize  = 8 << 10 // bytes
)

// ClientConfig holds the settings of a Client; zero fields take the defaults.
type ClientConfig struct {
	DialTimeout    time.Duration // max time to open a connection
	AcquireTimeout time.Duration // max time to wait for a free connection to an endpoint; 0 fails at once
	MaxBodySize    int           // max bytes of an answer's body
	MaxHeaderSize  int           // max bytes of an answer's status line and headers
	Dial           func(ctx context.Context, address string) (net.Conn, error)
	Now            func() time.Time // clock for the age of idle connections
}

// Request describes one task to send to one endpoint.
type Request struct {
	Address        string // host:port of the endpoint
	Path           string // path of the kind of work
	TaskID         string // "<job id>/<index>", echoed by the endpoint
	Attempt        int
	ContentType    string // of the body, application/octet-stream when empty
	Body           []byte // not used after Send has returned
	Timeout        time.Duration
	MaxConnections int           // max open connections to the endpoint
	IdleTimeout    time.Duration // after which the endpoint closes an idle connection
}

// Response is the outcome of one send; Status, ContentType and Body are set if a valid answer arrived.
type Response struct {
	Result      Result
	Status      int
	ContentType string
	Body        []byte
	RunTime     time.Duration // from the first byte sent to the end of the answer
	Err         error         // why the result is NotSent or Unknown
}

// Client sends tasks to endpoints, each at most once, and is safe for concurrent use.
//
// It uses the codecs of fasthttp with its own connection pool instead of fasthttp.HostClient, which does not report how
// many bytes were written, returns a connection to its pool before the answer's Task-Id can be checked, discards bytes
// that follow an answer, and retries requests unless two settings prevent it.
type Client struct {
	config ClientConfig
	mu     sync.RWMutex
	pools  map[string]*pool // by address
}

// NewClient returns a client; connections are opened by the first sends.
func NewClient(config ClientConfig) *Client {
	if config.DialTimeout <= 0 {
		config.DialTimeout = DefaultDialTimeout
	}
	if config.MaxBodySize <= 0 {
		config.MaxBodySize = DefaultMaxBodySize
	}
	if config.MaxHeaderSize <= 0 {
		config.MaxHeaderSize = DefaultMaxHeaderSize
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Dial == nil {
		dialer := &net.Dialer{}
		config.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return &Client{config: config, pools: make(map[string]*pool)}
}

// Send sends a task at most once and classifies the outcome.
//
//	response := client.Send(ctx, endpoint.Request{Address: address, Path: "/scan", TaskID: id + "/0", Attempt: 1, Body: body})
//	if response.Result == endpoint.NotSent {
//		// the task may be sent to another endpoint
//	}
func (c *Client) Send(ctx context.Context, r Request) Response {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	if err := encode(request, r); err != nil {
		return Response{Result: NotSent, Err: err}
	}
	var response Response
	c.do(ctx, r, request, func(e roundTripResult) bool {
		response = classify(e, r.TaskID)
		return reusable(response.Result)
	})
	return response
}

// Probe reports whether the endpoint answers GET <path> with a complete 2xx answer before ctx ends, within
// DefaultTimeout.
func (c *Client) Probe(ctx context.Context, address, path string) bool {
	if !isValidPath(path) {
		return false
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodGet)
	request.Header.SetRequestURI(path)
	request.Header.SetHost(address)
	healthy := false
	c.do(ctx, Request{Address: address}, request, func(e roundTripResult) bool {
		healthy = e.err == nil && e.status() >= 200 && e.status() <= 299
		return healthy
	})
	return healthy
}

// roundTripResult holds the outcome of one request on a connection.
type roundTripResult struct {
	written   int64
	err       error
	answer    *fasthttp.Response // valid when err is nil, released after the call
	keepAlive bool               // the connection is in a known state after the answer
	runTime   time.Duration
}

func (e roundTripResult) status() int { return e.answer.StatusCode() }

// do sends the request on one connection; judge inspects the result and reports whether the connection may be reused.
func (c *Client) do(ctx context.Context, r Request, request *fasthttp.Request, judge func(roundTripResult) bool) {
	deadline := time.Now().Add(timeoutOf(r))
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		deadline = limit
	}
	p, cn, err := c.acquire(ctx, r, deadline)
	if err != nil {
		judge(roundTripResult{err: err})
		return
	}
	answer := fasthttp.AcquireResponse()
	answer.Header.SetNoDefaultContentType(true)
	defer fasthttp.ReleaseResponse(answer)
	e := cn.roundTrip(ctx, deadline, request, answer, c.config.MaxBodySize)
	wanted := judge(e)
	p.release(cn, wanted && e.keepAlive)
}

// ErrInvalidRequest reports that a task was not sent because its path or Task-Id can't be encoded in HTTP.
var ErrInvalidRequest = errors.New("invalid request")

func encode(request *fasthttp.Request, r Request) error {
	if !isValidPath(r.Path) || !isPrintableASCII(r.TaskID) || r.TaskID == "" {
		return fmt.Errorf("%w: path %q, Task-Id %q", ErrInvalidRequest, r.Path, r.TaskID)
	}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetRequestURI(r.Path)
	request.Header.SetHost(r.Address)
	request.Header.Set(HeaderTaskID, r.TaskID)
	request.Header.Set(HeaderAttempt, strconv.Itoa(r.Attempt))
	contentType := r.ContentType
	if contentType == "" {
		contentType = "application/octet-stream"
	}
	request.Header.SetContentType(contentType)
	request.Header.SetContentLength(len(r.Body))
	request.SetBodyRaw(r.Body)
	return nil
}

func isValidPath(path string) bool { return path != "" && path[0] == '/' && isPrintableASCII(path) }

// isPrintableASCII reports whether text is ASCII without spaces and control characters, so that it can't end a header
// line.
func isPrintableASCII(text string) bool {
	for i := 0; i < len(text); i++ {
		if text[i] <= ' ' || text[i] >= 0x7f {
			return false
		}
	}
	return true
}

// classify derives the response of a send. An answer that doesn't echo the Task-Id gives Unknown.
func classify(e roundTripResult, taskID string) Response {
	if e.err != nil {
		result := Unknown
		if e.written == 0 {
			result = NotSent
		}
		return Response{Result: result, RunTime: e.runTime, Err: e.err}
	}
	header := &e.answer.Header
	echoes := header.PeekAll(HeaderTaskID)
	if len(echoes) != 1 || string(echoes[0]) != taskID {
		return Response{Result: Unknown, RunTime: e.runTime, Err: fmt.Errorf("answer has Task-Id %q instead of %q", echoes, taskID)}
	}
	return Response{
		Result:      resultOf(header),
		Status:      e.status(),
		ContentType: string(header.ContentType()),
		Body:        bytes.Clone(e.answer.Body()),
		RunTime:     e.runTime,
	}
}

func resultOf(header *fasthttp.ResponseHeader) Result {
	status := header.StatusCode()
	switch {
	case status >= 200 && status <= 299:
		return Succeeded
	case status == fasthttp.StatusServiceUnavailable && notRun(header):
		return Refused
	case status >= 400 && status <= 499:
		return Rejected
	default:
		return Failed
	}
}

func notRun(header *fasthttp.ResponseHeader) bool {
	values := header.PeekAll(HeaderNotRun)
	return len(values) == 1 && string(values[0]) == "true"
}

// reusable reports whether the connection may carry another task after the result. A refused or failed task may be
// retried with the same Task-Id; a duplicate of its first answer would then be taken for the answer to the retry, so
// the connection is closed.
func reusable(result Result) bool { return result == Succeeded || result == Rejected }

func timeoutOf(r Request) time.Duration {
	if r.Timeout <= 0 {
		return DefaultTimeout
	}
	return r.Timeout
}
