package queue

import (
	"math"
	"time"
)

// Constants of the Fair policy.
const (
	// minTarget is the minimum target of a flow in slots; it keeps flows without an allocation from starving.
	minTarget = 0.05
	// ratioWindow weights the current running/target ratio, in seconds of service, against the service received so far.
	// The ratio alone can't share fewer slots than there are flows, because most flows then have the ratio 0.
	ratioWindow = 0.5
	// maxCredit limits the service in seconds by which a flow without queued work may fall behind and later catch up.
	// It lets a flow that stays below its share run a burst on more slots than its share; otherwise a flood of another
	// flow would leave it no more than its share.
	maxCredit = 2
	// startCost is the service in seconds charged for each start besides the slot time, so that very short tasks take
	// turns.
	startCost = 0.0001
	// maxDebt limits the service in seconds by which a flow may be ahead of the others, and so the time for which it
	// then waits. It covers one task of 2 s of a flow with a fifth of a slot.
	maxDebt = 10
	// refreshInterval is the time between two updates of all sort keys.
	refreshInterval = 5 * time.Millisecond
	// maxClockStep limits the time charged between two calls; a paused VM exceeds it.
	maxClockStep = 100 * time.Millisecond
	// defaultSlots replaces the number of slots of this VM until it is known; only the ratios of targets matter.
	defaultSlots = 100
)

// fairClock is the state of the Fair policy that all flows share.
type fairClock struct {
	virtualTime      float64 // least service among active flows; a flow that becomes active lags by at most maxCredit
	contendedSeconds float64 // time during which some flow waited for a slot; only this time is charged
	lastAdvance      time.Time
	lastRefresh      time.Time
	endedFlows       []*flow // flows with tasks that ended since the last call of advance
	allocatedSlots   float64 // sum of the slots given by SetFlowAllocations
	vmSlots          float64 // slots of this VM given by SetAllocation
}

// fairKey returns the sort key of the Fair policy: the service received plus the weighted running/target ratio.
func (f *flow) fairKey() float64 {
	return f.virtualTime + ratioWindow*float64(f.running)*f.inverseTarget()
}

// advance moves the clock of the Fair policy to now; it precedes any other change of the queue.
func (q *Queue) advance(now time.Time) {
	if q.policy != Fair {
		return
	}
	if passed := now.Sub(q.fair.lastAdvance); passed > 0 {
		q.fair.lastAdvance = now
		if q.contended() {
			q.fair.contendedSeconds += min(passed, maxClockStep).Seconds()
		}
	}
	for _, f := range q.fair.endedFlows {
		q.charge(f)
		f.chargedTasks = f.running
		q.updateSortKey(f)
	}
	q.fair.endedFlows = q.fair.endedFlows[:0]
	if now.Sub(q.fair.lastRefresh) >= refreshInterval {
		q.fair.lastRefresh = now
		q.refreshSortKeys()
	}
}

// contended reports whether a flow with queued tasks waits for a slot and not for a quota.
func (q *Queue) contended() bool {
	for _, f := range q.active {
		if !f.blocked() {
			return true
		}
	}
	return false
}

// charge adds the service that a flow used since it was last charged.
func (q *Queue) charge(f *flow) {
	f.virtualTime += (q.fair.contendedSeconds - f.chargedUntil) * float64(f.chargedTasks) * f.inverseTarget()
	f.chargedUntil = q.fair.contendedSeconds
}

func (q *Queue) chargeAll() {
	for _, f := range q.sorted {
		q.charge(f)
	}
}

// chargeStart charges the flow for a task that starts now.
func (q *Queue) chargeStart(f *flow) {
	q.charge(f)
	f.chargedTasks++
	f.virtualTime += startCost * f.inverseTarget()
	q.updateSortKey(f)
}

// deferEndCharge keeps charging the flow for an ended task until the next call of advance, because Done has no current
// time.
func (q *Queue) deferEndCharge(f *flow) {
	if q.policy == Fair {
		q.fair.endedFlows = append(q.fair.endedFlows, f)
	}
}

