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
	// holdLoopInterval is the interval of checks of the holders of groups.
	holdLoopInterval = 50 * time.Millisecond
	// workerListInterval is the interval at which unchanged worker lists are passed to the schedulers, since workers that
	// are no longer listed are dropped after some seconds.
	workerListInterval = 500 * time.Millisecond
	// claimRetryInterval is the minimum interval between two claims of a group.
	claimRetryInterval = 250 * time.Millisecond
	// fencesPerRevision is the number of fences per revision of the store; those between two revisions are for holders
	// that the store could not confirm.
	fencesPerRevision = 256
	// unconfirmedHoldDelay is the time a holder must be unreachable before it is replaced without the store.
	unconfirmedHoldDelay = 900 * time.Millisecond
)

// holdGroups claims, holds and releases groups until ctx ends.
func (g *Gateway) holdGroups(ctx context.Context) {
	ticker := time.NewTicker(holdLoopInterval)
	defer ticker.Stop()
	var listsUpdatedAt time.Time
	for cacheChanged := true; ; {
		changed := g.cache.nextChange()
		g.partitionZone(ctx)
		g.decideGroups(ctx)
		if cacheChanged || time.Since(listsUpdatedAt) > workerListInterval {
			listsUpdatedAt = time.Now()
			g.updateWorkerLists(ctx)
		}
		cacheChanged = false
		select {
		case <-ctx.Done():
			return
		case <-changed:
			cacheChanged = true
		case <-g.holdWake:
		case <-ticker.C:
		}
	}
}

// groups returns the names of all groups.
func (g *Gateway) groups() []string {
	g.cache.mu.Lock()
	defer g.cache.mu.Unlock()
	if !g.cache.ownKeysRead {
		return nil // a group may have a holder that is not known yet
	}
	var list []string
	for zone, s := range g.cache.partitions {
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
		state, record := g.groupState(group)
		g.mu.Lock()
		d := g.drivers[group]
		g.mu.Unlock()
		if d != nil && !g.isOwnRecord(record) && record.revision*fencesPerRevision > d.currentFence() {
			// What this VM knows of the runs is outdated from now on, even if it claims the group again.
			g.releaseGroup(ctx, d)
			d = nil
		}
		if d != nil && d.unconfirmed() && d.currentFence() > record.revision*fencesPerRevision {
			// This VM already holds the group without the store, which only has to record it.
			g.claimGroup(ctx, group, record, "held without the store")
			continue
		}
		switch a := claim.Decide(g.config.ClaimRules, state).(type) {
		case claim.Keep:
			g.ensureDriver(ctx, group, record)
		case claim.Acquire:
			if d == nil || d.lostFence() || d.currentFence() <= record.revision*fencesPerRevision {
				g.claimGroup(ctx, group, record, a.Reason)
			}
		case claim.Skip:
		}
	}
}

// isOwnRecord reports whether a record names this incarnation of this VM as the holder.
func (g *Gateway) isOwnRecord(r holderRecord) bool {
	return r.VM == g.settings.VM && r.Incarnation == g.self.Incarnation
}

