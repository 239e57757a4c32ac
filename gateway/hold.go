package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"samphireplank.example/samphireplank/claim"
	"samphireplank.example/samphireplank/peer"
	"samphireplank.example/samphireplank/placement"
	"samphireplank.example/samphireplank/store"
	"samphireplank.example/samphireplank/worker"
)

const (
	// holdInterval is the time between two looks at the holders of groups.
	holdInterval = 50 * time.Millisecond
	// fleetInterval is the time between two looks at the list of workers while it does not change: workers that are no
	// longer listed are forgotten after some seconds.
	fleetInterval = 500 * time.Millisecond
	// claimPause is the time between two claims of a group whose outcome is open.
	claimPause = 250 * time.Millisecond
	// fenceStep leaves fences between two revisions of the store for holders that the store could not confirm.
	fenceStep = 256
	// unconfirmedAfter is the silence of a holder after which it is replaced without the store.
	unconfirmedAfter = 900 * time.Millisecond
)

// holdGroups takes, keeps and gives up groups until ctx ends.
func (g *Gateway) holdGroups(ctx context.Context) {
	ticker := time.NewTicker(holdInterval)
	defer ticker.Stop()
	var updated time.Time
	for news := true; ; {
		changed := g.view.wait()
		g.divide(ctx)
		g.decideGroups(ctx)
		if news || time.Since(updated) > fleetInterval {
			updated = time.Now()
			g.updateFleets(ctx)
		}
		news = false
		select {
		case <-ctx.Done():
			return
		case <-changed:
			news = true
		case <-g.kick:
		case <-ticker.C:
		}
	}
}

// groups returns the names of all groups.
func (g *Gateway) groups() []string {
	g.view.mu.Lock()
	defer g.view.mu.Unlock()
	if !g.view.ownRead {
		return nil // a group may have a holder that is not known yet
	}
	var list []string
	for zone, s := range g.view.shapes {
		for i := range s.Groups {
			list = append(list, groupName(zone, i))
		}
	}
	return list
}

func (g *Gateway) decideGroups(ctx context.Context) {
	for _, group := range g.groups() {
		if g.heldElsewhere(group) {
			continue
		}
		state, record := g.stateOf(group)
		g.mu.Lock()
		d := g.drivers[group]
		g.mu.Unlock()
		if d != nil && d.unconfirmed() && d.fenceNow() > record.revision*fenceStep {
			// This VM has the workers; the store only has to learn of it.
			g.take(ctx, group, record, "held without the store")
			continue
		}
		switch a := claim.Decide(g.config.ClaimRules, state).(type) {
		case claim.Keep:
			g.keep(ctx, group, record)
		case claim.Acquire:
			if d == nil || d.lostFence() || d.fenceNow() <= record.revision*fenceStep {
				g.take(ctx, group, record, a.Reason)
			}
		case claim.Skip:
			if d != nil && record.revision*fenceStep > d.fenceNow() {
				g.giveUp(ctx, d)
			}
		}
	}
}

