package placement

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// simStored is a job in the simulated store.
type simStored struct {
	Submit
	state DurableState
}

// storeJob stores a job of several steps and submits it to the scheduler.
func (sg *simGroup) storeJob(c jobClass, counts ...int) string {
	simSequence++
	w := job.Work{ID: fmt.Sprintf("%016x", simSequence), Spec: "s"}
	length := time.Duration(float64(c.length) * spread(sg.rand, 0.4))
	for i, count := range counts {
		s := job.Step{Count: count, Estimate: length, Need: worker.Resources{MilliCores: c.cores, MemoryMiB: 64}}
		if i > 0 {
			s.After = []int{i - 1}
		}
		w.Steps = append(w.Steps, s)
	}
	p := job.Policy{Route: c.route, Service: "cue", Priority: c.priority, MaxAttempts: c.attempts, Stretch: 1.6, Target: 60 * time.Millisecond}
	return sg.store(w, p, length)
}

// store adds a job to the simulated store and submits it to the scheduler.
func (sg *simGroup) store(w job.Work, p job.Policy, length time.Duration) string {
	sg.knownJobs[w.ID] = &simJob{work: w, policy: p, sent: sg.now, length: length}
	m := Submit{Work: w, Policy: p, Durable: true}
	sg.stored[w.ID] = &simStored{Submit: m}
	sg.storedIDs = append(sg.storedIDs, w.ID)
	sg.step(sg.scheduler, m)
	return w.ID
}

// persist takes effect after a delay, unless another scheduler has taken over by then.
func (sg *simGroup) persist(p updater, e PersistJob) {
	sg.after(time.Duration(3+sg.rand.IntN(sg.maxStoreDelay))*time.Millisecond, func() {
		s := sg.stored[e.Job]
		if p != sg.scheduler || e.TransferTo != "" {
			return // the outcome of a transfer stays open
		}
		if s.state != DurableOpen {
			sg.t.Fatalf("job %s is stored again after its end", e.Job)
		}
		if e.State == DurableCompleted {
			for i, step := range s.Work.Steps {
				for j := range step.Count {
					if !sg.doneTasks[job.TaskName(e.Job, i, j)] {
						sg.t.Fatalf("job %s is shown as completed before task %d of step %d has ended", e.Job, j, i)
					}
				}
			}
		}
		s.state, s.Progress = e.State, e.Progress
		sg.step(p, JobPersisted{Job: e.Job, Version: e.Version})
	})
}

// restore submits the open jobs of the store to a new scheduler after a delay.
func (sg *simGroup) restore(p updater) {
	if len(sg.stored) == 0 {
		return
	}
	sg.after(time.Duration(sg.maxStoreDelay+sg.rand.IntN(9*sg.maxStoreDelay))*time.Millisecond, func() {
		if p != sg.scheduler {
			return
		}
		for _, id := range sg.storedIDs {
			if s := sg.stored[id]; s.state == DurableOpen {
				m := s.Submit
				m.Resumed = true
				sg.step(p, m)
			}
		}
		sg.step(p, RestoreDone{Since: sg.now})
	})
}

// readDurableJobs submits the open jobs of the store again.
func (sg *simGroup) readDurableJobs(p updater) {
	since := sg.now
	sg.after(time.Duration(3+sg.rand.IntN(sg.maxStoreDelay))*time.Millisecond, func() {
		if p != sg.scheduler {
			return
		}
		for _, id := range sg.storedIDs {
			if s := sg.stored[id]; s.state == DurableOpen {
				sg.step(p, s.Submit)
			}
		}
		sg.step(p, DurableJobsRead{Since: since})
	})
}

// checkStart fails the test on a start that is not allowed for durable jobs.
func (sg *simGroup) checkStart(o worker.StartOrder) {
	id, step, _, _ := job.ParseTaskName(o.Task)
	s := sg.stored[id]
	if s == nil || s.Work.Steps[step].Lasting {
		return
	}
	for _, earlier := range s.Work.Steps[step].After {
		for j := range s.Work.Steps[earlier].Count {
			if !sg.doneTasks[job.TaskName(id, earlier, j)] {
				sg.t.Fatalf("task %s started before step %d was done", o.Task, earlier)
			}
		}
	}
	if sg.acknowledged[o.Task] {
		sg.logDecisions(id)
		sg.t.Fatalf("%v: task %s started after its end was acknowledged", sg.now.Sub(sg.start), o.Task)
	}
	for _, ended := range sg.completedRuns[o.Task] {
		sg.repeatedRuns[ended] = true
	}
	if sg.acknowledgedFailures[o.Task] >= s.Policy.MaxAttempts {
		sg.t.Fatalf("task %s started after %d failed runs", o.Task, sg.acknowledgedFailures[o.Task])
	}
}

