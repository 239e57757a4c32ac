package queue

import (
	"math"
	"slices"
	"time"

	"samphireplank.example/samphireplank/contract"
)

// Policy chooses the flow that is served next.
type Policy uint8

// The policies.
const (
	// Fair serves the flow that has the fewest slots in relation to its target.
	Fair Policy = iota
	// FIFO serves jobs in order of arrival.
	FIFO
	// Strict serves the most urgent priority first and in order of arrival inside it.
	Strict
	// Proportional serves the most urgent priority first, and inside it the team that has the fewest slots in relation
	// to its weight.
	Proportional
)

// ahead reports whether queued work of a flow of another rank is served before new work of rank.
func (p Policy) ahead(other, rank int) bool {
	switch p {
	case FIFO:
		return true
	case Strict:
		return other <= rank
	case Proportional:
		return other < rank
	default:
		return false
	}
}

// Constants of the policy Fair.
const (
	// minTarget is the share in slots of flows without a target; it keeps them from starving.
	minTarget = 0.05
	// ratioWindow weighs the present running/target ratio against the service received so far. The ratio alone can't
	// share fewer slots than there are flows, because most flows then have the ratio 0.
	ratioWindow = 0.2
	// startCost is the service in seconds that a start counts at least, so that turns change among very short tasks.
	startCost = 0.001
	// mostDebt bounds the service in seconds for which a flow waits because it had more than its share before.
	mostDebt = 2
	// sampleInterval is the time between two updates of the service received.
	sampleInterval = 5 * time.Millisecond
	// longestSample bounds one update after a time without calls.
	longestSample = 100 * time.Millisecond
	// slotsUnset stands for the slots of this VM until they are known; only the ratios of targets matter.
	slotsUnset = 100
)

// fairClock is the state of the policy Fair that all flows share.
type fairClock struct {
	virtual float64 // service of the flow that received the least; a flow that gets work starts here
	sampled time.Time
	given   float64 // sum of the targets of SetTargets
}

// pick returns the flow that is served next, or nil.
func (q *Queue) pick() *flow {
	var best *flow
	least := math.Inf(1)
	for i, level := range q.levels {
		if level > least {
			continue
		}
		f := q.active[i]
		if level == least && best != nil && !q.precedes(f, best) || f.blocked() {
			continue
		}
		best, least = f, level
	}
	return best
}

// relevel updates the number by which the flow is chosen, smallest first.
func (q *Queue) relevel(f *flow) {
	if f.position < 0 {
		return
	}
	level := float64(f.rank)
	switch q.policy {
	case Fair:
		level = f.level()
	case FIFO:
		level = float64(f.oldest())
	}
	q.levels[f.position] = level
}

// blocked reports whether a quota forbids the flow another task.
func (f *flow) blocked() bool {
	for _, l := range f.limits {
		if l.full() {
			return true
		}
	}
	return false
}

// precedes reports whether a is served before b when both have the same level.
func (q *Queue) precedes(a, b *flow) bool {
	switch q.policy {
	case Fair:
		if a.rank != b.rank {
			return a.rank < b.rank
		}
	case Proportional:
		left, right := float64(a.running)/a.weight, float64(b.running)/b.weight
		if left != right {
			return left < right
		}
	}
	return a.oldest() < b.oldest()
}

// level is the running/target ratio corrected by the service received so far.
func (f *flow) level() float64 {
	return f.virtual + ratioWindow*float64(f.running)*f.inverse()
}

// advance charges the flows for the slots they used since the last sample.
func (q *Queue) advance(now time.Time) {
	passed := now.Sub(q.fair.sampled)
	if q.policy != Fair || passed < sampleInterval {
		return
	}
	q.fair.sampled = now
	q.charge(min(passed, longestSample).Seconds())
}

// charge adds the service of the last seconds; without a flow that waits for a slot nothing is charged.
func (q *Queue) charge(seconds float64) {
	least, waiting := 0.0, false
	for _, f := range q.active {
		if f.blocked() {
			continue
		}
		virtual := f.virtual + seconds*float64(f.running)*f.inverse()
		if !waiting || virtual < least {
			least, waiting = virtual, true
		}
	}
	if !waiting {
		return
	}
	q.fair.virtual = max(q.fair.virtual, least)
	for _, f := range q.sorted {
		f.virtual = min(f.virtual+seconds*float64(f.running)*f.inverse(), q.fair.virtual+mostDebt)
		if f.position < 0 || f.blocked() {
			f.virtual = max(f.virtual, q.fair.virtual)
		}
		q.relevel(f)
	}
}

