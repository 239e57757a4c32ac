package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/intake"
	"samphireplank.example/samphireplank/peer"
	"samphireplank.example/samphireplank/placement"
	"samphireplank.example/samphireplank/traffic"
)

// Gateway is one VM of the system.
type Gateway struct {
	config           Config
	settings         Settings
	log              zerolog.Logger
	self             peer.Hello
	started          time.Time
	cache            *storeCache
	meter            *meter
	tasks            *errgroup.Group // drivers, links and timers; none of its functions returns an error
	ctx              context.Context // cancelled after the last answer
	stopping         atomic.Bool
	requests         atomic.Int64 // in progress
	limits           intake.Limits
	callers          *connLimiter
	bodies           bodyBudget
	messages         bodyBudget // for long messages of other VMs
	refusals         *refusalMeter
	nextLink         atomic.Uint64
	nextRequest      atomic.Uint64
	commits          commitBatcher // of new jobs
	tombstones       commitBatcher // of cancelled ids without a job
	pauseDetector    *pauseDetector
	contact          contactMonitor
	endedJobs        endedCache
	queuedCounts     queuedCounter
	interference     interferenceBoard
	partitionTriedAt time.Time // last attempt to write the zone partition; used by holdGroups only

	mu                  sync.Mutex
	links               map[string]*peerLink
	inbound             map[*peer.Conn]uint64
	permits             placement.Permits            // of the inbound connections, until their submissions are withdrawn
	knownWorkers        map[uint64]int64             // newest worker entry that the VM knows of, likewise
	confirmations       map[string]peer.Confirmation // last one of each VM
	followers           map[*peer.Conn]int64         // revision of the worker list sent to each follower
	drivers             map[string]*groupDriver
	pending             map[uint64]*pendingRequest
	lastUnansweredStart time.Time                // when a start sent for a holder last got no response
	active              map[string]*activeJob    // by job id
	handoverOffers      map[string]handoverOffer // by group
	lastClaims          map[string]time.Time     // last claim by group
	fenceLosses         map[string]fenceLoss     // by group
	loads               map[string]map[string]placement.Load
	longRunning         map[string][]string       // jobs with long-running tasks, by group
	takesTransfers      map[string]bool           // by group, whether its holder takes transferred jobs
	transferredAt       map[string]time.Time      // when this VM last transferred a job to a group
	queued              map[string]map[string]int // jobs that have not started, by group and route
	firstSeen           map[string]time.Time      // when a group was first seen, by group
	holdersGone         map[string]goneHolder     // by group
	newestConfig        int64                     // newest configuration revision reported by another VM
	behindSince         time.Time                 // since when this VM's configuration is older, zero if it is not
	lastCopyRequest     time.Time                 // when a copy was last requested
	holdWake            chan struct{}
	holderTable         map[string]*holder // reachable holders, by group
	holderTableAt       <-chan struct{}    // the cache's change channel when holderTable was computed
}

// New returns a Gateway that is not running yet.
func New(config Config) *Gateway {
	config = config.withDefaults()
	self := peer.Hello{
		VM: config.Settings.VM, Zone: config.Settings.Zone, Address: config.Settings.PeerAddress, Incarnation: time.Now().UnixNano(),
	}
	log := config.Log.With().Str("vm", self.VM).Logger()
	cache := newStoreCache(config.Decoder, log)
	cache.clock = config.Clock
	g := &Gateway{
		config: config, settings: config.Settings, log: log, self: self, started: time.Now(),
		commits: commitBatcher{keys: config.Store}, pauseDetector: newPauseDetector(config.Clock, time.Now), queued: map[string]map[string]int{}, longRunning: map[string][]string{}, takesTransfers: map[string]bool{}, transferredAt: map[string]time.Time{},
		cache: cache, meter: newMeter(), tasks: &errgroup.Group{},
		links: map[string]*peerLink{}, inbound: map[*peer.Conn]uint64{}, permits: placement.Permits{}, knownWorkers: map[uint64]int64{}, confirmations: map[string]peer.Confirmation{}, followers: map[*peer.Conn]int64{}, drivers: map[string]*groupDriver{},
		pending: map[uint64]*pendingRequest{}, active: map[string]*activeJob{}, handoverOffers: map[string]handoverOffer{},
		lastClaims: map[string]time.Time{}, fenceLosses: map[string]fenceLoss{}, loads: map[string]map[string]placement.Load{}, firstSeen: map[string]time.Time{}, holdersGone: map[string]goneHolder{},
		holdWake: make(chan struct{}, 1),
	}
	g.limits = intake.Derive(intake.Resources{MemoryBytes: config.Settings.MemoryBytes, Descriptors: config.Settings.MaxDescriptors, ClientShare: config.Settings.ClientShare})
	g.refusals = &refusalMeter{meter: g.meter, recent: map[refusal]int{}}
	g.callers = newConnLimiter("client", intake.ConnectionsConfig{Total: g.limits.Connections, PerClient: g.limits.ClientConnections}, g.refusals)
	g.bodies.budget = intake.NewBudget(intake.BudgetConfig{Total: g.limits.BodyBytes, PerClient: g.limits.ClientBodyBytes})
	g.messages.budget = intake.NewBudget(intake.BudgetConfig{Total: g.limits.MessageBytes, PerClient: g.limits.MessageBytes})
	g.meter.registerIntake(g.callers.len, g.bodies.used)
	g.contact.clock, g.contact.outsideLimit = config.Clock, max(config.Settings.ClientRetryDelay-stopTime, minOutsideLimit)
	g.config.Store, g.config.Workers = monitoredStore{config.Store, g}, monitoredWorkers{config.Workers, g}
	g.commits.keys, g.tombstones.keys, g.tombstones.spacing = g.config.Store, g.config.Store, tombstoneSpacing
	g.meter.set.NewGauge("samphireplank_evacuated_zones", func() float64 { return float64(len(g.cache.evacuationState().Zones)) })
	return g
}

