package queue

import (
	"cmp"
	"slices"
	"strings"

	"samphireplank.example/samphireplank/contract"
)

// unlistedShare is the percent of the slots for flows whose team or priority is no longer in the set, on top of the 100
// percent of the priorities; it keeps their queued jobs moving.
const unlistedShare = 1

// VMDemand is the demand of one entry VM of the zone.
type VMDemand struct {
	VM    string
	Flows []Demand
}

// VMAllocation is what one entry VM is entitled to: Slots is the sum over its flows plus its part of the spare slots.
type VMAllocation struct {
	VM     string
	Slots  float64
	Flows  []FlowAllocation
	Limits []LocalQuota
}

// Allocate divides the slots of a zone by weighted max-min over its flows and splits each flow's part over the entry VMs
// by their demand; the result is sorted by VM and flow and doesn't depend on the order of the demands.
//
// A priority gets at least its share of the slots if its flows can use it, and a team its part of that by weight. What
// demand or quotas leave unused goes to the others. The shares of limits are whole slots; what runs and what
// the shares still allow add up to the quota.
func Allocate(slots int, set *contract.Set, demands []VMDemand) []VMAllocation {
	demands = sortedDemands(demands)
	a := newAllocation(slots, set, mergeDemands(demands))
	a.fill()
	return a.split(demands)
}

// sortedDemands returns the demands in order of VM and flow.
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

// zoneDemand is the demand of one flow over all VMs and on each.
type zoneDemand struct {
	flow  Flow
	total int
	vms   []vmTasks
}

// vmTasks is the demand of one flow on one VM.
type vmTasks struct{ total, running int }

// mergeDemands returns the demands by flow, sorted.
func mergeDemands(demands []VMDemand) []zoneDemand {
	vms, longest := len(demands), 0
	rest := make([][]Demand, vms)
	for vm, d := range demands {
		rest[vm] = d.Flows
		longest = max(longest, len(d.Flows))
	}
	merged := make([]zoneDemand, 0, longest)
	tasks := make([]vmTasks, 0, longest*vms)
	for first := firstFlow(rest); first != nil; first = firstFlow(rest) {
		z := zoneDemand{flow: first.Flow}
		start := len(tasks)
		for vm := range rest {
			var t vmTasks
			if len(rest[vm]) > 0 && rest[vm][0].Flow == z.flow {
				t.total = rest[vm][0].Queued + rest[vm][0].Running
				t.running = rest[vm][0].Running
				rest[vm] = rest[vm][1:]
			}
			tasks = append(tasks, t)
			z.total += t.total
		}
		z.vms = tasks[start:len(tasks):len(tasks)]
		merged = append(merged, z)
	}
	return merged
}

// firstFlow returns the first of the demands at the front of the lists.
func firstFlow(lists [][]Demand) *Demand {
	var first *Demand
	for _, l := range lists {
		if len(l) > 0 && (first == nil || l[0].Flow.Compare(first.Flow) < 0) {
			first = &l[0]
		}
	}
	return first
}

