package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"samphireplank.example/samphireplank/evacuation"
	"samphireplank.example/samphireplank/peer"
	"samphireplank.example/samphireplank/placement"
	"samphireplank.example/samphireplank/store"
)

const (
	// redialDelay is the delay between two attempts to connect to a VM.
	redialDelay = 50 * time.Millisecond
	// reconnectGrace is how long the jobs of a lost connection are kept, for their VM to resume them. Together with
	// peer.ReadTimeout and the time of a stop it stays below the time after which clients send a job again.
	reconnectGrace = 250 * time.Millisecond
)

// firstContactTimeout is the time that a busy VM has to accept a new connection before it counts as unreachable.
const firstContactTimeout = 700 * time.Millisecond

// peerLink is the connection of this VM to another one, over which it submits jobs.
type peerLink struct {
	vm                string
	address           string
	conn              *peer.Conn // nil while disconnected
	lost              chan struct{}
	downSince         time.Time
	upSince           time.Time        // when the connection was established
	holds             map[string]int64 // fence by group
	stopping          bool
	followRequested   bool      // a Follow for the changes of the worker list was sent
	followConfirmed   bool      // changes were received since, without a gap
	lastListHeartbeat time.Time // last heartbeat that reported a list revision
	stop              context.CancelFunc
}

// maxZonePeers is the number of VMs of the own zone that a VM connects to besides the holders: enough to find a
// successor for a group, and few enough for zones of a hundred VMs.
const maxZonePeers = 8

// maintainLinks keeps links to all holders and up to maxZonePeers VMs of the own zone.
func (g *Gateway) maintainLinks(ctx context.Context) {
	for ctx.Err() == nil {
		changed := g.cache.nextChange()
		zones := g.linkedZones()
		g.cache.mu.Lock()
		wanted := map[string]string{}
		for _, zone := range zones {
			for _, name := range g.cache.peersInZone(zone) {
				wanted[name] = g.cache.vms[name].Address
			}
		}
		for _, h := range g.cache.holders {
			if r, ok := g.cache.vms[h.VM]; ok {
				wanted[h.VM] = r.Address
			} else {
				wanted[h.VM] = h.Address
			}
		}
		g.cache.mu.Unlock()
		delete(wanted, g.settings.VM)
		g.mu.Lock()
		for name, address := range wanted {
			if l := g.links[name]; l != nil {
				if l.address == address {
					continue
				}
				l.stop()
			}
			g.links[name] = g.openLink(ctx, name, address)
		}
		for name, l := range g.links {
			if _, ok := wanted[name]; !ok {
				l.stop()
				delete(g.links, name)
			}
		}
		g.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(watchWait):
			g.askSeeds(ctx)
		}
	}
}

// linkedZones returns the zones to whose VMs this VM connects: its own, and those of the groups that it holds, so that it can return
// them.
func (g *Gateway) linkedZones() []string {
	zones := []string{g.settings.Zone}
	for _, d := range g.allDrivers() {
		if zone, _ := splitGroup(d.group); !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
	}
	return zones
}

// askSeeds requests a copy of the store's keys from the seed VMs while the configuration is unknown.
func (g *Gateway) askSeeds(ctx context.Context) {
	if configuration, _ := g.cache.currentConfig(); configuration != nil {
		return
	}
	for _, address := range g.settings.Seeds {
		if address == g.settings.PeerAddress {
			continue
		}
		g.background(ctx, func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, watchWait)
			defer cancel()
			if err := peer.Dial(ctx, address, g.peerConfig(), recoveringPeer{seedHandler{g}, g}); err != nil && ctx.Err() == nil {
				g.log.Debug().Str("event", "seed-silent").Str("address", address).Err(err).Send()
			}
		})
	}
}

// seedHandler handles a connection that only requests a copy.
type seedHandler struct{ g *Gateway }

func (h seedHandler) Opened(c *peer.Conn) { c.Send(peer.Want{All: true}) }

func (h seedHandler) Received(c *peer.Conn, m peer.Message) {
	if copied, ok := m.(peer.Copy); ok {
		h.g.cache.applyCopy(copied)
		c.Close(nil)
	}
}

