package placement

import (
	"math"
	"time"

	"samphireplank.example/samphireplank/worker"
)

// run is a started task that may be running on a worker.
type run struct {
	taskName        string
	job             *jobState
	step            int
	index           int
	number          int
	worker          *workerState
	need            worker.Resources
	sent            time.Time
	confirmed       time.Time     // when the worker confirmed the start; zero before
	startExpiry     time.Duration // on the worker's clock; the worker rejects the start order after it, see neverExpires
	tries           int
	openStarts      int   // start orders that may still be carried out
	boundTo         int64 // the only incarnation that may carry out its starts, 0 if any may
	expected        time.Duration
	sound           time.Duration // expected run time on a sound worker
	pValue          float64       // probability that a run on a sound worker is as slow; 0 while unknown
	usual           bool          // the run is of usual speed so far
	baseClock       time.Duration // worker's clock when the start was answered or the run was first listed; zero before
	baseProgress    int           // progress at baseClock
	progress        int
	projected       time.Duration // run time projected from the progress; 0 while unknown
	checkProgressAt time.Time     // when the progress is next compared with the expected time
	checkDeferred   bool          // the check has been deferred once until the other tasks of the step are listed
	sender          SubmissionKey // submission whose VM sends the start; zero for the holder itself
	stopping        bool
	lastStopAt      time.Time // when the last stop order was sent
	trial           bool      // the worker was half-open when the run started
	cold            bool      // the worker was cold when the run started
	unmeasured      bool      // no run time is learned: the run is adopted or its worker is slow
}

// neverExpires is the startExpiry of a run whose start may reach a new incarnation of its worker, whose clock starts anew.
const neverExpires time.Duration = math.MaxInt64

// startRun starts a task on a worker.
func (s *Scheduler) startRun(js *jobState, i, j int, w *workerState) {
	t := &js.steps[i].tasks[j]
	t.phase = taskAssigned
	t.lastRun++
	js.queuedTasks--
	js.mayHaveStarted = true
	js.newestWorker = max(js.newestWorker, w.added)
	sound := s.expectedDuration(js, i)
	expected := time.Duration(float64(sound) * w.health.slowdown)
	r := &run{
		taskName: js.name(i, j), job: js, step: i, index: j, number: t.lastRun, worker: w,
		need: js.work.Steps[i].Need, sent: s.now, expected: expected, sound: sound,
	}
	s.markCold(r)
	r.checkProgressAt = s.now.Add(time.Duration(float64(expected)*progressCheckFactor) + s.rules.StallGrace)
	if w.health.halfOpen {
		r.trial, w.health.trialAt = true, s.now
	}
	w.addRun(r)
	s.runs[r.taskName] = r
	js.running++
	js.transfers = 0
	w.free = w.free.Sub(r.need)
	s.persistRunNumber(r)
	s.observeStart(r)
	if js.resumed {
		s.logEvent("run-started", js.work.ID, w.ID, "no run of an earlier holder was found", map[string]int64{"step": int64(i), "index": int64(j), "run": int64(r.number), "unsynced-workers": s.unsyncedWorkers()})
	}
	s.sendStart(r)
}

func (s *Scheduler) sendStart(r *run) {
	r.tries++
	r.openStarts++
	lease := s.extendLease(r.worker)
	r.startExpiry = max(r.startExpiry, lease) // an earlier try may still be carried out
	r.sender = r.job.sender
	switch {
	case r.sender != SubmissionKey{}:
		r.boundTo = 0 // a VM of an earlier version does not bind the order
	case r.tries == 1:
		r.boundTo = r.worker.incarnation
	case r.boundTo != r.worker.incarnation:
		r.boundTo = 0
	}
	s.emit(StartRun{Sender: r.sender, Order: worker.StartOrder{
		Target:     target(r.worker),
		Run:        worker.Run{Task: r.taskName, Number: r.number},
		Spec:       r.job.work.Spec,
		Lease:      lease,
		Fence:      s.fence,
		Timeout:    s.orderTimeout(),
		Checkpoint: r.job.steps[r.step].tasks[r.index].checkpoint,
	}})
}

// findRun returns a worker and its run; each is nil if it is no longer known.
func (s *Scheduler) findRun(id string, of worker.Run) (*workerState, *run) {
	w := s.workers[id]
	if w == nil {
		return nil, nil
	}
	if r := w.runs[of.Task]; r != nil && r.number == of.Number {
		return w, r
	}
	return w, nil
}

