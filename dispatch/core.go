package dispatch

import (
	"maps"
	"slices"
	"time"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/endpoint"
	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/queue"
	"samphireplank.example/samphireplank/slot"
)

// TickInterval is the time between two Tick messages.
const TickInterval = 10 * time.Millisecond

// allocationInterval is the time between two computations of the zone-wide allocation.
const allocationInterval = 50 * time.Millisecond

// Config holds the settings of a Core.
type Config struct {
	VM          string // id of this entry VM
	Incarnation uint64 // incarnation of this entry VM
	Service     string
	Set         *contract.Set
	ForwardJobs bool // forward idempotent jobs that would wait to other zones
	SlotPolicy  slot.Policy
	QueuePolicy queue.Policy
}

// Core decides for one service on one entry VM; it is not safe for concurrent use.
type Core struct {
	config  Config
	set     *contract.Set
	service contract.Service
	kinds   map[string]contract.Kind
	teams   map[string]contract.Team
	limits  map[string]contract.Limit

	queue        *queue.Queue
	pool         *slot.Pool
	health       *endpoint.HealthTracker
	estimates    *RunTimeEstimator
	meanRunTimes map[string]float64 // expected run time of admitted tasks by priority, in seconds
	retries      *RetryBudget
	jobs         map[job.ID]*jobState
	failedJobs   []job.ID // failed jobs with tasks in flight
	refusals     refusalBackoff

	members    []Endpoint
	endpoints  map[string]Endpoint
	zoneSlots  int
	peers      []string // other entry VMs of the zone, sorted
	reports    map[string]peerReport
	allocation zoneAllocation
	running    int // tasks in flight

	reportedAt time.Time

	out          []Effect
	outgoing     []slot.Envelope
	demands      []queue.Demand
	expired      []job.ID
	healthEvents []endpoint.HealthEvent
}

// New returns a Core without endpoints and peers.
func New(config Config) *Core {
	c := &Core{
		config:       config,
		queue:        queue.New(queue.Config{Policy: config.QueuePolicy, Set: config.Set}),
		pool:         slot.New(slot.Config{VM: config.VM, Incarnation: config.Incarnation, Policy: config.SlotPolicy}),
		health:       endpoint.NewHealthTracker(endpoint.HealthConfig{}),
		estimates:    NewRunTimeEstimator(),
		meanRunTimes: make(map[string]float64),
		retries:      NewRetryBudget(time.Time{}),
		jobs:         make(map[job.ID]*jobState),
		endpoints:    make(map[string]Endpoint),
		reports:      make(map[string]peerReport),
	}
	c.refusals = newRefusalBackoff()
	c.configure(config.Set)
	return c
}

// Update handles a message at the given time, appends the resulting effects to out and returns it.
func (c *Core) Update(now time.Time, m Message, out []Effect) []Effect {
	c.out = out
	switch m := m.(type) {
	case Submit:
		c.submit(now, m)
	case Cancel:
		c.cancel(m.Job)
	case TaskFinished:
		c.taskFinished(now, m)
	case Tick:
		c.tick(now)
	case MembershipChanged:
		c.updateMembership(now, m)
	case ConfigurationChanged:
		c.configure(m.Set)
		c.syncEndpoints(now)
	case PeerMessage:
		c.receive(now, m)
	case ProbeFinished:
		c.probeFinished(now, m)
	case Drain:
		c.pool.Drain(now)
	}
	c.startTasks(now)
	out = c.out
	c.out = nil
	return out
}

func (c *Core) emit(e Effect) {
	c.out = append(c.out, e)
}

