package placement

import (
	"sort"
	"time"
)

// Evacuation tells whether the zone of the group is evacuated.
type Evacuation struct{ Active bool }

// While its zone is evacuated, a scheduler starts nothing, also no second try of a start. Runs go on under renewed leases until they
// end. A best-effort job goes back to its entry VM, which submits it to a group of another zone, as soon as none of its runs can be
// alive: before that, a task could run here and there at the same time. Durable jobs are transferred under the same condition.

// evacuationState is what a scheduler knows of the evacuation of its zone.
type evacuationState struct {
	unknown  bool // nothing is known yet
	active   bool
	returned map[string]time.Time // when jobs that may have started were returned, by id, during this evacuation
}

// ReasonEvacuated tells an entry VM that the zone of the group is evacuated.
const ReasonEvacuated = "the zone is evacuated"

// returnedMemory is how long returned jobs are remembered. Entry VMs of earlier versions submit them to the same group again until the
// runs of a lost holder would have ended, orphanedRunTimeout in package gateway.
const returnedMemory = 2 * time.Second

// setEvacuation records whether the zone is evacuated. It returns false if that was known.
func (s *Scheduler) setEvacuation(active bool) bool {
	if !s.evacuation.unknown && s.evacuation.active == active {
		return false
	}
	wasActive := s.evacuation.active
	s.evacuation = evacuationState{active: active, returned: map[string]time.Time{}}
	_, queued, runs := s.Stats()
	values := map[string]int64{"queued": int64(queued), "runs": int64(runs)}
	switch {
	case active:
		s.logEvent("evacuation-begun", "", "", "", values)
	case wasActive:
		s.logEvent("evacuation-ended", "", "", "", values)
		s.expectColdWorkers()
	}
	return true
}

// mayStartInZone reports whether tasks may be started: it is known that the zone is not evacuated.
func (s *Scheduler) mayStartInZone() bool { return !s.evacuation.unknown && !s.evacuation.active }

// refuseEvacuated refuses a new submission of a job that is not here while the zone is evacuated. A resumed job is accepted, since the
// earlier holder may have left runs of it, unless this scheduler has returned it: its VM is of an earlier version, or has not received
// the verdict, and no run is left.
func (s *Scheduler) refuseEvacuated(m Submit) bool {
	if !s.evacuation.active || m.Durable {
		return false
	}
	if !m.Resumed {
		s.emit(Reply{m.Key, NotRun{Reason: ReasonEvacuated, RetryAfter: s.rules.MinRetryAfter}})
		return true
	}
	if _, returned := s.evacuation.returned[m.Work.ID]; returned {
		s.emit(Reply{m.Key, HandedOver{Progress: m.Progress, NotAccepted: true}})
		return true
	}
	return false
}

// returnJobs returns the best-effort jobs of an evacuated zone of which no run can be alive. A job with several submissions stays until
// all but one are withdrawn, or their permits expire: their VMs would submit it to several groups.
func (s *Scheduler) returnJobs() {
	if !s.evacuation.active {
		return
	}
	for id, at := range s.evacuation.returned {
		if s.now.Sub(at) > returnedMemory {
			delete(s.evacuation.returned, id)
		}
	}
	var idle []*jobState
	for _, js := range s.jobs {
		if !js.durable && len(js.keys) == 1 && s.noRunAlive(js) {
			idle = append(idle, js)
		}
	}
	sortByID(idle)
	for _, js := range idle {
		if !js.mayHaveStarted {
			s.closeJob(js, NotRun{Reason: ReasonEvacuated, RetryAfter: s.rules.MinRetryAfter})
			continue
		}
		s.evacuation.returned[js.work.ID] = s.now
		s.logEvent("job-returned", js.work.ID, "", ReasonEvacuated, map[string]int64{"tasks-left": int64(js.remaining)})
		s.closeJob(js, HandedOver{Progress: js.progress(s.runs, s.orphans, s.now), Idle: true})
	}
}

