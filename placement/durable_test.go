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

// keep stores a job of several steps and hands it to the pool.
func (f *fleet) keep(c simClass, counts ...int) string {
	simSequence++
	w := job.Work{ID: fmt.Sprintf("%016x", simSequence), Spec: "s"}
	length := time.Duration(float64(c.length) * spread(f.rand, 0.4))
	for i, count := range counts {
		s := job.Step{Count: count, Estimate: length, Need: worker.Resources{MilliCores: c.cores, MemoryMiB: 64}}
		if i > 0 {
			s.After = []int{i - 1}
		}
		w.Steps = append(w.Steps, s)
	}
	p := job.Policy{Route: c.route, Service: "cue", Priority: c.priority, MaxAttempts: c.attempts, Stretch: 1.6, Target: 60 * time.Millisecond}
	return f.store(w, p, length)
}

// store puts a job into the simulated store and hands it to the pool.
func (f *fleet) store(w job.Work, p job.Policy, length time.Duration) string {
	f.known[w.ID] = &simJob{work: w, policy: p, sent: f.now, length: length}
	m := Submit{Work: w, Policy: p, Durable: true}
	f.stored[w.ID] = &simStored{Submit: m}
	f.storedIDs = append(f.storedIDs, w.ID)
	f.step(f.pool, m)
	return w.ID
}

// save takes effect after a while, unless another pool has taken over by then.
func (f *fleet) save(p stepper, e PersistJob) {
	f.after(time.Duration(3+f.rand.IntN(f.storeDelay))*time.Millisecond, func() {
		s := f.stored[e.Job]
		if p != f.pool {
			return
		}
		if s.state != DurableOpen {
			f.t.Fatalf("job %s is stored again after its end", e.Job)
		}
		if e.State == DurableCompleted {
			for i, step := range s.Work.Steps {
				for j := range step.Count {
					if !f.done[job.TaskName(e.Job, i, j)] {
						f.t.Fatalf("job %s is shown as completed before task %d of step %d has ended", e.Job, j, i)
					}
				}
			}
		}
		s.state, s.Progress = e.State, e.Progress
		f.step(p, JobPersisted{Job: e.Job, Version: e.Version})
	})
}

// restore hands the open jobs of the store to a new pool after a while.
func (f *fleet) restore(p stepper) {
	if len(f.stored) == 0 {
		return
	}
	f.after(time.Duration(f.storeDelay+f.rand.IntN(9*f.storeDelay))*time.Millisecond, func() {
		if p != f.pool {
			return
		}
		for _, id := range f.storedIDs {
			if s := f.stored[id]; s.state == DurableOpen {
				m := s.Submit
				m.Resumed = true
				f.step(p, m)
			}
		}
		f.step(p, RestoreDone{})
	})
}

// checkStart fails the test on a start that the rules for stored jobs forbid.
func (f *fleet) checkStart(o worker.StartOrder) {
	id, step, _, _ := job.ParseTaskName(o.Task)
	s := f.stored[id]
	if s == nil || s.Work.Steps[step].Lasting {
		return
	}
	for _, earlier := range s.Work.Steps[step].After {
		for j := range s.Work.Steps[earlier].Count {
			if !f.done[job.TaskName(id, earlier, j)] {
				f.t.Fatalf("task %s started before step %d was done", o.Task, earlier)
			}
		}
	}
	if f.acknowledged[o.Task] {
		f.explain(id)
		f.t.Fatalf("%v: task %s started after its end was acknowledged", f.now.Sub(f.start), o.Task)
	}
	if f.failures[o.Task] >= s.Policy.MaxAttempts {
		f.t.Fatalf("task %s started after %d failed runs", o.Task, f.failures[o.Task])
	}
}

// acknowledge notes that the system has taken note of an end.
func (f *fleet) acknowledge(e worker.EndedRun) {
	id, _, _, _ := job.ParseTaskName(e.Task)
	if f.stored[id] == nil {
		return
	}
	switch e.Outcome {
	case worker.Done:
		f.acknowledged[e.Task] = true
	case worker.Failed:
		f.failures[e.Task]++
	}
}

// cancel cancels a job until the store has it, as its callers' VM and the watch of the holder do.
func (f *fleet) cancel(id string) {
	if f.stored[id].state != DurableOpen {
		return
	}
	f.step(f.pool, CancelJob{Job: id})
	f.after(500*time.Millisecond, func() { f.cancel(id) })
}

