package standin

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/store"
)

// Defaults of EndpointConfig.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
	DefaultRunTime     = 100 * time.Millisecond
	DefaultIdleTimeout = 30 * time.Second
	DefaultProbePath   = "/healthz"
)

// EndpointConfig configures an Endpoint; zero values stand for the defaults.
type EndpointConfig struct {
	ID                 string
	Zone               string
	Service            string
	Address            string // host:port to listen on; 127.0.0.1:0 if empty
	Slots              int
	Connections        int
	NoAdmissionControl bool          // tasks beyond the slots wait for a slot instead of being refused
	RunTime            time.Duration // of tasks without run-ms
	IdleTimeout        time.Duration
	ProbePath          string
	Seed               uint64
	Faults             []Fault
	Registrar          Registrar    // takes the endpoint into the list of VMs; nil for none
	TaskCounter        *TaskCounter // shared by the endpoints of a process; its own if nil
}

// Registrar puts VMs into the platform's list; store.Client and store.Memory are Registrars.
type Registrar interface {
	Register(ctx context.Context, vm store.VM) error
}

// Endpoint is a stand-in for an endpoint of a service.
//
//	e := standin.NewEndpoint(standin.EndpointConfig{ID: "endpoint-1", Zone: "a", Service: "cue"})
//	if err := e.Start(); err != nil { … }
//	defer e.Crash()
type Endpoint struct {
	cfg    EndpointConfig
	ledger *TaskCounter

	mu       sync.Mutex
	address  string
	life     *life // nil while the endpoint is down
	left     time.Time
	faults   []Fault
	random   *rand.Rand
	previous string // Task-Id of the request before, for crossed answers
	counts   EndpointCounts
	busySum  time.Duration
	busyAt   time.Time
	changed  chan struct{} // closed when faults are set
}

// life is the time between a start and a stop of an endpoint.
type life struct {
	incarnation uint64
	listener    *listener
	server      *fasthttp.Server
	group       errgroup.Group
	ended       context.Context
	end         context.CancelFunc
	slots       chan struct{} // holds a token for each running task
}

// NewEndpoint returns an Endpoint that serves after Start.
func NewEndpoint(cfg EndpointConfig) *Endpoint {
	if cfg.Slots <= 0 {
		cfg.Slots = DefaultSlots
	}
	if cfg.Connections <= 0 {
		cfg.Connections = DefaultConnections
	}
	if cfg.RunTime <= 0 {
		cfg.RunTime = DefaultRunTime
	}
	if cfg.IdleTimeout <= 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	if cfg.ProbePath == "" {
		cfg.ProbePath = DefaultProbePath
	}
	if cfg.Address == "" {
		cfg.Address = "127.0.0.1:0"
	}
	if cfg.TaskCounter == nil {
		cfg.TaskCounter = NewTaskCounter()
	}
	return &Endpoint{
		cfg: cfg, ledger: cfg.TaskCounter, address: cfg.Address, faults: cfg.Faults,
		random: rand.New(rand.NewPCG(cfg.Seed, 0)), changed: make(chan struct{}),
	}
}

// ErrRunning means that the endpoint is already started.
var ErrRunning = errors.New("endpoint is running")

// Start listens, serves and registers as live with a new incarnation.
func (e *Endpoint) Start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != nil {
		return ErrRunning
	}
	inner, err := net.Listen("tcp", e.address)
	if err != nil {
		return fmt.Errorf("start endpoint stand-in %q: %w", e.cfg.ID, err)
	}
	// Later incarnations keep the port, as a VM that restarts keeps its address.
	e.address = inner.Addr().String()
	l := &life{incarnation: uint64(time.Now().UnixNano()), listener: newListener(inner, e.cfg.Connections)}
	l.ended, l.end = context.WithCancel(context.Background())
	l.slots = make(chan struct{}, e.cfg.Slots)
	l.server = newServer(func(ctx *fasthttp.RequestCtx) { e.serve(ctx, l) })
	l.server.IdleTimeout = e.cfg.IdleTimeout
	l.listener.deaf.Store(has(e.faults, FaultCloseBeforeReading))
	l.group.Go(func() error { return l.server.Serve(l.listener) })
	e.life, e.left = l, time.Time{}
	e.register(l, store.StateLive)
	return nil
}

// register repeats the registration until the platform has it or the endpoint stops.
func (e *Endpoint) register(l *life, state store.State) {
	if e.cfg.Registrar == nil {
		return
	}
	vm := e.vm(l, state)
	l.group.Go(func() error {
		const pause = 100 * time.Millisecond
		for {
			err := e.cfg.Registrar.Register(l.ended, vm)
			if err == nil || errors.Is(err, store.ErrStaleRegistration) {
				return nil
			}
			select {
			case <-l.ended.Done():
				return nil
			case <-time.After(pause):
			}
		}
	})
}

func (e *Endpoint) vm(l *life, state store.State) store.VM {
	return store.VM{
		ID: e.cfg.ID, Zone: e.cfg.Zone, Role: store.RoleEndpoint, Service: e.cfg.Service,
		Address: e.address, Incarnation: l.incarnation, State: state,
	}
}

// ID returns the id of the endpoint.
func (e *Endpoint) ID() string { return e.cfg.ID }

// VM returns the entry of the list of VMs that the endpoint registers.
func (e *Endpoint) VM() store.VM {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life == nil {
		return store.VM{}
	}
	state := store.StateLive
	if !e.left.IsZero() {
		state = store.StateLeaving
	}
	return e.vm(e.life, state)
}

// Leave registers the endpoint as leaving; it serves on until Crash.
func (e *Endpoint) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life == nil {
		return
	}
	e.left = time.Now()
	e.register(e.life, store.StateLeaving)
}

// Crash ends the endpoint as a crash does: connections are reset and tasks in flight are lost.
func (e *Endpoint) Crash() {
	e.mu.Lock()
	l := e.life
	e.life = nil
	e.mu.Unlock()
	if l == nil {
		return
	}
	l.end()
	l.listener.kill()
	_ = l.group.Wait()
}

// Restart stops the endpoint and starts its next incarnation after a pause.
func (e *Endpoint) Restart(pause time.Duration) error {
	e.Crash()
	time.Sleep(pause)
	return e.Start()
}

// SetFaults replaces the faults; requests that a silent fault holds lose their connection.
func (e *Endpoint) SetFaults(faults []Fault) error {
	for _, fault := range faults {
		if err := fault.Check(); err != nil {
			return err
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	close(e.changed)
	e.changed = make(chan struct{})
	if e.life != nil {
		e.life.listener.deaf.Store(has(faults, FaultCloseBeforeReading))
	}
	return nil
}

// Faults returns the faults in force.
func (e *Endpoint) Faults() []Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Fault{}, e.faults...)
}

func has(faults []Fault, kind FaultKind) bool {
	for _, fault := range faults {
		if fault.Kind == kind {
			return true
		}
	}
	return false
}
