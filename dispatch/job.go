package dispatch

import (
	"fmt"
	"slices"
	"time"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/endpoint"
	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/queue"
)

// jobState is the state of a job from its admission until its last running task has ended.
type jobState struct {
	kind      contract.Kind
	flow      queue.Flow
	deadline  time.Time
	tasks     int
	succeeded int
	running   int
	started   int     // number of starts that may have reached an endpoint
	attempts  []uint8 // number of starts of each task, without refused and unsent ones
	maybeRan  []int   // tasks whose last attempt gave no valid response and whose retry has not ended
	failure   job.Outcome
	reason    string
	answered  bool
}

// fail records why the job cannot complete; Unknown takes precedence over Failed.
func (j *jobState) fail(outcome job.Outcome, reason string) {
	if j.failure == job.Pending || (j.failure == job.Failed && outcome == job.Unknown) {
		j.failure = outcome
		j.reason = reason
	}
}

// cancel answers a job at once; its tasks in flight keep their slots until their endpoints respond.
func (c *Core) cancel(id job.ID) {
	j, ok := c.jobs[id]
	if !ok || j.answered {
		return
	}
	c.queue.Remove(id)
	switch {
	case j.running > 0:
		c.finish(id, j, job.Unknown, fmt.Sprintf("cancelled while %d of %d tasks were running", j.running, j.tasks))
	case j.started > 0:
		c.finish(id, j, job.Failed, fmt.Sprintf("cancelled after %d of %d tasks had run", j.succeeded, j.tasks))
	default:
		c.finish(id, j, job.NotRun, "cancelled before any task was started")
	}
	c.removeIfDone(id, j)
}

// finish answers a job once.
func (c *Core) finish(id job.ID, j *jobState, outcome job.Outcome, reason string) {
	if j.answered {
		return
	}
	j.answered = true
	if outcome == job.Failed && len(j.maybeRan) > 0 {
		outcome = job.Unknown
		reason += fmt.Sprintf("; task %d may have run before", j.maybeRan[0])
	}
	effect := FinishJob{Job: id, Outcome: outcome, Reason: reason}
	if outcome == job.NotRun {
		effect.RetryAfter = retryAfterLate
	}
	c.emit(effect)
}

// removeIfDone removes an answered job whose last running task has ended.
func (c *Core) removeIfDone(id job.ID, j *jobState) {
	if j.answered && j.running == 0 {
		c.queue.Remove(id)
		delete(c.jobs, id)
	}
}

// expire answers the jobs whose deadline has passed; their tasks in flight keep their slots.
func (c *Core) expire(now time.Time) {
	c.expired = c.queue.RemoveExpired(now, c.expired[:0])
	c.expired = c.expireFailed(now, c.expired)
	for _, id := range c.expired {
		if j, ok := c.jobs[id]; ok {
			c.finishLate(id, j, "deadline passed")
		}
	}
}

// expireFailed appends the failed jobs with tasks in flight whose deadline has passed. The queue, which tracks the
// deadlines of all other jobs, no longer holds them.
func (c *Core) expireFailed(now time.Time, out []job.ID) []job.ID {
	kept := c.failedJobs[:0]
	for _, id := range c.failedJobs {
		j, ok := c.jobs[id]
		switch {
		case !ok || j.answered:
		case now.Before(j.deadline):
			kept = append(kept, id)
		default:
			out = append(out, id)
		}
	}
	c.failedJobs = kept
	return out
}

// finishLate answers a job that cannot complete in time.
func (c *Core) finishLate(id job.ID, j *jobState, cause string) {
	c.queue.Remove(id)
	switch {
	case j.running > 0:
		j.fail(job.Unknown, fmt.Sprintf("%s while %d of %d tasks were running", cause, j.running, j.tasks))
	case j.started > 0:
		j.fail(job.Failed, fmt.Sprintf("%s after %d of %d tasks had run", cause, j.succeeded, j.tasks))
	default:
		j.fail(job.NotRun, cause+" before any task was started")
	}
	c.finish(id, j, j.failure, j.reason)
	c.removeIfDone(id, j)
}

// finishIfDone answers a job that is complete, or that has failed and has no task in flight.
func (c *Core) finishIfDone(id job.ID, j *jobState) {
	switch {
	case j.succeeded == j.tasks:
		c.finish(id, j, job.Complete, "")
	case j.failure != job.Pending && j.running == 0:
		c.finish(id, j, j.failure, j.reason)
	}
	c.removeIfDone(id, j)
}

// startTasks starts queued tasks while slots are available.
func (c *Core) startTasks(now time.Time) {
	for c.queue.Queued() > 0 {
		held, ok := c.pool.TryAcquire(now)
		if !ok {
			return
		}
		task, ok := c.nextTask(now)
		if !ok {
			c.pool.Release(now, held.ID)
			return
		}
		c.start(now, task, held.ID, held.Endpoint)
	}
}

// nextTask returns the next task whose job can still end in time, and answers the jobs that can't.
func (c *Core) nextTask(now time.Time) (queue.Task, bool) {
	for {
		task, ok := c.queue.Pop(now)
		if !ok {
			return task, false
		}
		j := c.jobs[task.Job]
		if j.deadline.Sub(now) >= c.minRemainingTime(j) {
			return task, true
		}
		c.queue.Done(j.flow)
		c.finishLate(task.Job, j, "too little time left until the deadline")
	}
}

