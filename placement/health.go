package placement

import (
	"slices"
	"time"
)

// health is the scheduler's estimate of whether a worker runs tasks well.
type health struct {
	slowdown     float64 // run time of its tasks as a multiple of that on other workers
	badRuns      int     // consecutive bad runs
	ejectedUntil time.Time
	ejectionTime time.Duration
	halfOpen     bool      // the worker gets one trial run at a time until a run is good
	trialAt      time.Time // when the last trial run started
	slow         bool      // it was last ejected since a run made little progress, which says nothing about the task

	// Slow runs that have ended since the last run of usual speed, one for each job.
	slowProduct float64 // product of their p-values
	slowJobs    int
	lastSlowJob *jobState
}

const (
	// ewmaWeight is the weight of one run in the moving average of a worker's slowdown.
	ewmaWeight = 0.1
	// minSlowdown and maxRunSlowdown limit what one run adds to that average, since long tasks are no slow workers.
	minSlowdown    = 0.5
	maxRunSlowdown = 2
	// maxSlowdown limits the slowdown of an ejected worker, so that it is not kept without work for long.
	maxSlowdown = 8
	// progressCheckFactor is the share of the expected time after which the progress of a run indicates its speed.
	progressCheckFactor = 0.2
	// ejectionThreshold is the number of consecutive bad runs; 0.2% of all runs fail because of their tasks.
	ejectionThreshold = 2
	// hangFactor and hangMargin limit the run time of durable jobs, as a multiple of the longest expected time plus a
	// margin.
	hangFactor = 4
	hangMargin = time.Second
	// minProjectableProgress is the progress in percent from which the run time can be projected.
	minProjectableProgress = 5
	// maxMoves limits how often one task is moved away from slow workers.
	maxMoves = 2
	// maxHangDoublings limits the run time of durable jobs after several moves: each move doubles it, since the task may be longer than
	// expected.
	maxHangDoublings = 8
	// slowSignificance is the p-value below which slow runs are attributed to their worker: about one false alarm in
	// 10,000 runs.
	slowSignificance = 1e-4
	// trialSignificance is the same for the trial run of a worker that was ejected before.
	trialSignificance = 0.05
	// usualPValue is the p-value from which on a run is of usual speed.
	usualPValue = 0.2
	// fullyRunning is the progress in percent of a long-running task that is at work.
	fullyRunning = 100
	// usualProgress is the progress in percent from which on a running run can be of usual speed.
	usualProgress = 20
)

// recordBadRun counts a bad run and ejects the worker after several in a row, for a time that doubles with each
// ejection.
func (s *Scheduler) recordBadRun(w *workerState, reason string) {
	w.health.badRuns++
	if w.health.badRuns < ejectionThreshold && !w.health.halfOpen {
		return
	}
	s.eject(w, reason)
}

func (s *Scheduler) eject(w *workerState, reason string) {
	if s.now.Before(w.health.ejectedUntil) {
		return
	}
	h := &w.health
	h.ejectionTime = min(max(2*h.ejectionTime, s.rules.Quarantine), s.rules.MaxQuarantine)
	h.ejectedUntil, h.halfOpen = s.now.Add(h.ejectionTime), true
	s.logEvent("worker-barred", "", w.ID, reason, map[string]int64{"for-ms": ms(h.ejectionTime), "bad-runs": int64(h.badRuns)})
}

// clearBadRuns takes back a bad run of each worker on which a task failed, if there are several: the fault is the
// task's.
func (s *Scheduler) clearBadRuns(ids []string) {
	if len(ids) < 2 {
		return
	}
	for _, id := range ids {
		w := s.workers[id]
		if w == nil || w.health.badRuns == 0 {
			continue
		}
		w.health.badRuns--
		if w.health.badRuns < ejectionThreshold && !w.health.slow {
			w.health.ejectedUntil, w.health.ejectionTime, w.health.halfOpen = s.now, 0, false
		}
	}
}

// readmit ends the ejections of a worker that has run a task well.
func (s *Scheduler) readmit(w *workerState) {
	if w.health.halfOpen {
		s.logEvent("worker-readmitted", "", w.ID, "", map[string]int64{"bad-runs": int64(w.health.badRuns)})
	}
	w.health.badRuns, w.health.halfOpen, w.health.slow, w.health.ejectionTime = 0, false, false, 0
}

