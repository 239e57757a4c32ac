package queue

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"samphireplank.example/samphireplank/contract"
)

// tolerance is the floating-point error in slots that allocations ignore.
const tolerance = 1e-9

// waterFiller computes a weighted max-min allocation by progressive filling. All open flows of a priority have the same
// level, which is the number of slots per unit of weight. The levels rise at rates that give open priorities slots in
// proportion to their shares.
type waterFiller struct {
	remaining  float64 // slots not allocated yet
	openFlows  int     // flows that can still get slots
	flows      []fillFlow
	priorities []fillPriority
	limits     []fillLimit
	// weights holds the total weight of the open flows for each limit and priority.
	weights []float64
}

// fillFlow is the demand of a flow over all VMs and the slots allocated to it.
type fillFlow struct {
	demand      *zoneDemand
	priority    int
	limit       int // -1 for none
	weight      float64
	demandLevel float64 // level at which the flow's demand is met
	slots       float64
	closed      bool
}

// fillPriority is the state of filling one priority.
type fillPriority struct {
	share         float64
	weight        float64 // of the open flows
	level         float64
	rate          float64 // rate at which the level rises in the current step
	byDemandLevel []int   // indexes of flows, sorted by demandLevel; the first one is open
}

// fillLimit is a limit and the slots allocated to the flows under it.
type fillLimit struct {
	name   string
	parent int // -1 for none
	quota  float64
	used   float64
	rate   float64
	closed bool
}

func newWaterFiller(slots int, set *contract.Set, demands []zoneDemand) *waterFiller {
	a := &waterFiller{remaining: float64(max(0, slots)), flows: make([]fillFlow, 0, len(demands))}
	a.addLimits(slots, set.Limits)
	a.priorities = make([]fillPriority, len(set.Priorities)+1)
	for i, p := range set.Priorities {
		a.priorities[i].share = float64(p.Share)
	}
	a.priorities[len(set.Priorities)].share = unlistedShare
	a.weights = make([]float64, len(a.limits)*len(a.priorities))
	finder := newTeamFinder(set)
	for i := range demands {
		a.addFlow(finder, &demands[i])
	}
	for i := range a.priorities {
		slices.SortFunc(a.priorities[i].byDemandLevel, func(x, y int) int {
			if a.flows[x].demandLevel != a.flows[y].demandLevel {
				return cmp.Compare(a.flows[x].demandLevel, a.flows[y].demandLevel)
			}
			return x - y
		})
	}
	return a
}