// handleStartResult processes the response to a start order.
func (s *Scheduler) handleStartResult(m StartResult) {
	s.observeStartResult(m)
	w, r := s.findRun(m.Order.ID, m.Order.Run)
	if r != nil && m.SentAt.Before(r.sent) {
		r = nil // the order was for an earlier submission of the job, whose runs had the same numbers
	}
	reason, rejected := worker.RejectionReason(m.Err)
	if r != nil && (m.Err == nil || rejected) {
		r.openStarts = max(r.openStarts-1, 0)
	}
	if w != nil && reason == worker.ReasonWrongIncarnation {
		s.handleStartForOtherIncarnation(w, r, m.Order.Target)
		return
	}
	if r == nil {
		return
	}
	if w.fromEarlierIncarnation(m.Report, m.SentAt) {
		return
	}
	if m.Err == nil {
		s.readClockAndIncarnation(w, m.Report, r)
		if r.confirmed.IsZero() {
			r.confirmed, r.job.started = s.now, true
		}
		if r.baseClock == 0 {
			r.baseClock = m.Report.Clock
		}
		return
	}
	if !rejected || reason == worker.ReasonNotSent {
		r.job.updateSpec(m, r.sender)
	}
	if rejected {
		s.handleStartRejected(w, r, reason, m)
		return
	}
	s.handleUnansweredStart(w, r, m.Err)
}

// observeStartResult updates the response time estimate.
func (s *Scheduler) observeStartResult(m StartResult) {
	took := s.now.Sub(m.SentAt)
	if m.Err != nil {
		reason, rejected := worker.RejectionReason(m.Err)
		switch {
		case reason == worker.ReasonDialFailed, reason == worker.ReasonNotSent:
			return
		case !rejected && took < m.Order.Timeout:
			return // the connection was closed
		case !rejected:
			took = time.Duration(unansweredFactor * float64(took))
		}
	}
	s.startRTT.observe(took)
}

func (s *Scheduler) handleStartRejected(w *workerState, r *run, reason worker.Reason, m StartResult) {
	if m.Report.Clock > 0 {
		s.readClockAndIncarnation(w, m.Report, nil)
		if w.runs[r.taskName] != r {
			return // lost with an earlier incarnation
		}
	}
	if r.tries > 1 && reason != worker.ReasonStaleFence {
		// An earlier try of this start may have been carried out, or may still be; only a poll can tell.
		if reason != worker.ReasonStaleRun {
			w.unansweredCalls = max(w.unansweredCalls, 1)
		}
		return
	}
	s.logEvent("start-rejected", r.job.work.ID, w.ID, string(reason), map[string]int64{"run": int64(r.number)})
	switch reason {
	case worker.ReasonStaleFence:
		if m.Order.Fence >= s.fence {
			s.stopFenced(w.ID)
			return
		}
	case worker.ReasonStaleRun:
		r.job.steps[r.step].tasks[r.index].lastRun += runNumberSkip
	case worker.ReasonUnhealthy:
		s.recordBadRun(w, "worker rejected a start as unhealthy")
	case worker.ReasonDialFailed:
		w.unansweredCalls++
		w.probeAt = s.now
	case worker.ReasonNoCapacity:
		w.synced = false // the worker has runs that are not known here
		w.probeAt = s.now
	}
	s.loseRun(r, string(reason))
}

// handleStartForOtherIncarnation handles a start that was rejected since its worker has restarted: unless another try is open,
// the run is not on the new incarnation, and that of the earlier one has ended with it.
func (s *Scheduler) handleStartForOtherIncarnation(w *workerState, r *run, to worker.Target) {
	if r != nil {
		s.logEvent("start-rejected", r.job.work.ID, w.ID, string(worker.ReasonWrongIncarnation), map[string]int64{"run": int64(r.number)})
	}
	s.rejectedByIncarnation(w, to)
	if r != nil && w.runs[r.taskName] == r && r.openStarts == 0 && r.confirmed.IsZero() {
		s.loseRun(r, "worker restarted")
	}
}

// runNumberSkip raises a run number above those of an earlier submission of the same job.
const runNumberSkip = 16

// handleUnansweredStart retries a start without a response, which is safe because a worker starts each run only once.
func (s *Scheduler) handleUnansweredStart(w *workerState, r *run, err error) {
	w.unansweredCalls++
	if w.unansweredCalls == 1 {
		w.probeAt = s.now
	}
	s.logEvent("start-open", r.job.work.ID, w.ID, err.Error(), map[string]int64{"run": int64(r.number), "try": int64(r.tries)})
	if r.stopping {
		return
	}
	if r.tries < maxStartTries && r.job.canStart() && s.mayStartInZone() {
		s.sendStart(r)
		return
	}
	// A stop that is answered settles the outcome long before the lease of the start expires.
	s.stopRun(r)
}

// maxStartTries limits the tries of one start on one worker; after the last one the run is stopped.
const maxStartTries = 2

// stopRun sends a stop order. The run counts as running until the worker lists its end.
func (s *Scheduler) stopRun(r *run) {
	if r.stopping {
		return
	}
	r.stopping = true
	s.sendStop(r)
	if r.job.isGang(r.step) && !r.job.closed {
		s.stopGang(r.job, r.step, "a gang member is being stopped")
	}
}