func (h *history) keepJobs(perSecond float64) {
	h.faulty = true
	h.storeDelay = 3 + h.rand.IntN(60)
	for at := time.Duration(0); at < h.length; at += time.Duration(h.rand.ExpFloat64() / perSecond * float64(time.Second)) {
		h.after(at, func() {
			switch h.rand.IntN(5) {
			case 0:
				h.keep(quote, 1)
			case 1:
				h.keep(grain, 1+h.rand.IntN(3))
			case 2:
				h.keep(quote, 1+h.rand.IntN(4), 1+h.rand.IntN(4))
			case 4:
				h.keepGang(quote, 2+h.rand.IntN(5))
			case 3:
				if h.rand.IntN(8) > 0 {
					return
				}
				id := h.keepLasting(1+h.rand.IntN(2), 1)
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

func (f *fleet) checkStored() {
	open := []string{}
	for id, s := range f.stored {
		if s.state == DurableOpen {
			open = append(open, id)
		}
	}
	sort.Strings(open)
	for _, id := range open {
		f.explain(id)
		f.t.Fatalf("stored job %s is still open 12 s after the end of the load", id)
	}
}

// Guards against an end that is acknowledged before the store has it: after a change of the holder the task would run again.
func TestEndIsAcknowledgedAfterItIsStored(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 4)
	f.run(20 * time.Millisecond)
	f.storeDelay = 600
	id := f.keep(quote, 3, 1)
	f.run(330 * time.Millisecond) // some tasks of the first step are done, and the answer of the store is not there yet
	f.storeDelay = 5
	f.newPool()
	f.run(3 * time.Second)
	is.Equal(f.stored[id].state, DurableCompleted)
}

// Guards against a stored job that is lost or run twice when all workers list its ends to a holder that does not know it yet.
func TestEndsListedBeforeTheJobsAreKnown(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 4)
	f.run(20 * time.Millisecond)
	f.storeDelay = 5
	id := f.keep(grain, 4)
	f.run(100 * time.Millisecond)
	f.storeDelay = 300 // the next holder reads the jobs up to 3 s later, when all runs have ended
	f.newPool()
	f.run(9 * time.Second)
	is.Equal(f.stored[id].state, DurableCompleted)
}

// Guards against more failed runs of a task than the route allows across holders.
func TestFailuresAreCountedAcrossHolders(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, 4)
	f.run(20 * time.Millisecond)
	f.storeDelay = 20
	bad := quote
	bad.route, bad.attempts = poisonRoute, 4
	id := f.keep(bad, 1)
	task := job.TaskName(id, 0, 0)
	for at := 20 * time.Millisecond; f.failures[task] == 0 && at < 3*time.Second; at += time.Millisecond {
		f.run(at)
	}
	is.Equal(f.failures[task], 1)
	f.newPool()
	f.run(9 * time.Second)
	is.Equal(f.failures[task], bad.attempts)
	is.Equal(f.stored[id].state, DurableFailed)
}

// Guards against a stored job that is refused or dropped when it comes late: it runs when there is room.
func TestStoredJobsWaitForRoom(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 2)
	f.run(20 * time.Millisecond)
	f.storeDelay = 5
	for range 30 {
		f.keep(grain, 2)
	}
	f.run(40 * time.Second)
	for _, id := range f.storedIDs {
		is.Equal(f.stored[id].state, DurableCompleted)
	}
}

// keepLasting stores a job of tasks that last and hands it to the pool.
func (f *fleet) keepLasting(count, maxDisrupted int) string {
	simSequence++
	w := job.Work{ID: fmt.Sprintf("%016x", simSequence), Spec: "s", Steps: []job.Step{{
		Count: count, Estimate: time.Second, Need: worker.Resources{MilliCores: 20000, MemoryMiB: 64}, Lasting: true, MaxDisrupted: maxDisrupted,
	}}}
	p := job.Policy{Route: "lasting", Service: "cue", MaxAttempts: 2, Stretch: 1.6, Target: 60 * time.Millisecond}
	return f.store(w, p, 0)
}

// atWork returns the number of tasks of a job that run on workers, and the workers.
func (f *fleet) atWork(id string) (n int, on map[string]int) {
	on = map[string]int{}
	for _, w := range f.workers {
		for task := range w.runs {
			if of, _, _, _ := job.ParseTaskName(task); of == id {
				n++
				on[w.ID]++
			}
		}
	}
	return n, on
}

// checkStop fails the test when a lasting task is stopped beyond what its step allows.
func (f *fleet) checkStop(w *simWorker, o worker.StopOrder) {
	id, step, _, _ := job.ParseTaskName(o.Task)
	s := f.stored[id]
	if s == nil || !s.Work.Steps[step].Lasting || f.cancelled[id] || f.faulty {
		return
	}
	if !w.Draining {
		f.explain(id)
		f.t.Fatalf("%v: lasting task %s was stopped on a sound worker", f.now.Sub(f.start), o.Task)
	}
}

// Guards against lasting tasks that stay away after they fail, after their worker has gone and after a change of the holder.
func TestLastingTasksAreRestarted(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 5, 4)
	f.run(20 * time.Millisecond)
	id := f.keepLasting(5, 1)
	f.run(500 * time.Millisecond)
	n, on := f.atWork(id)
	is.Equal(n, 5)
	for i := range 4 { // more often than a route allows tasks to fail
		for _, w := range f.workers {
			for task := range w.runs {
				f.end(w, task, worker.Failed)
			}
		}
		f.run(time.Duration(i+2) * time.Second)
		n, _ = f.atWork(id)
		is.Equal(n, 5)
	}
	for _, name := range f.ids {
		if on[name] > 0 {
			f.crash(f.workers[name])
			break
		}
	}
	f.run(8 * time.Second)
	n, _ = f.atWork(id)
	is.Equal(n, 5)
	f.cancelled[id] = true
	f.step(f.pool, CancelJob{Job: id})
	f.run(9 * time.Second)
	n, _ = f.atWork(id)
	is.Equal(n, 0)
	is.Equal(f.stored[id].state, DurableCancelled)
}

