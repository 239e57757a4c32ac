package standin

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// FleetConfig configures a Fleet.
type FleetConfig struct {
	Admin     string // host:port of the admin server; 127.0.0.1:0 if empty
	Endpoints []EndpointConfig
}

// FleetCounts are the totals of all endpoints of a Fleet.
type FleetCounts struct {
	Slots           int              `json:"slots"`
	Tasks           uint64           `json:"tasks"` // Task-Ids with at least one start
	Starts          uint64           `json:"starts"`
	DuplicateStarts uint64           `json:"starts-over-one"` // per Task-Id
	Answers         uint64           `json:"answers"`
	Failures        uint64           `json:"failures"`
	Refusals        uint64           `json:"refusals"`
	Rejects         uint64           `json:"rejects"`
	Probes          uint64           `json:"probes"`
	MostRunning     int              `json:"most-running"` // at one endpoint
	BusySeconds     float64          `json:"busy-seconds"`
	Endpoints       []EndpointCounts `json:"endpoints"`
}

// Fleet is a group of endpoint stand-ins in one process with an admin server.
type Fleet struct {
	admin     string
	ledger    *TaskCounter
	endpoints []*Endpoint
	server    *fasthttp.Server
	group     errgroup.Group
}

// NewFleet returns a Fleet that serves after Start.
func NewFleet(cfg FleetConfig) *Fleet {
	f := &Fleet{admin: cfg.Admin, ledger: NewTaskCounter()}
	if f.admin == "" {
		f.admin = "127.0.0.1:0"
	}
	for _, endpoint := range cfg.Endpoints {
		endpoint.TaskCounter = f.ledger
		f.endpoints = append(f.endpoints, NewEndpoint(endpoint))
	}
	f.server = newServer(f.serve)
	return f
}

// Start starts the endpoints and the admin server.
func (f *Fleet) Start() error {
	listener, err := net.Listen("tcp", f.admin)
	if err != nil {
		return fmt.Errorf("start endpoint stand-ins: %w", err)
	}
	f.admin = listener.Addr().String()
	f.group.Go(func() error { return f.server.Serve(listener) })
	for _, e := range f.endpoints {
		if err := e.Start(); err != nil {
			return errors.Join(err, f.Close())
		}
	}
	return nil
}

// Close stops the endpoints and the admin server.
func (f *Fleet) Close() error {
	for _, e := range f.endpoints {
		e.Crash()
	}
	if err := f.server.Shutdown(); err != nil {
		return fmt.Errorf("stop endpoint stand-ins: %w", err)
	}
	return f.group.Wait()
}

// Admin returns host:port of the admin server after Start.
func (f *Fleet) Admin() string { return f.admin }

// Endpoints returns the endpoints in the order of the configuration.
func (f *Fleet) Endpoints() []*Endpoint { return f.endpoints }

// TaskCounter returns the counts by Task-Id.
func (f *Fleet) TaskCounter() *TaskCounter { return f.ledger }

// Counts returns the totals.
func (f *Fleet) Counts() FleetCounts {
	var total FleetCounts
	for _, e := range f.endpoints {
		c := e.Counts()
		total.Slots += c.Slots
		total.Starts += c.Starts
		total.Answers += c.Answers
		total.Failures += c.Failures
		total.Refusals += c.Refusals
		total.Rejects += c.Rejects
		total.Probes += c.Probes
		total.MostRunning = max(total.MostRunning, c.MaxRunning)
		total.BusySeconds += c.BusySeconds
		total.Endpoints = append(total.Endpoints, c)
	}
	total.Tasks, total.DuplicateStarts = f.ledger.StartTotals()
	return total
}

// Reset sets all totals to zero.
func (f *Fleet) Reset() {
	f.ledger.Reset()
	for _, e := range f.endpoints {
		e.Reset()
	}
}

func (f *Fleet) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/admin/counts" && ctx.IsGet():
		replyJSON(ctx, f.Counts())
	case path == "/admin/tasks" && ctx.IsGet():
		ctx.SetContentType("text/plain")
		if _, err := f.ledger.WriteTo(ctx); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		}
	case path == "/admin/reset" && ctx.IsPost():
		f.Reset()
	case strings.HasPrefix(path, "/admin/endpoints/"):
		f.serveEndpoint(ctx, strings.TrimPrefix(path, "/admin/endpoints/"))
	default:
		ctx.Error("no such admin path or method", fasthttp.StatusNotFound)
	}
}

func (f *Fleet) serveEndpoint(ctx *fasthttp.RequestCtx, path string) {
	id, action, _ := strings.Cut(path, "/")
	for _, e := range f.endpoints {
		if e.ID() != id {
			continue
		}
		if err := act(ctx, e, action); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		}
		return
	}
	ctx.Error("no such endpoint", fasthttp.StatusNotFound)
}

func act(ctx *fasthttp.RequestCtx, e *Endpoint, action string) error {
	switch {
	case action == "faults" && ctx.IsGet():
		replyJSON(ctx, e.Faults())
		return nil
	case action == "faults" && ctx.IsPut():
		var faults []Fault
		if err := strictJSON(ctx.PostBody(), &faults); err != nil {
			return err
		}
		return e.SetFaults(faults)
	case action == "leave" && ctx.IsPost():
		e.Leave()
		return nil
	case action == "stop" && ctx.IsPost():
		e.Crash()
		return nil
	case action == "start" && ctx.IsPost():
		return e.Start()
	case action == "restart" && ctx.IsPost():
		ms, err := strconv.Atoi(string(ctx.QueryArgs().Peek("pause-ms")))
		if err != nil {
			ms = 0
		}
		return e.Restart(time.Duration(ms) * time.Millisecond)
	}
	return fmt.Errorf("no action %q with this method", action)
}
