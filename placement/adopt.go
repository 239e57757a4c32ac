package placement

import (
	"sort"
	"time"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// orphanedRun is a run of an earlier holder that a worker has listed.
type orphanedRun struct {
	worker   *workerState
	number   int
	done     bool
	stopping bool      // the run is being stopped; its task may start again once the worker no longer lists it
	until    time.Time // when the run is stopped unless an entry VM has resumed its job
}

// adoptJob adopts the runs of a job that an earlier holder has started.
func (s *Scheduler) adoptJob(js *jobState, resumed bool, progress Progress) {
	for i := range js.steps {
		for j := range js.steps[i].tasks {
			s.adoptRun(js.name(i, j))
			t := &js.steps[i].tasks[j]
			if !resumed || t.phase == taskDone {
				continue
			}
			switch {
			case !progress.known(), progress.On == nil, t.priorRunWorker == anyWorker:
				// The earlier holder may still act, and renew the lease of a worker that is unreachable from here.
				t.priorRunUntil = s.now.Add(s.rules.LostHolderTimeout)
			case t.priorRunWorker != "":
				// The earlier holder may have renewed the lease just before it handed the job over.
				t.priorRunUntil = s.runsEnd(s.rules.LeaseDuration)
			}
		}
	}
}

// adoptRun attaches an orphaned run to the job that it belongs to.
func (s *Scheduler) adoptRun(name string) {
	f, ok := s.orphans[name]
	if !ok || f.stopping {
		return
	}
	js, i, j := s.locateTask(name)
	if js == nil || js.steps[i].tasks[j].phase != taskQueued {
		return
	}
	if f.done && js.durable {
		return // handleEarlierEnd counts the end and defers its acknowledgement until it is persisted
	}
	delete(s.orphans, name)
	t := &js.steps[i].tasks[j]
	t.lastRun = max(t.lastRun, f.number)
	js.mayHaveStarted, js.started = true, true
	js.newestWorker = max(js.newestWorker, f.worker.added)
	s.logEvent("run-adopted", js.work.ID, f.worker.ID, "", map[string]int64{"run": int64(f.number)})
	if f.done {
		s.completeTask(js, i, j)
		return
	}
	t.phase = taskAssigned
	js.queuedTasks--
	sound := s.expectedDuration(js, i)
	expected := time.Duration(float64(sound) * f.worker.health.slowdown)
	r := &run{
		taskName: name, job: js, step: i, index: j, number: f.number, worker: f.worker, need: js.work.Steps[i].Need,
		sent: s.now, confirmed: s.now, expected: expected, sound: sound, checkProgressAt: s.now.Add(expected), unmeasured: true,
	}
	f.worker.addRun(r)
	f.worker.unknownRuns = max(f.worker.unknownRuns-1, 0)
	f.worker.free = f.worker.free.Sub(r.need)
	s.runs[name] = r
	js.running++
}

// stopUnadopted stops the orphaned runs whose jobs no entry VM has resumed in time.
func (s *Scheduler) stopUnadopted() {
	left := 0
	for _, name := range sortedNames(s.orphans) {
		f := s.orphans[name]
		if f.stopping || s.now.Before(f.until) || s.jobStillLoading(name) {
			continue
		}
		left++
		if f.done {
			if s.restored {
				delete(s.orphans, name)
			}
			continue
		}
		s.stopOrphan(name, f)
	}
	if left > 0 {
		s.logEvent("adoption-ended", "", "", "no entry VM resumed these runs of the earlier holder", map[string]int64{"runs": int64(left)})
	}
}

// jobStillLoading reports whether an orphaned run belongs to a long-running job that is still being loaded from the
// store.
func (s *Scheduler) jobStillLoading(name string) bool {
	id, _, _, _ := job.ParseTaskName(name)
	return !s.restored && s.longRunningJobs[id]
}

// mustKeepLease reports whether the lease of a worker is renewed to keep orphaned runs alive. It is not while the worker has
// another orphaned run, whose VM may be gone: a lease is for all runs of a worker.
func (s *Scheduler) mustKeepLease(w *workerState) bool {
	keep := false
	for name, f := range s.orphans {
		if f.worker != w || f.done {
			continue
		}
		if f.stopping || !s.jobStillLoading(name) {
			return false
		}
		keep = true
	}
	return keep
}

// stopOrphan stops an orphaned run; its task must not start again until the worker no longer lists the run.
func (s *Scheduler) stopOrphan(name string, f orphanedRun) {
	f.stopping = true
	s.orphans[name] = f
	s.emit(StopRun{worker.StopOrder{Target: target(f.worker), Run: worker.Run{Task: name, Number: f.number}, Fence: s.fence, Timeout: s.orderTimeout()}})
}

// reconcileOrphans processes the listed runs of a worker that this scheduler did not start.
func (s *Scheduler) reconcileOrphans(w *workerState, listed []worker.ActiveRun) {
	present := map[string]bool{}
	for _, r := range listed {
		present[r.Task] = true
		f, known := s.orphans[r.Task]
		switch {
		case !known || f.worker != w || f.number != r.Number:
			s.stopOrphan(r.Task, orphanedRun{worker: w, number: r.Number})
		case f.stopping:
			s.stopOrphan(r.Task, f)
		}
	}
	for name, f := range s.orphans {
		if f.worker == w && !f.done && !present[name] && !w.endsCutShort {
			delete(s.orphans, name)
		}
	}
	w.unknownRuns = len(listed)
}

func sortedNames(m map[string]orphanedRun) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// allSynced reports whether every listed worker has reported its runs, and all that have ended, under the current fence.
func (s *Scheduler) allSynced() bool {
	for _, w := range s.sortedWorkers {
		if !w.synced {
			return false
		}
	}
	return len(s.sortedWorkers) > 0 && !s.hasUnlistedEnds()
}

// hasUnlistedEnds reports whether a worker that is polled has ended more runs than it could list.
func (s *Scheduler) hasUnlistedEnds() bool {
	for _, w := range s.sortedWorkers {
		if w.synced && w.endsCutShort {
			return true
		}
	}
	return false
}

// unsyncedWorkers returns the number of listed workers that have not reported their runs under the current fence.
func (s *Scheduler) unsyncedWorkers() int64 {
	count := int64(0)
	for _, w := range s.sortedWorkers {
		if !w.synced {
			count++
		}
	}
	return count
}
