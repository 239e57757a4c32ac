package placement

import (
	"cmp"
	"sort"
	"time"

	"samphireplank.example/samphireplank/worker"
)

// The tasks of a gang work only together: all of them start at the same time under one run number, and when one ends,
// all end. A member whose start is lost would leave the others waiting, so they are stopped with it.

func (js *jobState) isGang(i int) bool { return js.work.Steps[i].Gang && len(js.steps[i].tasks) > 1 }

// placeGang starts all tasks of a gang if there is room for all. Otherwise it reserves the workers that will have room
// first.
func (s *Scheduler) placeGang(js *jobState, i int, reserved map[*workerState]time.Time) {
	waiting, placed := 0, 0
	for j := range js.steps[i].tasks {
		switch t := &js.steps[i].tasks[j]; {
		case t.phase == taskAssigned:
			placed++
		case t.phase == taskQueued && s.mustWait(js, i, j):
			return
		case t.phase == taskQueued:
			waiting++
		}
	}
	switch {
	case waiting == 0:
		return
	case placed > 0:
		s.stopGang(js, i, "gang members are missing")
		return
	}
	assigned := s.planGang(js, i, reserved)
	if assigned == nil {
		if len(reserved) == 0 {
			s.reserveGang(js, i, reserved)
		}
		return
	}
	number, checkpoint := 0, ""
	for _, t := range js.steps[i].tasks {
		number, checkpoint = max(number, t.lastRun), cmp.Or(checkpoint, t.checkpoint)
	}
	js.shareCheckpoint(i, checkpoint)
	for j := range js.steps[i].tasks {
		js.steps[i].tasks[j].lastRun = number
		s.startRun(js, i, j, assigned[j])
	}
}

// shareCheckpoint sets the checkpoint from which all members of a gang resume. That of any member is valid for the gang, and a run
// whose members resume from different ones does not begin.
func (js *jobState) shareCheckpoint(i int, value string) {
	for j := range js.steps[i].tasks {
		js.steps[i].tasks[j].checkpoint = value
	}
}

// stopGang stops the runs of a gang that cannot continue.
func (s *Scheduler) stopGang(js *jobState, i int, reason string) {
	stopped := 0
	for j := range js.steps[i].tasks {
		if r := s.runs[js.name(i, j)]; r != nil && r.job == js && !r.stopping {
			r.stopping = true
			s.sendStop(r)
			stopped++
		}
	}
	if stopped > 0 {
		s.logEvent("gang-stopped", js.work.ID, "", reason, map[string]int64{"runs": int64(stopped)})
	}
}

// renumberGangs raises the run numbers of the gangs of a job that an earlier holder may have started. Workers match
// members by their number, so a run must not share one with members left by the earlier holder. Fences grow by at least
// 256 with each holder, which is more than the runs of a gang under one holder.
func (s *Scheduler) renumberGangs(js *jobState) {
	for i := range js.steps {
		for j := range js.steps[i].tasks {
			if t := &js.steps[i].tasks[j]; js.isGang(i) {
				t.lastRun = max(t.lastRun, int(s.fence))
			}
		}
	}
}

// planGang returns a worker for each task of a gang, or nil if there is no room for all of them now.
func (s *Scheduler) planGang(js *jobState, i int, reserved map[*workerState]time.Time) []*workerState {
	usable := func(w *workerState) bool {
		length := time.Duration(float64(s.expectedDuration(js, i)) * w.health.slowdown)
		until, kept := reserved[w]
		return s.acceptsWork(w) && !s.isCold(w) && s.allowed(js, i, w) && !s.leaseOutlastsPermit(js, w) && s.knownToVMs(js, w) && s.mayUse(js, w) && (!kept || !s.now.Add(length).After(until))
	}
	if !js.work.Steps[i].SameRack {
		return s.fitGang(js, i, usable)
	}
	racks := map[string]bool{}
	possible := false
	for _, w := range s.sortedWorkers {
		racks[w.Rack] = true
	}
	names := make([]string, 0, len(racks))
	for rack := range racks {
		names = append(names, rack)
	}
	sort.Strings(names)
	for _, rack := range names {
		inRack := func(w *workerState) bool { return w.Rack == rack && usable(w) }
		if assigned := s.fitGang(js, i, inRack); assigned != nil {
			return assigned
		}
		possible = possible || s.rackCapacity(js, i, rack) >= len(js.steps[i].tasks)
	}
	// Across racks the gang takes up to twice as long, so it waits for a single rack while that may still end sooner.
	if possible && s.now.Before(js.arrived.Add(s.expectedDuration(js, i))) {
		return nil
	}
	return s.fitGang(js, i, usable)
}

