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

// Server is an entry VM: it accepts jobs of callers, runs them on endpoints and cooperates with other entry VMs.
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

	registry     *registry // submissions of callers and tickets
	delegated    *registry // jobs run on behalf of their home; a caller gets their answer from the home
	runningJobs  sync.Map  // job.ID to the *jobRecord that the core of its service runs
	membership   *zone.Membership
	activeSet    *publication.ActiveSet
	activeConfig atomic.Pointer[activeConfig]
	metrics      *metricSet

	configMu       sync.Mutex // serializes changes of configuration and membership
	serviceCoresMu sync.RWMutex
	serviceCores   map[string]*serviceCore

	callerServer    *caller.Server
	callerListener  net.Listener
	linkClient      *link.Client
	linkServer      *link.Server
	linkListener    net.Listener
	endpointClient  *endpoint.Client
	group           *errgroup.Group
	ctx             context.Context // ends after the graceful shutdown
	peerSenders     peerSenders
	stopping        atomic.Bool
	membershipDirty atomic.Bool // a change of the membership is not applied yet
	fetching        atomic.Bool // the configuration is being fetched from a peer
}

// New creates an entry VM and opens its listeners; Run starts it.
func New(config Config) (*Server, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	callerListener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	linkListener, err := net.Listen("tcp", config.LinkListen)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("listen for entry VMs: %w", err), callerListener.Close())
	}
	counters := newMetricSet()
	e := &Server{
		config:         counters.meterPlatform(config),
		incarnation:    newIncarnation(time.Now()),
		registry:       newRegistry(),
		delegated:      newRegistry(),
		activeSet:      &publication.ActiveSet{},
		serviceCores:   make(map[string]*serviceCore),
		callerListener: callerListener,
		linkListener:   meteredListener{linkListener, counters},
		endpointClient: endpoint.NewClient(endpoint.ClientConfig{AcquireTimeout: 0}),
		linkClient:     link.NewClient(link.ClientConfig{Dial: counters.dialLink}),
		metrics:        counters,
	}
	e.self = e.selfVM()
	e.membership = zone.NewMembership(zone.Config{
		VM:          config.VM,
		Zone:        config.Zone,
		Incarnation: e.incarnation,
		Address:     e.self.Address,
		LinkAddress: e.self.LinkAddress,
	})
	e.peerSenders = newPeerSenders(e)
	e.linkServer = link.NewServer(link.ServerConfig{Handler: peerHandler{e}})
	e.callerServer = caller.NewServer(caller.Config{
		Dispatcher:     e,
		ReadinessCheck: e.ready,
		MetricsHandler: e.serveMetrics,
		StatusHandler:  e.serveStatus,
	})
	return e, nil
}

// newIncarnation returns a number that increases with each start: the clock in milliseconds and 16 random low bits.
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
		vm.Address = e.callerListener.Addr().String()
	}
	if vm.LinkAddress == "" {
		vm.LinkAddress = e.linkListener.Addr().String()
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
	e.group.Go(func() error { return e.callerServer.Serve(e.callerListener) })
	e.group.Go(func() error { return e.linkServer.Serve(e.linkListener) })
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
	e.linkClient.Close()
	return errors.Join(err, e.group.Wait())
}

// sleep waits for a duration and returns false if the entry VM stops before.
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

// newJobID returns a new id whose home is this VM.
func (e *Server) newJobID() job.ID {
	return job.ID{Zone: e.config.Zone, VM: e.config.VM, Incarnation: e.incarnation, Sequence: e.sequence.Add(1)}
}

// isHome reports whether this incarnation of this VM issued the id.
func (e *Server) isHome(id job.ID) bool {
	return id.VM == e.config.VM && id.Zone == e.config.Zone && id.Incarnation == e.incarnation
}

// register registers this VM with the platform and retries every 500 ms until it succeeds.
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

// ready returns nil if callers may send work here, else the reason.
func (e *Server) ready() error {
	if e.stopping.Load() {
		return errors.New("shutting down")
	}
	if e.activeConfig.Load() == nil {
		return errors.New("no configuration is in force")
	}
	return nil
}