func (h seedHandler) Closed(*peer.Conn, error) {}

// openLink starts a link that reconnects until it is stopped; the caller holds the lock.
func (g *Gateway) openLink(ctx context.Context, vm, address string) *peerLink {
	ctx, stop := context.WithCancel(ctx)
	l := &peerLink{vm: vm, address: address, downSince: time.Now().Add(firstContactTimeout), lost: make(chan struct{}), stop: stop, holds: map[string]int64{}}
	g.background(ctx, func(ctx context.Context) {
		for ctx.Err() == nil {
			if err := peer.Dial(ctx, address, g.peerConfig(), recoveringPeer{outboundHandler{g, l}, g}); err != nil && ctx.Err() == nil {
				g.dialFailed(l)
				pause(ctx, redialDelay)
			}
		}
	})
	return l
}

// dialFailed makes a VM that was never reached count as unreachable from now on.
func (g *Gateway) dialFailed(l *peerLink) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now := time.Now(); l.downSince.After(now) {
		l.downSince = now
	}
}

// outboundHandler handles the connection of a link.
type outboundHandler struct {
	g *Gateway
	l *peerLink
}

func (h outboundHandler) Opened(c *peer.Conn) {
	if c.Remote().VM != h.l.vm {
		c.Close(nil) // the address belongs to another VM now
		return
	}
	h.g.mu.Lock()
	h.l.conn, h.l.downSince, h.l.lost = c, time.Time{}, make(chan struct{})
	h.l.followRequested, h.l.followConfirmed = false, false
	h.l.upSince = time.Now()
	h.g.mu.Unlock()
	h.g.log.Info().Str("event", "link-up").Str("peer", h.l.vm).Int64("incarnation", c.Remote().Incarnation).Send()
	h.g.wakeHoldLoop()
	h.g.cache.notify()
}

func (h outboundHandler) Received(c *peer.Conn, m peer.Message) {
	switch m := m.(type) {
	case peer.Heartbeat:
		h.g.handleHeartbeat(c, h.l, m)
	case peer.Verdict:
		h.g.deliverVerdict(m)
	case peer.WorkerChanges:
		h.g.handleWorkerChanges(h.l, m)
	case peer.Orders:
		h.g.sendStarts(c, m)
	case peer.Copy:
		h.g.cache.applyCopy(m)
	case peer.Over:
		h.g.recordEnded(m)
	case peer.Want:
		c.Send(h.g.cache.copyFor(m.All))
	}
}

func (h outboundHandler) Closed(c *peer.Conn, err error) {
	h.g.mu.Lock()
	if h.l.conn == c {
		h.l.conn, h.l.downSince = nil, time.Now()
		h.l.followRequested, h.l.followConfirmed = false, false
		clear(h.l.holds)
		close(h.l.lost)
	}
	h.g.mu.Unlock()
	h.g.log.Warn().Str("event", "link-down").Str("peer", h.l.vm).Err(err).Send()
	h.g.requestHeartbeats(c.Remote().Zone)
	h.g.wakeHoldLoop()
	h.g.cache.notify()
}

// requestHeartbeats requests frequent heartbeats from all VMs of a zone after the loss of a connection to one of them.
// Otherwise the partition of a zone is detected connection by connection, each at the cost of a job or after the timeout
// of an idle connection. The reason of the loss does not matter: after a partition that lets the packets of one
// direction pass, either side may time out first and close the connection.
func (g *Gateway) requestHeartbeats(zone string) {
	for _, c := range g.connections() {
		if c.Remote().Zone == zone {
			c.RequestFrequentHeartbeats(true) // until the next heartbeat
		}
	}
}

