package dispatch

import (
	"time"

	"samphireplank.example/samphireplank/queue"
	"samphireplank.example/samphireplank/slot"
)

// zoneShare is what this VM last learned about the division of the zone's slots.
type zoneShare struct {
	computedAt time.Time
	targets    []slot.Target          // of every VM, for the ledger
	own        map[queue.Flow]float64 // slots of this VM by flow
	elsewhere  []queue.Demand         // of the other VMs
	busy       int                    // tasks that run or wait on the other VMs
	priorities map[string]classLoad   // over all VMs of the zone
}

// classLoad is the demand of a priority.
type classLoad struct {
	tasks     int     // queued and running on all VMs
	elsewhere int     // the part of the other VMs
	weight    float64 // of the teams with demand
}

// allocate computes the division of the zone's slots from the demand of this VM and the fresh reports of its peers.
func (c *Core) allocate(now time.Time) {
	c.demands = c.queue.Demand(c.demands[:0])
	demands := []queue.VMDemand{{VM: c.config.VM, Flows: c.demands}}
	share := zoneShare{computedAt: now, own: make(map[queue.Flow]float64), priorities: make(map[string]classLoad)}
	for _, peer := range c.peers {
		report, ok := c.reports[peer]
		if !ok || now.Sub(report.at) >= reportLifetime {
			report.demands = nil
		}
		demands = append(demands, queue.VMDemand{VM: peer, Flows: report.demands})
		share.elsewhere = append(share.elsewhere, report.demands...)
	}
	c.countPriorities(&share)
	c.queue.SetZone(c.zoneSlots, share.elsewhere)
	for _, vm := range queue.Allocate(c.zoneSlots, c.set, demands) {
		share.targets = append(share.targets, slot.Target{VM: vm.VM, Slots: vm.Slots})
		if vm.VM != c.config.VM {
			continue
		}
		c.queue.SetTargets(vm.Flows)
		c.queue.SetLimitShares(vm.Limits)
		for _, target := range vm.Flows {
			share.own[target.Flow] = target.Slots
		}
	}
	c.share = share
}

// countPriorities sums the demand of all VMs by priority.
func (c *Core) countPriorities(share *zoneShare) {
	seen := make(map[queue.Flow]bool)
	count := func(d queue.Demand, elsewhere bool) {
		load := share.priorities[d.Flow.Priority]
		tasks := d.Queued + d.Running
		load.tasks += tasks
		if elsewhere {
			load.elsewhere += tasks
			share.busy += tasks
		}
		if !seen[d.Flow] {
			seen[d.Flow] = true
			load.weight += c.weight(d.Flow.Team)
		}
		share.priorities[d.Flow.Priority] = load
	}
	for _, d := range c.demands {
		count(d, false)
	}
	for _, d := range share.elsewhere {
		count(d, true)
	}
}

func (c *Core) weight(team string) float64 {
	return float64(max(c.teams[team].Weight, 1))
}

// entitled returns the slots of this VM that a flow may count on for some more tasks: its present target, or the
// guaranteed share of its priority that falls to this VM and to its team.
func (c *Core) entitled(flow queue.Flow, tasks int) float64 {
	load := c.share.priorities[flow.Priority]
	weight := load.weight
	if _, counted := c.share.own[flow]; !counted {
		weight += c.weight(flow.Team)
	}
	ownPart := float64(load.tasks-load.elsewhere+tasks) / float64(load.tasks+tasks)
	guaranteed := float64(c.zoneSlots*c.priorityShares[flow.Priority]) / 100 * ownPart * c.weight(flow.Team) / weight
	return min(max(c.share.own[flow], guaranteed), c.quota(flow.Team))
}

// quota returns the slots that the limits of a team leave it at most.
func (c *Core) quota(team string) float64 {
	slots := float64(c.zoneSlots)
	for name := c.teams[team].Limit; name != ""; name = c.limits[name].Parent {
		slots = min(slots, float64(c.zoneSlots*c.limits[name].Quota)/100)
	}
	return slots
}

// idle returns the number of slots of the zone without a task or a waiting task, as far as this VM knows.
func (c *Core) idle() int {
	return max(c.zoneSlots-c.share.busy-c.running-c.queue.Queued(), 0)
}