// fitGang assigns the tasks of a gang one by one to the worker with the lowest cost that has room.
func (s *Scheduler) fitGang(js *jobState, i int, usable func(*workerState) bool) []*workerState {
	spec := js.work.Steps[i]
	free, count := map[*workerState]worker.Resources{}, map[*workerState]int{}
	assigned := make([]*workerState, 0, spec.Count)
	for range js.steps[i].tasks {
		var best *workerState
		var bestCost float64
		for _, w := range s.sortedWorkers {
			if !usable(w) || spec.MaxPerWorker > 0 && count[w] >= spec.MaxPerWorker || w.health.halfOpen && count[w] > 0 {
				continue
			}
			left, planned := free[w]
			if !planned {
				left = w.free
			}
			if !spec.Need.FitsIn(left) {
				continue
			}
			cost := s.cost(w, spec.Need, spec.DataRack) + float64(left.MilliCores-w.free.MilliCores)/float64(max(w.Capacity.MilliCores, 1))
			if best == nil || cost < bestCost {
				best, bestCost = w, cost
			}
		}
		if best == nil {
			return nil
		}
		left, planned := free[best]
		if !planned {
			left = best.free
		}
		free[best] = left.Sub(spec.Need)
		count[best]++
		assigned = append(assigned, best)
	}
	return assigned
}

// rackCapacity returns how many tasks of a gang the workers of a rack can run when they run nothing else.
func (s *Scheduler) rackCapacity(js *jobState, i int, rack string) int {
	tasks := 0
	for _, w := range s.sortedWorkers {
		if w.Rack == rack && s.usable(w) && s.allowed(js, i, w) {
			tasks += tasksPerWorker(js, i, w)
		}
	}
	return tasks
}

func tasksPerWorker(js *jobState, i int, w *workerState) int {
	return js.work.Steps[i].PerWorker(w.Worker)
}

// reserveGang reserves the workers expected to be idle first, as many as the gang needs, until the last of them is
// idle.
func (s *Scheduler) reserveGang(js *jobState, i int, reserved map[*workerState]time.Time) {
	type candidate struct {
		w  *workerState
		at time.Time
	}
	var list []candidate
	for _, w := range s.sortedWorkers {
		if !s.usable(w) || s.now.Before(w.health.ejectedUntil) || !s.allowed(js, i, w) || !s.mayUse(js, w) || tasksPerWorker(js, i, w) == 0 {
			continue
		}
		at := s.now
		for _, r := range w.runs {
			if end := r.expectedEnd(); end.After(at) {
				at = end
			}
		}
		list = append(list, candidate{w, at})
	}
	sort.SliceStable(list, func(x, y int) bool { return list[x].at.Before(list[y].at) })
	left := len(js.steps[i].tasks)
	for used, c := range list {
		if left -= tasksPerWorker(js, i, c.w); left > 0 {
			continue
		}
		for _, kept := range list[:used+1] {
			reserved[kept.w] = c.at
		}
		return
	}
}

// completeGang marks all tasks of a gang as done: members end together, so one end completes all.
func (s *Scheduler) completeGang(js *jobState, i int) {
	for j := range js.steps[i].tasks {
		s.completeTask(js, i, j)
	}
}

// countFailure counts a failed run of a task. The failure of a member of a gang counts for all members.
func (js *jobState) countFailure(i, j, number int) {
	for other := range js.steps[i].tasks {
		if other == j || js.isGang(i) {
			t := &js.steps[i].tasks[other]
			t.failed++
			t.failedRuns = append(t.failedRuns, number)
		}
	}
}

// handleMemberEnd completes or stops the other members of a gang after one has ended.
func (s *Scheduler) handleMemberEnd(r *run, outcome worker.Outcome) {
	js, i := r.job, r.step
	if js.closed || !js.isGang(i) {
		return
	}
	switch outcome {
	case worker.Done:
		s.completeGang(js, i)
	default:
		s.stopGang(js, i, "a gang member ended")
	}
}
