package gateway

import (
	"context"
	"errors"
	"maps"
	"os"
	"time"

	"samphireplank.example/samphireplank/peer"
	"samphireplank.example/samphireplank/placement"
	"samphireplank.example/samphireplank/store"
)

const (
	// redialDelay is the pause between two tries to reach a VM.
	redialDelay = 50 * time.Millisecond
	// linkGrace is how long the jobs of a lost connection are kept for their VM to come back. Together with
	// peer.ReadTimeout and the time of a stop it stays below the time after which clients send a job again.
	linkGrace = 350 * time.Millisecond
)

// firstContact is the time that a busy VM has to answer a new connection before it counts as silent.
const firstContact = 700 * time.Millisecond

// link is the connection of this VM to another one, by which it hands over jobs.
type link struct {
	vm        string
	address   string
	conn      *peer.Conn // nil while down
	lost      chan struct{}
	downSince time.Time
	upSince   time.Time        // of the connection
	holds     map[string]int64 // fence by group
	stopping  bool
	following bool      // the VM was asked for the changes of the list of workers ...
	followed  bool      // ... and tells them
	listedAt  time.Time // last heartbeat by which the VM reads the list itself
	stop      context.CancelFunc
}

// neighbourCount is the number of VMs of the own zone that a VM keeps in touch with beside the holders: enough to find a
// successor for a group, and few enough for zones of a hundred VMs.
const neighbourCount = 8

// connect keeps links to some VMs of the own zone and to all holders.
func (g *Gateway) connect(ctx context.Context) {
	for ctx.Err() == nil {
		changed := g.view.wait()
		g.view.mu.Lock()
		wanted := map[string]string{}
		for _, name := range g.view.neighbours(g.settings.Zone) {
			wanted[name] = g.view.vms[name].Address
		}
		for _, h := range g.view.holders {
			if r, ok := g.view.vms[h.VM]; ok {
				wanted[h.VM] = r.Address
			} else {
				wanted[h.VM] = h.Address
			}
		}
		g.view.mu.Unlock()
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

// askSeeds asks the VMs of the settings for a copy of the store's keys while nothing is known.
func (g *Gateway) askSeeds(ctx context.Context) {
	if configuration, _ := g.view.current(); configuration != nil {
		return
	}
	for _, address := range g.settings.Seeds {
		if address == g.settings.PeerAddress {
			continue
		}
		g.background(ctx, func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, watchWait)
			defer cancel()
			if err := peer.Dial(ctx, address, g.peers(), guardedPeer{asking{g}, g}); err != nil && ctx.Err() == nil {
				g.log.Debug().Str("event", "seed-silent").Str("address", address).Err(err).Send()
			}
		})
	}
}

// asking is the handler of a connection that only asks for a copy.
type asking struct{ g *Gateway }

func (h asking) Opened(c *peer.Conn) { c.Send(peer.Want{All: true}) }

func (h asking) Received(c *peer.Conn, m peer.Message) {
	if copied, ok := m.(peer.Copy); ok {
		h.g.view.take(copied)
		c.Close(nil)
	}
}

func (h asking) Closed(*peer.Conn, error) {}

// openLink dials a VM again and again until the link is stopped; the caller holds the lock.
func (g *Gateway) openLink(ctx context.Context, vm, address string) *link {
	ctx, stop := context.WithCancel(ctx)
	l := &link{vm: vm, address: address, downSince: time.Now().Add(firstContact), lost: make(chan struct{}), stop: stop, holds: map[string]int64{}}
	g.background(ctx, func(ctx context.Context) {
		for ctx.Err() == nil {
			if err := peer.Dial(ctx, address, g.peers(), guardedPeer{outbound{g, l}, g}); err != nil && ctx.Err() == nil {
				g.dialFailed(l)
				pause(ctx, redialDelay)
			}
		}
	})
	return l
}

// dialFailed counts a VM that was never reached as silent from now on.
func (g *Gateway) dialFailed(l *link) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now := time.Now(); l.downSince.After(now) {
		l.downSince = now
	}
}

// outbound handles the connection of a link.
type outbound struct {
	g *Gateway
	l *link
}