// Run serves until ctx ends, and then until all requests and jobs in progress have ended or StopGrace is nearly over.
func (g *Gateway) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g.ctx = work
	links, err := g.config.Listen(g.settings.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for other VMs: %w", err)
	}
	servers, err := g.listen()
	if err != nil {
		return errors.Join(err, links.Close())
	}
	g.log.Info().Str("event", "start").Str("zone", g.settings.Zone).Str("address", g.settings.CallerAddress).Int64("incarnation", g.self.Incarnation).Msg("started")
	if margin := g.settings.ClientRetryDelay - permitDuration - placement.PermitLease; margin < resendMargin {
		g.log.Warn().Str("event", "settings").Int64("margin-ms", margin.Milliseconds()).Msg("clients send a job again before the tasks of an unreachable VM have certainly stopped")
	}
	g.tasks.Go(func() error {
		if err := peer.Serve(work, links, g.peerConfig(), recoveringPeer{inboundHandler{g}, g}); err != nil {
			g.log.Error().Str("event", "link-listener").Err(err).Msg("listener for other VMs ended")
		}
		return nil
	})
	for _, part := range g.cache.prefixes[:workerPrefixIndex] {
		g.keepRunning(work, "watch of "+part.name, func(ctx context.Context) { g.cache.follow(ctx, g.config.Store, part) })
	}
	g.keepRunning(work, "list of workers", g.followWorkers)
	g.background(work, g.register)
	g.background(work, g.maintainLinks)
	g.background(work, g.sendHeartbeats)
	g.background(work, g.logTraffic)
	g.background(work, g.holdGroups)
	g.background(work, g.tickDrivers)
	g.background(work, g.followOpenJobs)
	g.background(work, g.rebalance)
	err = servers.run(ctx, work, g)
	cancel()
	g.awaitTasks()
	g.log.Info().Str("event", "stopped").Int64("requests", g.requests.Load()).Msg("stopped")
	return err
}

// resendMargin covers the drift of the clocks that measure permits and leases, the time a worker takes to kill a run, and
// workers that do so late because their machine is busy.
const resendMargin = 140 * time.Millisecond

// taskShutdownTimeout limits the wait for background work at shutdown. A pending call of the store cannot be
// interrupted, and nothing depends on its result any more.
const taskShutdownTimeout = 100 * time.Millisecond

func (g *Gateway) awaitTasks() {
	ended := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		defer close(ended)
		return g.tasks.Wait()
	})
	select {
	case <-ended:
	case <-time.After(taskShutdownTimeout):
	}
}

// peerConfig returns the configuration of connections to other VMs.
func (g *Gateway) peerConfig() peer.Config {
	return peer.Config{
		Self: g.self, Traffic: g.config.Traffic, Clock: g.config.Clock, Dial: g.config.Dial, OnReceive: g.noteContact,
		MaxInbound: g.limits.PeerConnections, Reserve: g.reserveMessage, Release: g.releaseMessage, OnRefuse: g.notePeerRefusal,
	}
}

// trafficInterval is the interval of log lines about traffic; each has one field per purpose, with both directions.
const trafficInterval = 5 * time.Second

// logTraffic logs the rates of traffic by purpose.
func (g *Gateway) logTraffic(ctx context.Context) {
	last := map[string]traffic.PurposeTotals{}
	for {
		pause(ctx, trafficInterval)
		if ctx.Err() != nil {
			return
		}
		g.logRefusals()
		line := g.log.Info().Str("event", "traffic").Str("unit", "bytes/s")
		for _, f := range g.config.Traffic.Totals() {
			was := last[f.Purpose]
			last[f.Purpose] = f
			seconds := int64(trafficInterval / time.Second)
			line = line.Ints64(f.Purpose, []int64{(f.MessagesSent - was.MessagesSent) / seconds, (f.BytesSent - was.BytesSent) / seconds, (f.BytesReceived - was.BytesReceived) / seconds})
		}
		line.Msg("messages sent, bytes sent and bytes received a second, by purpose")
	}
}

