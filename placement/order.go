package placement

import (
	"math"
	"sort"
	"time"

	"samphireplank.example/samphireplank/worker"
)

// blend returns the geometric mean: both values are off by a factor of about the same spread.
func blend(a, b float64) float64 {
	if a <= 0 {
		return b
	}
	return math.Sqrt(a * b)
}

// rank orders jobs: urgent before less urgent, then by the latest start that is still on time.
func (p *Scheduler) rank(b *batch) float64 {
	const priorityStep = 1e15 // more than any time in nanoseconds since the pool began
	return float64(b.policy.Priority)*priorityStep + float64(b.objective.Sub(p.began))
}

// enqueue puts a job into the queue if it has tasks to place.
func (p *Scheduler) enqueue(b *batch) {
	if b.queued || b.waiting == 0 {
		return
	}
	b.queued = true
	p.queue = append(p.queue, b)
	p.unsorted = true
}

// place starts the waiting tasks that fit, in order. A task that finds no room keeps the worker that will have room
// for it first; later tasks go there only if they end before that, so that wide and large tasks do not starve.
func (p *Scheduler) place() {
	if p.unsorted {
		sort.SliceStable(p.queue, func(i, j int) bool { return p.queue[i].order < p.queue[j].order })
		p.unsorted = false
	}
	kept := p.queue[:0]
	reserved := map[*node]time.Time{}
	// Late jobs come after all jobs that can still be on time.
	for _, b := range p.queue {
		b.lateness = p.lateness(b)
	}
	for pass := range 3 {
		for _, b := range p.queue {
			if b.closed || b.waiting == 0 || b.lateness != pass || p.now.Before(b.due) || !b.startable() {
				continue
			}
			p.placeBatch(b, reserved)
		}
	}
	for _, b := range p.queue {
		if b.closed || b.waiting == 0 {
			b.queued = false
			continue
		}
		kept = append(kept, b)
	}
	clear(p.queue[len(kept):])
	p.queue = kept
}

// maxReservations bounds the workers that are kept for tasks that find no room.
const maxReservations = 1

func (p *Scheduler) placeBatch(b *batch, reserved map[*node]time.Time) {
	if !b.kept && !b.started && p.now.Add(time.Duration(hopelessShare*float64(p.chain(b)))).After(b.objective) {
		p.close(b, p.refusal("the job can no longer end on time", p.backlog(b.policy.Priority)))
		return
	}
	for i := range b.steps {
		if b.gang(i) {
			p.placeGang(b, i, reserved)
			continue
		}
		for j := range b.steps[i].tasks {
			t := &b.steps[i].tasks[j]
			if t.state != taskWaiting || p.held(b, i, j) {
				continue
			}
			n := p.choose(b, i, t, reserved)
			if n == nil {
				if len(reserved) < maxReservations {
					p.reserve(b, i, reserved)
				}
				if len(t.avoid) == 0 {
					break // the other tasks of the step find no room either
				}
				continue
			}
			p.startRun(b, i, j, n)
		}
	}
}

// hopelessShare is the part of the expected run time that must still fit before the objective.
const hopelessShare = 0.75

// held says whether a run of the task that this pool did not start may still be alive.
func (p *Scheduler) held(b *batch, i, j int) bool {
	name := b.name(i, j)
	if f, ok := p.found[name]; p.tasks[name] != nil || ok && !f.done {
		return true
	}
	t := &b.steps[i].tasks[j]
	if b.kept && (!p.restored || p.now.Before(b.notBefore) && (p.partial || !p.allSurveyed())) {
		return true
	}
	if !p.now.Before(t.notBefore) {
		return false
	}
	if t.lastSeen != "" && t.lastSeen != anyWorker {
		n := p.nodes[t.lastSeen]
		return n == nil || !n.surveyed
	}
	return p.partial || !p.allSurveyed()
}

