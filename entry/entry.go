package entry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/caller"
	"samphireplank.example/samphireplank/endpoint"
	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/link"
	"samphireplank.example/samphireplank/publication"
	"samphireplank.example/samphireplank/store"
	"samphireplank.example/samphireplank/zone"
)

// Server is an entry VM.
//
//	e, err := entry.New(config)
//	if err != nil {
//		return err
//	}
//	return e.Run(ctx) // until ctx ends and the graceful shutdown is done
type Server struct {
	config      Config
	incarnation uint64
	sequence    atomic.Uint64
	self        store.VM

	registry  *registry // submissions of callers
	delegated *registry // jobs that run on behalf of their home; callers that ask for them get the home's answer
	running   sync.Map  // job.ID to the *record that the core of its service works for
	table     *zone.Membership
	acceptor  *publication.ActiveSet
	force     atomic.Pointer[force]
	metrics   *metricSet

	configure sync.Mutex // serializes changes of configuration and membership
	shardsMu  sync.RWMutex
	shards    map[string]*shard

	callers       *caller.Server
	callerSocket  net.Listener
	links         *link.Client
	linkServer    *link.Server
	linkSocket    net.Listener
	endpoints     *endpoint.Client
	group         *errgroup.Group
	ctx           context.Context // ends after the graceful shutdown
	outboxes      outboxes
	stopping      atomic.Bool
	membershipOut atomic.Bool // a change of membership waits to be applied
	fetching      atomic.Bool // the configuration is being fetched from a peer
}

// New opens the listeners of an entry VM; it serves when Run is called.
func New(config Config) (*Server, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	callerSocket, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	linkSocket, err := net.Listen("tcp", config.LinkListen)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("listen for entry VMs: %w", err), callerSocket.Close())
	}
	counters := newMetricSet()
	e := &Server{
		config:       counters.meterPlatform(config),
		incarnation:  newIncarnation(time.Now()),
		registry:     newRegistry(),
		delegated:    newRegistry(),
		acceptor:     &publication.ActiveSet{},
		shards:       make(map[string]*shard),
		callerSocket: callerSocket,
		linkSocket:   meteredListener{linkSocket, counters},
		endpoints:    endpoint.NewClient(endpoint.ClientConfig{AcquireTimeout: 0}),
		links:        link.NewClient(link.ClientConfig{Dial: counters.dialLink}),
		metrics:      counters,
	}
	e.self = e.selfVM()
	e.table = zone.NewMembership(zone.Config{
		VM:          config.VM,
		Zone:        config.Zone,
		Incarnation: e.incarnation,
		Address:     e.self.Address,
		LinkAddress: e.self.LinkAddress,
	})
	e.outboxes = newOutboxes(e)
	e.linkServer = link.NewServer(link.ServerConfig{Handler: peerHandler{e}})
	e.callers = caller.NewServer(caller.Config{
		Dispatcher:     e,
		ReadinessCheck: e.ready,
		MetricsHandler: e.serveMetrics,
		StatusHandler:  e.serveStatus,
	})
	return e, nil
}

// newIncarnation returns a number that grows with each start: milliseconds of the clock and random low bits.
func newIncarnation(now time.Time) uint64 {
	const randomBits = 16
	var random [2]byte
	_, _ = rand.Read(random[:]) // never fails
	return uint64(now.UnixMilli())<<randomBits | uint64(binary.BigEndian.Uint16(random[:]))
}

func (e *Server) selfVM() store.VM {
	vm := store.VM{
		ID:          e.config.VM,
		Zone:        e.config.Zone,
		Role:        store.RoleEntry,
		Address:     e.config.Address,
		LinkAddress: e.config.LinkAddress,
		Incarnation: e.incarnation,
		State:       store.StateLive,
	}
	if vm.Address == "" {
		vm.Address = e.callerSocket.Addr().String()
	}
	if vm.LinkAddress == "" {
		vm.LinkAddress = e.linkSocket.Addr().String()
	}
	return vm
}

// Address returns host:port of the listener for callers.
func (e *Server) Address() string { return e.self.Address }

// LinkAddress returns host:port of the listener for other entry VMs.
func (e *Server) LinkAddress() string { return e.self.LinkAddress }

// Run serves until ctx ends and then shuts down gracefully.
func (e *Server) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	e.group, e.ctx = errgroup.WithContext(inner)
	e.config.Log.Info().Str("event", "started").Str("address", e.self.Address).
		Str("link-address", e.self.LinkAddress).Uint64("incarnation", e.incarnation).Msg("entry VM started")
	e.group.Go(func() error { return e.callers.Serve(e.callerSocket) })
	e.group.Go(func() error { return e.linkServer.Serve(e.linkSocket) })
	for _, loop := range []func(){e.tickLoop, e.membershipLoop, e.directoryLoop, e.configurationLoop, e.summaryLoop, e.housekeepingLoop} {
		e.group.Go(func() error {
			loop()
			return nil
		})
	}
	if e.config.Registrar != nil {
		e.group.Go(func() error { return e.register(store.StateLive) })
	}
	select {
	case <-ctx.Done():
	case <-e.ctx.Done():
	}
	err := e.shutdown()
	stop()
	e.links.Close()
	return errors.Join(err, e.group.Wait())
}

// sleep waits for a duration and reports whether the entry VM still runs.
func (e *Server) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.ctx.Done():
		return false
	}
}

// mint returns a new id whose home is this VM.
func (e *Server) mint() job.ID {
	return job.ID{Zone: e.config.Zone, VM: e.config.VM, Incarnation: e.incarnation, Sequence: e.sequence.Add(1)}
}

// isHome reports whether this VM, in this incarnation, minted the id.
func (e *Server) isHome(id job.ID) bool {
	return id.VM == e.config.VM && id.Zone == e.config.Zone && id.Incarnation == e.incarnation
}

// register puts this VM into the platform's list and tries again until it succeeds.
func (e *Server) register(state store.State) error {
	const retryDelay = 500 * time.Millisecond
	vm := e.self
	vm.State = state
	for {
		ctx, cancel := context.WithTimeout(e.ctx, 2*time.Second)
		err := e.config.Registrar.Register(ctx, vm)
		cancel()
		if err == nil || errors.Is(err, store.ErrStaleRegistration) {
			return nil
		}
		e.config.Log.Warn().Str("event", "register-failed").Err(err).Msg("could not register with the platform; trying again")
		if !e.sleep(retryDelay) {
			return nil
		}
	}
}

// ready returns why callers should not send work here, or nil.
func (e *Server) ready() error {
	if e.stopping.Load() {
		return errors.New("shutting down")
	}
	if e.force.Load() == nil {
		return errors.New("no configuration is in force")
	}
	return nil
}