// acknowledge records that the scheduler has acknowledged an ended run. A completed run may be repeated only if the lease of its
// worker has expired before its end was acknowledged.
func (sg *simGroup) acknowledge(w *simWorker, e worker.EndedRun) {
	id, step, _, _ := job.ParseTaskName(e.Task)
	if sg.stored[id] == nil {
		return
	}
	switch e.Outcome {
	case worker.Done:
		if sg.repeatedRuns[simEndedRun{e.Run, w, e.Sequence}] && e.Sequence > w.lapsedThrough && !sg.stored[id].Work.Steps[step].Lasting {
			sg.logDecisions(id)
			sg.t.Fatalf("%v: the end of task %s on %s is acknowledged, but the task has started again since", sg.now.Sub(sg.start), e.Task, w.ID)
		}
		sg.acknowledged[e.Task] = true
	case worker.Failed:
		sg.acknowledgedFailures[e.Task]++
	}
}

// cancel cancels a job repeatedly until the store has recorded it, as the callers' VM and the holder's store watch do.
func (sg *simGroup) cancel(id string) {
	if sg.stored[id].state != DurableOpen {
		return
	}
	sg.step(sg.scheduler, CancelJob{Job: id})
	sg.after(500*time.Millisecond, func() { sg.cancel(id) })
}

func (h *history) storeRandomJobs(perSecond float64) {
	h.withFaults = true
	h.maxStoreDelay = 3 + h.rand.IntN(60)
	for at := time.Duration(0); at < h.length; at += time.Duration(h.rand.ExpFloat64() / perSecond * float64(time.Second)) {
		h.after(at, func() {
			switch h.rand.IntN(5) {
			case 0:
				h.storeJob(quote, 1)
			case 1:
				h.storeJob(grain, 1+h.rand.IntN(3))
			case 2:
				h.storeJob(quote, 1+h.rand.IntN(4), 1+h.rand.IntN(4))
			case 4:
				h.storeGang(quote, 2+h.rand.IntN(5))
			case 3:
				if h.rand.IntN(8) > 0 {
					return
				}
				id := h.storeLongRunning(1+h.rand.IntN(2), 1)
				h.after(max(h.length-h.now.Sub(h.start), 0), func() { h.cancel(id) })
			}
		})
		h.after(at+time.Duration(h.rand.IntN(2000))*time.Millisecond, func() {
			if len(h.storedIDs) > 0 && h.rand.IntN(10) == 0 {
				id := h.storedIDs[h.rand.IntN(len(h.storedIDs))]
				h.cancel(id)
			}
		})
	}
}

func (sg *simGroup) checkStored() {
	unfinished := []string{}
	for id, s := range sg.stored {
		if s.state == DurableOpen {
			unfinished = append(unfinished, id)
		}
	}
	sort.Strings(unfinished)
	for _, id := range unfinished {
		sg.logDecisions(id)
		sg.t.Fatalf("durable job %s is still active 12 s after the end of the load", id)
	}
}

// Guards against ends that are acknowledged before they are persisted: the next holder would run the task again.
func TestEndIsAcknowledgedAfterItIsPersisted(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 4)
	sg.run(20 * time.Millisecond)
	sg.maxStoreDelay = 600
	id := sg.storeJob(quote, 3, 1)
	sg.run(330 * time.Millisecond) // some tasks of the first step are done, but not persisted yet
	sg.maxStoreDelay = 5
	sg.replaceScheduler()
	sg.run(3 * time.Second)
	is.Equal(sg.stored[id].state, DurableCompleted)
}

// Guards against a durable job that is lost or run twice when workers list its ends to a holder that has not loaded it
// yet.
func TestEndsListedBeforeJobsAreLoaded(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 4)
	sg.run(20 * time.Millisecond)
	sg.maxStoreDelay = 5
	id := sg.storeJob(grain, 4)
	sg.run(100 * time.Millisecond)
	sg.maxStoreDelay = 300 // the next holder loads the jobs up to 3 s later, when all runs have ended
	sg.replaceScheduler()
	sg.run(9 * time.Second)
	is.Equal(sg.stored[id].state, DurableCompleted)
}