// Guards against lasting tasks that a new holder stops since it does not know their job yet.
func TestLastingTasksGoOnUnderANewHolder(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 5, 4)
	f.run(20 * time.Millisecond)
	id := f.keepLasting(4, 1)
	f.run(500 * time.Millisecond)
	f.storeDelay = 350 // the jobs are read after the time in which callers' VMs resume theirs
	f.newPool()
	f.run(5 * time.Second)
	n, _ := f.atWork(id)
	is.Equal(n, 4)
	for _, number := range f.highestRuns() {
		is.Equal(number, 1)
	}
}

// highestRuns returns the run numbers of the tasks that run.
func (f *fleet) highestRuns() map[string]int {
	runs := map[string]int{}
	for _, w := range f.workers {
		for task, r := range w.runs {
			runs[task] = max(runs[task], r.number)
		}
	}
	return runs
}

// Guards against lasting tasks that all end at once when their worker leaves: they move one after the other.
func TestLastingTasksLeaveADrainingWorker(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 5, 4)
	f.run(20 * time.Millisecond)
	id := f.keepLasting(3, 1)
	f.run(500 * time.Millisecond)
	_, on := f.atWork(id)
	for name := range on {
		f.workers[name].Draining = true
	}
	is.Equal(len(on), 1) // all on one worker
	least := 3
	for at := 600 * time.Millisecond; at < 5*time.Second; at += 10 * time.Millisecond {
		f.run(at)
		n := 0
		for _, w := range f.workers {
			for _, r := range w.runs {
				if f.now.Sub(r.began) >= lastingStart {
					n++
				}
			}
		}
		least = min(least, n)
	}
	is.True(least >= 2)
	_, on = f.atWork(id)
	for name := range on {
		is.True(!f.workers[name].Draining)
	}
}

// Guards against MIXED on a day of high load: a job whose first start is lost counted as begun, so that too few were said to
// wait.
func TestWaitingCountsLostStarts(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 4, 2)
	f.run(20 * time.Millisecond)
	f.workers["w00"].dark, f.workers["w01"].dark = true, true
	id := f.keep(quote, 1)
	f.run(100 * time.Millisecond)
	is.Equal(f.pool.(*Scheduler).QueuedByRoute()["quote"], 1)
	is.True(!f.pool.(*Scheduler).HasStarted(id))
	f.workers["w00"].dark, f.workers["w01"].dark = false, false
	f.run(3 * time.Second)
	is.Equal(f.pool.(*Scheduler).QueuedByRoute()["quote"], 0)
}

// Guards against workers whose new ends are no longer heard of while the store is away for long: they list 500 at a time, and
// none may be acknowledged before the stored jobs are known.
func TestEndsAreHeardWhileTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6, 1)
	f.stored["none"] = &simStored{state: DurableCompleted} // the next holder has jobs to read
	f.storeDelay = 1000_000
	f.newPool()
	f.run(50 * time.Millisecond)
	short := quote
	short.length, short.cores = 10*time.Millisecond, 1000
	var keys []SubmissionKey
	for i := range 400 {
		keys = append(keys, f.submit(short))
		f.run(50*time.Millisecond + time.Duration(i+1)*40*time.Millisecond)
	}
	f.run(30 * time.Second)
	is.True(f.workers["w00"].sequence > 500)
	for _, key := range keys {
		_, completed := f.verdicts[key].(Completed)
		is.True(completed)
	}
}
