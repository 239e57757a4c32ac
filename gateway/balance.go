package gateway

import (
	"context"
	"time"

	"samphireplank.example/samphireplank/claim"
	"samphireplank.example/samphireplank/peer"
)

// rebalance hands over groups, one at a time, while this VM holds more than its share and another VM of the zone fewer.
// As in a planned stop, the other VM claims the group in the store and adopts its jobs and runs.
func (g *Gateway) rebalance(ctx context.Context) {
	ticker := time.NewTicker(claim.RebalanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if g.stopping.Load() || g.cache.stale() {
			continue
		}
		group, to, reason := g.pickHandover(time.Now())
		if to == "" {
			continue
		}
		g.mu.Lock()
		l := g.links[to]
		var c *peer.Conn
		if l != nil {
			c = l.conn
		}
		g.mu.Unlock()
		if c != nil {
			g.log.Info().Str("event", "hand-over").Str("group", group).Str("to", to).Str("reason", reason).Send()
			c.Send(peer.TakeOver{Group: group})
		}
	}
}

// pickHandover returns a group to hand over, the VM that should receive it and the reason, or "" if there is none.
func (g *Gateway) pickHandover(now time.Time) (group, to, reason string) {
	if group, to = claim.PickRebalance(g.zoneLoad(now)); to != "" {
		return group, to, "this VM holds more for its share"
	}
	var groups []string
	var held []claim.GroupState
	for _, d := range g.allDrivers() {
		if zone, _ := splitGroup(d.group); zone != g.settings.Zone && !d.lostFence() && !d.unconfirmed() {
			state, _ := g.groupState(d.group)
			groups, held = append(groups, d.group), append(held, state)
		}
	}
	connectedFor := map[string]time.Duration{}
	g.mu.Lock()
	for name, l := range g.links {
		if l.conn != nil {
			connectedFor[name] = now.Sub(l.upSince)
		}
	}
	g.mu.Unlock()
	if i, to := claim.PickReturn(claim.VM{Zone: g.settings.Zone}, held, connectedFor); to != "" {
		return groups[i], to, "a VM of the group's zone is back"
	}
	return "", "", ""
}

// zoneLoad returns the input for the decision to hand a group over.
func (g *Gateway) zoneLoad(now time.Time) claim.ZoneLoad {
	b := claim.ZoneLoad{
		Self:        claim.VM{Name: g.settings.VM, Zone: g.settings.Zone, CPUShare: g.settings.CPUShare},
		GroupCounts: map[string]int{},
	}
	for _, d := range g.allDrivers() {
		if zone, _ := splitGroup(d.group); zone == g.settings.Zone && !d.lostFence() && !d.unconfirmed() {
			b.OwnGroups = append(b.OwnGroups, d.group)
		}
	}
	g.cache.mu.Lock()
	b.HolderShare = g.cache.partitions[g.settings.Zone].HolderShare
	weights := map[string]float64{}
	for name, r := range g.cache.vms {
		if r.Zone == g.settings.Zone {
			weights[name] = r.Weight
		}
	}
	g.cache.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, l := range g.links {
		weight, ok := weights[name]
		if !ok || l.conn == nil || now.Sub(l.upSince) < claim.MinConnectedTime {
			continue
		}
		b.GroupCounts[name] = len(l.holds)
		b.Peers = append(b.Peers, claim.VM{Name: name, Zone: g.settings.Zone, CPUShare: weight, Stopping: l.stopping})
	}
	return b
}
