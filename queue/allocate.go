package queue

import (
	"cmp"
	"slices"
	"strings"

	"samphireplank.example/samphireplank/contract"
)

// unlistedShare is the percentage of the slots for flows whose team or priority is no longer configured, on top of the
// 100 percent of the priorities. It keeps their queued jobs progressing.
const unlistedShare = 1

// VMDemand is the demand of one entry VM of the zone.
type VMDemand struct {
	VM    string
	Flows []Demand
}

// VMAllocation is the allocation of one entry VM; Slots is the sum over its flows plus the VM's part of the surplus.
type VMAllocation struct {
	VM     string
	Slots  float64
	Flows  []FlowAllocation
	Limits []LocalQuota
}

// Allocate divides the slots of a zone by weighted max-min fairness over its flows and splits each flow's allocation
// over the entry VMs by their demand. The result is sorted by VM and flow and doesn't depend on the order of the
// demands.
//
// A priority gets at least its share of the slots if its flows can use it, and a team its part of that by weight. Slots
// that demand or quotas leave unused go to the other flows. Local quotas are whole slots; the running tasks and those
// that the local quotas still allow add up to the quota.
func Allocate(slots int, set *contract.Set, demands []VMDemand) []VMAllocation {
	demands = sortedDemands(demands)
	a := newWaterFiller(slots, set, mergeDemands(demands))
	a.fill()
	return a.splitByVM(demands)
}

// sortedDemands returns the demands sorted by VM and flow.
func sortedDemands(demands []VMDemand) []VMDemand {
	sorted := slices.Clone(demands)
	slices.SortStableFunc(sorted, func(a, b VMDemand) int { return strings.Compare(a.VM, b.VM) })
	compare := func(a, b Demand) int { return a.Flow.Compare(b.Flow) }
	for i := range sorted {
		if !slices.IsSortedFunc(sorted[i].Flows, compare) {
			sorted[i].Flows = slices.SortedStableFunc(slices.Values(sorted[i].Flows), compare)
		}
	}
	return sorted
}

// zoneDemand is the demand of one flow, in total and on each VM.
type zoneDemand struct {
	flow  Flow
	total int
	vms   []vmTasks
}

// vmTasks is the demand of one flow on one VM.
type vmTasks struct{ total, running int }

// mergeDemands returns the demands of all VMs merged by flow, sorted by flow.
func mergeDemands(demands []VMDemand) []zoneDemand {
	vms, longest := len(demands), 0
	lists := make([][]Demand, vms)
	for vm, d := range demands {
		lists[vm] = d.Flows
		longest = max(longest, len(d.Flows))
	}
	merged := make([]zoneDemand, 0, longest)
	tasks := make([]vmTasks, 0, longest*vms)
	for first := firstFlow(lists); first != nil; first = firstFlow(lists) {
		z := zoneDemand{flow: first.Flow}
		start := len(tasks)
		for vm := range lists {
			var t vmTasks
			if len(lists[vm]) > 0 && lists[vm][0].Flow == z.flow {
				t.total = lists[vm][0].Queued + lists[vm][0].Running
				t.running = lists[vm][0].Running
				lists[vm] = lists[vm][1:]
			}
			tasks = append(tasks, t)
			z.total += t.total
		}
		z.vms = tasks[start:len(tasks):len(tasks)]
		merged = append(merged, z)
	}
	return merged
}

// firstFlow returns the demand with the smallest flow among the heads of the sorted lists, or nil if all are empty.
func firstFlow(lists [][]Demand) *Demand {
	var first *Demand
	for _, l := range lists {
		if len(l) > 0 && (first == nil || l[0].Flow.Compare(first.Flow) < 0) {
			first = &l[0]
		}
	}
	return first
}

// splitByVM splits the allocation of each flow over the VMs.
func (a *waterFiller) splitByVM(demands []VMDemand) []VMAllocation {
	out := make([]VMAllocation, len(demands))
	localQuotas := make([]LocalQuota, len(a.limits)*len(demands))
	targets := make([]FlowAllocation, len(a.flows)*len(demands))
	for vm, d := range demands {
		first, next := vm*len(a.limits), (vm+1)*len(a.limits)
		start, end := vm*len(a.flows), (vm+1)*len(a.flows)
		out[vm] = VMAllocation{VM: d.VM, Flows: targets[start:start:end], Limits: localQuotas[first:next:next]}
	}
	usage := newLimitUsage(len(a.limits), len(demands))
	totals := make([]int, len(demands))
	for i := range a.flows {
		f := &a.flows[i]
		part := f.slots / float64(max(f.demand.total, 1))
		for vm, t := range f.demand.vms {
			if t.total <= 0 {
				continue
			}
			slots := part * float64(t.total)
			out[vm].Slots += slots
			out[vm].Flows = append(out[vm].Flows, FlowAllocation{Flow: f.demand.flow, Slots: slots})
			if f.limit >= 0 {
				usage.add(f.limit, vm, slots, t)
			}
			totals[vm] += t.total
		}
	}
	a.splitSurplus(out, totals)
	usage.addToParents(a.limits)
	for at := range a.limits {
		for vm, slots := range usage.splitQuota(at, a.limits[at].quota) {
			out[vm].Limits[at] = LocalQuota{Limit: a.limits[at].name, Slots: slots}
		}
	}
	return out
}

