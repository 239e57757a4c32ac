package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Header names between entry VMs and endpoints.
const (
	headerTaskID = "Task-Id"
	headerNotRun = "Not-Run"
)

// TaskBody is the body of a task as the stand-in reads it.
type TaskBody struct {
	RunMS float64 `json:"run-ms"`
	Token string  `json:"token"`
}

// TaskAnswer is the body of an answer of the stand-in.
type TaskAnswer struct {
	Token    string `json:"token"`
	Endpoint string `json:"endpoint"`
}

// run is one request for a task.
type run struct {
	ctx   *fasthttp.RequestCtx
	life  *life
	task  []byte
	body  TaskBody
	fault Fault
	other string // Task-Id of the request before
}

func (e *Endpoint) serve(ctx *fasthttp.RequestCtx, l *life) {
	if ctx.IsGet() && string(ctx.Path()) == e.cfg.ProbePath {
		e.serveProbe(ctx, l)
		return
	}
	r := run{ctx: ctx, life: l, task: ctx.Request.Header.Peek(headerTaskID)}
	if err := json.Unmarshal(ctx.PostBody(), &r.body); err != nil || len(r.task) == 0 {
		e.count(func(c *EndpointCounts) { c.Malformed++ })
		ctx.Error(fmt.Sprintf("missing Task-Id or malformed body: %v", err), fasthttp.StatusBadRequest)
		return
	}
	r.fault, r.other = e.draw(r.task)
	ctx.Response.Header.SetBytesV(headerTaskID, r.task)
	if r.fault.Kind == FaultReject {
		e.ledger.reject(r.task)
		e.count(func(c *EndpointCounts) { c.Rejects++ })
		ctx.SetStatusCode(fasthttp.StatusUnprocessableEntity)
		return
	}
	if r.fault.Kind == FaultRefuse || !e.enter(l) {
		e.refuse(r)
		return
	}
	e.run(r)
}

func (e *Endpoint) refuse(r run) {
	e.ledger.refuse(r.task)
	e.count(func(c *EndpointCounts) { c.Refusals++ })
	r.ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	r.ctx.Response.Header.Set(headerNotRun, "true")
}

// run holds a slot for the run time and sends the answer that the fault allows.
func (e *Endpoint) run(r run) {
	e.ledger.start(r.task)
	began := time.Now()
	alive := e.work(r)
	e.leave(r.life)
	e.ledger.busy(r.task, time.Since(began))
	if !alive {
		closeUnanswered(r.ctx)
		return
	}
	if r.fault.Kind == FaultDelayedReply {
		alive = pause(r.life, r.fault.delay())
	}
	e.respond(r, alive)
}

// work lets the run time pass and returns false when no answer follows.
func (e *Endpoint) work(r run) bool {
	d := time.Duration(r.body.RunMS * float64(time.Millisecond))
	if r.body.RunMS <= 0 {
		d = e.cfg.RunTime
	}
	switch r.fault.Kind {
	case FaultFail:
		return true
	case FaultCloseAfterReading:
		return false
	case FaultNoReply:
		e.holdSilent(r.life)
		return false
	case FaultSlow:
		d = time.Duration(float64(d) * max(r.fault.Factor, 1))
	}
	return pause(r.life, d)
}

// holdSilent keeps a request until the faults change or the endpoint stops.
func (e *Endpoint) holdSilent(l *life) {
	e.mu.Lock()
	changed := e.changed
	e.mu.Unlock()
	select {
	case <-changed:
	case <-l.ended.Done():
	}
}

// pause returns false when the endpoint stops first.
func pause(l *life, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.ended.Done():
		return false
	}
}

func (e *Endpoint) respond(r run, alive bool) {
	if !alive {
		closeUnanswered(r.ctx)
		return
	}
	if r.fault.Kind == FaultFail {
		e.count(func(c *EndpointCounts) { c.Failures++ })
		r.ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	body, err := json.Marshal(TaskAnswer{Token: r.body.Token, Endpoint: e.cfg.ID})
	if err != nil {
		r.ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	r.ctx.SetContentType("application/json")
	r.ctx.SetBody(body)
	switch r.fault.Kind {
	case FaultSwappedReply:
		r.ctx.Response.Header.Set(headerTaskID, r.other)
	case FaultReset, FaultTruncated, FaultDuplicateReply, FaultGarbage:
		e.sendRaw(r, body)
		return
	}
	e.ledger.answer(r.task)
	e.count(func(c *EndpointCounts) { c.Answers++ })
}

// sendRaw writes answers that a correct server can't send.
func (e *Endpoint) sendRaw(r run, body []byte) {
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTask-Id: " + string(r.task) +
		"\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	whole := head + string(body)
	kind := r.fault.Kind
	r.ctx.HijackSetNoResponse(true)
	r.ctx.Hijack(func(c net.Conn) {
		switch kind {
		case FaultDuplicateReply:
			_, _ = c.Write([]byte(whole + whole))
		case FaultGarbage:
			_, _ = c.Write([]byte("\x00\x16\x03 200 garbage\n\n" + string(body)))
		default:
			_, _ = c.Write([]byte(whole[:len(head)+len(body)/2]))
		}
		if kind == FaultReset {
			resetHijacked(c)
		}
		_ = c.Close()
	})
	if kind == FaultDuplicateReply {
		e.ledger.answer(r.task)
		e.count(func(c *EndpointCounts) { c.Answers++ })
	}
}

func resetHijacked(c net.Conn) {
	if unwrap, ok := c.(interface{ UnsafeConn() net.Conn }); ok {
		c = unwrap.UnsafeConn()
	}
	if own, ok := c.(*conn); ok {
		reset(own.Conn)
	}
}

// serveProbe answers 200 unless a fault affects probes.
func (e *Endpoint) serveProbe(ctx *fasthttp.RequestCtx, l *life) {
	e.count(func(c *EndpointCounts) { c.Probes++ })
	for _, fault := range e.Faults() {
		switch {
		case fault.Kind == FaultNoReply:
			e.holdSilent(l)
			closeUnanswered(ctx)
			return
		case fault.Probes && (fault.Kind == FaultFail || fault.Kind == FaultReject || fault.Kind == FaultRefuse):
			ctx.SetStatusCode(fasthttp.StatusInternalServerError)
			return
		case fault.Probes:
			closeUnanswered(ctx)
			return
		}
	}
}

// draw chooses the fault of a request and returns the Task-Id of the request before.
func (e *Endpoint) draw(task []byte) (Fault, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	other := e.previous
	if len(e.faults) == 0 {
		return Fault{}, other
	}
	if e.previous = string(task); other == "" || other == e.previous {
		other = "none/0"
	}
	for _, fault := range e.faults {
		if fault.Probability == 0 || e.random.Float64() < fault.Probability {
			return fault, other
		}
	}
	return Fault{}, other
}
