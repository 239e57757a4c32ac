package placement

import (
	"sort"
	"time"

	"samphireplank.example/samphireplank/worker"
)

// computeRank returns the sort key of a job: by priority first, then by the latest end that is still on time.
func (s *Scheduler) computeRank(js *jobState) float64 {
	const priorityStep = 1e15 // exceeds any time in nanoseconds since the scheduler's first update
	return float64(js.policy.Priority)*priorityStep + float64(js.targetEnd.Sub(s.firstUpdate))
}

// enqueue adds a job to the queue if it has queued tasks.
func (s *Scheduler) enqueue(js *jobState) {
	if js.inQueue || js.queuedTasks == 0 {
		return
	}
	js.inQueue = true
	s.queue = append(s.queue, js)
	s.unsorted = true
}

// place starts the queued tasks that fit, in rank order. A task that does not fit reserves the worker expected to
// have room first. Later tasks go there only if they end before that time, so that wide jobs and large tasks do not
// starve.
func (s *Scheduler) place() {
	if len(s.queue) == 0 {
		return
	}
	s.acceptingKnown = false
	if s.unsorted {
		sort.SliceStable(s.queue, func(i, j int) bool { return s.queue[i].rank < s.queue[j].rank })
		s.unsorted = false
	}
	s.updateShares()
	stillQueued := s.queue[:0]
	reserved := map[*workerState]time.Time{}
	// Late jobs come after all jobs that can still be on time.
	for _, js := range s.queue {
		js.lateness = s.lateness(js)
	}
	queue := s.placementOrder()
	for pass := range 3 {
		for _, js := range queue {
			if js.closed || js.queuedTasks == 0 || js.lateness != pass || s.now.Before(js.startAt) || !js.canStart() || !s.mayStart(js) || !s.mayStartInZone() {
				continue
			}
			s.placeJob(js, reserved)
		}
	}
	for _, js := range s.queue {
		if js.closed || js.queuedTasks == 0 {
			js.inQueue = false
			continue
		}
		stillQueued = append(stillQueued, js)
	}
	clear(s.queue[len(stillQueued):])
	s.queue, s.acceptingKnown = stillQueued, false
	s.noteOverload()
}

// maxReservations limits the workers reserved for tasks that do not fit.
const maxReservations = 1

func (s *Scheduler) placeJob(js *jobState, reserved map[*workerState]time.Time) {
	if !js.durable && !js.mayHaveStarted && s.now.Add(time.Duration(lateCutoffFactor*float64(s.criticalPath(js)))).After(js.targetEnd) {
		s.closeJob(js, s.refuseForCapacity(js, "the job can no longer end on time", s.queueDelay(js.policy.Priority), map[string]int64{"waited-ms": ms(s.now.Sub(js.arrived)), "late-ms": ms(s.now.Add(s.criticalPath(js)).Sub(js.targetEnd))}))
		return
	}
	for i := range js.steps {
		if js.isGang(i) {
			s.placeGang(js, i, reserved)
			continue
		}
		for j := range js.steps[i].tasks {
			t := &js.steps[i].tasks[j]
			if t.phase != taskQueued || s.mustWait(js, i, j) {
				continue
			}
			w := s.chooseWorker(js, i, t, reserved)
			if w == nil {
				if len(reserved) < maxReservations {
					s.reserveWorker(js, i, reserved)
				}
				if len(t.avoidWorkers) == 0 {
					break // the other tasks of the step do not fit either
				}
				continue
			}
			s.startRun(js, i, j, w)
		}
	}
}

// lateCutoffFactor is the share of the expected run time that must still fit before the target end.
const lateCutoffFactor = 0.75

// mustWait reports whether a run of the task that this scheduler did not start may still be running.
func (s *Scheduler) mustWait(js *jobState, i, j int) bool {
	name := js.name(i, j)
	if f, ok := s.orphans[name]; s.runs[name] != nil || ok && !f.done {
		return true
	}
	t := &js.steps[i].tasks[j]
	if js.durable && (!s.restored || s.priorRunsOpen(js)) {
		return true
	}
	if !s.now.Before(t.priorRunUntil) {
		return false
	}
	if t.priorRunWorker != "" && t.priorRunWorker != anyWorker {
		w := s.workers[t.priorRunWorker]
		return w == nil || !w.synced
	}
	return !s.priorRunsListed(js)
}

// allowed reports whether the step may run on the worker, apart from free resources and health.
func (s *Scheduler) allowed(js *jobState, i int, w *workerState) bool {
	spec := &js.work.Steps[i]
	if w.Service != js.policy.Service || spec.RequiredLabel != "" && (!w.HasLabel(spec.RequiredLabel) || w.entryOutdated()) {
		return false
	}
	if spec.MaxPerWorker > 0 {
		count := 0
		for _, r := range w.runs {
			if r.job == js && r.step == i {
				count++
			}
		}
		return count < spec.MaxPerWorker
	}
	return true
}

// acceptsWork reports whether the worker takes another run now, given its health.
func (s *Scheduler) acceptsWork(w *workerState) bool {
	if !s.usable(w) || s.now.Before(w.health.ejectedUntil) {
		return false
	}
	return (!w.health.halfOpen || s.acceptsTrial(w)) && (len(w.runs) == 0 || !s.isCold(w))
}

