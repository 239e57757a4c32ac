package placement

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"samphireplank.example/samphireplank/interference"
	"samphireplank.example/samphireplank/job"
)

// jobState is the state of a job in the scheduler.
type jobState struct {
	keys           map[SubmissionKey]struct{} // submissions that wait for the verdict
	work           job.Work
	policy         job.Policy
	arrived        time.Time // at the first entry VM, or the time of a scheduled job
	startAt        time.Time // no task starts before this time
	deadline       time.Time // when the answer is due
	targetEnd      time.Time // latest end that is still on time
	steps          []stepState
	remaining      int  // tasks that are not done
	queuedTasks    int  // tasks in phase taskQueued
	mayHaveStarted bool // a task may have started
	started        bool // a task has certainly started
	inQueue        bool
	resumed        bool      // an earlier holder may have started tasks
	closed         bool      // answered; its remaining runs are being stopped
	closedAt       time.Time // or when the permit of its last submission expired, if that is earlier
	permitExpiry   time.Time // of the submission withdrawn last; zero if it needed no permit
	priorKnown     int64     // newest worker entry that the VM of a resumed job knew of
	newestWorker   int64     // newest entry of a worker that has or had a run of the job here
	observed       bool      // a run time of the job was learned
	rank           float64
	prediction     prediction    // of the run time of its only step
	lateness       int           // result of Scheduler.lateness at the last placement
	specMissing    bool          // only the sender knows the spec
	sender         SubmissionKey // submission whose VM sends the starts; zero if the holder sends them or that VM is lost

	durable          bool // the job is persisted; the fields below are used for such jobs only
	state            DurableState
	priorRunsUntil   time.Time // runs of an earlier holder may be running until then
	version          int       // incremented with each change that must be persisted
	persistedVersion int       // latest version that is persisted
	persisting       bool
	pendingAcks      []pendingAck
	running          int       // runs that may be running
	waitingSince     time.Time // since when the job has waited with nothing running, zero if it does not
	transferAskedAt  time.Time // when another group was last asked for, or it was too early to ask
	waitLogged       bool      // this wait was logged
	transferTo       string    // group to which the job is being transferred; it starts nothing meanwhile
	transfers        int       // how often it was transferred without a run in between
}

type stepState struct {
	tasks     []task
	remaining int
	durations []time.Duration // run times of tasks that are done

	comparable []interference.Run // runs of tasks that are done, until all are
}

type taskPhase uint8

const (
	taskBlocked  taskPhase = iota // earlier steps are not done
	taskQueued                    // the task waits for room
	taskAssigned                  // a run may be running
	taskDone
)

type task struct {
	phase          taskPhase
	name           string // empty until it is first used
	lastRun        int    // highest run number
	failed         int
	failedRuns     []int     // numbers of the counted failed runs, in the order in which their ends were listed
	countedThrough int       // all failed runs up to this number are counted, by the record of an earlier version
	moves          int       // runs stopped because their worker was slow
	priorRunUntil  time.Time // a run of an earlier holder may be running until then
	priorRunWorker string    // worker of that run; empty if any worker may have it
	avoidWorkers   []string  // workers on which the task failed or made little progress
	checkpoint     string    // newest checkpoint
}

// hasCounted reports whether a failed run is counted. Several workers list the ends of a task in any order.
func (t *task) hasCounted(number int) bool {
	return number <= t.countedThrough || slices.Contains(t.failedRuns, number)
}

// lastCountedRun returns the highest number of a failed run that is counted.
func (t *task) lastCountedRun() int {
	last := t.countedThrough
	for _, number := range t.failedRuns {
		last = max(last, number)
	}
	return last
}

// name returns the name of a task, which is kept since each placement looks it up.
func (js *jobState) name(step, index int) string {
	t := &js.steps[step].tasks[index]
	if t.name == "" {
		t.name = job.TaskName(js.work.ID, step, index)
	}
	return t.name
}

// anyWorker stands for the worker of a run that may be running on an unknown worker.
const anyWorker = "*"