// configure activates a set of objects; queued jobs stay queued.
func (c *Core) configure(set *contract.Set) {
	c.set = set
	c.kinds = make(map[string]contract.Kind)
	c.teams = make(map[string]contract.Team)
	c.service = contract.Service{}
	for _, service := range set.Services {
		if service.Name == c.config.Service {
			c.service = service
		}
	}
	for _, kind := range set.Kinds {
		if kind.Service == c.config.Service {
			c.kinds[kind.Name] = kind
		}
	}
	for _, team := range set.Teams {
		c.teams[team.Name] = team
	}
	c.limits = make(map[string]contract.Limit)
	for _, limit := range set.Limits {
		c.limits[limit.Name] = limit
	}
	c.queue.Configure(set)
	c.estimates.Configure(slices.Collect(maps.Values(c.kinds)))
}

// tick runs the periodic work.
func (c *Core) tick(now time.Time) {
	c.expire(now)
	c.releaseRefused(now)
	c.healthEvents = c.health.Tick(now, c.healthEvents[:0])
	c.applyHealthEvents(now)
	if now.Sub(c.allocation.computedAt) >= allocationInterval {
		c.allocate(now)
	}
	c.requestSlots(now)
	c.report(now)
}

// requestSlots lets the pool request, return, renew and recall loans.
func (c *Core) requestSlots(now time.Time) {
	c.outgoing = c.pool.Tick(now, c.queue.Runnable(), c.allocation.targets, c.outgoing[:0])
	c.sendSlotMessages()
}

// requestLoans asks peers for slots at once if the zone may have idle ones, instead of waiting up to a TickInterval for
// the next tick.
func (c *Core) requestLoans(now time.Time) {
	if c.queue.Queued() == 0 || c.zoneSlots <= c.allocation.peerTasks+c.running {
		return
	}
	c.outgoing = c.pool.RequestLoans(now, c.queue.Runnable(), c.outgoing[:0])
	c.sendSlotMessages()
}

// updateMembership replaces the endpoints and the peers of the zone.
func (c *Core) updateMembership(now time.Time, m MembershipChanged) {
	c.members = m.Endpoints
	c.peers = m.Peers
	clear(c.endpoints)
	for _, e := range m.Endpoints {
		c.endpoints[e.ID] = e
	}
	for peer := range c.reports {
		if !slices.Contains(m.Peers, peer) {
			delete(c.reports, peer)
		}
	}
	c.syncEndpoints(now)
}

// syncEndpoints passes the endpoints and their owners to the slot pool and the health tracker.
func (c *Core) syncEndpoints(now time.Time) {
	capacities := make([]slot.Endpoint, 0, len(c.members))
	members := make([]endpoint.Member, 0, len(c.members))
	for _, e := range c.members {
		capacities = append(capacities, slot.Endpoint{ID: e.ID, Owner: e.Owner, Slots: c.service.Slots})
		members = append(members, endpoint.Member{ID: e.ID, Incarnation: e.Incarnation, Owned: e.Owner == c.config.VM})
	}
	c.zoneSlots = len(c.members) * c.service.Slots
	c.pool.SetPeers(now, c.peers)
	c.pool.SetEndpoints(now, capacities)
	c.health.SetEndpoints(now, members)
	c.applyHealth()
	c.allocate(now)
}

// Jobs returns the number of jobs that are not answered or have tasks in flight.
func (c *Core) Jobs() int { return len(c.jobs) }

// ZoneLoad is the load of a service in the local zone.
type ZoneLoad struct {
	Slots   int
	Running int
	Queued  int
}

// ZoneLoad returns the load of the zone according to the demand of this VM and the recent reports of its peers.
func (c *Core) ZoneLoad(now time.Time) ZoneLoad {
	load := ZoneLoad{Slots: c.zoneSlots}
	c.demands = c.queue.AppendDemand(c.demands[:0])
	load.add(c.demands)
	for _, peer := range c.peers {
		if report, ok := c.reports[peer]; ok && now.Sub(report.at) < reportTTL {
			load.add(report.demands)
		}
	}
	return load
}

func (l *ZoneLoad) add(demands []queue.Demand) {
	for _, d := range demands {
		l.Running += d.Running
		l.Queued += d.Queued
	}
}
