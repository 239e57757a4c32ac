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
	state KeptState
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
	f.known[w.ID] = &simJob{work: w, policy: p, sent: f.now, length: length}
	m := Submit{Work: w, Policy: p, Kept: true}
	f.stored[w.ID] = &simStored{Submit: m}
	f.storedIDs = append(f.storedIDs, w.ID)
	f.step(f.pool, m)
	return w.ID
}

// save takes effect after a while, unless another pool has taken over by then.
func (f *fleet) save(p stepper, e Save) {
	f.after(time.Duration(3+f.rand.IntN(f.storeDelay))*time.Millisecond, func() {
		s := f.stored[e.Job]
		if p != f.pool {
			return
		}
		if s.state != KeptOpen {
			f.t.Fatalf("job %s is stored again after its end", e.Job)
		}
		if e.State == KeptCompleted {
			for i, step := range s.Work.Steps {
				for j := range step.Count {
					if !f.done[job.TaskName(e.Job, i, j)] {
						f.t.Fatalf("job %s is shown as completed before task %d of step %d has ended", e.Job, j, i)
					}
				}
			}
		}
		s.state, s.Progress = e.State, e.Progress
		f.step(p, Saved{Job: e.Job, Version: e.Version})
	})
}

// restore hands the open jobs of the store to a new pool after a while.
func (f *fleet) restore(p stepper) {
	if len(f.stored) == 0 {
		return
	}
	f.after(time.Duration(f.rand.IntN(10*f.storeDelay))*time.Millisecond, func() {
		if p != f.pool {
			return
		}
		for _, id := range f.storedIDs {
			if s := f.stored[id]; s.state == KeptOpen {
				m := s.Submit
				m.Resumed = true
				f.step(p, m)
			}
		}
		f.step(p, Restored{})
	})
}

// checkStart fails the test on a start that the rules for stored jobs forbid.
func (f *fleet) checkStart(o worker.StartOrder) {
	id, step, _, _ := job.ParseTaskName(o.Task)
	s := f.stored[id]
	if s == nil {
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
func (f *fleet) acknowledge(e worker.End) {
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

func (h *history) keepJobs(perSecond float64) {
	h.storeDelay = 3 + h.rand.IntN(60)
	for at := time.Duration(0); at < h.length; at += time.Duration(h.rand.ExpFloat64() / perSecond * float64(time.Second)) {
		h.after(at, func() {
			switch h.rand.IntN(3) {
			case 0:
				h.keep(quote, 1)
			case 1:
				h.keep(grain, 1+h.rand.IntN(3))
			case 2:
				h.keep(quote, 1+h.rand.IntN(4), 1+h.rand.IntN(4))
			}
		})
		h.after(at+time.Duration(h.rand.IntN(2000))*time.Millisecond, func() {
			if len(h.storedIDs) > 0 && h.rand.IntN(10) == 0 {
				id := h.storedIDs[h.rand.IntN(len(h.storedIDs))]
				h.step(h.pool, Cancel{Job: id})
			}
		})
	}
}

func (f *fleet) checkStored() {
	open := []string{}
	for id, s := range f.stored {
		if s.state == KeptOpen {
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
	is.Equal(f.stored[id].state, KeptCompleted)
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
	is.Equal(f.stored[id].state, KeptCompleted)
}

// Guards against more failed runs of a task than the route allows across holders.
func TestFailuresAreCountedAcrossHolders(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, 4)
	f.run(20 * time.Millisecond)
	f.storeDelay = 20
	bad := quote
	bad.route = poisonRoute
	id := f.keep(bad, 1)
	for i := range 6 {
		f.run(20*time.Millisecond + time.Duration(i+1)*170*time.Millisecond)
		f.newPool()
	}
	f.run(9 * time.Second)
	is.Equal(f.stored[id].state, KeptFailed)
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
		is.Equal(f.stored[id].state, KeptCompleted)
	}
}
