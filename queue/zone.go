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

// zoneState is the state of the zone as last set on the queue.
type zoneState struct {
	slots       int
	peerDemand  []Demand
	localQuotas []LocalQuota
}

// SetZoneDemand sets the number of slots of the zone and the demand of its other VMs, to which the quotas of limits
// apply.
func (q *Queue) SetZoneDemand(slots int, peerDemand []Demand) {
	q.chargeAll()
	q.zone.slots = slots
	q.zone.peerDemand = append(q.zone.peerDemand[:0], peerDemand...)
	q.updateQuotas()
	q.updateShares()
}

// SetLocalQuotas sets the part of each quota that this VM may use. For limits that are not listed, only the running
// tasks of the whole zone count.
func (q *Queue) SetLocalQuotas(quotas []LocalQuota) {
	q.zone.localQuotas = append(q.zone.localQuotas[:0], quotas...)
	q.updateQuotas()
}

// updateQuotas recomputes the quotas of all limits.
func (q *Queue) updateQuotas() {
	q.index.resetQuotas(q.zone.slots)
	for _, d := range q.zone.peerDemand {
		for l := q.index.limits[q.index.teams[d.Flow.Team].Limit]; l != nil; l = l.parent {
			l.peerRunning += d.Running
		}
	}
	for _, s := range q.zone.localQuotas {
		if l, known := q.index.limits[s.Limit]; known {
			l.localQuota = s.Slots
		}
	}
}

// Configure activates a set of objects; queued jobs and running tasks stay counted.
func (q *Queue) Configure(set *contract.Set) {
	q.chargeAll()
	q.index = newConfigIndex(set)
	q.sorted = slices.DeleteFunc(q.sorted, func(f *flow) bool {
		q.index.apply(f)
		if f.listed || f.queued > 0 || f.running > 0 || f.target > 0 {
			return false
		}
		delete(q.flows, f.name)
		return true
	})
	for _, f := range q.sorted {
		f.priority.queued += f.queued
		if f.position >= 0 {
			f.priority.weight += f.weight
		}
		for _, l := range f.limits {
			l.queued += f.queued
			l.running += f.running
		}
	}
	q.updateQuotas()
	q.updateShares()
}
