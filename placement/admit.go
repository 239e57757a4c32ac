package placement

import (
	"sort"
	"time"

	"samphireplank.example/samphireplank/worker"
)

// admit decides whether a job is accepted: only if the group can run it, and on time given the queued and running work.
func (s *Scheduler) admit(js *jobState, resumed bool) (Verdict, bool) {
	if resumed {
		return nil, true
	}
	s.observeDemand(js)
	if len(s.jobs) >= s.rules.MaxJobs {
		return s.refusal("too many jobs", s.rules.MaxRetryAfter), false
	}
	for i := range js.work.Steps {
		if !s.canEverRun(js, i) {
			return s.refusal("no worker of the group can run the job", s.rules.MaxRetryAfter), false
		}
	}
	wait, ok := s.predictEnd(js)
	if !ok {
		return s.refusal("no worker accepts work", s.rules.MinRetryAfter), false
	}
	late := s.now.Add(wait + time.Duration(durationMargin*float64(s.criticalPath(js)))).Sub(js.targetEnd)
	if late > 0 && !s.canStartNow(js) {
		return s.refuseForCapacity(js, "the job would not end on time", late, map[string]int64{"predicted-ms": ms(wait), "late-ms": ms(late)}), false
	}
	return nil, true
}

// durationMargin is added to the expected run time, as a share of it, before a job counts as late. Declared times are
// off by 40%, and an immediate refusal serves the caller better than a job that is accepted and late.
const durationMargin = 0.25

// canStartNow reports whether the job may start at once without delaying another job; it is then accepted even if it
// will be late.
func (s *Scheduler) canStartNow(js *jobState) bool {
	if len(s.queue) > 0 || len(js.work.Steps) == 0 {
		return false
	}
	for _, w := range s.sortedWorkers {
		if s.acceptsWork(w) && s.allowed(js, 0, w) && js.work.Steps[0].Need.FitsIn(w.free) {
			return true
		}
	}
	return false
}

// canEverRun reports whether the workers of the group could run the step if they were idle.
func (s *Scheduler) canEverRun(js *jobState, i int) bool {
	room, needed := 0, 1
	if js.isGang(i) {
		needed = len(js.steps[i].tasks)
	}
	for _, w := range s.sortedWorkers {
		if w.Service == js.policy.Service && js.work.Steps[i].Need.FitsIn(w.Capacity) && s.allowed(js, i, w) && !w.Draining {
			if room += tasksPerWorker(js, i, w); room >= needed {
				return true
			}
		}
	}
	return false
}

// logRefusal logs a refusal for lack of time, and the room that the group has for tasks of that size.
func (s *Scheduler) logRefusal(js *jobState, reason string, values map[string]int64) {
	values["priority"], values["queued"] = int64(js.policy.Priority), int64(len(s.queue))
	if len(js.work.Steps) > 0 {
		values["tasks"] = int64(js.work.Steps[0].Count)
		for _, w := range s.sortedWorkers {
			kind := "room"
			switch {
			case w.Service != js.policy.Service:
				continue
			case !s.usable(w):
				kind = "unusable-room"
			case !s.acceptsWork(w):
				kind = "ejected-room"
			}
			values[kind] += int64(tasksThatFit(w.free, js.work.Steps[0].Need))
		}
	}
	s.logEvent("job-refused", js.work.ID, "", reason, values)
}

func (s *Scheduler) refusal(reason string, wait time.Duration) NotRun {
	return NotRun{Reason: reason, RetryAfter: min(max(wait, s.rules.MinRetryAfter), s.rules.MaxRetryAfter)}
}

// capacityHeap is a heap of the times at which room for one task becomes free.
type capacityHeap []time.Duration

// build makes a heap of any list.
func (h capacityHeap) build() {
	for i := len(h)/2 - 1; i >= 0; i-- {
		h.sink(i)
	}
}

