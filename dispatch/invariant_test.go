package dispatch

import (
	"fmt"
	"slices"
	"time"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/endpoint"
	"samphireplank.example/samphireplank/job"
)

// jobRecord records what a test zone has observed of a job.
type jobRecord struct {
	vm       *fakeVM
	kind     string
	tasks    []taskRecord
	finished bool
	outcome  job.Outcome
	reason   string
	wait     time.Duration // the retry-after time
	deadline time.Time
	answered time.Time
}

// taskRecord counts the starts of a task by their result.
type taskRecord struct {
	started   bool
	open      bool
	reached   int // number of starts that ended, neither refused nor not sent
	succeeded int
	executed  int // number of executions by the endpoints
	last      endpoint.Result
}

func (z *testZone) fail(format string, args ...any) {
	z.failures = append(z.failures, fmt.Sprintf("%v: ", z.now.Sub(start))+fmt.Sprintf(format, args...))
}

func (z *testZone) kind(name string) contract.Kind {
	return z.set.Kinds[slices.IndexFunc(z.set.Kinds, func(k contract.Kind) bool { return k.Name == name })]
}

func (z *testZone) recordStart(s *StartTask) {
	j := z.jobs[s.Job]
	task := &j.tasks[s.Task]
	kind := z.kind(j.kind)
	switch {
	case j.finished:
		z.fail("job %v: task %d started after the answer", s.Job, s.Task)
	case task.open:
		z.fail("job %v: task %d started while a start of it is open", s.Job, s.Task)
	case !kind.Idempotent && task.reached > 0:
		z.fail("job %v: task %d of a non-idempotent kind started again", s.Job, s.Task)
	case task.reached >= kind.MaxAttempts:
		z.fail("job %v: task %d started beyond its %d attempts", s.Job, s.Task, kind.MaxAttempts)
	}
	if !task.started {
		z.first++
	}
	task.started = true
	task.open = true
}

func (z *testZone) recordExecution(s *StartTask) {
	j := z.jobs[s.Job]
	j.tasks[s.Task].executed++
	if executed := j.tasks[s.Task].executed; executed > z.kind(j.kind).MaxAttempts {
		z.fail("job %v: task %d executed %d times", s.Job, s.Task, executed)
	}
	if j.finished && j.outcome == job.NotRun {
		z.fail("job %v: task %d executed after the answer not-run", s.Job, s.Task)
	}
}

func (z *testZone) recordEnd(vm *fakeVM, s *StartTask, result endpoint.Result) {
	task := &z.jobs[s.Job].tasks[s.Task]
	task.open = false
	switch result {
	case endpoint.Refused, endpoint.NotSent:
		z.checkRefusalDelay(vm, s.Endpoint)
		return
	case endpoint.Succeeded:
		task.succeeded++
	case endpoint.Failed, endpoint.Rejected, endpoint.Unknown:
	}
	task.last = result
	task.reached++
	if task.reached > 1 {
		z.checkRetryBudget(vm)
	}
}

// checkRetryBudget checks that the retries of a VM stay within the budget: a tenth of the first starts, one per second
// and the initial ones.
func (z *testZone) checkRetryBudget(vm *fakeVM) {
	z.retries++
	allowed := initialRetryTokens + retryRatio*float64(z.first) + minRetriesPerSecond*z.now.Sub(start).Seconds()
	if len(z.vms) == 1 && float64(z.retries) > allowed {
		z.fail("%s: %d retries of %d first starts are beyond the budget", vm.id, z.retries, z.first)
	}
}

// checkRefusalDelay checks that the slots of an endpoint that refuses are not reused too early: a VM gets at most one
// refusal for each of them within the minimum delay. After a change of owner a VM may hold loans of the new owner
// besides the slots that it still uses.
func (z *testZone) checkRefusalDelay(vm *fakeVM, id string) {
	bound := z.endpoint(id).slots
	if z.announcements > 1 {
		bound *= 2
	}
	key := vm.id + " " + id
	recent := slices.DeleteFunc(z.refusals[key], func(at time.Time) bool { return z.now.Sub(at) >= minRefusalDelay })
	z.refusals[key] = append(recent, z.now)
	if len(z.refusals[key]) > bound && !vm.paused {
		z.fail("%s: %d refusals of %s within %v", vm.id, len(z.refusals[key]), id, minRefusalDelay)
	}
}

func (z *testZone) checkFinish(f *FinishJob) {
	j := z.jobs[f.Job]
	if j.finished {
		z.fail("job %v: answered twice, %v and %v", f.Job, j.outcome, f.Outcome)
	}
	j.finished, j.outcome, j.reason, j.wait, j.answered = true, f.Outcome, f.Reason, f.RetryAfter, z.now
	if z.now.Sub(j.deadline) > 2*TickInterval && !j.vm.wasPaused {
		z.fail("job %v: answered %v after its deadline", f.Job, z.now.Sub(j.deadline))
	}
	for i, task := range j.tasks {
		switch {
		case f.Outcome == job.Complete && task.succeeded != 1:
			z.fail("job %v: complete, but task %d succeeded %d times", f.Job, i, task.succeeded)
		case f.Outcome == job.NotRun && (task.open || task.reached > 0 || task.executed > 0):
			z.fail("job %v: not-run, but task %d was started", f.Job, i)
		case f.Outcome == job.Failed && task.reached > 0 && task.last == endpoint.Unknown:
			z.fail("job %v: failed, but it is unknown whether task %d ran", f.Job, i)
		case f.Outcome == job.Failed && task.open:
			z.fail("job %v: failed, but task %d is running", f.Job, i)
		}
	}
}

// checkEnd checks, after all sends have ended, that every job of a live VM was answered and no slot is left in use.
func (z *testZone) checkEnd() {
	for _, vm := range z.vms {
		if vm.stopped {
			continue
		}
		if counts := vm.core.pool.Counts(); vm.core.Jobs() > 0 || counts.InUse > 0 || vm.core.running > 0 {
			z.fail("%s: %d jobs, %d slots in use and %d tasks running at the end", vm.id, vm.core.Jobs(), counts.InUse,
				vm.core.running)
		}
	}
	for id, j := range z.jobs {
		if !j.finished && !j.vm.stopped {
			z.fail("job %v was not answered", id)
		}
	}
}
