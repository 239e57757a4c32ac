package queue

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"samphireplank.example/samphireplank/contract"
)

// tolerance is the error of floating point in slots that allocations ignore.
const tolerance = 1e-9

// allocation is the state of filling the flows of a zone. All open flows of a priority have the same level, the slots
// for each unit of weight, and the levels rise such that open priorities get slots in proportion to their shares.
type allocation struct {
	left   float64 // slots that are not allocated yet
	open   int     // flows that can get more
	flows  []allocationFlow
	groups []allocationGroup
	limits []allocationLimit
	// weights holds the weight of the open flows of each limit and priority.
	weights []float64
}

// allocationFlow is the demand of a flow over all VMs and the slots it gets.
type allocationFlow struct {
	demand *zoneDemand
	group  int
	limit  int // -1 for none
	weight float64
	end    float64 // level at which the demand is met
	slots  float64
	closed bool
}

// allocationGroup is a priority.
type allocationGroup struct {
	share  float64
	weight float64 // of the open flows
	level  float64
	rate   float64 // by which the level rises in the present step
	order  []int   // flows by the level at which their demand is met; the first is open
}

// allocationLimit is a limit with what its flows have got.
type allocationLimit struct {
	name   string
	parent int // -1 for none
	quota  float64
	used   float64
	rate   float64
	closed bool
}

func newAllocation(slots int, set *contract.Set, demands []zoneDemand) *allocation {
	a := &allocation{left: float64(max(0, slots)), flows: make([]allocationFlow, 0, len(demands))}
	a.addLimits(slots, set.Limits)
	a.groups = make([]allocationGroup, len(set.Priorities)+1)
	for i, p := range set.Priorities {
		a.groups[i].share = float64(p.Share)
	}
	a.groups[len(set.Priorities)].share = unlistedShare
	a.weights = make([]float64, len(a.limits)*len(a.groups))
	finder := newTeamFinder(set)
	for i := range demands {
		a.addFlow(finder, &demands[i])
	}
	for i := range a.groups {
		slices.SortFunc(a.groups[i].order, func(x, y int) int {
			if a.flows[x].end != a.flows[y].end {
				return cmp.Compare(a.flows[x].end, a.flows[y].end)
			}
			return x - y
		})
	}
	return a
}

// addLimits copies the limits and cuts circles of parents, which a checked set doesn't have.
func (a *allocation) addLimits(slots int, limits []contract.Limit) {
	a.limits = make([]allocationLimit, len(limits))
	for i, l := range limits {
		a.limits[i] = allocationLimit{name: l.Name, parent: -1, quota: float64(quotaSlots(l.Quota, slots))}
	}
	for i, l := range limits {
		parent := findLimit(limits, l.Parent)
		for above := parent; above >= 0; above = a.limits[above].parent {
			if above == i {
				parent = -1
				break
			}
		}
		a.limits[i].parent = parent
	}
}

// findLimit returns the place of a limit, or -1; sets are sorted by name.
func findLimit(limits []contract.Limit, name string) int {
	at, found := slices.BinarySearchFunc(limits, name, func(l contract.Limit, name string) int { return strings.Compare(l.Name, name) })
	if !found {
		return -1
	}
	return at
}

// teamFinder finds the objects of flows that are asked for in order, by walking along the sorted set.
type teamFinder struct {
	set      *contract.Set
	limits   []int // of each team, -1 for none
	priority int
	team     int
	last     string // priority of the last flow
}

func newTeamFinder(set *contract.Set) *teamFinder {
	f := &teamFinder{set: set, limits: make([]int, len(set.Teams))}
	for i, team := range set.Teams {
		f.limits[i] = findLimit(set.Limits, team.Limit)
	}
	return f
}

// find returns the places of the priority and the team of a flow, -1 for one that is not in the set.
func (f *teamFinder) find(flow Flow) (priority, team int) {
	if flow.Priority != f.last {
		f.last, f.team = flow.Priority, 0
	}
	for f.priority < len(f.set.Priorities) && f.set.Priorities[f.priority].Name < flow.Priority {
		f.priority++
	}
	for f.team < len(f.set.Teams) && f.set.Teams[f.team].Name < flow.Team {
		f.team++
	}
	priority, team = -1, -1
	if f.priority < len(f.set.Priorities) && f.set.Priorities[f.priority].Name == flow.Priority {
		priority = f.priority
	}
	if f.team < len(f.set.Teams) && f.set.Teams[f.team].Name == flow.Team {
		team = f.team
	}
	return priority, team
}