// progress summarizes the job for the next holder.
func (js *jobState) progress(alive map[string]*run, earlier map[string]orphanedRun, now time.Time) Progress {
	p := Progress{}
	for i := range js.steps {
		n := len(js.steps[i].tasks)
		done, failed, counted, runs := make([]bool, n), make([]int, n), make([]int, n), make([]int, n)
		on, checkpoints, failedRuns := make([]string, n), make([]string, n), make([][]int, n)
		for j, t := range js.steps[i].tasks {
			done[j], failed[j], counted[j], runs[j], checkpoints[j] = t.phase == taskDone, t.failed, t.lastCountedRun(), t.lastRun, t.checkpoint
			if t.countedThrough == 0 {
				failedRuns[j] = slices.Clone(t.failedRuns)
			}
			if r := alive[js.name(i, j)]; r != nil {
				on[j] = r.worker.ID
			} else if f, ok := earlier[js.name(i, j)]; ok && !f.done {
				on[j] = f.worker.ID
			} else if t.priorRunUntil.After(now) {
				on[j] = cmp.Or(t.priorRunWorker, anyWorker)
			}
		}
		p.Done, p.Failed, p.Counted = append(p.Done, done), append(p.Failed, failed), append(p.Counted, counted)
		p.Runs, p.On, p.Checkpoints = append(p.Runs, runs), append(p.On, on), append(p.Checkpoints, checkpoints)
		p.FailedRuns = append(p.FailedRuns, failedRuns)
	}
	return p
}

func (js *jobState) restoreProgress(p Progress) {
	for i := range js.steps {
		if !p.fits(i, len(js.steps[i].tasks)) {
			continue
		}
		for j := range js.steps[i].tasks {
			t := &js.steps[i].tasks[j]
			t.failed, t.lastRun, t.checkpoint = p.Failed[i][j], p.Runs[i][j], p.Checkpoints[i][j]
			if stepLength(p.FailedRuns, i) == len(p.Failed[i]) && len(p.FailedRuns[i][j]) == t.failed {
				t.failedRuns = slices.Clone(p.FailedRuns[i][j])
			} else {
				t.countedThrough = p.Counted[i][j]
			}
			if p.On != nil {
				t.priorRunWorker = p.On[i][j]
			}
			if p.Done[i][j] {
				t.phase = taskDone
				js.steps[i].remaining--
				js.remaining--
			}
		}
	}
}

// fits reports whether the progress of a step covers the given number of tasks.
func (p Progress) fits(step, tasks int) bool {
	for _, length := range []int{stepLength(p.Done, step), stepLength(p.Failed, step), stepLength(p.Counted, step), stepLength(p.Runs, step), stepLength(p.Checkpoints, step)} {
		if length != tasks {
			return false
		}
	}
	return p.On == nil || stepLength(p.On, step) == tasks
}

func stepLength[T any](rows [][]T, step int) int {
	if step >= len(rows) {
		return -1
	}
	return len(rows[step])
}

// submit accepts a job or refuses it at once.
func (s *Scheduler) submit(m Submit) {
	if m.Fence > s.fence {
		// A later holder has acted on the job, so that the runs known here are outdated.
		s.rejectAfterStop(m)
		s.stopFenced("")
		return
	}
	if !m.PermitUntil.IsZero() && !s.grantPermit(m) {
		return
	}
	if m.Durable {
		s.submitDurable(m)
		return
	}
	if !s.rejectCancelled(m) {
		return
	}
	s.reportKnown(m.Key.Conn, m.Known)
	if same := s.jobs[m.Work.ID]; same != nil && !same.closed {
		if same.ranBeyond(m.Known) {
			// Its VM could not tell the next holder that the job may run on these workers.
			s.emit(Reply{m.Key, HandedOver{Progress: same.progress(s.runs, s.orphans, s.now)}})
			return
		}
		same.keys[m.Key] = struct{}{}
		same.addSubmission(m)
		s.submissions[m.Key] = same
		s.setDeadline(same, s.now.Add(m.Budget))
		s.logEvent("job-joined", m.Work.ID, "", "the scheduler already has the job", nil)
		return
	}
	if s.refuseEvacuated(m) {
		return
	}
	js := s.newJob(m)
	if verdict, ok := s.admit(js, m.Resumed); !ok {
		s.emit(Reply{m.Key, verdict})
		return
	}
	s.submissions[m.Key] = js
	s.jobs[js.work.ID] = js
	if m.Resumed {
		s.logEvent("job-resumed", js.work.ID, "", progressSource(m.Progress), map[string]int64{"unsynced-workers": s.unsyncedWorkers(), "tasks-left": int64(js.remaining)})
	}
	s.releaseReadySteps(js)
	s.settleEndsOf(js)
	s.adoptJob(js, m.Resumed, m.Progress)
	if js.remaining == 0 && !js.closed {
		s.closeJob(js, Completed{})
	}
}