// split divides the allocation over the VMs.
func (a *allocation) split(demands []VMDemand) []VMAllocation {
	out := make([]VMAllocation, len(demands))
	shares := make([]LocalQuota, len(a.limits)*len(demands))
	targets := make([]FlowAllocation, len(a.flows)*len(demands))
	for vm, d := range demands {
		first, next := vm*len(a.limits), (vm+1)*len(a.limits)
		start, end := vm*len(a.flows), (vm+1)*len(a.flows)
		out[vm] = VMAllocation{VM: d.VM, Flows: targets[start:start:end], Limits: shares[first:next:next]}
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
	a.splitSpare(out, totals)
	usage.addToParents(a.limits)
	for at := range a.limits {
		for vm, slots := range usage.divide(at, a.limits[at].quota) {
			out[vm].Limits[at] = LocalQuota{Limit: a.limits[at].name, Slots: slots}
		}
	}
	return out
}

// splitSpare gives the slots that nobody needs to the VMs in proportion to their demand. One is added to each demand, so
// that a VM without demand has some slots to start with.
func (a *allocation) splitSpare(out []VMAllocation, totals []int) {
	sum := len(totals)
	for _, total := range totals {
		sum += total
	}
	for vm := range out {
		out[vm].Slots += max(0, a.left) * float64(totals[vm]+1) / float64(sum)
	}
}

// limitUsage holds for each limit and VM what the VM's flows under the limit got and have.
type limitUsage struct {
	vms    int
	cells  []usageCell
	shares []int // result of divide
	order  []int
}

type usageCell struct {
	slots  float64
	tasks  vmTasks
	locked bool // runs more than its part
}

func newLimitUsage(limits, vms int) *limitUsage {
	return &limitUsage{vms: vms, cells: make([]usageCell, limits*vms), shares: make([]int, vms), order: make([]int, vms)}
}

func (c *usageCell) add(slots float64, t vmTasks) {
	c.slots += slots
	c.tasks.total += t.total
	c.tasks.running += t.running
}

func (u *limitUsage) add(limit, vm int, slots float64, t vmTasks) {
	u.cells[limit*u.vms+vm].add(slots, t)
}

// addToParents adds the use of each limit to the limits above it.
func (u *limitUsage) addToParents(limits []allocationLimit) {
	own := slices.Clone(u.cells)
	for at := range limits {
		for above := limits[at].parent; above >= 0; above = limits[above].parent {
			for vm, c := range own[at*u.vms : (at+1)*u.vms] {
				u.add(above, vm, c.slots, c.tasks)
			}
		}
	}
}

// divide splits a quota over the VMs in whole slots; the result is valid until the next call.
//
// A VM that runs more than its part can't start tasks, and what it runs is taken from the parts of the others, so that all
// VMs together never exceed the quota if they use the same demands. The slots left over by rounding down go to the VMs
// that run the fewest in relation to their part.
func (u *limitUsage) divide(limit int, quota float64) []int {
	cells := u.cells[limit*u.vms : (limit+1)*u.vms]
	u.addRest(cells, quota)
	free := lock(cells, int(quota))
	shares, order := u.shares, u.order[:0]
	for vm, c := range cells {
		shares[vm] = int(c.slots + tolerance)
		if c.locked {
			continue
		}
		shares[vm] = min(shares[vm], free)
		free -= shares[vm]
		order = append(order, vm)
	}
	lacking := func(vm int) float64 { return cells[vm].slots - float64(max(shares[vm], cells[vm].tasks.running)) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(lacking(b), lacking(a)) })
	for i := 0; free > 0 && len(order) > 0; i++ {
		shares[order[i%len(order)]]++
		free--
	}
	return shares
}

// addRest adds the part of a quota that nobody needs to the parts of the VMs, one half by demand and one half evenly, so
// that a VM without demand can start some tasks before the next exchange of reports.
func (u *limitUsage) addRest(cells []usageCell, quota float64) {
	rest, sum := quota, 0.0
	for _, c := range cells {
		rest -= c.slots
		sum += float64(c.tasks.total)
	}
	even := sum/float64(u.vms) + 1
	for vm := range cells {
		weight := (float64(cells[vm].tasks.total) + even) / (sum + even*float64(u.vms))
		cells[vm].slots += max(0, rest) * weight
	}
}

// lock marks the VMs that run more than their part, scales the parts of the others down and returns the slots for them.
func lock(cells []usageCell, quota int) (free int) {
	for range cells {
		free = quota
		open, changed := 0.0, false
		for vm := range cells {
			c := &cells[vm]
			if !c.locked && float64(c.tasks.running) > c.slots+tolerance {
				c.locked, changed = true, true
			}
			if c.locked {
				free -= c.tasks.running
			} else {
				open += c.slots
			}
		}
		free = max(free, 0)
		if !changed || open <= 0 {
			break
		}
		for vm := range cells {
			if !cells[vm].locked {
				cells[vm].slots *= float64(free) / open
			}
		}
	}
	return free
}
