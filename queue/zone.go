package queue

import (
	"slices"

	"samphireplank.example/samphireplank/contract"
)

// LocalQuota is the part of a limit's quota that one VM may use.
type LocalQuota struct {
	Limit string
	Slots int
}

// zoneState is what the queue was told about its zone.
type zoneState struct {
	slots     int
	elsewhere []Demand
	shares    []LocalQuota
}

// SetZoneDemand gives the number of slots of the zone and the demand of its other VMs, for the quotas of limits.
func (q *Queue) SetZoneDemand(slots int, elsewhere []Demand) {
	q.settleAll()
	q.zone.slots = slots
	q.zone.elsewhere = append(q.zone.elsewhere[:0], elsewhere...)
	q.applyZone()
	q.entitle()
}

// SetLocalQuotas gives the part of each quota that this VM may use; limits that are not listed are bounded by the zone's
// running tasks only.
func (q *Queue) SetLocalQuotas(shares []LocalQuota) {
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
	q.settleAll()
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