// handleHeartbeat records the groups, loads and list revision of another VM and requests a copy if its configuration is
// newer. The link is nil for an inbound connection.
func (g *Gateway) handleHeartbeat(c *peer.Conn, l *peerLink, m peer.Heartbeat) {
	g.cache.learnEvacuations(evacuation.NewState(m.Evacuated, m.EvacuationsRevision))
	if l == nil {
		c.RequestFrequentHeartbeats(false)
	} else {
		g.mu.Lock()
		l.stopping = m.Stopping
		before := maps.Clone(l.holds)
		clear(l.holds)
		for _, h := range m.Holds {
			l.holds[h.Group] = h.Fence
			g.loads[h.Group] = h.Loads
			g.queued[h.Group] = h.Waiting
			g.longRunning[h.Group] = h.Lasting
			g.takesTransfers[h.Group] = h.TakesTransfers
		}
		changed := !maps.Equal(l.holds, before)
		ownZone := false
		for group := range l.holds {
			zone, _ := splitGroup(group)
			ownZone = ownZone || zone == g.settings.Zone
		}
		g.mu.Unlock()
		c.RequestFrequentHeartbeats(ownZone || m.Listed > 0 && l.followConfirmed)
		if changed {
			g.cache.notify()
		}
		g.handleListRevision(c, l, m.Listed)
		g.noteInterference(m.Holds)
	}
	if g.shouldRequestCopy(m.Configuration, time.Now()) {
		c.Send(peer.Want{All: g.cache.stale()})
	}
}

const (
	// configDeliveryTime is the time that the store has to deliver a configuration reported by another VM.
	configDeliveryTime = 400 * time.Millisecond
	// copyRequestInterval is the minimum interval between two requests for a copy. A copy of all keys of 350 workers has
	// 150 KB, and links carry 3 MB a second; requests to every VM at each heartbeat delayed the heartbeats until they
	// timed out.
	copyRequestInterval = 700 * time.Millisecond
)

// shouldRequestCopy reports whether to request a copy from a VM, because newer configurations have been reported for
// configDeliveryTime.
func (g *Gateway) shouldRequestCopy(peerRevision int64, now time.Time) bool {
	_, ownRevision := g.cache.currentConfig()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case peerRevision <= ownRevision && ownRevision >= g.newestConfig:
		g.behindSince = time.Time{}
	case peerRevision > ownRevision && g.behindSince.IsZero():
		g.behindSince, g.newestConfig = now, peerRevision
	}
	if peerRevision <= ownRevision || now.Sub(g.behindSince) < configDeliveryTime || now.Sub(g.lastCopyRequest) < copyRequestInterval {
		return false
	}
	g.lastCopyRequest = now
	return true
}

// inboundHandler handles the connections that other VMs have opened.
type inboundHandler struct{ g *Gateway }

func (h inboundHandler) Opened(c *peer.Conn) {
	h.g.mu.Lock()
	defer h.g.mu.Unlock()
	h.g.inbound[c] = h.g.nextLink.Add(1)
}

func (h inboundHandler) Received(c *peer.Conn, m peer.Message) {
	switch m := m.(type) {
	case peer.Submit:
		h.submit(c, m)
	case peer.Follow:
		h.g.addFollower(c, m.Revision)
	case peer.Ordered:
		if d := h.g.driverOf(m.Group); d != nil {
			d.handleDelegatedResult(h.g.ctx, h.connID(c), m)
		}
	case peer.Withdraw:
		for _, d := range h.g.allDrivers() {
			d.apply(h.g.ctx, placement.Withdraw{Key: placement.SubmissionKey{Conn: h.connID(c), Sequence: m.Sequence}, Reason: "the caller has left"})
		}
	case peer.Heartbeat:
		h.g.extendPermit(h.connID(c), m.Echo)
		h.g.recordConfirmation(c.Remote().VM, m.Confirmation)
		h.g.recordKnownWorkers(h.connID(c), m.Known)
		h.g.handleHeartbeat(c, nil, m)
	case peer.Want:
		c.Send(h.g.cache.copyFor(m.All))
	case peer.Copy:
		h.g.cache.applyCopy(m)
	case peer.Over:
		h.g.recordEnded(m)
	case peer.Stored:
		if d := h.g.driverOf(m.Group); d != nil {
			d.persister.handleItem(h.g.ctx, store.KeyValue{Key: m.Key, Value: m.Value, Revision: m.Revision})
		}
	case peer.Ask:
		v := peer.Verdict{Sequence: m.Sequence, Kind: peer.VerdictNotRun}
		if d := h.g.driverOf(m.Group); d != nil && d.hasStarted(m.Job) {
			v.Kind = peer.VerdictStarted
		}
		c.Send(v)
	case peer.TakeOver:
		h.g.mu.Lock()
		h.g.handoverOffers[m.Group] = handoverOffer{c.Remote().VM, time.Now()}
		h.g.mu.Unlock()
		h.g.wakeHoldLoop()
	}
}