// heldElsewhere says whether another VM that can be reached holds a group for certain, so that nothing is to be decided.
func (g *Gateway) heldElsewhere(group string) bool {
	g.view.mu.Lock()
	record := g.view.holders[group]
	registered, known := g.view.vms[record.VM]
	g.view.mu.Unlock()
	if record.revision == 0 || record.VM == g.settings.VM || !known || registered.Incarnation > record.Incarnation {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.links[record.VM]
	_, offered := g.asked[group]
	return g.drivers[group] == nil && !offered && l != nil && l.conn != nil && l.conn.Remote().Incarnation <= record.Incarnation
}

// stateOf collects what decides about a group.
func (g *Gateway) stateOf(group string) (claim.GroupState, holderRecord) {
	now := time.Now()
	g.view.mu.Lock()
	record := g.view.holders[group]
	vms := make([]claim.VM, 0, len(g.view.vms))
	for name, r := range g.view.vms {
		vms = append(vms, claim.VM{Name: name, Zone: r.Zone, Incarnation: r.Incarnation, CPUShare: r.Weight})
	}
	g.view.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range vms {
		l := g.links[vms[i].Name]
		if l == nil {
			continue
		}
		vms[i].Stopping = l.stopping
		if l.conn != nil {
			vms[i].Incarnation = max(vms[i].Incarnation, l.conn.Remote().Incarnation)
			continue
		}
		vms[i].SilentFor = max(now.Sub(l.downSince), 0)
	}
	if _, ok := g.seen[group]; !ok {
		g.seen[group] = now
	}
	asked := g.asked[group]
	offered := asked.vm != "" && now.Sub(asked.at) < offerTime &&
		(asked.vm == record.VM || g.links[asked.vm] != nil && g.links[asked.vm].holds[group] > record.revision*fenceStep)
	self := claim.VM{
		Name: g.settings.VM, Zone: g.settings.Zone, Incarnation: g.self.Incarnation, CPUShare: g.settings.CPUShare, Stopping: g.stopping.Load(),
	}
	zone, index := splitGroup(group)
	return claim.GroupState{
		Index: index, Zone: zone, Self: self, Record: record.Record, Revision: record.revision,
		KnownFor: now.Sub(g.seen[group]), VMs: vms, HandoverRequested: offered,
	}, record
}

// take writes this VM as the holder of a group.
func (g *Gateway) take(ctx context.Context, group string, record holderRecord, reason string) {
	g.mu.Lock()
	recent := time.Since(g.claimed[group]) < claimPause
	if !recent {
		g.claimed[group] = time.Now()
	}
	g.mu.Unlock()
	if recent {
		return
	}
	g.meter.claims.Inc()
	value, err := json.Marshal(claim.Record{VM: g.settings.VM, Incarnation: g.self.Incarnation, Address: g.settings.PeerAddress})
	if err != nil {
		g.log.Error().Str("event", "claim").Err(err).Msg("claim cannot be encoded")
		return
	}
	key := groupPrefix + group
	g.background(ctx, func(ctx context.Context) {
		revision, err := g.config.Store.Commit(ctx, store.Transaction{
			Conditions: []store.Condition{{Key: key, Revision: record.revision}},
			Puts:       []store.KeyValue{{Key: key, Value: value}},
		})
		line := g.log.Info().Str("event", "claim").Str("group", group).Str("reason", reason).Str("holder", record.VM).Int64("record", record.revision)
		switch {
		case err == nil:
			line.Int64("revision", revision).Str("outcome", "taken").Send()
			g.view.write(store.KeyValue{Key: key, Value: value, Revision: revision})
			g.mu.Lock()
			delete(g.asked, group)
			g.mu.Unlock()
		case errors.Is(err, store.ErrConflict):
			line.Str("outcome", "another VM was first").Send()
			g.mu.Lock()
			delete(g.asked, group)
			g.mu.Unlock()
		default:
			line.Str("outcome", "open").Err(err).Send()
			g.holdUnconfirmed(ctx, group)
		}
		g.nudge()
	})
}

// holdUnconfirmed takes a group of the own zone whose holder is silent although the store cannot confirm it. The
// workers' fences keep it safe: the holder with the higher fence has them.
func (g *Gateway) holdUnconfirmed(ctx context.Context, group string) {
	if zone, _ := splitGroup(group); zone != g.settings.Zone || !g.view.stale() {
		return
	}
	state, record := g.stateOf(group)
	candidates := claim.Candidates(state.Index, state.Zone, append(others(state), state.Self))
	fence := record.revision*fenceStep + 1
	for i, v := range candidates {
		if v.Name == record.VM && record.VM != g.settings.VM && v.SilentFor < unconfirmedAfter && v.Incarnation <= record.Incarnation {
			return
		}
		if v.Name == g.settings.VM {
			fence += int64(i) % (fenceStep - 1)
		}
	}
	g.mu.Lock()
	held := false
	for _, l := range g.links {
		held = held || l.holds[group] > record.revision*fenceStep
	}
	present := g.drivers[group] != nil
	g.mu.Unlock()
	if held || present {
		return
	}
	g.log.Warn().Str("event", "claim-unconfirmed").Str("group", group).Int64("fence", fence).Msg("holding the group without the store")
	g.startDriver(ctx, group, fence, true)
}

// keep makes sure that the pool of a held group runs with the fence of the record.
func (g *Gateway) keep(ctx context.Context, group string, record holderRecord) {
	fence := record.revision * fenceStep
	g.mu.Lock()
	d := g.drivers[group]
	if d != nil && d.lostFence() {
		delete(g.drivers, group)
		g.outranked[group] = outranked{fence: d.fenceNow(), at: time.Now()}
		d = nil
	}
	lost := g.outranked[group]
	g.mu.Unlock()
	switch {
	case d == nil && fence <= lost.fence:
		// The record of the VM with the higher fence is on its way. If there is none, that VM held the group without the
		// store's confirmation and is gone again, and a new record outranks it.
		if time.Since(lost.at) > outrankedTime && !g.stopping.Load() {
			g.take(ctx, group, record, "a higher fence was used")
		}
	case d == nil:
		g.startDriver(ctx, group, fence, false)
	case d.fenceNow() < fence:
		d.raise(ctx, fence)
	}
}

// offer notes that a stopping holder has asked this VM to take a group.
type offer struct {
	vm string
	at time.Time
}

// offerTime is how long an offer holds; the holder asks again, or another VM.
const offerTime = 1500 * time.Millisecond

// outranked notes that workers have rejected a fence of this VM.
type outranked struct {
	fence int64
	at    time.Time
}

// outrankedTime is the time in which the record of a higher fence reaches this VM, also while the store is slow.
const outrankedTime = time.Second

func (g *Gateway) startDriver(ctx context.Context, group string, fence int64, unconfirmed bool) {
	rules := g.config.PlacementRules
	rules.LeaseDuration = g.settings.LeaseDuration
	config := placement.Config{Fence: fence, Rules: rules, IncompleteList: g.view.partial(rules.RemovalGrace), Restoring: true, LongRunningJobs: g.lastingOf(group)}
	d := &driver{
		group: group, fence: fence, withoutStore: unconfirmed, workers: g.config.Workers, tasks: g.tasks, log: g.log,
		answer: g.reply, hand: g.handTo, guard: g.guard, checkPause: g.checkPause, meter: g.meter,
		pool: placement.New(config), seen: map[string]worker.Resources{}, handed: map[worker.Run]handedStart{},
	}
	d.keeper = newKeeper(g, d)
	g.mu.Lock()
	g.drivers[group] = d
	g.mu.Unlock()
	g.keepRunning(ctx, "stored jobs of "+group, d.keeper.run)
	g.log.Info().Str("event", "holding").Str("group", group).Int64("fence", fence).Msg("holds the group")
	g.updateFleets(ctx)
	g.view.poke()
}

// dropDriver forgets a pool.
func (g *Gateway) dropDriver(d *driver) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.drivers[d.group] == d {
		delete(g.drivers, d.group)
	}
}