// sink moves an element down until it is not later than those below it. It does without container/heap, whose calls through an
// interface took most of the time of a prediction.
func (h capacityHeap) sink(i int) {
	for {
		child := 2*i + 1
		if child >= len(h) {
			return
		}
		if child+1 < len(h) && h[child+1] < h[child] {
			child++
		}
		if h[i] <= h[child] {
			return
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
}

// occupy uses the earliest free room for the given time and returns when that use ends.
func (h capacityHeap) occupy(length time.Duration) time.Duration {
	h[0] += length
	end := h[0]
	h.sink(0)
	return end
}

// freeCapacity returns when room for tasks of the given size becomes free on the workers that accept work. If there are none,
// half-open ones have room for one task each, since only a run can readmit them.
func (s *Scheduler) freeCapacity(service string, need worker.Resources) capacityHeap {
	capacity := make(capacityHeap, 0, 2*len(s.sortedWorkers))
	for _, w := range s.sortedWorkers {
		if w.Service != service || !s.usable(w) || s.now.Before(w.health.ejectedUntil) || w.health.halfOpen || s.isCold(w) {
			continue
		}
		free := tasksThatFit(w.free, need)
		for range free {
			capacity = append(capacity, 0)
		}
		later := tasksThatFit(w.Capacity, need) - free
		for _, r := range w.sortedRuns() {
			if later == 0 {
				break
			}
			capacity = append(capacity, max(r.expectedEnd().Sub(s.now), 0))
			later--
		}
	}
	if len(capacity) == 0 {
		for _, w := range s.sortedWorkers {
			if w.Service == service && s.acceptsWork(w) && need.FitsIn(w.free) {
				capacity = append(capacity, 0)
			}
		}
	}
	capacity.build()
	return capacity
}

// tasksThatFit returns how many tasks of a size fit into an amount of resources, up to maxPredictedTasksPerWorker.
func tasksThatFit(free, need worker.Resources) int {
	return min(need.CountIn(free), maxPredictedTasksPerWorker)
}

// maxPredictedTasksPerWorker limits the cost of a prediction when tasks are tiny.
const maxPredictedTasksPerWorker = 64

// predictEnd returns the expected time to the end of the job, behind all queued tasks of a lower or equal rank.
func (s *Scheduler) predictEnd(js *jobState) (time.Duration, bool) {
	if len(js.work.Steps) == 0 {
		return 0, true
	}
	capacity := s.freeCapacity(js.policy.Service, js.work.Steps[0].Need)
	if len(capacity) == 0 {
		return 0, false
	}
	s.occupyByQueued(capacity, js.policy.Service, func(q *jobState) bool { return s.precedes(q, js) })
	ends := make([]time.Duration, len(js.steps))
	var last time.Duration
	for i := range js.steps {
		var from time.Duration
		for _, earlier := range js.work.Steps[i].After {
			from = max(from, ends[earlier])
		}
		length := s.expectedDuration(js, i)
		for range js.steps[i].tasks {
			ends[i] = max(ends[i], capacity.occupy(length), from+length)
		}
		last = max(last, ends[i])
	}
	return last, true
}

// unfinishedJobs returns the jobs with unassigned tasks: those in the queue and those whose later steps wait for
// earlier ones. An accepted job of several steps needs room for all of them.
func (s *Scheduler) unfinishedJobs() []*jobState {
	list := s.queue
	for _, js := range s.jobs {
		if !js.inQueue && len(js.steps) > 1 {
			list = append(list[:len(list):len(list)], js)
		}
	}
	if blocked := list[len(s.queue):]; len(blocked) > 1 {
		sort.Slice(blocked, func(i, j int) bool { return blocked[i].work.ID < blocked[j].work.ID })
	}
	return list
}

// occupyByQueued occupies capacity with the unassigned tasks of the jobs that before selects.
func (s *Scheduler) occupyByQueued(capacity capacityHeap, service string, before func(*jobState) bool) {
	for _, q := range s.unfinishedJobs() {
		if q.policy.Service != service || s.now.Before(q.startAt) || !before(q) {
			continue
		}
		for i := range q.steps {
			length := s.expectedDuration(q, i)
			for j := range q.steps[i].tasks {
				if t := &q.steps[i].tasks[j]; t.phase == taskQueued || t.phase == taskBlocked {
					capacity.occupy(length)
				}
			}
		}
	}
}

// queueDelay returns the expected time until a new task of the priority would start.
func (s *Scheduler) queueDelay(priority int) time.Duration {
	for _, q := range s.queue {
		if q.policy.Priority <= priority && len(q.work.Steps) > 0 {
			capacity := s.freeCapacity(q.policy.Service, q.work.Steps[0].Need)
			if len(capacity) == 0 {
				return s.rules.MaxRetryAfter
			}
			s.occupyByQueued(capacity, q.policy.Service, func(o *jobState) bool { return o.policy.Priority <= priority })
			return capacity[0]
		}
	}
	return 0
}

// Load returns a summary of the scheduler; typical is the task size for which the waits are computed.
func (s *Scheduler) Load(service string, typical worker.Resources) Load {
	l := Load{}
	for _, w := range s.sortedWorkers {
		if w.Service == service && s.acceptsWork(w) {
			l.Workers++
			if !s.isCold(w) { // groups with warm workers are chosen first
				l.FreeMilliCores += max(w.free.MilliCores, 0)
			}
		}
	}
	capacity := s.freeCapacity(service, typical)
	if len(capacity) == 0 {
		for range loadPriorities {
			l.Wait = append(l.Wait, s.rules.MaxRetryAfter)
		}
		return l
	}
	for priority := range loadPriorities {
		s.occupyByQueued(capacity, service, func(q *jobState) bool { return q.policy.Priority == priority })
		l.Wait = append(l.Wait, capacity[0])
	}
	return l
}

// loadPriorities is the number of priorities for which Load reports waits.
const loadPriorities = 4