// noRunAlive reports whether no run of a job can be alive, whether this scheduler has started it, an earlier one, or one for an earlier
// submission of the job.
func (s *Scheduler) noRunAlive(js *jobState) bool {
	if js.running > 0 {
		return false
	}
	for i := range js.steps {
		for j := range js.steps[i].tasks {
			if js.steps[i].tasks[j].phase != taskDone && s.mustWait(js, i, j) {
				return false
			}
		}
	}
	return true
}

// stopCrippledJobs stops the runs that have no use without tasks that can't be started in an evacuated zone.
func (s *Scheduler) stopCrippledJobs() {
	if !s.evacuation.active {
		return
	}
	s.stopIncompleteGangs()
	s.stopDisruptedJobs()
}

// stopIncompleteGangs stops the members of gangs that lack others, which can't be started any more.
func (s *Scheduler) stopIncompleteGangs() {
	for _, js := range s.sortedJobs() {
		for i := range js.steps {
			if js.isGang(i) && js.running > 0 && s.gangIncomplete(js, i) {
				s.stopGang(js, i, "gang members are missing in an evacuated zone")
			}
		}
	}
}

// stopDisruptedJobs stops the remaining runs of jobs with long-running tasks that have lost more of them than the job allows, so that
// they are transferred. A job belongs to one group, and lost tasks can't start again in this one. While no more are lost than allowed,
// the others go on, since a transfer interrupts all of them.
func (s *Scheduler) stopDisruptedJobs() {
	for _, js := range s.sortedJobs() {
		if js.durable && js.running > 0 && js.work.IsLongRunning() && s.mayStart(js) && s.losesTooMany(js) {
			s.stopRuns(js)
		}
	}
}

// losesTooMany reports whether more tasks of a long-running step are certainly not running than the step allows.
func (s *Scheduler) losesTooMany(js *jobState) bool {
	for i, spec := range js.work.Steps {
		lost := 0
		for j := range js.steps[i].tasks {
			if spec.Lasting && js.steps[i].tasks[j].phase == taskQueued && !s.mustWait(js, i, j) {
				lost++
			}
		}
		if lost > spec.MaxDisrupted {
			return true
		}
	}
	return false
}

// stopRuns stops all runs of a job.
func (s *Scheduler) stopRuns(js *jobState) {
	stopped := 0
	for i := range js.steps {
		for j := range js.steps[i].tasks {
			if r := s.runs[js.name(i, j)]; r != nil && r.job == js && !r.stopping {
				s.stopRun(r)
				stopped++
			}
		}
	}
	if stopped > 0 {
		s.logEvent("job-stopped", js.work.ID, "", "more tasks are lost in an evacuated zone than the job allows", map[string]int64{"runs": int64(stopped)})
	}
}

// gangIncomplete reports whether some members of a gang run and others certainly don't.
func (s *Scheduler) gangIncomplete(js *jobState, i int) bool {
	running, missing := false, false
	for j := range js.steps[i].tasks {
		switch js.steps[i].tasks[j].phase {
		case taskAssigned:
			running = true
		case taskQueued:
			if s.mustWait(js, i, j) {
				return false
			}
			missing = true
		}
	}
	return running && missing
}

// sortedJobs returns the jobs sorted by id.
func (s *Scheduler) sortedJobs() []*jobState {
	list := make([]*jobState, 0, len(s.jobs))
	for _, js := range s.jobs {
		list = append(list, js)
	}
	sortByID(list)
	return list
}

func sortByID(list []*jobState) {
	sort.Slice(list, func(i, j int) bool { return list[i].work.ID < list[j].work.ID })
}

// minTransferDelay returns how long a durable job waits at least before another group is asked for.
func (s *Scheduler) minTransferDelay() time.Duration {
	if s.evacuation.active {
		return 0
	}
	return s.rules.TransferDelay
}