// heldElsewhere reports whether a reachable VM certainly holds a group, so that there is nothing to decide.
func (g *Gateway) heldElsewhere(group string) bool {
	g.cache.mu.Lock()
	record := g.cache.holders[group]
	registered, known := g.cache.vms[record.VM]
	g.cache.mu.Unlock()
	if record.revision == 0 || record.VM == g.settings.VM || !known || registered.Incarnation > record.Incarnation {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.links[record.VM]
	_, offered := g.handoverOffers[group]
	return g.drivers[group] == nil && !offered && l != nil && l.conn != nil && l.conn.Remote().Incarnation <= record.Incarnation
}

// groupState returns the input for the decision about a group, and its holder's record.
func (g *Gateway) groupState(group string) (claim.GroupState, holderRecord) {
	now := time.Now()
	g.cache.mu.Lock()
	record := g.cache.holders[group]
	zone, index := splitGroup(group)
	holderShare := g.cache.partitions[zone].HolderShare
	vms := make([]claim.VM, 0, len(g.cache.vms))
	for name, r := range g.cache.vms {
		vms = append(vms, claim.VM{Name: name, Zone: r.Zone, Incarnation: r.Incarnation, CPUShare: r.Weight})
	}
	g.cache.mu.Unlock()
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
	if _, ok := g.firstSeen[group]; !ok {
		g.firstSeen[group] = now
	}
	if gone := g.holdersGone[group]; gone.record != record.revision {
		g.holdersGone[group] = goneHolder{record: record.revision}
	} else if gone.since.IsZero() && claim.HolderGone(record.Record, vms) {
		g.holdersGone[group] = goneHolder{record: record.revision, since: now}
	}
	var goneFor time.Duration
	if since := g.holdersGone[group].since; !since.IsZero() {
		goneFor = now.Sub(since)
	}
	offer := g.handoverOffers[group]
	offered := offer.vm != "" && now.Sub(offer.at) < handoverOfferTTL &&
		(offer.vm == record.VM || g.links[offer.vm] != nil && g.links[offer.vm].holds[group] > record.revision*fencesPerRevision)
	self := claim.VM{
		Name: g.settings.VM, Zone: g.settings.Zone, Incarnation: g.self.Incarnation, CPUShare: g.settings.CPUShare, Stopping: g.stopping.Load(),
	}
	return claim.GroupState{
		Index: index, Zone: zone, HolderShare: holderShare, Self: self, Record: record.Record, Revision: record.revision,
		KnownFor: now.Sub(g.firstSeen[group]), HolderGoneFor: goneFor, VMs: vms, HandoverRequested: offered,
	}, record
}

// claimGroup records this VM in the store as the holder of a group, in the background.
func (g *Gateway) claimGroup(ctx context.Context, group string, record holderRecord, reason string) {
	g.mu.Lock()
	recent := time.Since(g.lastClaims[group]) < claimRetryInterval
	if !recent {
		g.lastClaims[group] = time.Now()
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
			g.cache.applyOwnWrite(store.KeyValue{Key: key, Value: value, Revision: revision})
			g.mu.Lock()
			delete(g.handoverOffers, group)
			g.mu.Unlock()
		case errors.Is(err, store.ErrConflict):
			line.Str("outcome", "another VM was first").Send()
			g.mu.Lock()
			delete(g.handoverOffers, group)
			g.mu.Unlock()
		default:
			line.Str("outcome", "open").Err(err).Send()
			g.holdUnconfirmed(ctx, group)
		}
		g.wakeHoldLoop()
	})
}

// holdUnconfirmed holds a group of the own zone whose holder is unreachable, without the confirmation of the store.
// This is safe because the workers accept only the holder with the highest fence.
func (g *Gateway) holdUnconfirmed(ctx context.Context, group string) {
	if zone, _ := splitGroup(group); zone != g.settings.Zone || !g.cache.stale() || time.Since(g.started) < g.previousIncarnationTimeout() {
		return
	}
	state, record := g.groupState(group)
	for _, v := range state.VMs {
		if v.Name == record.VM && record.VM != g.settings.VM && v.SilentFor < unconfirmedHoldDelay && v.Incarnation <= record.Incarnation {
			return
		}
	}
	g.mu.Lock()
	held := false
	for _, l := range g.links {
		held = held || l.holds[group] > record.revision*fencesPerRevision
	}
	present := g.drivers[group] != nil
	lost := g.fenceLosses[group]
	g.mu.Unlock()
	fence := g.slotFence(record.revision, lost.fence) // orders under the earlier fence may still be on their way
	if held || present || fence == 0 {
		return
	}
	g.log.Warn().Str("event", "claim-unconfirmed").Str("group", group).Int64("fence", fence).Msg("holding the group without the store")
	g.startDriver(ctx, group, fence, true)
}

// previousIncarnationTimeout is the time after the start of this VM by which the orders and runs of its previous incarnation
// have ended. That one may have held groups without the store under the fences that this one would use.
func (g *Gateway) previousIncarnationTimeout() time.Duration {
	rules := g.config.PlacementRules
	rules.LeaseDuration = g.settings.LeaseDuration
	return rules.LeaseDuration + rules.LeaseError() + rules.KillTime
}

// ensureDriver makes sure that the scheduler of a held group runs under the fence of the record.
func (g *Gateway) ensureDriver(ctx context.Context, group string, record holderRecord) {
	fence := record.revision * fencesPerRevision
	g.mu.Lock()
	d := g.drivers[group]
	if d != nil && d.lostFence() {
		delete(g.drivers, group)
		g.fenceLosses[group] = fenceLoss{fence: d.currentFence(), at: time.Now()}
		d = nil
	}
	loss := g.fenceLosses[group]
	g.mu.Unlock()
	switch {
	case d == nil && fence <= loss.fence:
		// The record of the VM with the higher fence has not arrived yet. If there is none, that VM held the group without
		// the store's confirmation and has stopped, and a new record has a higher fence.
		if time.Since(loss.at) > fenceLossWait && !g.stopping.Load() {
			g.claimGroup(ctx, group, record, "a higher fence was used")
		}
	case d == nil:
		g.startDriver(ctx, group, fence, false)
	case d.currentFence() < fence:
		// Another VM may have held the group in between, with or without a record.
		g.releaseGroup(ctx, d)
		g.startDriver(ctx, group, fence, false)
	}
}

