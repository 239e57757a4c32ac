package queue

import (
	"fmt"
	"math"

	"samphireplank.example/samphireplank/contract"
)

// class is a priority with what its flows have in common.
type class struct {
	rank    int
	share   float64 // 0 to 1
	bound   int
	queued  int
	weight  float64 // of the teams with queued tasks
	sampled float64 // weight at the last sample
	slots   float64 // of this VM by its share
}

// limit bounds the running and queued tasks of the teams under it.
type limit struct {
	name      string
	percent   int
	bound     int
	parent    *limit
	queued    int
	running   int
	elsewhere int // running on other VMs of the zone
	quota     int // slots of the zone
	share     int // of quota on this VM, unlimited when not given
	counted   int // tasks that Runnable has counted
}

// full reports whether the quota forbids another task.
func (l *limit) full() bool {
	return l.running >= l.share || l.running+l.elsewhere >= l.quota
}

// room returns the number of tasks that the quota still allows, which may be negative.
func (l *limit) room() int {
	return min(l.share-l.running, l.quota-l.running-l.elsewhere)
}

// under reports whether the limit is other or below it.
func (l *limit) under(other *limit) bool {
	for ; l != nil; l = l.parent {
		if l == other {
			return true
		}
	}
	return false
}

// rules is a set of objects in the form in which the queue looks them up.
type rules struct {
	classes map[string]*class
	limits  map[string]*limit
	teams   map[string]contract.Team
	unknown *class // of all flows whose priority is not in the set
}

func newRules(set *contract.Set) *rules {
	r := &rules{
		classes: make(map[string]*class),
		limits:  make(map[string]*limit),
		teams:   make(map[string]contract.Team),
		unknown: &class{rank: math.MaxInt},
	}
	if set == nil {
		return r
	}
	for _, p := range set.Priorities {
		r.classes[p.Name] = &class{rank: p.Rank, share: float64(p.Share) / 100, bound: p.MaxQueued}
	}
	for _, l := range set.Limits {
		r.limits[l.Name] = &limit{name: l.Name, percent: l.Quota, bound: l.MaxQueued, share: math.MaxInt}
	}
	for _, l := range set.Limits {
		if parent := r.limits[l.Parent]; parent != nil && !parent.under(r.limits[l.Name]) {
			r.limits[l.Name].parent = parent
		}
	}
	for _, t := range set.Teams {
		r.teams[t.Name] = t
	}
	return r
}

func (r *rules) class(priority string) *class {
	if c, known := r.classes[priority]; known {
		return c
	}
	return r.unknown
}

func (r *rules) rank(priority string) int { return r.class(priority).rank }

// chain returns the limit of a team and the limits above it.
func (r *rules) chain(team string) []*limit {
	var chain []*limit
	for l := r.limits[r.teams[team].Limit]; l != nil; l = l.parent {
		chain = append(chain, l)
	}
	return chain
}

// apply gives a flow its class, weight and limits.
func (r *rules) apply(f *flow) {
	team, teamListed := r.teams[f.name.Team]
	f.class = r.class(f.name.Priority)
	f.rank = f.class.rank
	f.listed = teamListed && f.class != r.unknown
	f.weight = float64(max(team.Weight, 1))
	f.limits = r.chain(f.name.Team)
}

// resetQuotas turns the quotas of all limits into slots, without a share per VM.
func (r *rules) resetQuotas(slots int) {
	for _, l := range r.limits {
		l.quota = quotaSlots(l.percent, slots)
		l.share = math.MaxInt
		l.elsewhere = 0
	}
}

// quotaSlots is the number of slots of a quota in percent; it is at least one, so that no job waits forever.
func quotaSlots(percent, slots int) int {
	if percent <= 0 || slots <= 0 {
		return 0
	}
	return max(1, percent*slots/100)
}

// Full reports whether the job's tasks would exceed a bound on queued tasks, and which one.
func (q *Queue) Full(name Flow, tasks int) (reason string, full bool) {
	c := q.rules.class(name.Priority)
	if c != q.rules.unknown && c.queued+tasks > c.bound {
		return fmt.Sprintf("queue of priority %q is full: %d of %d tasks", name.Priority, c.queued, c.bound), true
	}
	for _, l := range q.rules.chain(name.Team) {
		if l.queued+tasks > l.bound {
			return fmt.Sprintf("queue of limit %q is full: %d of %d tasks", l.name, l.queued, l.bound), true
		}
	}
	return "", false
}