// giveUp ends the pool of a group that another VM holds.
func (g *Gateway) giveUp(ctx context.Context, d *driver) {
	g.log.Info().Str("event", "handed-over").Str("group", d.group).Int64("fence", d.fenceNow()).Msg("another VM holds the group")
	g.dropDriver(d)
	d.apply(ctx, placement.HandOver{})
	g.view.poke()
}

// updateFleets tells the pools which workers they have.
func (g *Gateway) updateFleets(ctx context.Context) {
	for _, d := range g.allDrivers() {
		if fleet, known := g.view.fleet(d.group, g.config.PlacementRules.RemovalGrace); known {
			d.apply(ctx, fleet)
		}
	}
}

// handOver offers the held groups to other VMs and waits until they have taken them.
func (g *Gateway) handOver(ctx context.Context) {
	for tried := map[string]bool{}; ctx.Err() == nil; {
		drivers := g.allDrivers()
		if len(drivers) == 0 {
			return
		}
		for _, d := range drivers {
			if d.lostFence() {
				g.dropDriver(d)
				continue
			}
			to := g.successor(d.group, tried)
			if to == nil {
				continue
			}
			g.log.Info().Str("event", "hand-over").Str("group", d.group).Str("to", to.Remote().VM).Send()
			to.Send(peer.TakeOver{Group: d.group})
		}
		pause(ctx, claimPause)
	}
}

// successor returns the connection to the next candidate for a group.
func (g *Gateway) successor(group string, tried map[string]bool) *peer.Conn {
	state, _ := g.stateOf(group)
	g.mu.Lock()
	defer g.mu.Unlock()
	for range 2 {
		for _, v := range claim.Candidates(state.Index, state.Zone, state.VMs) {
			l := g.links[v.Name]
			if l == nil || l.conn == nil || l.stopping || tried[group+v.Name] {
				continue
			}
			tried[group+v.Name] = true
			return l.conn
		}
		clear(tried)
	}
	return nil
}

// others returns the VMs of a state without this one.
func others(s claim.GroupState) []claim.VM {
	list := make([]claim.VM, 0, len(s.VMs)+1)
	for _, v := range s.VMs {
		if v.Name != s.Self.Name {
			list = append(list, v)
		}
	}
	return list
}