// recordEnded caches the states of jobs that have ended.
func (g *Gateway) recordEnded(m peer.Over) {
	for id, state := range m.States {
		g.endedJobs.put(id, JobState(state))
	}
}

func (g *Gateway) driverOf(group string) *groupDriver {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.drivers[group]
}

func (h inboundHandler) connID(c *peer.Conn) uint64 {
	h.g.mu.Lock()
	defer h.g.mu.Unlock()
	return h.g.inbound[c]
}

func (h inboundHandler) submit(c *peer.Conn, m peer.Submit) {
	h.g.mu.Lock()
	d := h.g.drivers[m.Group]
	id := h.g.inbound[c]
	h.g.mu.Unlock()
	if d == nil {
		c.Send(peer.NewVerdict(m.Sequence, notHeldVerdict(m)))
		return
	}
	submit := newSubmit(placement.SubmissionKey{Conn: id, Sequence: m.Sequence}, m)
	submit.PermitUntil = h.g.extendPermit(id, m.Echo)
	d.apply(h.g.ctx, submit)
}

// notHeldVerdict is the verdict on a job for a group that this VM does not hold.
func notHeldVerdict(m peer.Submit) placement.Verdict {
	if m.Resumed {
		return placement.HandedOver{Progress: m.Progress, NotAccepted: true}
	}
	return placement.NotRun{Reason: placement.ReasonHandedOver}
}

func (h inboundHandler) Closed(c *peer.Conn, err error) {
	h.g.mu.Lock()
	id := h.g.inbound[c]
	delete(h.g.inbound, c)
	delete(h.g.followers, c)
	h.g.mu.Unlock()
	h.g.log.Warn().Str("event", "peer-lost").Str("peer", c.Remote().VM).Err(err).Send()
	for _, d := range h.g.allDrivers() {
		d.senderDisconnected(h.g.ctx, id)
	}
	h.g.background(h.g.ctx, func(ctx context.Context) {
		pause(ctx, reconnectGrace)
		for _, d := range h.g.allDrivers() {
			d.apply(ctx, placement.WithdrawConn{Conn: id})
		}
		h.g.mu.Lock()
		defer h.g.mu.Unlock()
		delete(h.g.permits, id)
		delete(h.g.knownWorkers, id)
	})
}

// sendVerdict sends the verdict of a scheduler to the VM that submitted the job.
func (g *Gateway) sendVerdict(key placement.SubmissionKey, v placement.Verdict, loads map[string]placement.Load) {
	m := peer.NewVerdict(key.Sequence, v)
	m.Loads = loads
	if key.Conn == 0 {
		g.deliverVerdict(m)
		return
	}
	if to := g.inboundConn(key.Conn); to != nil {
		to.Send(m)
	}
}

// inboundConn returns the connection with an id, nil if it is closed.
func (g *Gateway) inboundConn(connID uint64) *peer.Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c, id := range g.inbound {
		if id == connID {
			return c
		}
	}
	return nil
}

// delegateStarts sends start orders to the submitting VM; false means that it is disconnected.
func (g *Gateway) delegateStarts(key placement.SubmissionKey, m peer.Orders) bool {
	c := g.inboundConn(key.Conn)
	if c == nil {
		return false
	}
	c.Send(m)
	return true
}

// deliverVerdict passes a verdict to the request that waits for it.
func (g *Gateway) deliverVerdict(m peer.Verdict) {
	g.mu.Lock()
	waiter := g.pending[m.Sequence]
	delete(g.pending, m.Sequence)
	g.mu.Unlock()
	if waiter != nil {
		waiter.answer <- m // buffered, so this does not block
	}
}