// goneHolder records since when a VM has seen that the recorded holder of a group has restarted or is not registered.
type goneHolder struct {
	record int64 // revision of the holder's record
	since  time.Time
}

// handoverOffer records that a holder has asked this VM to take over a group.
type handoverOffer struct {
	vm string
	at time.Time
}

// handoverOfferTTL is how long an offer is valid; afterwards the holder repeats it or offers the group to another VM.
const handoverOfferTTL = 1500 * time.Millisecond

// fenceLoss records that workers have rejected a fence of this VM, or that it must claim the group again.
type fenceLoss struct {
	fence int64
	at    time.Time
}

// fenceLossWait is the maximum time until the record of a higher fence reaches this VM, even if the store is slow.
const fenceLossWait = time.Second

func (g *Gateway) startDriver(ctx context.Context, group string, fence int64, unconfirmed bool) {
	d := g.newDriver(group, fence, unconfirmed)
	g.mu.Lock()
	g.drivers[group] = d
	g.mu.Unlock()
	g.keepRunning(ctx, "stored jobs of "+group, d.persister.run)
	g.log.Info().Str("event", "holding").Str("group", group).Int64("fence", fence).Msg("holds the group")
	g.updateWorkerLists(ctx)
	g.cache.notify()
}

// newDriver returns a driver with an empty scheduler that has not started.
func (g *Gateway) newDriver(group string, fence int64, unconfirmed bool) *groupDriver {
	rules := g.config.PlacementRules
	rules.LeaseDuration, rules.LostHolderTimeout = g.settings.LeaseDuration, orphanedRunTimeout
	rules.DurableHolderEnd = durableHolderEnd(rules)
	config := placement.Config{
		Fence: fence, ClaimRevision: fence / fencesPerRevision, Rules: rules, IncompleteList: g.cache.workerListIncomplete(rules.RemovalGrace),
		AwaitEvacuation: true, Restoring: true, LongRunningJobs: g.longRunningIn(group), Interference: g.newEstimator(),
	}
	d := &groupDriver{
		group: group, fence: fence, storeUnconfirmed: unconfirmed, workers: g.config.Workers, tasks: g.tasks, log: g.log,
		sendVerdict: g.sendVerdict, delegate: g.delegateStarts, catchPanic: g.catchPanic, checkPause: g.checkPause, meter: g.meter,
		scheduler: placement.New(config), lastNeed: map[string]worker.Resources{}, delegated: map[worker.Run]delegatedStart{},
	}
	d.durablePermit = func() time.Duration { return g.durablePermit(d) }
	zone, _ := splitGroup(group)
	d.evacuation = func() (active, known bool) {
		state := g.cache.evacuationState()
		return state.Evacuated(zone), state.Known()
	}
	d.persister = newJobPersister(g, d)
	return d
}

// dropDriver removes the driver of a group.
func (g *Gateway) dropDriver(d *groupDriver) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.drivers[d.group] == d {
		delete(g.drivers, d.group)
	}
}

// releaseGroup hands over the jobs of a group that another VM holds now.
func (g *Gateway) releaseGroup(ctx context.Context, d *groupDriver) {
	g.log.Info().Str("event", "handed-over").Str("group", d.group).Int64("fence", d.currentFence()).Msg("another VM holds the group")
	g.dropDriver(d)
	d.apply(ctx, placement.HandOver{})
	g.cache.notify()
}

// updateWorkerLists passes the current worker lists to the schedulers.
func (g *Gateway) updateWorkerLists(ctx context.Context) {
	for _, d := range g.allDrivers() {
		if list, known := g.cache.workerList(d.group, g.config.PlacementRules.RemovalGrace); known {
			d.apply(ctx, list)
		}
	}
}

// handOverGroups offers the held groups to other VMs until they have claimed them or ctx ends.
func (g *Gateway) handOverGroups(ctx context.Context) {
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
		pause(ctx, claimRetryInterval)
	}
}

// successor returns the connection to the next candidate for a group: a VM of its zone, or any other if none of these is left.
func (g *Gateway) successor(group string, tried map[string]bool) *peer.Conn {
	state, _ := g.groupState(group)
	g.mu.Lock()
	defer g.mu.Unlock()
	var connected []claim.VM
	for _, v := range state.VMs {
		if l := g.links[v.Name]; l != nil && l.conn != nil && !l.stopping {
			connected = append(connected, v)
		}
	}
	for range 2 {
		for _, v := range claim.GroupCandidates(state.Index, state.Zone, state.HolderShare, connected) {
			if !tried[group+v.Name] {
				tried[group+v.Name] = true
				return g.links[v.Name].conn
			}
		}
		clear(tried)
	}
	return nil
}