// Guards against more failed runs of a task across holders than the route allows.
func TestFailuresAreCountedAcrossHolders(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 2, 4)
	sg.run(20 * time.Millisecond)
	sg.maxStoreDelay = 20
	bad := quote
	bad.route, bad.attempts = poisonRoute, 4
	id := sg.storeJob(bad, 1)
	task := job.TaskName(id, 0, 0)
	for at := 20 * time.Millisecond; sg.acknowledgedFailures[task] == 0 && at < 3*time.Second; at += time.Millisecond {
		sg.run(at)
	}
	is.Equal(sg.acknowledgedFailures[task], 1)
	sg.replaceScheduler()
	sg.run(9 * time.Second)
	is.Equal(sg.acknowledgedFailures[task], bad.attempts)
	is.Equal(sg.stored[id].state, DurableFailed)
}

// Guards against a durable job that is refused or dropped because it is late: it runs when there is room.
func TestDurableJobsWaitForCapacity(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 3, 2)
	sg.run(20 * time.Millisecond)
	sg.maxStoreDelay = 5
	for range 30 {
		sg.storeJob(grain, 2)
	}
	sg.run(40 * time.Second)
	for _, id := range sg.storedIDs {
		is.Equal(sg.stored[id].state, DurableCompleted)
	}
}

// storeLongRunning stores a job of long-running tasks and submits it to the scheduler.
func (sg *simGroup) storeLongRunning(count, maxDisrupted int) string {
	simSequence++
	w := job.Work{ID: fmt.Sprintf("%016x", simSequence), Spec: "s", Steps: []job.Step{{
		Count: count, Estimate: time.Second, Need: worker.Resources{MilliCores: 20000, MemoryMiB: 64}, Lasting: true, MaxDisrupted: maxDisrupted,
	}}}
	p := job.Policy{Route: "lasting", Service: "cue", MaxAttempts: 2, Stretch: 1.6, Target: 60 * time.Millisecond}
	return sg.store(w, p, 0)
}

// runningTasks returns the number of running tasks of a job, in total and by worker.
func (sg *simGroup) runningTasks(id string) (n int, byWorker map[string]int) {
	byWorker = map[string]int{}
	for _, w := range sg.workers {
		for task := range w.runs {
			if of, _, _, _ := job.ParseTaskName(task); of == id {
				n++
				byWorker[w.ID]++
			}
		}
	}
	return n, byWorker
}

// checkStop fails the test when a long-running task is stopped on a worker that is not draining.
func (sg *simGroup) checkStop(w *simWorker, o worker.StopOrder) {
	id, step, _, _ := job.ParseTaskName(o.Task)
	s := sg.stored[id]
	if s == nil || !s.Work.Steps[step].Lasting || sg.cancelled[id] || sg.withFaults {
		return
	}
	if !w.Draining {
		sg.logDecisions(id)
		sg.t.Fatalf("%v: long-running task %s was stopped on a worker that is not draining", sg.now.Sub(sg.start), o.Task)
	}
}

// Guards against long-running tasks that do not restart after they fail, after their worker crashes or its holder
// changes.
func TestLongRunningTasksAreRestarted(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 5, 4)
	sg.run(20 * time.Millisecond)
	id := sg.storeLongRunning(5, 1)
	sg.run(500 * time.Millisecond)
	n, on := sg.runningTasks(id)
	is.Equal(n, 5)
	for i := range 4 { // more failures than the route allows for ordinary tasks
		for _, w := range sg.workers {
			for task := range w.runs {
				sg.endRun(w, task, worker.Failed)
			}
		}
		sg.run(time.Duration(i+2) * time.Second)
		n, _ = sg.runningTasks(id)
		is.Equal(n, 5)
	}
	for _, name := range sg.workerIDs {
		if on[name] > 0 {
			sg.crash(sg.workers[name])
			break
		}
	}
	sg.run(8 * time.Second)
	n, _ = sg.runningTasks(id)
	is.Equal(n, 5)
	sg.cancelled[id] = true
	sg.step(sg.scheduler, CancelJob{Job: id})
	sg.run(9 * time.Second)
	n, _ = sg.runningTasks(id)
	is.Equal(n, 0)
	is.Equal(sg.stored[id].state, DurableCancelled)
}

// Guards against a new holder that stops long-running tasks because it has not loaded their job yet.
func TestLongRunningTasksContinueUnderNewHolder(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 5, 4)
	sg.run(20 * time.Millisecond)
	id := sg.storeLongRunning(4, 1)
	sg.run(500 * time.Millisecond)
	sg.maxStoreDelay = 350 // the jobs are loaded after the adoption timeout
	sg.replaceScheduler()
	sg.run(5 * time.Second)
	n, _ := sg.runningTasks(id)
	is.Equal(n, 4)
	for _, number := range sg.runNumbers() {
		is.Equal(number, 1)
	}
}

