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

// VMTargets is what one entry VM is entitled to: Slots is the sum over its flows plus its part of the spare slots.
type VMTargets struct {
	VM     string
	Slots  float64
	Flows  []Target
	Limits []LimitShare
}

// Allocate divides the slots of a zone by weighted max-min over its flows and splits each flow's part over the entry VMs
// by their demand; the result is sorted by VM and flow and doesn't depend on the order of the demands.
//
// A priority gets at least its share of the slots if its flows can use it, and a team its part of that by weight. What
// demand or quotas leave unused goes to the others. The shares of limits are whole slots and add up to the quota.
func Allocate(slots int, set *contract.Set, demands []VMDemand) []VMTargets {
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
	for {
		first := firstFlow(rest)
		if first == nil {
			return merged
		}
		z := zoneDemand{flow: first.Flow}
		start := len(tasks)
		for vm := range rest {
			var t vmTasks
			for len(rest[vm]) > 0 && rest[vm][0].Flow == z.flow {
				t.total += rest[vm][0].Queued + rest[vm][0].Running
				t.running += rest[vm][0].Running
				rest[vm] = rest[vm][1:]
			}
			tasks = append(tasks, t)
			z.total += t.total
		}
		z.vms = tasks[start:len(tasks):len(tasks)]
		merged = append(merged, z)
	}
}

// firstFlow returns the first of the demands at the front of the lists.
func firstFlow(lists [][]Demand) *Demand {
	var first *Demand
	for _, l := range lists {
		if len(l) > 0 && (first == nil || l[0].Flow != first.Flow && l[0].Flow.Compare(first.Flow) < 0) {
			first = &l[0]
		}
	}
	return first
}

// split divides the allocation over the VMs.
func (a *allocation) split(demands []VMDemand) []VMTargets {
	out := make([]VMTargets, len(demands))
	shares := make([]LimitShare, len(a.limits)*len(demands))
	for vm, d := range demands {
		first := vm * len(a.limits)
		out[vm] = VMTargets{VM: d.VM, Flows: make([]Target, 0, len(d.Flows)), Limits: shares[first : first+len(a.limits)]}
	}
	usage := newLimitUsage(len(a.limits), len(demands))
	totals := make([]int, len(demands))
	for i := range a.flows {
		f := &a.flows[i]
		for vm, t := range f.demand.vms {
			if t.total <= 0 {
				continue
			}
			slots := f.slots * float64(t.total) / float64(f.demand.total)
			out[vm].Slots += slots
			out[vm].Flows = append(out[vm].Flows, Target{Flow: f.demand.flow, Slots: slots})
			usage.add(a, f.limit, vm, slots, t)
			totals[vm] += t.total
		}
	}
	a.splitSpare(out, totals)
	for at := range a.limits {
		for vm, slots := range usage.divide(at, a.limits[at].quota) {
			out[vm].Limits[at] = LimitShare{Limit: a.limits[at].name, Slots: slots}
		}
	}
	return out
}

// splitSpare gives the slots that nobody needs to the VMs in proportion to their demand. One is added to each demand, so
// that a VM without demand has some slots to start with.
func (a *allocation) splitSpare(out []VMTargets, totals []int) {
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
	vms     int
	slots   []float64
	demand  []int
	running []int
}

func newLimitUsage(limits, vms int) *limitUsage {
	n := limits * vms
	return &limitUsage{vms: vms, slots: make([]float64, n), demand: make([]int, n), running: make([]int, n)}
}

func (u *limitUsage) add(a *allocation, limit, vm int, slots float64, t vmTasks) {
	for ; limit >= 0; limit = a.limits[limit].parent {
		at := limit*u.vms + vm
		u.slots[at] += slots
		u.demand[at] += t.total
		u.running[at] += t.running
	}
}

// divide splits a quota over the VMs in whole slots. The slots left over by rounding down go to the VMs that run the
// fewest in relation to their part, so that a quota of fewer slots than VMs goes round.
func (u *limitUsage) divide(limit int, quota float64) []int {
	first := limit * u.vms
	slots, demand, running := u.slots[first:first+u.vms], u.demand[first:first+u.vms], u.running[first:first+u.vms]
	rest, weight, free := quota, float64(u.vms), int(quota)
	for vm := range slots {
		rest -= slots[vm]
		weight += float64(demand[vm])
	}
	shares := make([]int, u.vms)
	order := make([]int, u.vms)
	for vm := range slots {
		slots[vm] += max(0, rest) * float64(demand[vm]+1) / weight
		shares[vm] = min(int(slots[vm]+tolerance), free)
		free -= shares[vm]
		order[vm] = vm
	}
	lacking := func(vm int) float64 { return slots[vm] - float64(max(shares[vm], running[vm])) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(lacking(b), lacking(a)) })
	for i := 0; free > 0; i++ {
		shares[order[i%u.vms]]++
		free--
	}
	return shares
}
