package standin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/store"
)

// maxWait bounds a long poll, so that a caller that has gone costs a goroutine for no longer.
const maxWait = time.Minute

// PlatformFaults says how a Platform misbehaves; the zero value means not at all.
type PlatformFaults struct {
	DelayMS     int      `json:"delay-ms"`    // added to each call
	Down        bool     `json:"down"`        // connections are closed without an answer and without an effect
	Unavailable bool     `json:"unavailable"` // calls are refused with 503 and No-Effect
	LoseAnswer  float64  `json:"lose-answer"` // probability that a write takes effect and is not answered
	MissEvent   float64  `json:"miss-event"`  // probability that a waiting watch misses a change and waits on
	ListLagMS   int      `json:"list-lag-ms"` // time until a registration shows in the list
	CutZones    []string `json:"cut-zones"`   // calls from VMs of these zones get no answer and have no effect
	Seed        uint64   `json:"seed"`        // of the draws for the probabilities
}

// PlatformCounts are the calls that a Platform has received.
type PlatformCounts struct {
	Reads         uint64 `json:"reads"`
	Writes        uint64 `json:"writes"`
	Watches       uint64 `json:"watches"`
	Lists         uint64 `json:"lists"`
	Registrations uint64 `json:"registrations"`
	Conflicts     uint64 `json:"conflicts"`
	LostAnswers   uint64 `json:"lost-answers"`
	MissedEvents  uint64 `json:"missed-events"`
	Unanswered    uint64 `json:"unanswered"`
}

// PlatformConfig configures a Platform.
type PlatformConfig struct {
	Address string // host:port to listen on; 127.0.0.1:0 if empty
	Faults  PlatformFaults
}

// Platform is a stand-in for the platform's key-value service and list of VMs.
//
//	p := standin.NewPlatform(standin.PlatformConfig{})
//	if err := p.Start(); err != nil { … }
//	defer p.Close()
type Platform struct {
	address string
	memory  *store.Memory
	server  *fasthttp.Server
	group   errgroup.Group
	closed  context.Context
	close   context.CancelFunc

	mu     sync.Mutex
	faults PlatformFaults
	random *rand.Rand
	steady context.Context // ends when faults are set, so that no call waits on under the faults before
	change context.CancelFunc

	reads, writes, watches, lists, registrations, conflicts, lostAnswers, missedEvents, unanswered atomic.Uint64
}

// NewPlatform returns a Platform that serves after Start.
func NewPlatform(cfg PlatformConfig) *Platform {
	p := &Platform{address: cfg.Address, memory: store.NewMemory()}
	if p.address == "" {
		p.address = "127.0.0.1:0"
	}
	p.closed, p.close = context.WithCancel(context.Background())
	p.server = newServer(p.serve)
	p.SetFaults(cfg.Faults)
	return p
}

// newServer returns a server with limits that are larger than what the protocols allow.
func newServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               handler,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		ReadBufferSize:        16 << 10,
		MaxRequestBodySize:    4 << 20,
		CloseOnShutdown:       true,
		Logger:                silent{},
	}
}

// silent drops the server's lines about connections that faults have broken.
type silent struct{}

// Printf does nothing.
func (silent) Printf(string, ...any) {}

// Start listens and serves.
func (p *Platform) Start() error {
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return fmt.Errorf("start platform stand-in: %w", err)
	}
	p.address = listener.Addr().String()
	p.group.Go(func() error { return p.server.Serve(listener) })
	return nil
}

// Address returns host:port of the server after Start.
func (p *Platform) Address() string { return p.address }

// Memory returns the state that the server gives access to.
func (p *Platform) Memory() *store.Memory { return p.memory }

// Close ends all calls and the server.
func (p *Platform) Close() error {
	p.close()
	if err := p.server.Shutdown(); err != nil {
		return fmt.Errorf("stop platform stand-in: %w", err)
	}
	return p.group.Wait()
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.random == nil || faults.Seed != p.faults.Seed {
		p.random = rand.New(rand.NewPCG(faults.Seed, 0))
	}
	p.faults = faults
	p.memory.SetLag(time.Duration(faults.ListLagMS) * time.Millisecond)
	if p.change != nil {
		p.change()
	}
	p.steady, p.change = context.WithCancel(p.closed)
}

// poll returns the context of a long poll, which ends when the faults change.
func (p *Platform) poll(wait time.Duration) (context.Context, context.CancelFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return context.WithTimeout(p.steady, wait)
}