// SetTargets gives the slots of this VM to which flows are entitled; until the next call a flow that is not listed is
// served by the share of its priority and the weight of its team.
func (q *Queue) SetTargets(targets []Target) {
	for _, f := range q.sorted {
		f.target = 0
	}
	q.fair.given = 0
	for _, t := range targets {
		if t.Slots <= 0 {
			continue
		}
		q.flow(t.Flow).target = t.Slots
		q.fair.given += t.Slots
	}
	q.entitle()
}

// entitle sets the targets of all flows.
func (q *Queue) entitle() {
	for _, c := range q.rules.classes {
		c.entitle(q.ownSlots())
	}
	for _, f := range q.sorted {
		f.entitle()
		q.relevel(f)
	}
}

// reweigh follows a change of the weight of the teams with queued tasks.
func (q *Queue) reweigh(c *class, change float64) {
	c.weight += change
	c.entitle(q.ownSlots())
	if q.policy != Fair {
		return
	}
	for _, f := range q.active {
		if f.class == c && f.given == 0 {
			q.relevel(f)
		}
	}
}

// entitle sets what all flows of the priority without a given target have in common.
func (c *class) entitle(slots float64) {
	c.inverse = max(c.weight, 1) / max(slots*c.share, minTarget)
}

// entitle sets the target of a flow if it isn't left to share and weight.
func (f *flow) entitle() {
	f.given = 0
	if !f.listed {
		f.given = 1 / minTarget
	} else if f.target > 0 {
		f.given = 1 / max(f.target, minTarget)
	}
}

// inverse returns 1/target.
func (f *flow) inverse() float64 {
	if f.given > 0 {
		return f.given
	}
	return min(f.class.inverse/f.weight, 1/minTarget)
}

// ownSlots is the number of slots of this VM that targets refer to.
func (q *Queue) ownSlots() float64 {
	switch {
	case q.fair.given > 0:
		return q.fair.given
	case q.zone.slots > 0:
		return float64(q.zone.slots)
	default:
		return slotsUnset
	}
}

// LimitShare is the part of a limit's quota that one VM may use.
type LimitShare struct {
	Limit string
	Slots int
}

// zoneState is what the queue was told about its zone.
type zoneState struct {
	slots     int
	elsewhere []Demand
	shares    []LimitShare
}

// SetZone gives the number of slots of the zone and the demand of its other VMs, for the quotas of limits.
func (q *Queue) SetZone(slots int, elsewhere []Demand) {
	q.zone.slots = slots
	q.zone.elsewhere = append(q.zone.elsewhere[:0], elsewhere...)
	q.applyZone()
	q.entitle()
}

// SetLimitShares gives the part of each quota that this VM may use; limits that are not listed are bounded by the zone's
// running tasks only.
func (q *Queue) SetLimitShares(shares []LimitShare) {
	q.zone.shares = append(q.zone.shares[:0], shares...)
	q.applyZone()
}

// applyZone recomputes the quotas of all limits.
func (q *Queue) applyZone() {
	q.rules.resetQuotas(q.zone.slots)
	for _, d := range q.zone.elsewhere {
		for l := q.rules.limits[q.rules.teams[d.Flow.Team].Limit]; l != nil; l = l.parent {
			l.elsewhere += d.Running
		}
	}
	for _, s := range q.zone.shares {
		if l, known := q.rules.limits[s.Limit]; known {
			l.share = s.Slots
		}
	}
}

// Configure puts a set of objects in force; queued jobs and running tasks stay counted.
func (q *Queue) Configure(set *contract.Set) {
	q.rules = newRules(set)
	q.sorted = slices.DeleteFunc(q.sorted, func(f *flow) bool {
		q.rules.apply(f)
		if f.listed || f.queued > 0 || f.running > 0 || f.target > 0 {
			return false
		}
		delete(q.flows, f.name)
		return true
	})
	for _, f := range q.sorted {
		f.class.queued += f.queued
		if f.position >= 0 {
			f.class.weight += f.weight
		}
		for _, l := range f.limits {
			l.queued += f.queued
			l.running += f.running
		}
	}
	q.applyZone()
	q.entitle()
}