// acceptsTrial reports whether a half-open worker may get another trial run. It waits for the end of a trial run only for the
// time of its last ejection, since tasks may last.
func (s *Scheduler) acceptsTrial(w *workerState) bool {
	if !s.now.Before(w.health.trialAt.Add(max(w.health.ejectionTime, s.rules.Quarantine))) {
		return true
	}
	for _, r := range w.runs {
		if r.trial {
			return false
		}
	}
	return true
}

// recordGoodRun resets the bad runs of the worker and learns the run time.
func (s *Scheduler) recordGoodRun(r *run, took time.Duration) {
	s.readmit(r.worker)
	s.observeColdRun(r, took)
	s.learnInterference(r, took)
	h := &r.worker.health
	if r.unmeasured {
		return
	}
	sound := float64(r.expected) / h.slowdown
	if sound <= 0 {
		return
	}
	s.recordRatio(r, took)
	ratio := min(max(float64(took)/sound, minSlowdown), maxRunSlowdown)
	h.slowdown += ewmaWeight * (ratio - h.slowdown)
	if r.job.observed {
		return // tasks of a job take about the same time, so that a wide job counts once
	}
	r.job.observed = true
	model := s.durations[r.job.policy.Route]
	if model == nil {
		model = &durationModel{}
		s.durations[r.job.policy.Route] = model
	}
	model.observe(r.job.work.Steps[r.step].Estimate, time.Duration(float64(took)/h.slowdown))
}

// checkProgress checks the progress of a running task and moves the task if it would end sooner on another worker.
// Elapsed time is measured on the worker's clock, because orders and lists may be delayed on the network.
func (s *Scheduler) checkProgress(r *run, progress int, clock time.Duration) {
	r.job.started = true
	if r.confirmed.IsZero() {
		r.confirmed = s.now
	}
	if r.baseClock == 0 {
		r.baseClock, r.baseProgress = clock, progress // the start had no response, so the run is measured from here on
	}
	r.progress = max(r.progress, progress)
	if made := r.progress - r.baseProgress; made >= minProjectableProgress {
		r.projected = (clock - r.baseClock) * time.Duration(100-r.baseProgress) / time.Duration(made)
	}
	if r.trial && r.longRunning() && r.progress >= fullyRunning {
		r.trial = false
		s.readmit(r.worker)
	}
	if r.stopping || r.longRunning() || s.now.Before(r.checkProgressAt) {
		return
	}
	others, open := s.siblingMedianDuration(r)
	if others == 0 && open && !r.checkDeferred {
		r.checkDeferred, r.checkProgressAt = true, s.now.Add(s.rules.MinPollWait) // waits until the other tasks are listed
		return
	}
	elapsed, made := clock-r.baseClock, r.progress-r.baseProgress
	sound := max(s.maxExpectedDuration(r.job, r.step), others)
	total := elapsed * time.Duration(100-r.baseProgress) / time.Duration(max(made, 1))
	r.checkProgressAt = s.now.Add(max(sound/4, s.rules.MinPollWait))
	// Progress is rounded down to whole percents, so that the run takes at least this long.
	atLeast := elapsed * time.Duration(100-r.baseProgress) / time.Duration(made+1)
	r.pValue = s.slowPValue(r, atLeast, others)
	r.usual = made >= usualProgress && r.pValue >= usualPValue
	slow := (!r.cold || made == 0) && s.workerIsSlow(r) && total-elapsed >= sound+sound/4+s.rules.StallGrace
	// A job with a deadline ends by it. A durable one would wait for ever for a run that reports progress but never
	// ends.
	t := &r.job.steps[r.step].tasks[r.index]
	longest := (hangFactor*s.maxExpectedDuration(r.job, r.step) + hangMargin) << min(t.moves, maxHangDoublings)
	hangs := r.job.durable && elapsed > longest
	if !hangs && (!slow || r.job.isGang(r.step) || t.moves >= maxMoves) {
		return
	}
	values := map[string]int64{"elapsed-ms": ms(elapsed), "expected-ms": ms(sound), "progress": int64(r.progress), "run": int64(r.number)}
	t.moves++
	t.avoidWorkers = append(t.avoidWorkers, r.worker.ID)
	r.unmeasured = true
	s.logEvent("run-moved", r.job.work.ID, r.worker.ID, "the run is far slower than expected", values)
	r.worker.health.slowdown = min(max(r.worker.health.slowdown, float64(total)/float64(sound)), maxSlowdown)
	r.worker.health.badRuns++
	r.worker.health.ejectionTime = max(r.worker.health.ejectionTime, s.rules.StallQuarantine/2)
	s.eject(r.worker, "runs make little progress")
	r.worker.health.slow = true
	s.stopRun(r)
}