// refreshSortKeys updates the sort keys of all flows and limits how far their service is behind or ahead.
func (q *Queue) refreshSortKeys() {
	q.chargeAll()
	q.updatePriorityShares()
	minService := math.Inf(1)
	for _, f := range q.active {
		if f.virtualTime < minService && !f.blocked() {
			minService = f.virtualTime
		}
	}
	if !math.IsInf(minService, 1) {
		q.fair.virtualTime = max(q.fair.virtualTime, minService)
	}
	for _, f := range q.sorted {
		f.virtualTime = min(f.virtualTime, q.fair.virtualTime+maxDebt)
		if f.position < 0 || f.blocked() {
			f.virtualTime = max(f.virtualTime, q.fair.virtualTime-maxCredit)
		}
		q.updateSortKey(f)
	}
}

// SetFlowAllocations sets the slots of this VM allocated to each flow. Until the next call, a flow that is not listed
// is served by the share of its priority and the weight of its team.
func (q *Queue) SetFlowAllocations(targets []FlowAllocation) {
	q.chargeAll()
	for _, f := range q.sorted {
		f.target, f.demandMet = 0, false
	}
	q.fair.allocatedSlots = 0
	for _, t := range targets {
		if t.Slots <= 0 {
			continue
		}
		f := q.flow(t.Flow)
		f.target = t.Slots
		f.demandMet = t.Slots >= float64(f.queued+f.running)
		q.fair.allocatedSlots += t.Slots
	}
	q.updateShares()
}

// updateShares recomputes the targets of all flows; the flows must have been charged before.
func (q *Queue) updateShares() {
	q.updatePriorityShares()
	for _, f := range q.sorted {
		q.updateSortKey(f)
	}
}

// updatePriorityShares recomputes the slots of each priority and the weight of its teams with queued tasks, from which
// the targets of flows without an allocation derive.
func (q *Queue) updatePriorityShares() {
	slots := q.localSlots()
	for _, c := range q.index.priorities {
		c.sampledWeight = c.weight
		c.slots = max(slots*c.share, minTarget)
	}
}

// inverseTarget returns 1/target. An allocation that covered the whole demand doesn't limit later demand, so in that
// case the share of the priority counts if it is larger.
func (f *flow) inverseTarget() float64 {
	if !f.listed {
		return 1 / minTarget
	}
	if f.target > 0 && !f.demandMet {
		return 1 / max(f.target, minTarget)
	}
	byShare := f.priority.slots * f.weight / max(f.priority.sampledWeight, f.weight)
	return 1 / max(byShare, f.target, minTarget)
}

// SetAllocation applies the result of Allocate for this VM; it includes SetFlowAllocations and SetLocalQuotas.
func (q *Queue) SetAllocation(t VMAllocation) {
	q.fair.vmSlots = t.Slots
	q.SetFlowAllocations(t.Flows)
	q.SetLocalQuotas(t.Limits)
}

// FairShare estimates the number of slots of this VM that a flow could use if it had enough queued tasks.
//
// The allocation of the flow may be lower, because allocations never exceed the demand. A VM without demand has no part
// of a quota until the next allocation, so the estimate allows it at least an equal part among the given number of
// entry VMs of the zone.
func (q *Queue) FairShare(name Flow, vms int) float64 {
	slots := q.localSlots()
	c := q.index.priority(name.Priority)
	weight := float64(max(q.index.teams[name.Team].Weight, 1))
	active, target := c.weight+weight, 0.0
	if f, known := q.flows[name]; known {
		target = f.target
		if f.position >= 0 {
			active = c.weight
		}
	}
	switch q.policy {
	case Fair:
		slots = max(target, minTarget, slots*c.share*weight/active)
	case Proportional:
		slots *= weight / active
	}
	for _, l := range q.index.limitChain(name.Team) {
		slots = min(slots, max(float64(l.localQuota), float64(l.quota)/float64(max(vms, 1))), float64(l.quota))
	}
	return slots
}

// localSlots returns the number of slots of this VM to which targets refer.
func (q *Queue) localSlots() float64 {
	switch {
	case q.fair.vmSlots > 0:
		return q.fair.vmSlots
	case q.fair.allocatedSlots > 0:
		return q.fair.allocatedSlots
	case q.zone.slots > 0:
		return float64(q.zone.slots)
	default:
		return defaultSlots
	}
}