func (g *Gateway) background(ctx context.Context, f func(context.Context)) {
	g.tasks.Go(func() error {
		f(ctx)
		return nil
	})
}

// registerRetryDelay is the minimum delay after a registration attempt; random jitter separates VMs that start
// together.
const registerRetryDelay = 200 * time.Millisecond

// register keeps the VM's own entry in the store up to date.
func (g *Gateway) register(ctx context.Context) {
	value, err := json.Marshal(registration{Zone: g.settings.Zone, Address: g.settings.PeerAddress, Incarnation: g.self.Incarnation, Weight: g.settings.CPUShare})
	if err != nil {
		g.log.Error().Str("event", "registration").Err(err).Msg("registration cannot be encoded")
		return
	}
	skip := map[int]bool{}
	for ctx.Err() == nil {
		changed := g.cache.nextChange()
		g.cache.mu.Lock()
		known, ok := g.cache.vms[g.settings.VM]
		read := !g.cache.lastContact.IsZero()
		g.cache.mu.Unlock()
		if !read || ok && known.Incarnation >= g.self.Incarnation {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		if err := g.registerOnce(ctx, value, skip); err != nil {
			g.log.Warn().Str("event", "registration").Err(err).Msg("registration failed")
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(registerRetryDelay + rand.N(registerRetryDelay)):
		}
	}
}

// sendHeartbeats sends heartbeats on all connections, and before them the changes of the worker list.
func (g *Gateway) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(peer.HeartbeatInterval)
	defer ticker.Stop()
	var lastDigest string
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		heartbeat := peer.Heartbeat{Stopping: g.stopping.Load(), Listed: g.ownListRevision(time.Now()), Known: g.cache.knownWorkers()}
		g.relayWorkerChanges()
		_, heartbeat.Configuration = g.cache.currentConfig()
		evacuations := g.cache.evacuationState()
		heartbeat.Evacuated, heartbeat.EvacuationsRevision = evacuations.Zones, evacuations.Revision
		for _, d := range g.allDrivers() {
			if d.lostFence() {
				continue
			}
			loads := d.loads()
			heartbeat.Holds = append(heartbeat.Holds, peer.Holding{Group: d.group, Fence: d.currentFence(), Loads: loads, Waiting: d.queuedJobs(), Lasting: d.longRunningJobs(), TakesTransfers: !evacuations.Evacuated(zoneOf(d.group))})
			g.setLoads(d.group, loads)
		}
		shares := g.shareInterference(time.Now(), heartbeat.Holds)
		digest := urgentDigest(heartbeat)
		confirmations := g.confirmHolders()
		for _, c := range g.connections() {
			heartbeat.Confirmation = confirmations[c]
			c.SendHeartbeat(heartbeat, shares || digest != lastDigest)
		}
		lastDigest = digest
	}
}

// urgentDigest returns a digest of the fields whose changes must reach other VMs at once.
func urgentDigest(m peer.Heartbeat) string {
	var b strings.Builder
	fmt.Fprint(&b, m.Configuration, m.Stopping, m.Listed > 0, m.EvacuationsRevision > 0, m.Evacuated)
	for _, h := range m.Holds {
		fmt.Fprint(&b, " ", h.Group, h.Fence)
	}
	return b.String()
}

func (g *Gateway) tickDrivers(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.checkPause(ctx)
			g.checkContact()
			tick := g.tick()
			for _, d := range g.allDrivers() {
				d.apply(ctx, tick)
			}
		}
	}
}

func (g *Gateway) allDrivers() []*groupDriver {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]*groupDriver, 0, len(g.drivers))
	for _, d := range g.drivers {
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b *groupDriver) int { return strings.Compare(a.group, b.group) })
	return list
}

func (g *Gateway) connections() []*peer.Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]*peer.Conn, 0, len(g.links)+len(g.inbound))
	for _, l := range g.links {
		if l.conn != nil {
			list = append(list, l.conn)
		}
	}
	for c := range g.inbound {
		list = append(list, c)
	}
	return list
}

// broadcast sends a message to all connected VMs.
func (g *Gateway) broadcast(m peer.Message) {
	for _, c := range g.connections() {
		c.Send(m)
	}
}

// longRunningIn returns the jobs with long-running tasks of a group, as last reported by its holder.
func (g *Gateway) longRunningIn(group string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.longRunning[group]
}

func (g *Gateway) setLoads(group string, loads map[string]placement.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loads[group] = maps.Clone(loads) // the original is also sent to other VMs
}

func (g *Gateway) wakeHoldLoop() {
	select {
	case g.holdWake <- struct{}{}:
	default:
	}
}

// LogReload logs that the settings were read again; all of them are fixed while the process runs.
func (g *Gateway) LogReload(s Settings, err error) {
	if err != nil {
		g.log.Error().Str("event", "reload").Err(err).Msg("settings are invalid; the old ones stay active")
		return
	}
	g.log.Info().Str("event", "reload").Bool("changed", fmt.Sprint(s) != fmt.Sprint(g.settings)).Msg("settings read; changes take effect at the next start")
}
