package placement

import (
	"maps"
	"slices"
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

// deferredEnd is an ended run of an unknown job. It may be that of a durable job which an earlier holder ran and which has not been
// read here: the job counts as none only once a read of the durable jobs that began later has not shown it.
type deferredEnd struct {
	worker      *workerState
	incarnation int64
	end         worker.EndedRun
	listedAt    time.Time
}

// submitDurable accepts a durable job; such a job is never refused and has no deadline.
func (s *Scheduler) submitDurable(m Submit) {
	if s.durableJobs[m.Work.ID] != nil || s.jobs[m.Work.ID] != nil {
		return
	}
	js := s.newJob(m)
	js.durable, js.mayHaveStarted, js.started = true, false, m.Progress.known()
	js.transfers, js.transferTo = m.Transfers, m.TransferTo
	clear(js.keys)
	s.durableJobs[js.work.ID], s.jobs[js.work.ID] = js, js
	if m.Resumed || !s.durableRunsListed() {
		// An earlier holder may have started tasks on a worker that has not reported its runs yet, and may go on until its
		// permit ends, also with jobs that were stored since.
		js.priorRunsUntil = s.firstUpdate.Add(s.rules.DurableHolderEnd)
	}
	s.releaseReadySteps(js)
	s.settleEndsOf(js)
	for i := range js.steps {
		for j := range js.steps[i].tasks {
			s.adoptRun(js.name(i, j))
		}
	}
	if js.remaining == 0 && !js.closed {
		s.closeJob(js, Completed{})
	}
	if m.Cancelled {
		s.cancelDurable(js.work.ID) // before tasks are placed
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

// handleRestoreDone records that all durable jobs of the group are loaded.
func (s *Scheduler) handleRestoreDone(m RestoreDone) {
	s.restored = true
	s.handleJobsRead(m.Since)
}

// handleJobsRead settles the ends of unknown jobs that were listed before a read of the durable jobs began.
func (s *Scheduler) handleJobsRead(since time.Time) {
	s.readingJobs, s.jobsReadAt = false, s.now
	for _, id := range slices.Sorted(maps.Keys(s.deferredEnds)) {
		ends := s.deferredEnds[id]
		left := ends[:0]
		for _, d := range ends {
			if !d.listedAt.Before(since) {
				left = append(left, d)
				continue
			}
			s.settleDeferred(d)
		}
		s.deferredEnds[id] = left
		if len(left) == 0 {
			delete(s.deferredEnds, id)
		}
	}
}

// lostRunMemory is how long a given up run of a best-effort job is remembered; a worker that comes back later costs a read of the jobs.
const lostRunMemory = time.Minute

// forgetLostRuns forgets the runs that were given up long ago.
func (s *Scheduler) forgetLostRuns() {
	for id, at := range s.lostBestEffort {
		if s.now.Sub(at) > lostRunMemory {
			delete(s.lostBestEffort, id)
		}
	}
}

// settleDeferred processes a deferred end. It is held again if it changes a durable job.
func (s *Scheduler) settleDeferred(d deferredEnd) {
	if d.worker.incarnation != d.incarnation {
		return
	}
	d.worker.acks.settle(d.end.Sequence)
	s.countEarlierEnd(d.worker, d.end)
}

// settleEndsOf processes the deferred ends of a job that has become known.
func (s *Scheduler) settleEndsOf(js *jobState) {
	ends := s.deferredEnds[js.work.ID]
	delete(s.deferredEnds, js.work.ID)
	for _, d := range ends {
		s.settleDeferred(d)
	}
}

// jobsReadInterval is the minimum time between two reads of the durable jobs for the sake of unknown ends.
const jobsReadInterval = 100 * time.Millisecond

// readUnknownJobs requests a read of the durable jobs while ends of unknown jobs wait for one.
func (s *Scheduler) readUnknownJobs() {
	if len(s.deferredEnds) > 0 && s.restored && !s.readingJobs && s.now.Sub(s.jobsReadAt) >= jobsReadInterval {
		s.readingJobs = true
		s.emit(ReadDurableJobs{})
	}
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
	w.acks.hold(e.Sequence)
	js.pendingAcks = append(js.pendingAcks, pendingAck{worker: w, incarnation: w.incarnation, sequence: e.Sequence, version: js.version})
	s.unpersisted = append(s.unpersisted, js)
}

// handleEarlierEnd processes the end of a run that this scheduler does not have.
func (s *Scheduler) handleEarlierEnd(w *workerState, e worker.EndedRun) {
	id, _, _, ok := job.ParseTaskName(e.Task)
	if !ok || e.Outcome != worker.Done && e.Outcome != worker.Failed {
		return // no job depends on it
	}
	if _, lost := s.lostBestEffort[id]; lost || w.acks.isHeld(e.Sequence) {
		return // nothing has to be stored, or it is listed again
	}
	if s.jobs[id] == nil && s.durableJobs[id] == nil {
		w.acks.hold(e.Sequence)
		s.deferredEnds[id] = append(s.deferredEnds[id], deferredEnd{worker: w, incarnation: w.incarnation, end: e, listedAt: s.now})
		return
	}
	s.countEarlierEnd(w, e)
}

// countEarlierEnd counts the end of a run that this scheduler does not have for its durable job, if it has one.
func (s *Scheduler) countEarlierEnd(w *workerState, e worker.EndedRun) {
	js, i, j := s.locateTask(e.Task)
	if js == nil {
		s.deferAck(w, e) // until the end of its job is stored
		return
	}
	if !js.durable || js.work.Steps[i].Lasting {
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
	case e.Outcome == worker.Failed && !t.hasCounted(e.Number) && t.phase != taskDone:
		s.deferAck(w, e)
		js.countFailure(i, j, e.Number)
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
		m := PersistJob{Job: js.work.ID, Version: js.version, State: js.state, Progress: progress}
		if js.state == DurableOpen {
			m.TransferTo, m.Transfers = js.transferTo, js.transfers
		}
		s.emit(m)
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
			x.worker.acks.settle(x.sequence)
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

// maxUnackable is the number of ends of a worker, none of which may be acknowledged yet, from which on it gets no new task.
// Workers list 500 ends at a time, and the remaining 100 are for the tasks that run there.
const maxUnackable = 400

// throttlePoll reports whether to delay the next poll: a worker responds at once while it lists unacknowledged ends.
func (s *Scheduler) throttlePoll(w *workerState) bool {
	return w.acks.unackable() > 0 && s.now.Sub(w.lastPollAt) < s.rules.UnackedPollInterval
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
		if r := s.runs[js.name(i, j)]; r == nil || r.stopping || r.progress < fullyRunning {
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