// allowed says whether the step may run on the node at all.
func (p *Scheduler) allowed(b *batch, i int, n *node) bool {
	s := b.work.Steps[i]
	if n.Service != b.policy.Service || s.RequiredLabel != "" && !n.HasLabel(s.RequiredLabel) {
		return false
	}
	if s.MaxPerWorker > 0 {
		count := 0
		for _, r := range n.runs {
			if r.batch == b && r.step == i {
				count++
			}
		}
		return count < s.MaxPerWorker
	}
	return true
}

// open says whether the node takes another run now, by its health.
func (p *Scheduler) open(n *node) bool {
	if !p.usable(n) || p.now.Before(n.health.until) {
		return false
	}
	return !n.health.onTrial || len(n.runs) == 0
}

// choose returns the node for a task: the one that the task fills best, if it is about as fast as the others.
func (p *Scheduler) choose(b *batch, i int, t *task, reserved map[*node]time.Time) *node {
	s := b.work.Steps[i]
	var best *node
	var bestCost float64
	for _, n := range p.order {
		if !p.open(n) || !s.Need.FitsIn(n.free) || !p.allowed(b, i, n) {
			continue
		}
		length := time.Duration(float64(p.expected(b, i)) * n.health.pace)
		if until, kept := reserved[n]; kept && p.now.Add(length).After(until) {
			continue
		}
		cost := p.cost(n, s.Need, s.DataRack)
		for _, id := range t.avoid {
			if id == n.ID {
				cost += avoidCost
			}
		}
		if best == nil || cost < bestCost {
			best, bestCost = n, cost
		}
	}
	return best
}

const (
	// avoidCost puts a worker on which the task has failed behind all others.
	avoidCost = 100
	// rackCost puts workers far from the data behind those near to it.
	rackCost = 2
	// streakCost puts workers whose last run failed behind the others.
	streakCost = 3
	// trialCost leaves workers on trial for the time when no other one has room: the first task there may be lost.
	trialCost = 50
	// paceCost weighs the pace of a worker against unused cores: half of the run time more counts as a whole worker.
	paceCost = 1
)

func (p *Scheduler) cost(n *node, need worker.Resources, rack string) float64 {
	left := float64(n.free.MilliCores-need.MilliCores) / float64(max(n.Capacity.MilliCores, 1))
	cost := left + paceCost*(n.health.pace-1) + streakCost*float64(n.health.streak)
	if n.health.onTrial {
		cost += trialCost
	}
	if rack != "" && !n.HasLabel(rack) {
		cost += rackCost
	}
	return cost
}

// reserve keeps the node that will first have room for the task.
func (p *Scheduler) reserve(b *batch, i int, reserved map[*node]time.Time) {
	var best *node
	var bestAt time.Time
	for _, n := range p.order {
		if _, kept := reserved[n]; kept || !p.usable(n) || p.now.Before(n.health.until) || !p.allowed(b, i, n) {
			continue
		}
		at, ok := p.roomAt(n, b.work.Steps[i].Need)
		if ok && (best == nil || at.Before(bestAt)) {
			best, bestAt = n, at
		}
	}
	if best != nil {
		reserved[best] = bestAt
	}
}

// roomAt returns when the node is expected to have room, by the expected ends of its runs.
func (p *Scheduler) roomAt(n *node, need worker.Resources) (time.Time, bool) {
	if !need.FitsIn(n.Capacity) {
		return time.Time{}, false
	}
	free, at := n.free, p.now
	runs := n.sortedRuns()
	sort.SliceStable(runs, func(i, j int) bool { return runs[i].end().Before(runs[j].end()) })
	for _, r := range runs {
		if need.FitsIn(free) {
			break
		}
		free = free.Add(r.need)
		if end := r.end(); end.After(at) {
			at = end
		}
	}
	return at, need.FitsIn(free)
}

func (r *run) end() time.Time { return r.sent.Add(r.expected) }
