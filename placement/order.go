package placement

import (
	"math"
	"sort"
	"time"

	"samphireplank.example/samphireplank/worker"
)

// geometricMean returns the geometric mean: both values are off by a factor of about the same spread.
func geometricMean(a, b float64) float64 {
	if a <= 0 {
		return b
	}
	return math.Sqrt(a * b)
}

// computeRank orders jobs: urgent before less urgent, then by the latest start that is still on time.
func (s *Scheduler) computeRank(js *jobState) float64 {
	const priorityStep = 1e15 // more than any time in nanoseconds since the pool began
	return float64(js.policy.Priority)*priorityStep + float64(js.targetEnd.Sub(s.firstUpdate))
}

// enqueue puts a job into the queue if it has tasks to place.
func (s *Scheduler) enqueue(js *jobState) {
	if js.inQueue || js.queuedTasks == 0 {
		return
	}
	js.inQueue = true
	s.queue = append(s.queue, js)
	s.unsorted = true
}

// place starts the waiting tasks that fit, in order. A task that finds no room keeps the worker that will have room
// for it first; later tasks go there only if they end before that, so that wide and large tasks do not starve.
func (s *Scheduler) place() {
	if s.unsorted {
		sort.SliceStable(s.queue, func(i, j int) bool { return s.queue[i].rank < s.queue[j].rank })
		s.unsorted = false
	}
	stillQueued := s.queue[:0]
	reserved := map[*workerState]time.Time{}
	// Late jobs come after all jobs that can still be on time.
	for _, js := range s.queue {
		js.lateness = s.lateness(js)
	}
	for pass := range 3 {
		for _, js := range s.queue {
			if js.closed || js.queuedTasks == 0 || js.lateness != pass || s.now.Before(js.startAt) || !js.canStart() {
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
	s.queue = stillQueued
}

// maxReservations bounds the workers that are kept for tasks that find no room.
const maxReservations = 1

func (s *Scheduler) placeJob(js *jobState, reserved map[*workerState]time.Time) {
	if !js.durable && !js.mayHaveStarted && s.now.Add(time.Duration(lateCutoffFactor*float64(s.criticalPath(js)))).After(js.targetEnd) {
		s.closeJob(js, s.refusal("the job can no longer end on time", s.queueDelay(js.policy.Priority)))
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
					break // the other tasks of the step find no room either
				}
				continue
			}
			s.startRun(js, i, j, w)
		}
	}
}

// lateCutoffFactor is the part of the expected run time that must still fit before the objective.
const lateCutoffFactor = 0.75

// mustWait says whether a run of the task that this pool did not start may still be alive.
func (s *Scheduler) mustWait(js *jobState, i, j int) bool {
	name := js.name(i, j)
	if f, ok := s.orphans[name]; s.runs[name] != nil || ok && !f.done {
		return true
	}
	t := &js.steps[i].tasks[j]
	if js.durable && (!s.restored || s.now.Before(js.priorRunsUntil) && (s.incompleteList || !s.allSynced())) {
		return true
	}
	if !s.now.Before(t.priorRunUntil) {
		return false
	}
	if t.priorRunWorker != "" && t.priorRunWorker != anyWorker {
		w := s.workers[t.priorRunWorker]
		return w == nil || !w.synced
	}
	return s.incompleteList || !s.allSynced()
}

// allowed says whether the step may run on the node at all.
func (s *Scheduler) allowed(js *jobState, i int, w *workerState) bool {
	spec := js.work.Steps[i]
	if w.Service != js.policy.Service || spec.RequiredLabel != "" && !w.HasLabel(spec.RequiredLabel) {
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

// acceptsWork says whether the node takes another run now, by its health.
func (s *Scheduler) acceptsWork(w *workerState) bool {
	if !s.usable(w) || s.now.Before(w.health.ejectedUntil) {
		return false
	}
	return !w.health.halfOpen || len(w.runs) == 0
}

// chooseWorker returns the node for a task: the one that the task fills best, if it is about as fast as the others.
func (s *Scheduler) chooseWorker(js *jobState, i int, t *task, reserved map[*workerState]time.Time) *workerState {
	spec := js.work.Steps[i]
	var best *workerState
	var bestCost float64
	for _, w := range s.sortedWorkers {
		if !s.acceptsWork(w) || !spec.Need.FitsIn(w.free) || !s.allowed(js, i, w) {
			continue
		}
		length := time.Duration(float64(s.expectedDuration(js, i)) * w.health.slowdown)
		if until, isReserved := reserved[w]; isReserved && s.now.Add(length).After(until) {
			continue
		}
		cost := s.cost(w, spec.Need, spec.DataRack)
		for _, id := range t.avoidWorkers {
			if id == w.ID {
				cost += avoidCost
			}
		}
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}

const (
	// avoidCost puts a worker on which the task has failed behind all others.
	avoidCost = 100
	// rackCost puts workers far from the data behind those near to it.
	rackCost = 2
	// badRunCost puts workers whose last run failed behind the others.
	badRunCost = 3
	// halfOpenCost leaves workers on trial for the time when no other one has room: the first task there may be lost.
	halfOpenCost = 50
	// slowdownCost weighs the pace of a worker against unused cores: half of the run time more counts as a whole worker.
	slowdownCost = 1
)

func (s *Scheduler) cost(w *workerState, need worker.Resources, rack string) float64 {
	freeShare := float64(w.free.MilliCores-need.MilliCores) / float64(max(w.Capacity.MilliCores, 1))
	cost := freeShare + slowdownCost*(w.health.slowdown-1) + badRunCost*float64(w.health.badRuns)
	if w.health.halfOpen {
		cost += halfOpenCost
	}
	if rack != "" && !w.HasLabel(rack) {
		cost += rackCost
	}
	return cost
}

// reserveWorker keeps the node that will first have room for the task.
func (s *Scheduler) reserveWorker(js *jobState, i int, reserved map[*workerState]time.Time) {
	var best *workerState
	var bestAt time.Time
	for _, w := range s.sortedWorkers {
		if _, kept := reserved[w]; kept || !s.usable(w) || s.now.Before(w.health.ejectedUntil) || !s.allowed(js, i, w) {
			continue
		}
		at, ok := s.roomAt(w, js.work.Steps[i].Need)
		if ok && (best == nil || at.Before(bestAt)) {
			best, bestAt = w, at
		}
	}
	if best != nil {
		reserved[best] = bestAt
	}
}

// roomAt returns when the node is expected to have room, by the expected ends of its runs.
func (s *Scheduler) roomAt(w *workerState, need worker.Resources) (time.Time, bool) {
	if !need.FitsIn(w.Capacity) {
		return time.Time{}, false
	}
	free, at := w.free, s.now
	runs := w.sortedRuns()
	sort.SliceStable(runs, func(i, j int) bool { return runs[i].expectedEnd().Before(runs[j].expectedEnd()) })
	for _, r := range runs {
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