func progressSource(p Progress) string {
	if p.known() {
		return "the earlier holder has reported the progress"
	}
	return "the progress is not known"
}

func (s *Scheduler) newJob(m Submit) *jobState {
	js := &jobState{
		keys:           map[SubmissionKey]struct{}{m.Key: {}},
		work:           m.Work,
		policy:         m.Policy,
		arrived:        s.now.Add(-m.Age),
		startAt:        s.now.Add(m.StartDelay),
		mayHaveStarted: m.Resumed,
		resumed:        m.Resumed,
	}
	if m.DelegatedStarts {
		js.specMissing, js.sender = true, m.Key
	}
	s.setDeadline(js, s.now.Add(m.Budget))
	for _, spec := range m.Work.Steps {
		js.steps = append(js.steps, stepState{tasks: make([]task, spec.Count), remaining: spec.Count})
		js.remaining += spec.Count
	}
	if m.Resumed {
		js.priorKnown = m.Known
		js.restoreProgress(m.Progress)
		s.renumberGangs(js)
	}
	ideal := time.Duration(float64(s.criticalPath(js)) * max(js.policy.Stretch, 1))
	js.targetEnd = js.arrived.Add(ideal + js.policy.Target)
	if m.Work.IsLongRunning() {
		js.targetEnd = js.arrived.Add(js.policy.Target) // all time during which its tasks do not run counts as late
	}
	js.rank = s.computeRank(js)
	return js
}

// criticalPath returns the expected run time of the longest chain of dependent steps on healthy workers.
func (s *Scheduler) criticalPath(js *jobState) time.Duration {
	if len(js.work.Steps) == 1 && len(js.work.Steps[0].After) == 0 {
		return max(s.expectedDuration(js, 0), 0)
	}
	ends := make([]time.Duration, len(js.work.Steps))
	var longest time.Duration
	for i, spec := range js.work.Steps {
		var from time.Duration
		for _, earlier := range spec.After {
			from = max(from, ends[earlier])
		}
		ends[i] = from + s.expectedDuration(js, i)
		longest = max(longest, ends[i])
	}
	return longest
}

// releaseReadySteps queues the tasks of all steps whose earlier steps are done.
func (s *Scheduler) releaseReadySteps(js *jobState) {
	for i := range js.steps {
		if !js.ready(i) {
			continue
		}
		for j := range js.steps[i].tasks {
			if js.steps[i].tasks[j].phase == taskBlocked {
				js.steps[i].tasks[j].phase = taskQueued
				js.queuedTasks++
				if js.durable {
					s.adoptRun(js.name(i, j))
				}
			}
		}
	}
	s.enqueue(js)
}

func (js *jobState) ready(i int) bool {
	for _, earlier := range js.work.Steps[i].After {
		if js.steps[earlier].remaining > 0 {
			return false
		}
	}
	return true
}

// withdraw ends a submission without an answer, and closes its job if no other submission waits for it.
func (s *Scheduler) withdraw(m Withdraw) {
	js := s.submissions[m.Key]
	if js == nil {
		return
	}
	js.permitExpiry, _ = s.permit(js)
	delete(s.submissions, m.Key)
	delete(js.keys, m.Key)
	if len(js.keys) > 0 {
		js.replaceSender(m.Key)
		return
	}
	s.logEvent("job-withdrawn", js.work.ID, "", m.Reason, nil)
	s.closeJob(js, nil)
}

// withdrawConn withdraws the submissions of a connection.
func (s *Scheduler) withdrawConn(conn uint64) {
	for k := range s.submissions {
		if k.Conn == conn {
			s.withdraw(Withdraw{Key: k, Reason: "connection to the entry VM closed"})
		}
	}
	delete(s.permits, conn)
	delete(s.known, conn)
}