// addLimits copies the limits and breaks cycles of parents, which a validated set doesn't contain.
func (a *waterFiller) addLimits(slots int, limits []contract.Limit) {
	a.limits = make([]fillLimit, len(limits))
	for i, l := range limits {
		a.limits[i] = fillLimit{name: l.Name, parent: -1, quota: float64(quotaSlots(l.Quota, slots))}
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

// findLimit returns the index of a limit, or -1; the limits of a set are sorted by name.
func findLimit(limits []contract.Limit, name string) int {
	at, found := slices.BinarySearchFunc(limits, name, func(l contract.Limit, name string) int { return strings.Compare(l.Name, name) })
	if !found {
		return -1
	}
	return at
}

// teamFinder looks up the priority and team of flows in ascending order by a merge walk along the sorted set.
type teamFinder struct {
	set          *contract.Set
	limits       []int // of each team, -1 for none
	priority     int
	team         int
	lastPriority string // priority of the last flow
}

func newTeamFinder(set *contract.Set) *teamFinder {
	f := &teamFinder{set: set, limits: make([]int, len(set.Teams))}
	for i, team := range set.Teams {
		f.limits[i] = findLimit(set.Limits, team.Limit)
	}
	return f
}

// lookup returns the indexes of the flow's priority and team, -1 for one that is not in the set.
func (f *teamFinder) lookup(flow Flow) (priority, team int) {
	if flow.Priority != f.lastPriority {
		f.lastPriority, f.team = flow.Priority, 0
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

func (a *waterFiller) addFlow(finder *teamFinder, d *zoneDemand) {
	f := fillFlow{demand: d, limit: -1, weight: 1, closed: d.total <= 0}
	priority, team := finder.lookup(d.flow)
	f.priority = priority
	if team >= 0 {
		f.weight = float64(finder.set.Teams[team].Weight)
		f.limit = finder.limits[team]
	}
	if team < 0 || priority < 0 {
		f.priority, f.weight = len(a.priorities)-1, 1
	}
	f.demandLevel = float64(d.total) / f.weight
	if !f.closed {
		g := &a.priorities[f.priority]
		if g.byDemandLevel == nil {
			g.byDemandLevel = make([]int, 0, len(finder.set.Teams))
		}
		g.byDemandLevel = append(g.byDemandLevel, len(a.flows))
		a.addWeight(&f, f.weight)
		a.openFlows++
	}
	a.flows = append(a.flows, f)
}

// addWeight adds to the weight of the open flows in the priority of a flow and in its limits.
func (a *waterFiller) addWeight(f *fillFlow, change float64) {
	a.priorities[f.priority].weight += change
	for l := f.limit; l >= 0; l = a.limits[l].parent {
		a.weights[l*len(a.priorities)+f.priority] += change
	}
}

// fill raises the levels step by step; each step ends where a demand is met, a quota is used up or no slots remain.
func (a *waterFiller) fill() {
	for a.openFlows > 0 && a.remaining > tolerance {
		a.raiseToNextEvent()
	}
	for i := range a.flows {
		if f := &a.flows[i]; !f.closed {
			a.closeFlow(f, min(a.priorities[f.priority].level*f.weight, float64(f.demand.total)))
		}
	}
}

func (a *waterFiller) raiseToNextEvent() {
	length, total := math.Inf(1), 0.0
	for i := range a.priorities {
		g := &a.priorities[i]
		g.rate = 0
		if len(g.byDemandLevel) == 0 {
			continue
		}
		total += g.share
		g.rate = g.share / g.weight
		length = min(length, (a.flows[g.byDemandLevel[0]].demandLevel-g.level)/g.rate)
	}
	for i := range a.limits {
		l := &a.limits[i]
		l.rate = 0
		for g, weight := range a.weights[i*len(a.priorities) : (i+1)*len(a.priorities)] {
			l.rate += a.priorities[g].rate * weight
		}
		if l.rate > 0 {
			length = min(length, (l.quota-l.used)/l.rate)
		}
	}
	a.raiseLevels(max(0, min(length, a.remaining/total)), total)
}

// raiseLevels raises the levels and closes the flows whose demand is met or whose quota is used up.
func (a *waterFiller) raiseLevels(length, total float64) {
	a.remaining -= length * total
	for i := range a.limits {
		a.limits[i].used += length * a.limits[i].rate
	}
	for i := range a.priorities {
		g := &a.priorities[i]
		g.level += length * g.rate
		for len(g.byDemandLevel) > 0 && a.flows[g.byDemandLevel[0]].demandLevel <= g.level*(1+tolerance) {
			f := &a.flows[g.byDemandLevel[0]]
			a.closeFlow(f, float64(f.demand.total))
		}
	}
	for i := range a.limits {
		if l := &a.limits[i]; l.rate > 0 && l.quota-l.used <= tolerance {
			l.closed = true
			a.closeUnder(i)
		}
	}
}

// closeUnder closes all open flows under a limit.
func (a *waterFiller) closeUnder(limit int) {
	for i := range a.flows {
		f := &a.flows[i]
		if f.closed {
			continue
		}
		for l := f.limit; l >= 0; l = a.limits[l].parent {
			if l == limit {
				a.closeFlow(f, min(a.priorities[f.priority].level*f.weight, float64(f.demand.total)))
				break
			}
		}
	}
}

// closeFlow fixes the slots of a flow and removes it from the open flows.
func (a *waterFiller) closeFlow(f *fillFlow, slots float64) {
	f.closed, f.slots = true, slots
	a.openFlows--
	a.addWeight(f, -f.weight)
	g := &a.priorities[f.priority]
	for len(g.byDemandLevel) > 0 && a.flows[g.byDemandLevel[0]].closed {
		g.byDemandLevel = g.byDemandLevel[1:]
	}
}
