package queue

import (
	"fmt"
	"math"

	"samphireplank.example/samphireplank/contract"
)

// priorityClass is a priority with the state that its flows share.
type priorityClass struct {
	rank          int
	share         float64 // 0 to 1
	maxQueued     int
	queued        int
	weight        float64 // total weight of the teams with queued tasks
	sampledWeight float64 // weight at the last call of updatePriorityShares
	slots         float64 // slots of this VM by the priority's share
}

// limit restricts the running and queued tasks of the teams under it.
type limit struct {
	name            string
	percent         int
	maxQueued       int
	parent          *limit
	queued          int
	running         int
	peerRunning     int // tasks running on other VMs of the zone
	quota           int // slots of the zone that the quota allows
	localQuota      int // part of the quota for this VM; unlimited if not set
	countedRunnable int // tasks counted by Runnable
}

// full reports whether the quota prevents another task from starting.
func (l *limit) full() bool {
	return l.running >= l.localQuota || l.running+l.peerRunning >= l.quota
}

// remaining returns the number of tasks that the quota still allows, which may be negative.
func (l *limit) remaining() int {
	return min(l.localQuota-l.running, l.quota-l.running-l.peerRunning)
}

// isUnder reports whether the limit is other or one of its descendants.
func (l *limit) isUnder(other *limit) bool {
	for ; l != nil; l = l.parent {
		if l == other {
			return true
		}
	}
	return false
}

// configIndex indexes a set of objects by name for the queue.
type configIndex struct {
	priorities map[string]*priorityClass
	limits     map[string]*limit
	teams      map[string]contract.Team
	unknown    *priorityClass // shared by all flows whose priority is not in the set
}

func newConfigIndex(set *contract.Set) *configIndex {
	r := &configIndex{
		priorities: make(map[string]*priorityClass),
		limits:     make(map[string]*limit),
		teams:      make(map[string]contract.Team),
		unknown:    &priorityClass{rank: math.MaxInt},
	}
	if set == nil {
		return r
	}
	for _, p := range set.Priorities {
		r.priorities[p.Name] = &priorityClass{rank: p.Rank, share: float64(p.Share) / 100, maxQueued: p.MaxQueued}
	}
	for _, l := range set.Limits {
		r.limits[l.Name] = &limit{name: l.Name, percent: l.Quota, maxQueued: l.MaxQueued, localQuota: math.MaxInt}
	}
	for _, l := range set.Limits {
		if parent := r.limits[l.Parent]; parent != nil && !parent.isUnder(r.limits[l.Name]) {
			r.limits[l.Name].parent = parent
		}
	}
	for _, t := range set.Teams {
		r.teams[t.Name] = t
	}
	return r
}

func (r *configIndex) priority(priority string) *priorityClass {
	if c, known := r.priorities[priority]; known {
		return c
	}
	return r.unknown
}

func (r *configIndex) rank(priority string) int { return r.priority(priority).rank }

// limitChain returns the limit of a team and its ancestors.
func (r *configIndex) limitChain(team string) []*limit {
	var chain []*limit
	for l := r.limits[r.teams[team].Limit]; l != nil; l = l.parent {
		chain = append(chain, l)
	}
	return chain
}

// apply sets the priority, weight and limits of a flow.
func (r *configIndex) apply(f *flow) {
	team, teamListed := r.teams[f.name.Team]
	f.priority = r.priority(f.name.Priority)
	f.rank = f.priority.rank
	f.listed = teamListed && f.priority != r.unknown
	f.weight = float64(max(team.Weight, 1))
	f.limits = r.limitChain(f.name.Team)
}

// resetQuotas computes the quotas of all limits in slots and clears the local quotas and the tasks of peers.
func (r *configIndex) resetQuotas(slots int) {
	for _, l := range r.limits {
		l.quota = quotaSlots(l.percent, slots)
		l.localQuota = math.MaxInt
		l.peerRunning = 0
	}
}

// quotaSlots converts a quota in percent to slots; the result is at least one if both are positive, so that no job
// waits forever.
func quotaSlots(percent, slots int) int {
	if percent <= 0 || slots <= 0 {
		return 0
	}
	return max(1, percent*slots/100)
}

// Full reports whether the job's tasks would exceed a limit on queued tasks; reason names that limit.
func (q *Queue) Full(name Flow, tasks int) (reason string, full bool) {
	c := q.index.priority(name.Priority)
	if c != q.index.unknown && c.queued+tasks > c.maxQueued {
		return fmt.Sprintf("queue of priority %q is full: %d of %d tasks", name.Priority, c.queued, c.maxQueued), true
	}
	for _, l := range q.index.limitChain(name.Team) {
		if l.queued+tasks > l.maxQueued {
			return fmt.Sprintf("queue of limit %q is full: %d of %d tasks", l.name, l.queued, l.maxQueued), true
		}
	}
	return "", false
}