func (h outbound) Opened(c *peer.Conn) {
	if c.Remote().VM != h.l.vm {
		c.Close(nil) // the address has another VM now
		return
	}
	h.g.mu.Lock()
	h.l.conn, h.l.downSince, h.l.lost = c, time.Time{}, make(chan struct{})
	h.l.following, h.l.followed = false, false
	h.l.upSince = time.Now()
	h.g.mu.Unlock()
	h.g.log.Info().Str("event", "link-up").Str("peer", h.l.vm).Int64("incarnation", c.Remote().Incarnation).Send()
	h.g.nudge()
	h.g.view.poke()
}

func (h outbound) Received(c *peer.Conn, m peer.Message) {
	switch m := m.(type) {
	case peer.Heartbeat:
		h.g.heard(c, h.l, m)
	case peer.Verdict:
		h.g.verdict(m)
	case peer.WorkerChanges:
		h.g.heardChanges(h.l, m)
	case peer.Orders:
		h.g.sendStarts(c, m)
	case peer.Copy:
		h.g.view.take(m)
	case peer.Over:
		h.g.noteEnds(m)
	case peer.Want:
		c.Send(h.g.view.copyFor(m.All))
	}
}

func (h outbound) Closed(c *peer.Conn, err error) {
	h.g.mu.Lock()
	if h.l.conn == c {
		h.l.conn, h.l.downSince = nil, time.Now()
		h.l.following, h.l.followed = false, false
		clear(h.l.holds)
		close(h.l.lost)
	}
	h.g.mu.Unlock()
	h.g.log.Warn().Str("event", "link-down").Str("peer", h.l.vm).Err(err).Send()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		h.g.probe(c.Remote().Zone)
	}
	h.g.nudge()
	h.g.view.poke()
}

// probe asks all VMs of a zone for a sign of life, since one of them has fallen silent: a zone that is cut off would else be
// found connection by connection, each at the cost of a job or after the silence of an idle one.
func (g *Gateway) probe(zone string) {
	for _, c := range g.connections() {
		if c.Remote().Zone == zone {
			c.RequestFrequentHeartbeats(true) // until the next heartbeat
		}
	}
}

// heard takes in what another VM holds and knows.
func (g *Gateway) heard(c *peer.Conn, l *link, m peer.Heartbeat) {
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
			g.waiting[h.Group] = h.Waiting
			g.lasting[h.Group] = h.Lasting
		}
		changed := !maps.Equal(l.holds, before)
		own := false
		for group := range l.holds {
			zone, _ := splitGroup(group)
			own = own || zone == g.settings.Zone
		}
		g.mu.Unlock()
		c.RequestFrequentHeartbeats(own || m.Listed > 0 && l.followed)
		if changed {
			g.view.poke()
		}
		g.heardListed(c, l, m.Listed)
	}
	if g.catchUp(m.Configuration, time.Now()) {
		c.Send(peer.Want{All: g.view.stale()})
	}
}

const (
	// behindTime is the time that the store has to deliver a configuration of which another VM has told.
	behindTime = 400 * time.Millisecond
	// wantInterval is the time between two requests for a copy. A copy of all keys of 350 workers has 150 KB, and links
	// carry 3 MB a second; asking every VM at each heartbeat silenced the heartbeats themselves.
	wantInterval = 700 * time.Millisecond
)

// catchUp says whether to ask another VM for a copy, since its configuration is newer for a while now.
func (g *Gateway) catchUp(theirs int64, now time.Time) bool {
	_, own := g.view.current()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case theirs <= own && own >= g.newest:
		g.behindSince = time.Time{}
	case theirs > own && g.behindSince.IsZero():
		g.behindSince, g.newest = now, theirs
	}
	if theirs <= own || now.Sub(g.behindSince) < behindTime || now.Sub(g.wanted) < wantInterval {
		return false
	}
	g.wanted = now
	return true
}

// inbound handles the connections that other VMs have opened.
type inbound struct{ g *Gateway }

func (h inbound) Opened(c *peer.Conn) {
	h.g.mu.Lock()
	defer h.g.mu.Unlock()
	h.g.inbound[c] = h.g.nextLink.Add(1)
}

