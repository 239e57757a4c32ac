package standin

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/store"
)

// headerZone names the zone of the calling VM; the platform itself has no such header.
const headerZone = "Zone"

// maxWait bounds a long poll, so that a caller that has gone costs a goroutine for no longer.
const maxWait = time.Minute

// PlatformFaults says how a Platform misbehaves; the zero value means not at all.
type PlatformFaults struct {
	DelayMS                int      `json:"delay-ms"`    // added to each call
	Down                   bool     `json:"down"`        // connections are closed without an answer and without an effect
	Unavailable            bool     `json:"unavailable"` // calls are refused with 503 and have no effect
	LostReplyProbability   float64  `json:"lose-answer"` // probability that a write takes effect and is not answered
	MissedEventProbability float64  `json:"miss-event"`  // probability that a waiting watch misses a change and waits on
	ListLagMS              int      `json:"list-lag-ms"` // time until a registration shows in the list
	PartitionedZones       []string `json:"cut-zones"`   // calls from VMs of these zones get no answer and have no effect
	Seed                   uint64   `json:"seed"`        // of the draws for the probabilities
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
	keys    *KVStore
	memory  *store.KVStore // the content without faults
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
	p := &Platform{address: cfg.Address, keys: NewKVStore()}
	p.memory = store.NewKVStore(direct{p.keys}, 0)
	p.keys.ends = p.ending
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

// FaultFreeStore gives access to the content, whatever the faults.
func (p *Platform) FaultFreeStore() *store.KVStore { return p.memory }

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
	p.keys.mu.Lock()
	p.keys.lag = time.Duration(faults.ListLagMS) * time.Millisecond
	p.keys.mu.Unlock()
	if p.change != nil {
		p.change()
	}
	p.steady, p.change = context.WithCancel(p.closed)
}

// ending returns a channel that is closed when the faults change or the server stops.
func (p *Platform) ending() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.steady.Done()
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
	began := time.Now()
	p.keys.handle(ctx)
	switch path {
	case "/v1/kv-watch":
		p.watches.Add(1)
		p.missEvents(ctx, began)
	case "/v1/kv-txn":
		p.writes.Add(1)
		p.finishWrite(ctx)
	case "/v1/kv-range":
		p.lists.Add(1)
	default:
		p.reads.Add(1)
	}
	// A call that was waiting when the fault began gets no answer either.
	if p.unreachable(ctx) {
		p.drop(ctx)
	}
}

// missEvents takes the events of a watch that has waited out of its answer if the fault says so; the watch waits on.
func (p *Platform) missEvents(ctx *fasthttp.RequestCtx, began time.Time) {
	if ctx.Response.StatusCode() != fasthttp.StatusOK || !waited(began) || !bytes.Contains(ctx.Response.Body(), []byte(`"key"`)) ||
		!p.draw(p.Faults().MissedEventProbability) {
		return
	}
	p.missedEvents.Add(1)
	if wait, err := strconv.Atoi(string(ctx.QueryArgs().Peek("wait_ms"))); err == nil {
		p.sleep(time.Duration(wait+1)*time.Millisecond - time.Since(began)) // waits are cut to milliseconds
	}
	after := string(ctx.QueryArgs().Peek("after"))
	ctx.SetBodyString(`{"events":[],"store_revision":` + after + `}`)
}

// waited tells an event that arrived during the poll, which a watch may miss, from the state at its beginning.
func waited(began time.Time) bool { return time.Since(began) > time.Millisecond }

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
		return true
	}
	return false
}

// hold keeps a call of a cut zone without an answer until the faults change, because a partition breaks no connection.
func (p *Platform) hold(ctx *fasthttp.RequestCtx) {
	until := time.After(maxWait)
	for p.cut(ctx) && p.closed.Err() == nil {
		select {
		case <-p.ending():
		case <-until:
			return
		}
	}
}

func (p *Platform) unreachable(ctx *fasthttp.RequestCtx) bool {
	return p.Faults().Down || p.cut(ctx)
}

func (p *Platform) cut(ctx *fasthttp.RequestCtx) bool {
	zone := string(ctx.Request.Header.Peek(headerZone))
	for _, cut := range p.Faults().PartitionedZones {
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

// finishWrite loses the answer of a write that has taken effect if the fault says so.
func (p *Platform) finishWrite(ctx *fasthttp.RequestCtx) {
	switch ctx.Response.StatusCode() {
	case fasthttp.StatusPreconditionFailed:
		p.conflicts.Add(1)
		return
	case fasthttp.StatusOK:
	default:
		return
	}
	if p.draw(p.Faults().LostReplyProbability) {
		p.lostAnswers.Add(1)
		closeUnanswered(ctx)
	}
}

func (p *Platform) admin(ctx *fasthttp.RequestCtx, path string) {
	switch {
	case path == "/admin/faults" && ctx.IsPut():
		var faults PlatformFaults
		if err := strictJSON(ctx.PostBody(), &faults); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		p.SetFaults(faults)
	case path == "/admin/faults" && ctx.IsGet():
		replyJSON(ctx, p.Faults())
	case path == "/admin/counts" && ctx.IsGet():
		replyJSON(ctx, p.Counts())
	default:
		ctx.Error("no such admin path or method", fasthttp.StatusNotFound)
	}
}
