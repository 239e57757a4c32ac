package placement

import (
	"time"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// DurableState says how far a stored job is.
type DurableState uint8

// The states of a stored job.
const (
	DurableOpen DurableState = iota
	DurableCompleted
	DurableFailed
	DurableCancelled
)

// A stored job survives its holder. What a worker lists as ended is acknowledged only after the store has what follows
// from it, because the worker forgets an acknowledged end and the next holder would run the task again.

// pendingAck keeps an end unacknowledged until a version of its job is stored.
type pendingAck struct {
	worker      *workerState
	incarnation int64
	sequence    int64
	version     int
}

// deferredEnd is an end that was listed before the stored jobs of the group were known.
type deferredEnd struct {
	worker      *workerState
	incarnation int64
	end         worker.EndedRun
}

// submitDurable takes a stored job; it is never refused and has no deadline.
func (s *Scheduler) submitDurable(m Submit) {
	if s.durableJobs[m.Work.ID] != nil || s.jobs[m.Work.ID] != nil {
		return
	}
	js := s.newJob(m)
	js.durable, js.mayHaveStarted, js.started = true, false, m.Progress.known()
	clear(js.keys)
	s.durableJobs[js.work.ID], s.jobs[js.work.ID] = js, js
	if m.Resumed || !s.allSynced() {
		// An earlier holder may have started tasks on a worker that has not shown yet what it runs.
		js.priorRunsUntil = s.now.Add(time.Duration(float64(s.rules.LeaseDuration)*(1+s.rules.ClockDrift)) + leaseSlack)
	}
	s.releaseReadySteps(js)
	for i := range js.steps {
		for j := range js.steps[i].tasks {
			s.adoptRun(js.name(i, j))
		}
	}
	if js.remaining == 0 && !js.closed {
		s.closeJob(js, Completed{})
	}
}

// handleRestoreDone takes in that all jobs are known that the store had for the group when its holder changed.
func (s *Scheduler) handleRestoreDone() {
	if s.restored {
		return
	}
	s.restored = true
	for _, l := range s.deferredEnds {
		if l.worker.incarnation == l.incarnation {
			s.handleEarlierEnd(l.worker, l.end)
		}
	}
	s.deferredEnds = nil
}

// cancelDurable ends a stored job on its caller's order.
func (s *Scheduler) cancelDurable(id string) {
	js := s.durableJobs[id]
	if js == nil || js.closed {
		return
	}
	s.logEvent("job-cancelled", id, "", "by its caller", map[string]int64{"tasks-left": int64(js.remaining)})
	js.state = DurableCancelled
	s.closeJob(js, nil)
}

// deferAck keeps an end unacknowledged if it is one of a stored job.
func (s *Scheduler) deferAck(w *workerState, e worker.EndedRun) {
	if e.Outcome != worker.Done && e.Outcome != worker.Failed {
		return
	}
	id, step, _, ok := job.ParseTaskName(e.Task)
	js := s.durableJobs[id]
	if !ok || js == nil || step < len(js.steps) && js.work.Steps[step].Lasting {
		return // a task that lasts starts again however it ends
	}
	if !js.closed {
		js.version++ // the end of a job is its last version
	}
	w.pendingAcks[e.Sequence] = struct{}{}
	js.pendingAcks = append(js.pendingAcks, pendingAck{worker: w, incarnation: w.incarnation, sequence: e.Sequence, version: js.version})
	s.unpersisted = append(s.unpersisted, js)
}

// handleEarlierEnd takes in an end of a run that this pool does not have, which counts for a stored job all the same.
func (s *Scheduler) handleEarlierEnd(w *workerState, e worker.EndedRun) {
	if !s.restored {
		s.deferredEnds = append(s.deferredEnds, deferredEnd{worker: w, incarnation: w.incarnation, end: e})
		return
	}
	js, i, j := s.locateTask(e.Task)
	if js == nil || !js.durable || js.work.Steps[i].Lasting {
		return
	}
	t := &js.steps[i].tasks[j]
	js.started = true
	t.lastRun = max(t.lastRun, e.Number)
	switch {
	case e.Outcome == worker.Done && t.phase != taskDone:
		s.deferAck(w, e)
		if js.isGang(i) {
			s.completeGang(js, i)
			return
		}
		if r := s.runs[js.name(i, j)]; r != nil {
			s.stopRun(r)
		}
		s.completeTask(js, i, j)
	case e.Outcome == worker.Failed && e.Number > t.lastCountedRun && t.phase != taskDone:
		s.deferAck(w, e)
		t.lastCountedRun = e.Number
		js.failOtherMembers(i, j)
		t.failed++
		t.avoidWorkers = append(t.avoidWorkers, w.ID)
		if t.failed >= max(js.policy.MaxAttempts, 1) {
			s.failJob(js, i, j, w.ID)
		}
	}
}

// persistChanged asks to store the jobs that have changed, one version of each at a time.
func (s *Scheduler) persistChanged() {
	for _, js := range s.unpersisted {
		if js.persisting || js.persistedVersion >= js.version {
			continue
		}
		js.persisting = true
		progress := js.progress(nil, nil, s.now)
		progress.On = nil
		s.emit(PersistJob{Job: js.work.ID, Version: js.version, State: js.state, Progress: progress})
	}
	clear(s.unpersisted)
	s.unpersisted = s.unpersisted[:0]
}

// handleJobPersisted releases the ends that a stored version covers.
func (s *Scheduler) handleJobPersisted(m JobPersisted) {
	js := s.durableJobs[m.Job]
	if js == nil {
		return
	}
	js.persisting, js.persistedVersion = false, max(js.persistedVersion, m.Version)
	left := js.pendingAcks[:0]
	for _, x := range js.pendingAcks {
		switch {
		case x.version > m.Version:
			left = append(left, x)
		case x.worker.incarnation == x.incarnation:
			delete(x.worker.pendingAcks, x.sequence)
		}
	}
	js.pendingAcks = left
	if js.persistedVersion < js.version {
		s.unpersisted = append(s.unpersisted, js)
		return
	}
	if js.closed {
		delete(s.durableJobs, m.Job)
	}
}

// maxUnacked bounds the ends of a worker that are not acknowledged. Workers list 500 at a time, so beyond it nothing would be
// heard of new ones. The pool knows the older ones; they are lost only if it goes before the store is back.
const maxUnacked = 400

// ackableThrough returns the sequence of the last end that may be acknowledged.
func (s *Scheduler) ackableThrough(w *workerState) int64 {
	last := w.handledSequence
	for sequence := range w.pendingAcks {
		last = min(last, sequence-1)
	}
	if !s.restored {
		last = w.ackedSequence
	}
	if w.handledSequence-last > maxUnacked {
		return w.handledSequence
	}
	return last
}

// throttlePoll says whether a worker answers holds at once, since it lists ends that may not be acknowledged yet.
func (s *Scheduler) throttlePoll(w *workerState) bool {
	return s.ackableThrough(w) < w.handledSequence && s.now.Sub(w.lastPollAt) < s.rules.UnackedPollInterval
}

// lateness ranks a job by what its end is still worth: 0 on time, 1 late, 2 for stored jobs that are very late.
func (s *Scheduler) lateness(js *jobState) int {
	end := s.now.Add(s.criticalPath(js)) // an upper bound once steps are done
	switch {
	case js.work.IsLongRunning():
		return 0
	case !end.After(js.targetEnd):
		return 0
	case js.started && len(js.steps) > 1 && !end.After(js.targetEnd.Add((maxLateFactor-1)*js.targetEnd.Sub(js.arrived))):
		return 0 // what its first steps have cost would be lost behind an endless row of jobs that can be on time
	case js.durable && end.After(js.targetEnd.Add((maxLateFactor-1)*js.targetEnd.Sub(js.arrived))):
		return 2
	}
	return 1
}

// maxLateFactor is the multiple of the objective after which the end of a job is worth nothing to its caller.
const maxLateFactor = 3

func (r *run) longRunning() bool { return r.job.work.Steps[r.step].Lasting }

// persistRunNumber notes the number of a run, which the next holder must exceed.
func (s *Scheduler) persistRunNumber(r *run) {
	if r.longRunning() && r.job.durable {
		r.job.version++
		s.unpersisted = append(s.unpersisted, r.job)
	}
}

// drainWorkers stops lasting tasks on workers that are about to leave, a few of each step at a time, so that they start
// elsewhere before the worker ends them all at once.
func (s *Scheduler) drainWorkers() {
	for _, w := range s.sortedWorkers {
		if !w.Draining {
			continue
		}
		for _, r := range w.sortedRuns() {
			if !r.longRunning() || r.stopping || r.job.closed {
				continue
			}
			if s.disrupted(r.job, r.step) < max(r.job.work.Steps[r.step].MaxDisrupted, 1) && s.fitsOnOtherWorker(r) {
				s.logEvent("run-moved", r.job.work.ID, w.ID, "worker is draining", map[string]int64{"run": int64(r.number)})
				s.stopRun(r)
			}
		}
	}
}

// disrupted returns the number of tasks of a step that are not at work.
func (s *Scheduler) disrupted(js *jobState, i int) int {
	disrupted := 0
	for j := range js.steps[i].tasks {
		if r := s.runs[js.name(i, j)]; r == nil || r.stopping || r.progress < 100 {
			disrupted++
		}
	}
	return disrupted
}

// fitsOnOtherWorker says whether another worker has room for the task of a run.
func (s *Scheduler) fitsOnOtherWorker(r *run) bool {
	for _, w := range s.sortedWorkers {
		if w != r.worker && s.acceptsWork(w) && r.need.FitsIn(w.free) && s.allowed(r.job, r.step, w) {
			return true
		}
	}
	return false
}