// runNumbers returns the run numbers of the running tasks.
func (sg *simGroup) runNumbers() map[string]int {
	runs := map[string]int{}
	for _, w := range sg.workers {
		for task, r := range w.runs {
			runs[task] = max(runs[task], r.number)
		}
	}
	return runs
}

// Guards against long-running tasks that all end at once when their worker drains: they move one after the other.
func TestLongRunningTasksLeaveDrainingWorker(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 5, 4)
	sg.run(20 * time.Millisecond)
	id := sg.storeLongRunning(3, 1)
	sg.run(500 * time.Millisecond)
	_, on := sg.runningTasks(id)
	for name := range on {
		sg.workers[name].Draining = true
	}
	is.Equal(len(on), 1) // all tasks run on one worker
	minRunning := 3
	for at := 600 * time.Millisecond; at < 5*time.Second; at += 10 * time.Millisecond {
		sg.run(at)
		n := 0
		for _, w := range sg.workers {
			for _, r := range w.runs {
				if sg.now.Sub(r.startedAt) >= longRunningStartTime {
					n++
				}
			}
		}
		minRunning = min(minRunning, n)
	}
	is.True(minRunning >= 2)
	_, on = sg.runningTasks(id)
	for name := range on {
		is.True(!sg.workers[name].Draining)
	}
}

// Guards against MIXED on a day of high load: a job whose first start was lost counted as started, so that too few jobs
// were reported as queued.
func TestQueuedByRouteCountsLostStarts(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 4, 2)
	sg.run(20 * time.Millisecond)
	sg.workers["w00"].unreachable, sg.workers["w01"].unreachable = true, true
	id := sg.storeJob(quote, 1)
	sg.run(100 * time.Millisecond)
	is.Equal(sg.scheduler.(*Scheduler).QueuedByRoute()["quote"], 1)
	is.True(!sg.scheduler.(*Scheduler).HasStarted(id))
	sg.workers["w00"].unreachable, sg.workers["w01"].unreachable = false, false
	sg.run(3 * time.Second)
	is.Equal(sg.scheduler.(*Scheduler).QueuedByRoute()["quote"], 0)
}

// Guards against workers whose new ends are not listed while the store is unavailable for long: they list 500 at a
// time, and none may be acknowledged before the durable jobs are loaded.
func TestEndedRunsReportedWhileStoreUnavailable(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 6, 1)
	sg.stored["none"] = &simStored{state: DurableCompleted} // makes the next holder wait for jobs to load
	sg.maxStoreDelay = 1000_000
	sg.replaceScheduler()
	sg.run(50 * time.Millisecond)
	short := quote
	short.length, short.cores = 10*time.Millisecond, 1000
	var keys []SubmissionKey
	for i := range 400 {
		keys = append(keys, sg.submit(short))
		sg.run(50*time.Millisecond + time.Duration(i+1)*40*time.Millisecond)
	}
	sg.run(30 * time.Second)
	is.True(sg.workers["w00"].sequence > 500)
	for _, key := range keys {
		_, completed := sg.verdicts[key].(Completed)
		is.True(completed)
	}
}

// Guards against more failed runs than the route allows when a new holder hears of the last one first.
func TestFailuresAreCountedInAnyOrder(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 11, 3)
	sg.run(20 * time.Millisecond)
	sg.maxStoreDelay = 1000_000 // no failure is stored
	bad := quote
	bad.route, bad.attempts, bad.length = poisonRoute, 3, 40*time.Millisecond
	id := sg.storeJob(bad, 1)
	task := job.TaskName(id, 0, 0)
	holds := func(number int) *simWorker {
		for _, w := range sg.workers {
			if w.highestRuns[task] == number {
				return w
			}
		}
		return nil
	}
	at := 20 * time.Millisecond
	for ; holds(2) == nil && at < 3*time.Second; at += time.Millisecond {
		sg.run(at)
	}
	first := holds(1)
	is.True(first != nil) // the first two runs failed on different workers
	first.unreachable = true
	sg.maxStoreDelay = 5
	sg.replaceScheduler()
	sg.run(at + 300*time.Millisecond)
	first.unreachable = false
	sg.run(9 * time.Second)
	is.Equal(sg.acknowledgedFailures[task], bad.attempts)
	is.Equal(sg.stored[id].state, DurableFailed)
}
