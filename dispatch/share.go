package dispatch

import (
	"time"

	"samphireplank.example/samphireplank/queue"
	"samphireplank.example/samphireplank/slot"
)

// zoneAllocation is the latest allocation of the zone's slots known to this VM.
type zoneAllocation struct {
	computedAt time.Time
	targets    []slot.Allocation // allocation of every VM, for the slot pool
	peerTasks  int               // tasks that are running or queued on the other VMs
}

// allocate computes the allocation of the zone's slots from the demand of this VM and the recent reports of its peers.
func (c *Core) allocate(now time.Time) {
	c.demands = c.queue.AppendDemand(c.demands[:0])
	demands := []queue.VMDemand{{VM: c.config.VM, Flows: c.demands}}
	share := zoneAllocation{computedAt: now}
	var peerDemand []queue.Demand
	for _, peer := range c.peers {
		report, ok := c.reports[peer]
		if !ok || now.Sub(report.at) >= reportTTL {
			report.demands = nil
		}
		demands = append(demands, queue.VMDemand{VM: peer, Flows: report.demands})
		peerDemand = append(peerDemand, report.demands...)
	}
	for _, d := range peerDemand {
		share.peerTasks += d.Queued + d.Running
	}
	c.queue.SetZoneDemand(c.zoneSlots, peerDemand)
	for _, vm := range queue.Allocate(c.zoneSlots, c.set, demands) {
		share.targets = append(share.targets, slot.Allocation{VM: vm.VM, Slots: vm.Slots})
		if vm.VM == c.config.VM {
			c.queue.SetAllocation(vm)
		}
	}
	c.allocation = share
}

// idleSlots returns the number of slots of the zone without a running or queued task, as far as this VM knows.
func (c *Core) idleSlots() int {
	return max(c.zoneSlots-c.allocation.peerTasks-c.running-c.queue.Queued(), 0)
}