func (s *Scheduler) sendStop(r *run) {
	r.lastStopAt = s.now
	s.emit(StopRun{worker.StopOrder{Target: target(r.worker), Run: worker.Run{Task: r.taskName, Number: r.number}, Fence: s.fence, Timeout: s.orderTimeout()}})
}

// handleStopResult processes the response to a stop order: a run that had not started never will.
func (s *Scheduler) handleStopResult(m StopResult) {
	w, r := s.findRun(m.Order.ID, m.Order.Run)
	reason, rejected := worker.RejectionReason(m.Err)
	if w != nil && reason == worker.ReasonWrongIncarnation {
		s.rejectedByIncarnation(w, m.Order.Target)
		if r != nil && w.runs[r.taskName] == r && m.Order.Incarnation != target(w).Incarnation && !r.lastStopAt.Equal(s.now) {
			s.sendStop(r) // to the present incarnation, which a start may still reach
		}
		return
	}
	if r == nil {
		return
	}
	if m.Err == nil && w.fromEarlierIncarnation(m.Report, m.SentAt) {
		s.sendStop(r)
		return
	}
	if m.Err == nil {
		s.readClockAndIncarnation(w, m.Report, nil)
		if r.confirmed.IsZero() && w.runs[r.taskName] == r {
			r.confirmed = s.now // the next list shows whether it still runs
		}
		return
	}
	if rejected && reason == worker.ReasonStaleFence {
		if m.Order.Fence >= s.fence {
			s.stopFenced(w.ID)
			return
		}
		s.sendStop(r)
		return
	}
	w.unansweredCalls++
	if w.unansweredCalls == 1 {
		w.probeAt = s.now
		s.sendStop(r)
	}
}

// removeRun removes a run that has certainly ended.
func (s *Scheduler) removeRun(r *run) {
	r.worker.deleteRun(r.taskName)
	r.job.running--
	if s.runs[r.taskName] == r {
		delete(s.runs, r.taskName)
	}
	r.worker.free = r.worker.free.Add(r.need)
	s.rememberRun(r)
}

// loseRun gives up a run that has certainly ended with an unknown outcome.
func (s *Scheduler) loseRun(r *run, reason string) {
	s.removeRun(r)
	if !r.job.durable {
		s.lostBestEffort[r.job.work.ID] = s.now
	}
	if r.job.closed {
		return
	}
	s.logEvent("run-lost", r.job.work.ID, r.worker.ID, reason, map[string]int64{
		"run": int64(r.number), "sent-ms": ms(s.now.Sub(r.sent)), "tries": int64(r.tries), "lease-ended-ms": ms(s.now.Sub(r.worker.leaseExpiry)),
	})
	s.handleMemberEnd(r, 0)
	s.requeueTask(r.job, r.step, r.index)
}

// saveCheckpoint records where a task resumes if its run ends early.
func (s *Scheduler) saveCheckpoint(r *run, value string) {
	if value == "" || !r.job.work.Steps[r.step].Checkpointing {
		return
	}
	r.job.steps[r.step].tasks[r.index].checkpoint = value
	if r.job.isGang(r.step) {
		r.job.shareCheckpoint(r.step, value)
	}
}

// maxDurations limits the run times recorded for each step.
const maxDurations = 15

// handleRunEnded processes a run that its worker lists as ended.
func (s *Scheduler) handleRunEnded(r *run, e worker.EndedRun) {
	s.removeRun(r)
	r.job.started = true
	s.saveCheckpoint(r, e.Checkpoint)
	outcome := e.Outcome
	if outcome == worker.Failed && r.job.steps[r.step].tasks[r.index].hasCounted(r.number) {
		outcome = worker.GangBroken // counted with another member of its gang, or by the holder before
	}
	if r.longRunning() {
		outcome = worker.Stopped // a long-running task is restarted however it ends
	}
	took := s.now.Sub(r.sent)
	switch outcome {
	case worker.Done:
		s.recordGoodRun(r, took)
		if step := &r.job.steps[r.step]; len(step.durations) < maxDurations {
			step.durations = append(step.durations, took)
		}
		s.handleMemberEnd(r, outcome)
		s.completeTask(r.job, r.step, r.index)
		return
	case worker.Failed:
		if !r.job.closed {
			s.logEvent("run-failed", r.job.work.ID, r.worker.ID, "", map[string]int64{"run": int64(r.number), "took-ms": ms(took)})
		}
		r.job.countFailure(r.step, r.index, r.number)
		s.handleMemberEnd(r, outcome)
		s.recordBadRun(r.worker, "run failed")
		s.failTask(r.job, r.step, r.index, r.worker.ID)
		return
	}
	if r.job.closed {
		return
	}
	s.handleMemberEnd(r, outcome)
	s.logEvent("run-ended", r.job.work.ID, r.worker.ID, e.Outcome.String(), map[string]int64{"run": int64(r.number)})
	s.requeueTask(r.job, r.step, r.index)
}