// slowPValue returns the probability that a run on a sound worker takes the given time or longer. It compares the run
// with the other tasks of its step, whose median is given, or with the expected time if that is unknown.
func (s *Scheduler) slowPValue(r *run, total, others time.Duration) float64 {
	if others > 0 {
		return s.siblingRatios.tail(float64(total) / float64(others))
	}
	return s.runRatios.tail(float64(total) / float64(max(r.sound, 1)))
}

// workerIsSlow reports whether the worker of a slow run makes it slow: if the run is too slow even for the slowest
// jobs, or if runs of several jobs are slow there and none is of usual speed.
func (s *Scheduler) workerIsSlow(r *run) bool {
	h := &r.worker.health
	switch {
	case r.pValue >= usualPValue:
		return false
	case h.halfOpen && r.pValue < trialSignificance:
		return true
	}
	product, jobs := r.pValue, map[*jobState]bool{r.job: true}
	for _, o := range r.worker.runs {
		if o.usual && o.job != r.job {
			return r.pValue < slowSignificance
		}
		if o.pValue > 0 && o.pValue < usualPValue && !jobs[o.job] {
			jobs[o.job] = true
			product *= o.pValue
		}
	}
	count := len(jobs)
	if h.slowJobs > 0 {
		product, count = product*h.slowProduct, count+h.slowJobs
	}
	return combinedPValue(product, count) < slowSignificance
}

// recordRatio records the run time of a run that is done, and whether its worker was slow.
func (s *Scheduler) recordRatio(r *run, took time.Duration) {
	h := &r.worker.health
	others, _ := s.siblingMedianDuration(r)
	p := s.slowPValue(r, took, others)
	switch {
	case p >= usualPValue:
		h.slowProduct, h.slowJobs, h.lastSlowJob = 1, 0, nil
	case h.lastSlowJob != r.job:
		h.slowProduct, h.slowJobs, h.lastSlowJob = h.slowProduct*p, h.slowJobs+1, r.job
	}
	s.runRatios.record(float64(took) / float64(max(r.sound, 1)))
	if others > 0 {
		s.siblingRatios.record(float64(took) / float64(others))
	}
}

// siblingMedianDuration returns the median run time of the other tasks of the step, from their ends and from their
// progress on other workers, or 0 if nothing is known, and whether some still run there. Where all tasks of a job take
// longer than declared, the declared time is wrong and no worker is slow.
func (s *Scheduler) siblingMedianDuration(r *run) (median time.Duration, running bool) {
	step := &r.job.steps[r.step]
	durations := append([]time.Duration(nil), step.durations...)
	for j := range step.tasks {
		o := s.runs[r.job.name(r.step, j)]
		if j == r.index || o == nil || o.job != r.job || o.worker == r.worker {
			continue
		}
		if o.projected > 0 {
			durations = append(durations, o.projected)
		}
		running = true
	}
	if len(durations) == 0 {
		return 0, running
	}
	slices.Sort(durations)
	return durations[len(durations)/2], running
}

// maxExpectedDuration returns the longest run time to expect on a healthy worker, because declared times are rough.
func (s *Scheduler) maxExpectedDuration(js *jobState, step int) time.Duration {
	model := s.durations[js.policy.Route]
	if model == nil {
		return 2 * js.work.Steps[step].Estimate
	}
	return max(s.expectedDuration(js, step), js.work.Steps[step].Estimate, model.usual())
}

// longRunningEstimate is the run time assumed for a long-running task, whose room is not expected to become free.
const longRunningEstimate = time.Hour

// expectedDuration returns the expected run time of a task of the step on a healthy worker.
func (s *Scheduler) expectedDuration(js *jobState, step int) time.Duration {
	if js.work.Steps[step].Lasting {
		return longRunningEstimate
	}
	declared := js.work.Steps[step].Estimate
	model := s.durations[js.policy.Route]
	if model == nil || len(js.work.Steps) > 1 {
		return declared
	}
	if p := &js.prediction; p.observations != model.observations {
		*p = prediction{observations: model.observations, duration: model.predict(declared)}
	}
	return js.prediction.duration
}