// minRemainingTime returns the least time that a job needs: one run time if tasks of it were started, otherwise all
// rounds of its tasks over the slots that it can expect, so that no work is started for a job that ends late.
func (c *Core) minRemainingTime(j *jobState) time.Duration {
	runTime := c.estimates.RunTime(j.kind.Name)
	if j.started > 0 || j.running > 0 {
		return runTime
	}
	slots := max(c.expectedSlots(j.flow, j.tasks), float64(c.idleSlots()), 1)
	return time.Duration(float64(runTime) * max(float64(j.tasks)/slots, 1))
}

// start emits the StartTask of a task on a slot.
func (c *Core) start(now time.Time, task queue.Task, slotID uint64, endpointID string) {
	j := c.jobs[task.Job]
	c.running++
	j.running++
	j.started++
	j.attempts[task.Index]++
	if j.attempts[task.Index] == 1 {
		c.retries.Deposit()
	}
	c.emit(StartTask{
		Job:      task.Job,
		Task:     task.Index,
		Attempt:  int(j.attempts[task.Index]),
		Kind:     j.kind.Name,
		Path:     j.kind.Path,
		Endpoint: endpointID,
		Address:  c.endpoints[endpointID].Address,
		Slot:     slotID,
		Timeout:  j.deadline.Sub(now) + c.answerGracePeriod(j.kind.Name),
	})
}

// Limits of the time that a task may run beyond the deadline of its job before its endpoint counts as unresponsive.
const (
	minAnswerGracePeriod = time.Second
	maxAnswerGracePeriod = 15 * time.Second
	graceRunTimes        = 10 // number of expected run times
)

// answerGracePeriod returns how long to wait for a response beyond the deadline, to learn when the slot is free.
func (c *Core) answerGracePeriod(kind string) time.Duration {
	return min(max(graceRunTimes*c.estimates.RunTime(kind), minAnswerGracePeriod), maxAnswerGracePeriod)
}

// taskFinished handles the result of a StartTask.
func (c *Core) taskFinished(now time.Time, m TaskFinished) {
	j, ok := c.jobs[m.Job]
	if !ok {
		return
	}
	c.running--
	j.running--
	c.releaseOrWithhold(now, m)
	c.recordHealth(now, m)
	if m.Result != endpoint.Refused && m.Result != endpoint.NotSent {
		j.maybeRan = slices.DeleteFunc(j.maybeRan, func(task int) bool { return task == m.Task })
	}
	switch m.Result {
	case endpoint.Succeeded:
		c.queue.Done(j.flow)
		j.succeeded++
		c.estimates.Observe(j.kind.Name, m.RunTime)
	case endpoint.Refused, endpoint.NotSent:
		j.started--
		j.attempts[m.Task]--
		if j.attempts[m.Task] == 0 {
			c.retries.Refund()
		}
		c.requeue(j, m)
	case endpoint.Rejected:
		c.failJob(m, j, job.Failed, fmt.Sprintf("endpoint %q rejected task %d", m.Endpoint, m.Task))
	case endpoint.Failed:
		c.retry(now, j, m, job.Failed, fmt.Sprintf("task %d failed on endpoint %q", m.Task, m.Endpoint))
	case endpoint.Unknown:
		c.retry(now, j, m, job.Unknown, fmt.Sprintf("endpoint %q gave no valid answer to task %d", m.Endpoint, m.Task))
	}
	c.finishIfDone(m.Job, j)
}

// requeue puts a task that is to be started again back into the queue, unless its job was answered or has failed.
func (c *Core) requeue(j *jobState, m TaskFinished) {
	if j.answered || j.failure != job.Pending {
		c.queue.Done(j.flow)
		return
	}
	c.queue.Requeue(queue.Task{Job: m.Job, Flow: j.flow, Index: m.Task})
}

// retry starts a failed task of an idempotent kind again if attempts, retry budget and deadline allow it.
func (c *Core) retry(now time.Time, j *jobState, m TaskFinished, outcome job.Outcome, reason string) {
	allowed := j.kind.Idempotent && int(j.attempts[m.Task]) < j.kind.MaxAttempts && now.Before(j.deadline) &&
		!j.answered && j.failure == job.Pending
	if allowed && c.retries.TryWithdraw(now) {
		if outcome == job.Unknown {
			j.maybeRan = append(j.maybeRan, m.Task)
		}
		c.requeue(j, m)
		return
	}
	c.failJob(m, j, outcome, reason)
}

// failJob marks a job as failed and drops its queued tasks.
func (c *Core) failJob(m TaskFinished, j *jobState, outcome job.Outcome, reason string) {
	c.queue.Done(j.flow)
	if j.failure == job.Pending && j.running > 0 {
		c.failedJobs = append(c.failedJobs, m.Job)
	}
	j.fail(outcome, reason)
	c.queue.Remove(m.Job)
}

// releaseOrWithhold frees the slot of a send, withholds it if the endpoint may still use it, or delays its reuse if the
// endpoint refused the task or was not reached.
func (c *Core) releaseOrWithhold(now time.Time, m TaskFinished) {
	switch m.Result {
	case endpoint.Unknown:
		c.pool.Withhold(now, m.Slot)
	case endpoint.Refused, endpoint.NotSent:
		c.refusals.add(now, m.Endpoint, m.Slot)
	default:
		c.refusals.reset(m.Endpoint)
		c.pool.Release(now, m.Slot)
	}
}