// findAccepting collects the workers that accept work, and the most that one of them has free, when a placement first asks for
// them. While tasks are placed, workers only stop accepting work and have less and less free.
func (s *Scheduler) findAccepting() {
	if s.acceptingKnown {
		return
	}
	s.acceptingKnown, s.accepting, s.mostFree = true, s.accepting[:0], worker.Resources{}
	for _, w := range s.sortedWorkers {
		if !s.acceptsWork(w) {
			continue
		}
		s.accepting = append(s.accepting, w)
		s.mostFree.MilliCores = max(s.mostFree.MilliCores, w.free.MilliCores)
		s.mostFree.MemoryMiB = max(s.mostFree.MemoryMiB, w.free.MemoryMiB)
		s.mostFree.Accelerators = max(s.mostFree.Accelerators, w.free.Accelerators)
	}
}

// chooseWorker returns the worker with the lowest cost for a task, or nil if no worker fits. It prefers workers that
// the task leaves with few unused cores and that are about as fast as the others.
func (s *Scheduler) chooseWorker(js *jobState, i int, t *task, reserved map[*workerState]time.Time) *workerState {
	spec := &js.work.Steps[i]
	s.findAccepting()
	if !spec.Need.FitsIn(s.mostFree) {
		return nil
	}
	permitEnd, limited := s.permit(js)
	leaseLimit, newestKnown, sound := s.leaseLimit(permitEnd), s.newestKnown(js), s.expectedDuration(js, i)
	var best *workerState
	var bestCost float64
	effects := s.neighbourEffects(js, i)
	for _, w := range s.accepting {
		if !spec.Need.FitsIn(w.free) || !s.acceptsWork(w) || !s.allowed(js, i, w) || limited && w.leaseExpiry.After(leaseLimit) || w.added > newestKnown || !s.mayUse(js, w) || !s.suitsColdWorker(js, i, w) {
			continue
		}
		length := time.Duration(float64(sound) * w.health.slowdown)
		if until, isReserved := reserved[w]; isReserved && s.now.Add(length).After(until) {
			continue
		}
		cost := s.cost(w, spec.Need, spec.DataRack)
		for _, id := range t.avoidWorkers {
			if id == w.ID {
				cost += avoidCost
			}
		}
		if len(effects) > 0 && (best == nil || cost < bestCost) {
			cost += s.neighbourCost(w, length, effects)
		}
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}

const (
	// avoidCost ranks workers on which the task has failed behind all others.
	avoidCost = 100
	// rackCost ranks workers far from the data behind those near it.
	rackCost = 2
	// badRunCost, for each consecutive bad run, ranks the worker behind the others.
	badRunCost = 3
	// halfOpenCost leaves half-open workers for when no other worker has room, because the first task there may be
	// lost.
	halfOpenCost = 50
	// slowdownCost weighs slowdown against unused cores: a slowdown of 1 more costs as much as a wholly idle worker.
	slowdownCost = 1
)

func (s *Scheduler) cost(w *workerState, need worker.Resources, rack string) float64 {
	freeShare := float64(w.free.MilliCores-need.MilliCores) / float64(max(w.Capacity.MilliCores, 1))
	cost := freeShare + slowdownCost*(w.health.slowdown-1) + badRunCost*float64(w.health.badRuns)
	if w.health.halfOpen {
		cost += halfOpenCost
	}
	if s.isCold(w) {
		cost += coldCost
	}
	if rack != "" && !w.HasLabel(rack) {
		cost += rackCost
	}
	return cost
}

// reserveWorker reserves the worker that is expected to have room for the task first.
func (s *Scheduler) reserveWorker(js *jobState, i int, reserved map[*workerState]time.Time) {
	var best *workerState
	var bestAt time.Time
	need, newestKnown := js.work.Steps[i].Need, s.newestKnown(js)
	for _, w := range s.sortedWorkers {
		if !need.FitsIn(w.Capacity) || w.added > newestKnown || !s.usable(w) || s.now.Before(w.health.ejectedUntil) || !s.allowed(js, i, w) || !s.mayUse(js, w) {
			continue
		}
		if _, kept := reserved[w]; kept {
			continue
		}
		at, ok := s.roomAt(w, need)
		if ok && (best == nil || at.Before(bestAt)) {
			best, bestAt = w, at
		}
	}
	if best != nil {
		reserved[best] = bestAt
	}
}

// roomAt returns when the worker is expected to have room, given the expected ends of its runs.
func (s *Scheduler) roomAt(w *workerState, need worker.Resources) (time.Time, bool) {
	if !need.FitsIn(w.Capacity) {
		return time.Time{}, false
	}
	free, at := w.free, s.now
	for _, r := range w.runsByEnd() {
		if need.FitsIn(free) {
			break
		}
		free = free.Add(r.need)
		if end := r.expectedEnd(); end.After(at) {
			at = end
		}
	}
	return at, need.FitsIn(free)
}

func (r *run) expectedEnd() time.Time { return r.sent.Add(r.expected) }
