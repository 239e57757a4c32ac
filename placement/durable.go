package placement

import (
	"time"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// DurableState is the state of a durable job.
type DurableState uint8

// States of a durable job.
const (
	DurableOpen DurableState = iota
	DurableCompleted
	DurableFailed
	DurableCancelled
)

// A durable job survives its holder. The end of a run is acknowledged only after its effect on the job is persisted,
// because the worker forgets an acknowledged end and the next holder would run the task again.

// pendingAck defers the acknowledgement of an ended run until a version of its job is persisted.
type pendingAck struct {
	worker      *workerState
	incarnation int64
	sequence    int64
	version     int
}

// deferredEnd is an ended run that was listed before the durable jobs of the group were loaded.
type deferredEnd struct {
	worker      *workerState
	incarnation int64
	end         worker.EndedRun
}

// submitDurable accepts a durable job; such a job is never refused and has no deadline.
func (s *Scheduler) submitDurable(m Submit) {
	if s.durableJobs[m.Work.ID] != nil || s.jobs[m.Work.ID] != nil {
		return
	}
	js := s.newJob(m)
	js.durable, js.mayHaveStarted, js.started = true, false, m.Progress.known()
	clear(js.keys)
	s.durableJobs[js.work.ID], s.jobs[js.work.ID] = js, js
	if m.Resumed || !s.durableRunsListed() {
		// An earlier holder may have started tasks on a worker that has not reported its runs yet, and may go on until its
		// permit ends, also with jobs that were stored since.
		js.priorRunsUntil = s.firstUpdate.Add(s.rules.DurableHolderEnd)
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

// durableRunsListed reports whether all workers that an earlier holder may have used have shown their runs under the current
// fence.
func (s *Scheduler) durableRunsListed() bool {
	return s.listRevision >= s.claimRevision && s.allSynced()
}

// priorRunsOpen reports whether a run of an earlier holder may be running, or may have ended without being listed here.
func (s *Scheduler) priorRunsOpen(js *jobState) bool {
	switch {
	case js.priorRunsUntil.IsZero():
		return false
	case s.now.Before(js.priorRunsUntil):
		return s.incompleteList || !s.durableRunsListed()
	case s.hasUnlistedEnds():
		return true
	}
	js.priorRunsUntil = time.Time{}
	return false
}

// handleRestoreDone processes the deferred ends once all durable jobs of the group are loaded.
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

// cancelDurable ends a durable job at the caller's request.
func (s *Scheduler) cancelDurable(id string) {
	js := s.durableJobs[id]
	if js == nil || js.closed {
		return
	}
	s.logEvent("job-cancelled", id, "", "cancelled by its caller", map[string]int64{"tasks-left": int64(js.remaining)})
	js.state = DurableCancelled
	s.closeJob(js, nil)
}

// deferAck defers the acknowledgement of an ended run if the run belongs to a durable job.
func (s *Scheduler) deferAck(w *workerState, e worker.EndedRun) {
	if e.Outcome != worker.Done && e.Outcome != worker.Failed {
		return
	}
	id, step, _, ok := job.ParseTaskName(e.Task)
	js := s.durableJobs[id]
	if !ok || js == nil || step < len(js.steps) && js.work.Steps[step].Lasting {
		return // a long-running task is restarted however it ends
	}
	if !js.closed {
		js.version++ // the version at which a job closes is its last
	}
	w.pendingAcks[e.Sequence] = struct{}{}
	js.pendingAcks = append(js.pendingAcks, pendingAck{worker: w, incarnation: w.incarnation, sequence: e.Sequence, version: js.version})
	s.unpersisted = append(s.unpersisted, js)
}

// handleEarlierEnd processes the end of a run that this scheduler does not have. It counts for a durable job
// nevertheless.
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

// persistChanged emits a PersistJob for each changed job, one version of a job at a time.
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

// handleJobPersisted releases the acknowledgements that the persisted version covers.
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

// maxUnacked limits the unacknowledged ends of a worker. Workers list 500 ends at a time, so new ends would not be
// listed beyond that. The scheduler knows the older ends; they are lost only if it stops before the store is available
// again.
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

// throttlePoll reports whether to delay the next poll: a worker responds at once while it lists unacknowledged ends.
func (s *Scheduler) throttlePoll(w *workerState) bool {
	return s.ackableThrough(w) < w.handledSequence && s.now.Sub(w.lastPollAt) < s.rules.UnackedPollInterval
}

// lateness ranks a job by the remaining value of its end: 0 on time, 1 late, 2 for durable jobs that are very late.
func (s *Scheduler) lateness(js *jobState) int {
	end := s.now.Add(s.criticalPath(js)) // an upper bound once steps are done
	switch {
	case js.work.IsLongRunning():
		return 0
	case !end.After(js.targetEnd):
		return 0
	case js.mayHaveStarted && !end.After(js.worthlessAt()):
		return 0 // its finished tasks would be wasted behind a continuous flow of jobs that can be on time
	case js.durable && end.After(js.worthlessAt()):
		return 2
	}
	return 1
}

// worthlessAt returns the time after which the end of the job is worth nothing to its caller.
func (js *jobState) worthlessAt() time.Time {
	return js.targetEnd.Add((maxLateFactor - 1) * js.targetEnd.Sub(js.arrived))
}

// maxLateFactor is the multiple of the time to the target end after which the end of a job is worth nothing to its
// caller.
const maxLateFactor = 3

func (r *run) longRunning() bool { return r.job.work.Steps[r.step].Lasting }

// persistRunNumber persists the run number of a long-running task, which the next holder must exceed.
func (s *Scheduler) persistRunNumber(r *run) {
	if r.longRunning() && r.job.durable {
		r.job.version++
		s.unpersisted = append(s.unpersisted, r.job)
	}
}

// drainWorkers stops long-running tasks on draining workers, a few of each step at a time, so that they restart on
// other workers before the worker ends them all at once.
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

// disruptedTasks returns the number of tasks of a step that are not fully running.
func (s *Scheduler) disrupted(js *jobState, i int) int {
	disrupted := 0
	for j := range js.steps[i].tasks {
		if r := s.runs[js.name(i, j)]; r == nil || r.stopping || r.progress < 100 {
			disrupted++
		}
	}
	return disrupted
}

// fitsOnOtherWorker reports whether another worker has room for the task of a run.
func (s *Scheduler) fitsOnOtherWorker(r *run) bool {
	for _, w := range s.sortedWorkers {
		if w != r.worker && s.acceptsWork(w) && r.need.FitsIn(w.free) && s.allowed(r.job, r.step, w) && s.mayUse(r.job, w) {
			return true
		}
	}
	return false
}