func (h inbound) Received(c *peer.Conn, m peer.Message) {
	switch m := m.(type) {
	case peer.Submit:
		h.submit(c, m)
	case peer.Follow:
		h.g.beginFollow(c, m.Revision)
	case peer.Ordered:
		if d := h.g.driverOf(m.Group); d != nil {
			d.handedAnswered(h.g.ctx, h.id(c), m)
		}
	case peer.Withdraw:
		for _, d := range h.g.allDrivers() {
			d.apply(h.g.ctx, placement.Withdraw{Key: placement.SubmissionKey{Conn: h.id(c), Sequence: m.Sequence}, Reason: "the caller has left"})
		}
	case peer.Heartbeat:
		h.g.heard(c, nil, m)
	case peer.Want:
		c.Send(h.g.view.copyFor(m.All))
	case peer.Copy:
		h.g.view.take(m)
	case peer.Over:
		h.g.noteEnds(m)
	case peer.Stored:
		if d := h.g.driverOf(m.Group); d != nil {
			d.keeper.feed(h.g.ctx, store.KeyValue{Key: m.Key, Value: m.Value, Revision: m.Revision})
		}
	case peer.Ask:
		v := peer.Verdict{Sequence: m.Sequence, Kind: peer.VerdictNotRun}
		if d := h.g.driverOf(m.Group); d != nil && d.begun(m.Job) {
			v.Kind = peer.VerdictStarted
		}
		c.Send(v)
	case peer.TakeOver:
		h.g.mu.Lock()
		h.g.asked[m.Group] = offer{c.Remote().VM, time.Now()}
		h.g.mu.Unlock()
		h.g.nudge()
	}
}

// noteEnds takes in jobs that have ended.
func (g *Gateway) noteEnds(m peer.Over) {
	for id, state := range m.States {
		g.finals.put(id, JobState(state))
	}
}

func (g *Gateway) driverOf(group string) *driver {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.drivers[group]
}

func (h inbound) id(c *peer.Conn) uint64 {
	h.g.mu.Lock()
	defer h.g.mu.Unlock()
	return h.g.inbound[c]
}

func (h inbound) submit(c *peer.Conn, m peer.Submit) {
	h.g.mu.Lock()
	d := h.g.drivers[m.Group]
	id := h.g.inbound[c]
	h.g.mu.Unlock()
	if d == nil {
		c.Send(peer.NewVerdict(m.Sequence, notHere(m)))
		return
	}
	d.apply(h.g.ctx, submission(placement.SubmissionKey{Conn: id, Sequence: m.Sequence}, m))
}

// notHere answers a job for a group that this VM does not hold.
func notHere(m peer.Submit) placement.Verdict {
	if m.Resumed {
		return placement.HandedOver{Progress: m.Progress}
	}
	return placement.NotRun{Reason: placement.ReasonHandedOver}
}

func (h inbound) Closed(c *peer.Conn, err error) {
	h.g.mu.Lock()
	id := h.g.inbound[c]
	delete(h.g.inbound, c)
	delete(h.g.followers, c)
	h.g.mu.Unlock()
	h.g.log.Warn().Str("event", "peer-lost").Str("peer", c.Remote().VM).Err(err).Send()
	for _, d := range h.g.allDrivers() {
		d.linkLost(h.g.ctx, id)
	}
	h.g.background(h.g.ctx, func(ctx context.Context) {
		pause(ctx, linkGrace)
		for _, d := range h.g.allDrivers() {
			d.apply(ctx, placement.WithdrawConn{Conn: id})
		}
	})
}

// reply sends the verdict of a pool to the VM that handed the job over.
func (g *Gateway) reply(key placement.SubmissionKey, v placement.Verdict, loads map[string]placement.Load) {
	m := peer.NewVerdict(key.Sequence, v)
	m.Loads = loads
	if key.Conn == 0 {
		g.verdict(m)
		return
	}
	if to := g.inboundConn(key.Conn); to != nil {
		to.Send(m)
	}
}

// inboundConn returns the connection with a number, nil if it is lost.
func (g *Gateway) inboundConn(link uint64) *peer.Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c, id := range g.inbound {
		if id == link {
			return c
		}
	}
	return nil
}

// handTo leaves starts to the VM of a submission.
func (g *Gateway) handTo(key placement.SubmissionKey, m peer.Orders) bool {
	c := g.inboundConn(key.Conn)
	if c == nil {
		return false
	}
	c.Send(m)
	return true
}

// verdict hands a verdict to the request that waits for it.
func (g *Gateway) verdict(m peer.Verdict) {
	g.mu.Lock()
	waiter := g.pending[m.Sequence]
	delete(g.pending, m.Sequence)
	g.mu.Unlock()
	if waiter != nil {
		waiter.answer <- m // has room for one
	}
}
