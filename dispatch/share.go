package dispatch

import (
	"time"

	"samphireplank.example/samphireplank/queue"
	"samphireplank.example/samphireplank/slot"
)

// zoneShare is what this VM last learned about the division of the zone's slots.
type zoneShare struct {
	computedAt time.Time
	targets    []slot.Allocation // of every VM, for the ledger
	busy       int               // tasks that run or wait on the other VMs
}

// allocate computes the division of the zone's slots from the demand of this VM and the fresh reports of its peers.
func (c *Core) allocate(now time.Time) {
	c.demands = c.queue.AppendDemand(c.demands[:0])
	demands := []queue.VMDemand{{VM: c.config.VM, Flows: c.demands}}
	share := zoneShare{computedAt: now}
	var elsewhere []queue.Demand
	for _, peer := range c.peers {
		report, ok := c.reports[peer]
		if !ok || now.Sub(report.at) >= reportLifetime {
			report.demands = nil
		}
		demands = append(demands, queue.VMDemand{VM: peer, Flows: report.demands})
		elsewhere = append(elsewhere, report.demands...)
	}
	for _, d := range elsewhere {
		share.busy += d.Queued + d.Running
	}
	c.queue.SetZoneDemand(c.zoneSlots, elsewhere)
	for _, vm := range queue.Allocate(c.zoneSlots, c.set, demands) {
		share.targets = append(share.targets, slot.Allocation{VM: vm.VM, Slots: vm.Slots})
		if vm.VM == c.config.VM {
			c.queue.SetAllocation(vm)
		}
	}
	c.share = share
}

// idle returns the number of slots of the zone without a task or a waiting task, as far as this VM knows.
func (c *Core) idle() int {
	return max(c.zoneSlots-c.share.busy-c.running-c.queue.Queued(), 0)
}
