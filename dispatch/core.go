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

// allocationPeriod is the time between two computations of the zone-wide allocation.
const allocationPeriod = 50 * time.Millisecond

// Config holds what a Core needs to know at its start.
type Config struct {
	VM          string // id of this entry VM
	Incarnation uint64 // of this entry VM
	Service     string
	Set         *contract.Set
	ForwardJobs bool // offer idempotent jobs that would wait to other zones
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

	queue     *queue.Queue
	ledger    *slot.Pool
	health    *endpoint.HealthTracker
	estimates *RunTimeEstimator
	meanTimes map[string]float64 // seconds, expected run time of admitted tasks by priority
	retries   *RetryBudget
	jobs      map[job.ID]*jobState
	failed    []job.ID // that wait for the end of tasks in flight
	refusals  refusalBackoff

	members   []Endpoint
	endpoints map[string]Endpoint
	zoneSlots int
	peers     []string // other entry VMs of the zone, sorted
	reports   map[string]peerReport
	share     zoneShare
	running   int // tasks in flight

	reportedAt time.Time

	out      []Effect
	outgoing []slot.Envelope
	demands  []queue.Demand
	expired  []job.ID
	actions  []endpoint.HealthEvent
}

// New returns a Core without endpoints and peers.
func New(config Config) *Core {
	c := &Core{
		config:    config,
		queue:     queue.New(queue.Config{Policy: config.QueuePolicy, Set: config.Set}),
		ledger:    slot.New(slot.Config{VM: config.VM, Incarnation: config.Incarnation, Policy: config.SlotPolicy}),
		health:    endpoint.NewHealthTracker(endpoint.HealthConfig{}),
		estimates: NewRunTimeEstimator(),
		meanTimes: make(map[string]float64),
		retries:   NewRetryBudget(time.Time{}),
		jobs:      make(map[job.ID]*jobState),
		endpoints: make(map[string]Endpoint),
		reports:   make(map[string]peerReport),
	}
	c.refusals = newRefusalBackoff()
	c.configure(config.Set)
	return c
}

// Update reacts to a message at a time, appends effects to out and returns it.
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
		c.setZone(now, m)
	case ConfigurationChanged:
		c.configure(m.Set)
		c.placeSlots(now)
	case PeerMessage:
		c.receive(now, m)
	case ProbeFinished:
		c.probeFinished(now, m)
	case Drain:
		c.ledger.Drain(now)
	}
	c.startTasks(now)
	out = c.out
	c.out = nil
	return out
}

func (c *Core) emit(e Effect) {
	c.out = append(c.out, e)
}

// configure puts a set of objects in force; queued jobs stay.
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

// tick lets time pass in every part.
func (c *Core) tick(now time.Time) {
	c.expire(now)
	c.releaseRefused(now)
	c.actions = c.health.Tick(now, c.actions[:0])
	c.applyActions(now)
	if now.Sub(c.share.computedAt) >= allocationPeriod {
		c.allocate(now)
	}
	c.requestSlots(now)
	c.report(now)
}

// requestSlots lets the ledger borrow, return, renew and recall loans.
func (c *Core) requestSlots(now time.Time) {
	c.outgoing = c.ledger.Tick(now, c.queue.Runnable(), c.share.targets, c.outgoing[:0])
	c.sendSlotMessages()
}

// borrow asks peers for slots at once if the zone may have idle ones: the next tick, which asks as well, is up to a
// TickInterval away.
func (c *Core) borrow(now time.Time) {
	if c.queue.Queued() == 0 || c.zoneSlots <= c.share.busy+c.running {
		return
	}
	c.outgoing = c.ledger.RequestLoans(now, c.queue.Runnable(), c.outgoing[:0])
	c.sendSlotMessages()
}

// setZone replaces the endpoints and the peers of the zone.
func (c *Core) setZone(now time.Time, m MembershipChanged) {
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
	c.placeSlots(now)
}

// placeSlots tells ledger and health which endpoints there are and who owns them.
func (c *Core) placeSlots(now time.Time) {
	capacities := make([]slot.Endpoint, 0, len(c.members))
	members := make([]endpoint.Member, 0, len(c.members))
	for _, e := range c.members {
		capacities = append(capacities, slot.Endpoint{ID: e.ID, Owner: e.Owner, Slots: c.service.Slots})
		members = append(members, endpoint.Member{ID: e.ID, Incarnation: e.Incarnation, Owned: e.Owner == c.config.VM})
	}
	c.zoneSlots = len(c.members) * c.service.Slots
	c.ledger.SetPeers(now, c.peers)
	c.ledger.SetEndpoints(now, capacities)
	c.health.SetEndpoints(now, members)
	c.applyHealth()
	c.allocate(now)
}

// Jobs returns the number of jobs that are not answered or have tasks in flight.
func (c *Core) Jobs() int { return len(c.jobs) }

// ZoneLoad is the load of a service in the own zone.
type ZoneLoad struct {
	Slots   int
	Running int
	Queued  int
}

// ZoneLoad returns the load of the zone from this VM's and its peers' reports.
func (c *Core) ZoneLoad(now time.Time) ZoneLoad {
	load := ZoneLoad{Slots: c.zoneSlots}
	c.demands = c.queue.AppendDemand(c.demands[:0])
	load.add(c.demands)
	for _, peer := range c.peers {
		if report, ok := c.reports[peer]; ok && now.Sub(report.at) < reportLifetime {
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