func (a *allocation) addFlow(finder *teamFinder, d *zoneDemand) {
	f := allocationFlow{demand: d, limit: -1, weight: 1, closed: d.total <= 0}
	priority, team := finder.find(d.flow)
	f.group = priority
	if team >= 0 {
		f.weight = float64(finder.set.Teams[team].Weight)
		f.limit = finder.limits[team]
	}
	if team < 0 || priority < 0 {
		f.group, f.weight = len(a.groups)-1, 1
	}
	f.end = float64(d.total) / f.weight
	if !f.closed {
		g := &a.groups[f.group]
		if g.order == nil {
			g.order = make([]int, 0, len(finder.set.Teams))
		}
		g.order = append(g.order, len(a.flows))
		a.weigh(&f, f.weight)
		a.open++
	}
	a.flows = append(a.flows, f)
}

// weigh changes the weight of the open flows in the priority and the limits of a flow.
func (a *allocation) weigh(f *allocationFlow, change float64) {
	a.groups[f.group].weight += change
	for l := f.limit; l >= 0; l = a.limits[l].parent {
		a.weights[l*len(a.groups)+f.group] += change
	}
}

// fill raises the levels step by step; each step ends where a demand is met, a quota is used up or no slot is left.
func (a *allocation) fill() {
	for a.open > 0 && a.left > tolerance {
		a.step()
	}
	for i := range a.flows {
		if f := &a.flows[i]; !f.closed {
			a.close(f, min(a.groups[f.group].level*f.weight, float64(f.demand.total)))
		}
	}
}

func (a *allocation) step() {
	length, total := math.Inf(1), 0.0
	for i := range a.groups {
		g := &a.groups[i]
		g.rate = 0
		if len(g.order) == 0 {
			continue
		}
		total += g.share
		g.rate = g.share / g.weight
		length = min(length, (a.flows[g.order[0]].end-g.level)/g.rate)
	}
	for i := range a.limits {
		l := &a.limits[i]
		l.rate = 0
		for g, weight := range a.weights[i*len(a.groups) : (i+1)*len(a.groups)] {
			l.rate += a.groups[g].rate * weight
		}
		if l.rate > 0 {
			length = min(length, (l.quota-l.used)/l.rate)
		}
	}
	a.rise(max(0, min(length, a.left/total)), total)
}

// rise raises the levels and closes what can't rise further.
func (a *allocation) rise(length, total float64) {
	a.left -= length * total
	for i := range a.limits {
		a.limits[i].used += length * a.limits[i].rate
	}
	for i := range a.groups {
		g := &a.groups[i]
		g.level += length * g.rate
		for len(g.order) > 0 && a.flows[g.order[0]].end <= g.level*(1+tolerance) {
			f := &a.flows[g.order[0]]
			a.close(f, float64(f.demand.total))
		}
	}
	for i := range a.limits {
		if l := &a.limits[i]; l.rate > 0 && l.quota-l.used <= tolerance {
			l.closed = true
			a.closeUnder(i)
		}
	}
}

// closeUnder closes all flows under a limit.
func (a *allocation) closeUnder(limit int) {
	for i := range a.flows {
		f := &a.flows[i]
		if f.closed {
			continue
		}
		for l := f.limit; l >= 0; l = a.limits[l].parent {
			if l == limit {
				a.close(f, min(a.groups[f.group].level*f.weight, float64(f.demand.total)))
				break
			}
		}
	}
}

// close gives a flow its final slots.
func (a *allocation) close(f *allocationFlow, slots float64) {
	f.closed, f.slots = true, slots
	a.open--
	a.weigh(f, -f.weight)
	g := &a.groups[f.group]
	for len(g.order) > 0 && a.flows[g.order[0]].closed {
		g.order = g.order[1:]
	}
}