// closeJob answers a job and stops its remaining runs.
func (s *Scheduler) closeJob(js *jobState, verdict Verdict) {
	for k := range js.keys {
		delete(s.submissions, k)
		if verdict != nil {
			s.emit(Reply{k, verdict})
		}
	}
	js.closed, js.closedAt = true, s.now
	if !js.permitExpiry.IsZero() && js.permitExpiry.Before(s.now) {
		js.closedAt = js.permitExpiry
	}
	delete(s.jobs, js.work.ID)
	if js.durable {
		switch verdict.(type) {
		case Completed:
			js.state = DurableCompleted
		case Failed:
			js.state = DurableFailed
		}
		js.version++
		s.unpersisted = append(s.unpersisted, js)
	}
	for i := range js.steps {
		for j := range js.steps[i].tasks {
			if r := s.runs[js.name(i, j)]; r != nil && r.job == js {
				s.stopRun(r)
			}
		}
	}
}

// requeueTask queues a task again after its run has ended without success.
func (s *Scheduler) requeueTask(js *jobState, i, j int) {
	if js.closed || js.steps[i].tasks[j].phase == taskDone {
		return
	}
	js.steps[i].tasks[j].phase = taskQueued
	js.queuedTasks++
	s.enqueue(js)
}

// completeTask marks a task as done and completes the job after its last one.
func (s *Scheduler) completeTask(js *jobState, i, j int) {
	t := &js.steps[i].tasks[j]
	if js.closed || t.phase == taskDone {
		return
	}
	if t.phase == taskQueued {
		js.queuedTasks--
	}
	t.phase = taskDone
	js.steps[i].remaining--
	js.remaining--
	if js.remaining == 0 {
		s.closeJob(js, Completed{})
		return
	}
	if js.steps[i].remaining == 0 {
		s.releaseReadySteps(js)
	}
}

// failTask queues a task again after a failed run, or fails its job when the policy allows no more attempts.
func (s *Scheduler) failTask(js *jobState, i, j int, on string) {
	if js.closed {
		return
	}
	t := &js.steps[i].tasks[j]
	t.avoidWorkers = append(t.avoidWorkers, on)
	if t.failed >= max(js.policy.MaxAttempts, 1) {
		s.failJob(js, i, j, on)
		return
	}
	s.requeueTask(js, i, j)
}

// failJob ends a job with a task that has failed as often as the policy allows.
func (s *Scheduler) failJob(js *jobState, i, j int, on string) {
	t := &js.steps[i].tasks[j]
	s.logEvent("job-failed", js.work.ID, on, "a task failed as often as the route allows", map[string]int64{"attempts": int64(t.failed)})
	s.clearBadRuns(t.avoidWorkers)
	s.closeJob(js, Failed{Task: js.name(i, j)})
}

// deadlineScanInterval is the maximum time between two scans of all jobs for those whose deadline has passed.
const deadlineScanInterval = time.Minute

// setDeadline sets when the answer to a job is due.
func (s *Scheduler) setDeadline(js *jobState, deadline time.Time) {
	js.deadline = deadline
	if deadline.Before(s.firstDeadline) {
		s.firstDeadline = deadline
	}
}

// expireJobs ends the jobs whose deadline has passed.
func (s *Scheduler) expireJobs() {
	if s.now.Before(s.firstDeadline) {
		return
	}
	var over []*jobState
	s.firstDeadline = s.now.Add(deadlineScanInterval)
	for _, js := range s.jobs {
		switch {
		case js.durable:
		case !s.now.Before(js.deadline):
			over = append(over, js)
		case js.deadline.Before(s.firstDeadline):
			s.firstDeadline = js.deadline
		}
	}
	sort.Slice(over, func(i, j int) bool { return over[i].work.ID < over[j].work.ID })
	for _, js := range over {
		if js.mayHaveStarted {
			s.logEvent("job-expired", js.work.ID, "", "the time for the answer is over", map[string]int64{"tasks-left": int64(js.remaining)})
			s.closeJob(js, DeadlineExceeded{})
			continue
		}
		s.closeJob(js, s.refusal("the time for the answer is over", s.rules.MinRetryAfter))
	}
}

// locateTask returns the job and position of a task by its name; the job is nil if the scheduler does not have it.
func (s *Scheduler) locateTask(name string) (js *jobState, step, index int) {
	id, step, index, ok := job.ParseTaskName(name)
	if !ok {
		return nil, 0, 0
	}
	js = s.jobs[id]
	if js == nil || step < 0 || step >= len(js.steps) || index < 0 || index >= len(js.steps[step].tasks) {
		return nil, 0, 0
	}
	return js, step, index
}
