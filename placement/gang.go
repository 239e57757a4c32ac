package placement

import (
	"sort"
	"time"

	"samphireplank.example/samphireplank/worker"
)

// The tasks of a gang work only together: they start at once or not at all, under one run number, and the end of one of them
// is the end of all. A member whose start is lost would leave the others waiting, so they are stopped with it.

func (b *batch) gang(i int) bool { return b.work.Steps[i].Gang && len(b.steps[i].tasks) > 1 }

// placeGang starts all tasks of a gang if there is room for all, and otherwise keeps the workers that will have it first.
func (p *Scheduler) placeGang(b *batch, i int, reserved map[*node]time.Time) {
	waiting, placed := 0, 0
	for j := range b.steps[i].tasks {
		switch t := &b.steps[i].tasks[j]; {
		case t.state == taskPlaced:
			placed++
		case t.state == taskWaiting && p.held(b, i, j):
			return
		case t.state == taskWaiting:
			waiting++
		}
	}
	switch {
	case waiting == 0:
		return
	case placed > 0:
		p.stopGang(b, i, "members are missing")
		return
	}
	nodes := p.planGang(b, i, reserved)
	if nodes == nil {
		if len(reserved) == 0 {
			p.reserveGang(b, i, reserved)
		}
		return
	}
	number := 0
	for _, t := range b.steps[i].tasks {
		number = max(number, t.runs)
	}
	for j := range b.steps[i].tasks {
		b.steps[i].tasks[j].runs = number
		p.startRun(b, i, j, nodes[j])
	}
}

// stopGang stops the runs of a gang that cannot go on.
func (p *Scheduler) stopGang(b *batch, i int, reason string) {
	stopped := 0
	for j := range b.steps[i].tasks {
		if r := p.tasks[b.name(i, j)]; r != nil && r.batch == b && !r.stopping {
			r.stopping = true
			p.sendStop(r)
			stopped++
		}
	}
	if stopped > 0 {
		p.note("gang-stopped", b.work.ID, "", reason, map[string]int64{"runs": int64(stopped)})
	}
}

// renumberGangs raises the run numbers of the gangs of a job that an earlier holder may have started. Workers match members by
// their number, so a run must not share one with members that the earlier holder has left behind. Fences grow by 256 at
// least with each holder, which is more than the runs of a gang under one.
func (p *Scheduler) renumberGangs(b *batch) {
	for i := range b.steps {
		for j := range b.steps[i].tasks {
			if t := &b.steps[i].tasks[j]; b.gang(i) {
				t.runs = max(t.runs, int(p.fence))
			}
		}
	}
}

// planGang returns a worker for each task of a gang, or nil if there is no room for all of them now.
func (p *Scheduler) planGang(b *batch, i int, reserved map[*node]time.Time) []*node {
	usable := func(n *node) bool {
		length := time.Duration(float64(p.expected(b, i)) * n.health.pace)
		until, kept := reserved[n]
		return p.open(n) && p.allowed(b, i, n) && (!kept || !p.now.Add(length).After(until))
	}
	if !b.work.Steps[i].SameRack {
		return p.fitGang(b, i, usable)
	}
	racks := map[string]bool{}
	possible := false
	for _, n := range p.order {
		racks[n.Rack] = true
	}
	names := make([]string, 0, len(racks))
	for rack := range racks {
		names = append(names, rack)
	}
	sort.Strings(names)
	for _, rack := range names {
		inRack := func(n *node) bool { return n.Rack == rack && usable(n) }
		if nodes := p.fitGang(b, i, inRack); nodes != nil {
			return nodes
		}
		possible = possible || p.rackCapacity(b, i, rack) >= len(b.steps[i].tasks)
	}
	// Across racks the gang takes up to twice as long; it waits for a rack as long as that may still be sooner.
	if possible && p.now.Before(b.arrived.Add(p.expected(b, i))) {
		return nil
	}
	return p.fitGang(b, i, usable)
}

// fitGang places the tasks of a gang one after the other on the fullest workers with room.
func (p *Scheduler) fitGang(b *batch, i int, usable func(*node) bool) []*node {
	s := b.work.Steps[i]
	free, count := map[*node]worker.Resources{}, map[*node]int{}
	nodes := make([]*node, 0, s.Count)
	for range b.steps[i].tasks {
		var best *node
		var bestCost float64
		for _, n := range p.order {
			if !usable(n) || s.MaxPerWorker > 0 && count[n] >= s.MaxPerWorker || n.health.onTrial && count[n] > 0 {
				continue
			}
			left, planned := free[n]
			if !planned {
				left = n.free
			}
			if !s.Need.FitsIn(left) {
				continue
			}
			cost := p.cost(n, s.Need, s.DataRack) + float64(left.MilliCores-n.free.MilliCores)/float64(max(n.Capacity.MilliCores, 1))
			if best == nil || cost < bestCost {
				best, bestCost = n, cost
			}
		}
		if best == nil {
			return nil
		}
		left, planned := free[best]
		if !planned {
			left = best.free
		}
		free[best] = left.Sub(s.Need)
		count[best]++
		nodes = append(nodes, best)
	}
	return nodes
}

// rackCapacity returns how many tasks of a gang the workers of a rack can run when nothing else runs there.
func (p *Scheduler) rackCapacity(b *batch, i int, rack string) int {
	tasks := 0
	for _, n := range p.order {
		if n.Rack == rack && p.usable(n) && p.allowed(b, i, n) {
			tasks += perWorker(b, i, n)
		}
	}
	return tasks
}

func perWorker(b *batch, i int, n *node) int { return b.work.Steps[i].PerWorker(n.Worker) }

// reserveGang keeps the workers that are empty first for a gang until the last of them is.
func (p *Scheduler) reserveGang(b *batch, i int, reserved map[*node]time.Time) {
	type candidate struct {
		n  *node
		at time.Time
	}
	var list []candidate
	for _, n := range p.order {
		if !p.usable(n) || p.now.Before(n.health.until) || !p.allowed(b, i, n) || perWorker(b, i, n) == 0 {
			continue
		}
		at := p.now
		for _, r := range n.runs {
			if end := r.end(); end.After(at) {
				at = end
			}
		}
		list = append(list, candidate{n, at})
	}
	sort.SliceStable(list, func(x, y int) bool { return list[x].at.Before(list[y].at) })
	left := len(b.steps[i].tasks)
	for used, c := range list {
		if left -= perWorker(b, i, c.n); left > 0 {
			continue
		}
		for _, kept := range list[:used+1] {
			reserved[kept.n] = c.at
		}
		return
	}
}

// gangDone takes in that a gang is done: its members end together, and one end stands for all.
func (p *Scheduler) gangDone(b *batch, i int) {
	for j := range b.steps[i].tasks {
		p.taskDone(b, i, j)
	}
}

// gangFailed counts the failure of a member for the others.
func (b *batch) gangFailed(i, j int) {
	if !b.gang(i) {
		return
	}
	for other := range b.steps[i].tasks {
		if t := &b.steps[i].tasks[other]; other != j {
			t.failed, t.counted = t.failed+1, b.steps[i].tasks[j].counted
		}
	}
}

// gangEnded takes in what the end of a member means for the others.
func (p *Scheduler) gangEnded(r *run, outcome worker.Outcome) {
	b, i := r.batch, r.step
	if b.closed || !b.gang(i) {
		return
	}
	switch outcome {
	case worker.Done:
		p.gangDone(b, i)
	default:
		p.stopGang(b, i, "a member has ended")
	}
}