// Faults returns the faults in force.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Counts returns the calls received so far.
func (p *Platform) Counts() PlatformCounts {
	return PlatformCounts{
		Reads: p.reads.Load(), Writes: p.writes.Load(), Watches: p.watches.Load(), Lists: p.lists.Load(),
		Registrations: p.registrations.Load(), Conflicts: p.conflicts.Load(), LostAnswers: p.lostAnswers.Load(),
		MissedEvents: p.missedEvents.Load(), Unanswered: p.unanswered.Load(),
	}
}

func (p *Platform) draw(probability float64) bool {
	if probability <= 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Float64() < probability
}

func (p *Platform) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.URI().PathOriginal())
	if strings.HasPrefix(path, "/admin/") {
		p.admin(ctx, path)
		return
	}
	if p.fail(ctx) {
		return
	}
	switch key, isKey := strings.CutPrefix(path, "/v1/keys/"); {
	case isKey:
		p.serveKey(ctx, key)
	case path == "/v1/vms" && ctx.IsGet():
		p.serveList(ctx)
	case strings.HasPrefix(path, "/v1/vms/") && ctx.IsPut():
		p.serveRegistration(ctx, strings.TrimPrefix(path, "/v1/vms/"))
	default:
		ctx.Error("no such path or method", fasthttp.StatusBadRequest)
	}
	// A call that was waiting when the fault began gets no answer either.
	if p.unreachable(ctx) {
		p.drop(ctx)
	}
}

// fail applies the faults that keep a call from taking effect.
func (p *Platform) fail(ctx *fasthttp.RequestCtx) bool {
	faults := p.Faults()
	if faults.DelayMS > 0 {
		p.sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	}
	if p.unreachable(ctx) {
		p.hold(ctx)
		p.drop(ctx)
		return true
	}
	if faults.Unavailable {
		ctx.Error("unavailable", fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(store.HeaderNoEffect, "true")
		return true
	}
	return false
}

// hold keeps a call of a cut zone without an answer until the faults change, because a partition breaks no connection.
func (p *Platform) hold(ctx *fasthttp.RequestCtx) {
	until := time.Now().Add(maxWait)
	for p.cut(ctx) && time.Now().Before(until) && p.closed.Err() == nil {
		steady, cancel := p.poll(time.Until(until))
		<-steady.Done()
		cancel()
	}
}

func (p *Platform) unreachable(ctx *fasthttp.RequestCtx) bool {
	return p.Faults().Down || p.cut(ctx)
}

func (p *Platform) cut(ctx *fasthttp.RequestCtx) bool {
	zone := string(ctx.Request.Header.Peek(store.HeaderZone))
	for _, cut := range p.Faults().CutZones {
		if cut == zone {
			return true
		}
	}
	return false
}

// drop closes the connection without an answer.
func (p *Platform) drop(ctx *fasthttp.RequestCtx) {
	p.unanswered.Add(1)
	closeUnanswered(ctx)
}

func closeUnanswered(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _ = c.Close() })
}

func (p *Platform) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.closed.Done():
	}
}

func (p *Platform) serveRegistration(ctx *fasthttp.RequestCtx, escaped string) {
	p.registrations.Add(1)
	var vm store.VM
	id, err := url.PathUnescape(escaped)
	if err == nil {
		err = strictJSON(ctx.PostBody(), &vm)
	}
	if err != nil || vm.ID != id || vm.Address == "" {
		ctx.Error(fmt.Sprintf("malformed VM %q: %v", id, err), fasthttp.StatusBadRequest)
		return
	}
	if err := p.memory.Register(ctx, vm); err != nil {
		p.conflicts.Add(1)
		ctx.Error(err.Error(), fasthttp.StatusConflict)
		return
	}
	p.finishWrite(ctx)
}

// finishWrite loses the answer of a write that has taken effect if the fault says so.
func (p *Platform) finishWrite(ctx *fasthttp.RequestCtx) {
	if p.draw(p.Faults().LoseAnswer) {
		p.lostAnswers.Add(1)
		closeUnanswered(ctx)
	}
}

// writeStatus maps the errors of the store to statuses.
func writeStatus(err error) int {
	switch {
	case errors.Is(err, store.ErrNotFound):
		return fasthttp.StatusNotFound
	case errors.Is(err, store.ErrVersionMismatch):
		return fasthttp.StatusConflict
	case errors.Is(err, store.ErrValueTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	}
	return fasthttp.StatusInternalServerError
}

func setVersion(ctx *fasthttp.RequestCtx, version uint64) {
	ctx.Response.Header.Set(store.HeaderVersion, strconv.FormatUint(version, 10))
}
