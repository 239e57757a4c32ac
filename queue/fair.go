package queue

import (
	"math"
	"time"
)

// Constants of the policy Fair.
const (
	// minTarget is the share in slots of flows without a target; it keeps them from starving.
	minTarget = 0.05
	// ratioWindow weighs the present running/target ratio against the service received so far. The ratio alone can't
	// share fewer slots than there are flows, because most flows then have the ratio 0.
	ratioWindow = 0.5
	// mostCredit bounds the service in seconds that a flow without queued work may catch up. It lets a flow that stays
	// below its share run a burst on more slots than its share, which a flood leaves to it otherwise.
	mostCredit = 2
	// startCost is the service in seconds that a start counts at least, so that turns change among very short tasks.
	startCost = 0.0001
	// mostDebt bounds the service in seconds for which a flow waits because it had more than its share before; it covers
	// one task of 2 s of a flow with a fifth of a slot.
	mostDebt = 10
	// sampleInterval is the time between two updates of all levels.
	sampleInterval = 5 * time.Millisecond
	// longestPause bounds the time that counts between two calls, which a frozen VM exceeds.
	longestPause = 100 * time.Millisecond
	// slotsUnset stands for the slots of this VM until they are known; only the ratios of targets matter.
	slotsUnset = 100
)

// fairClock is the state of the policy Fair that all flows share.
type fairClock struct {
	virtual float64 // service of the flow that received the least; a flow that gets work starts here less its credit
	seconds float64 // time in which some flow waited for a slot; only such time is charged
	seen    time.Time
	sampled time.Time
	ended   []*flow // flows with tasks that ended since the last call that told the time
	given   float64 // sum of the targets of SetFlowAllocations
	slots   float64 // of this VM by SetAllocation
}

// level is the running/target ratio corrected by the service received so far.
func (f *flow) level() float64 {
	return f.virtual + ratioWindow*float64(f.running)*f.inverse()
}

// advance lets time pass before any other change of the queue.
func (q *Queue) advance(now time.Time) {
	if q.policy != Fair {
		return
	}
	if passed := now.Sub(q.fair.seen); passed > 0 {
		q.fair.seen = now
		if q.contended() {
			q.fair.seconds += min(passed, longestPause).Seconds()
		}
	}
	for _, f := range q.fair.ended {
		q.settle(f)
		f.charged = f.running
		q.relevel(f)
	}
	q.fair.ended = q.fair.ended[:0]
	if now.Sub(q.fair.sampled) >= sampleInterval {
		q.fair.sampled = now
		q.sample()
	}
}

// contended reports whether a flow waits for a slot.
func (q *Queue) contended() bool {
	for _, f := range q.active {
		if !f.blocked() {
			return true
		}
	}
	return false
}

// settle charges a flow for the slots that it used since it was settled last.
func (q *Queue) settle(f *flow) {
	f.virtual += (q.fair.seconds - f.settled) * float64(f.charged) * f.inverse()
	f.settled = q.fair.seconds
}

func (q *Queue) settleAll() {
	for _, f := range q.sorted {
		q.settle(f)
	}
}

// started charges a flow for a task that starts now.
func (q *Queue) started(f *flow) {
	q.settle(f)
	f.charged++
	f.virtual += startCost * f.inverse()
	q.relevel(f)
}

// ended charges the flow for an ended task until the next call that tells the time, because Done doesn't.
func (q *Queue) ended(f *flow) {
	if q.policy == Fair {
		q.fair.ended = append(q.fair.ended, f)
	}
}

// sample updates all levels and bounds debts and credits.
func (q *Queue) sample() {
	q.settleAll()
	q.entitleClasses()
	least := math.Inf(1)
	for _, f := range q.active {
		if f.virtual < least && !f.blocked() {
			least = f.virtual
		}
	}
	if !math.IsInf(least, 1) {
		q.fair.virtual = max(q.fair.virtual, least)
	}
	for _, f := range q.sorted {
		f.virtual = min(f.virtual, q.fair.virtual+mostDebt)
		if f.position < 0 || f.blocked() {
			f.virtual = max(f.virtual, q.fair.virtual-mostCredit)
		}
		q.relevel(f)
	}
}

// SetFlowAllocations gives the slots of this VM to which flows are entitled; until the next call a flow that is not listed is
// served by the share of its priority and the weight of its team.
func (q *Queue) SetFlowAllocations(targets []FlowAllocation) {
	q.settleAll()
	for _, f := range q.sorted {
		f.target, f.met = 0, false
	}
	q.fair.given = 0
	for _, t := range targets {
		if t.Slots <= 0 {
			continue
		}
		f := q.flow(t.Flow)
		f.target = t.Slots
		f.met = t.Slots >= float64(f.queued+f.running)
		q.fair.given += t.Slots
	}
	q.entitle()
}

// entitle sets the targets of all flows, which have been settled.
func (q *Queue) entitle() {
	q.entitleClasses()
	for _, f := range q.sorted {
		q.relevel(f)
	}
}

// entitleClasses sets what the flows of a priority without a given target have in common, by the teams that have queued
// tasks now.
func (q *Queue) entitleClasses() {
	slots := q.ownSlots()
	for _, c := range q.rules.classes {
		c.sampled = c.weight
		c.slots = max(slots*c.share, minTarget)
	}
}

// inverse returns 1/target. A target that met the whole demand says nothing about more demand, so then the share of the
// priority counts if it is larger.
func (f *flow) inverse() float64 {
	if !f.listed {
		return 1 / minTarget
	}
	if f.target > 0 && !f.met {
		return 1 / max(f.target, minTarget)
	}
	byShare := f.class.slots * f.weight / max(f.class.sampled, f.weight)
	return 1 / max(byShare, f.target, minTarget)
}

// SetAllocation gives what Allocate computed for this VM; it includes SetFlowAllocations and SetLocalQuotas.
func (q *Queue) SetAllocation(t VMAllocation) {
	q.fair.slots = t.Slots
	q.SetFlowAllocations(t.Flows)
	q.SetLocalQuotas(t.Limits)
}

// FairShare returns the slots of this VM that a flow could use if it had enough queued tasks, for estimates.
//
// Its target may be lower, because targets never exceed the demand. A VM without demand has no part of a quota until the
// next allocation, so it may count on an equal part among the entry VMs of the zone.
func (q *Queue) FairShare(name Flow, vms int) float64 {
	slots := q.ownSlots()
	c := q.rules.class(name.Priority)
	weight := float64(max(q.rules.teams[name.Team].Weight, 1))
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
	for _, l := range q.rules.chain(name.Team) {
		slots = min(slots, max(float64(l.share), float64(l.quota)/float64(max(vms, 1))), float64(l.quota))
	}
	return slots
}

// ownSlots is the number of slots of this VM that targets refer to.
func (q *Queue) ownSlots() float64 {
	switch {
	case q.fair.slots > 0:
		return q.fair.slots
	case q.fair.given > 0:
		return q.fair.given
	case q.zone.slots > 0:
		return float64(q.zone.slots)
	default:
		return slotsUnset
	}
}