// splitSurplus divides the slots that no flow needs over the VMs in proportion to their demand plus one, so that a VM
// without demand has some slots to start with.
func (a *waterFiller) splitSurplus(out []VMAllocation, totals []int) {
	sum := len(totals)
	for _, total := range totals {
		sum += total
	}
	for vm := range out {
		out[vm].Slots += max(0, a.remaining) * float64(totals[vm]+1) / float64(sum)
	}
}

// limitUsage holds the allocated slots and the tasks under each limit on each VM.
type limitUsage struct {
	vms    int
	cells  []usageCell
	quotas []int // result of splitQuota
	order  []int
}

type usageCell struct {
	slots    float64
	tasks    vmTasks
	overused bool // runs more tasks than its part of the quota
}

func newLimitUsage(limits, vms int) *limitUsage {
	return &limitUsage{vms: vms, cells: make([]usageCell, limits*vms), quotas: make([]int, vms), order: make([]int, vms)}
}

func (c *usageCell) add(slots float64, t vmTasks) {
	c.slots += slots
	c.tasks.total += t.total
	c.tasks.running += t.running
}

func (u *limitUsage) add(limit, vm int, slots float64, t vmTasks) {
	u.cells[limit*u.vms+vm].add(slots, t)
}

// addToParents adds the usage of each limit to all its ancestors.
func (u *limitUsage) addToParents(limits []fillLimit) {
	own := slices.Clone(u.cells)
	for at := range limits {
		for above := limits[at].parent; above >= 0; above = limits[above].parent {
			for vm, c := range own[at*u.vms : (at+1)*u.vms] {
				u.add(above, vm, c.slots, c.tasks)
			}
		}
	}
}

// splitQuota splits a quota over the VMs in whole slots; the result is valid until the next call.
//
// A VM that runs more than its part can't start tasks, and its excess is deducted from the parts of the others, so that
// all VMs together never exceed the quota if they use the same demands. Slots left over by rounding down go to the VMs
// that run the fewest tasks in relation to their part.
func (u *limitUsage) splitQuota(limit int, quota float64) []int {
	cells := u.cells[limit*u.vms : (limit+1)*u.vms]
	u.addSurplus(cells, quota)
	free := lockOverusers(cells, int(quota))
	quotas, order := u.quotas, u.order[:0]
	for vm, c := range cells {
		quotas[vm] = int(c.slots + tolerance)
		if c.overused {
			continue
		}
		quotas[vm] = min(quotas[vm], free)
		free -= quotas[vm]
		order = append(order, vm)
	}
	missing := func(vm int) float64 { return cells[vm].slots - float64(max(quotas[vm], cells[vm].tasks.running)) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(missing(b), missing(a)) })
	for i := 0; free > 0 && len(order) > 0; i++ {
		quotas[order[i%len(order)]]++
		free--
	}
	return quotas
}

// addSurplus divides the unused part of a quota over the VMs, one half by demand and one half evenly, so that a VM
// without demand can start some tasks before the next exchange of reports.
func (u *limitUsage) addSurplus(cells []usageCell, quota float64) {
	surplus, sum := quota, 0.0
	for _, c := range cells {
		surplus -= c.slots
		sum += float64(c.tasks.total)
	}
	even := sum/float64(u.vms) + 1
	for vm := range cells {
		weight := (float64(cells[vm].tasks.total) + even) / (sum + even*float64(u.vms))
		cells[vm].slots += max(0, surplus) * weight
	}
}

// lockOverusers marks the VMs that run more tasks than their part, scales the parts of the others down to the remaining
// slots and returns the number of these.
func lockOverusers(cells []usageCell, quota int) (free int) {
	for range cells {
		free = quota
		openSlots, changed := 0.0, false
		for vm := range cells {
			c := &cells[vm]
			if !c.overused && float64(c.tasks.running) > c.slots+tolerance {
				c.overused, changed = true, true
			}
			if c.overused {
				free -= c.tasks.running
			} else {
				openSlots += c.slots
			}
		}
		free = max(free, 0)
		if !changed || openSlots <= 0 {
			break
		}
		for vm := range cells {
			if !cells[vm].overused {
				cells[vm].slots *= float64(free) / openSlots
			}
		}
	}
	return free
}
