package dispatch

import (
	"fmt"
	"time"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/queue"
)

// retryAfterNoEndpoint is the time to return given while no endpoint is live.
const retryAfterNoEndpoint = 2 * time.Second

// retryAfterLate is the time to return given with a job that was admitted and left the queue without a start.
const retryAfterLate = 500 * time.Millisecond

// waitMargin is the part of the expected wait that an admitted job may have to wait longer. A queue of half the time
// that is left keeps the slots as busy as a longer one, and with a quarter 28 of 1,000 sends of a flood of short
// deadlines were wasted on jobs that ended late.
const waitMargin = 1.0

// overtakenPerTask is the time in which later and smaller jobs may overtake a job, for each of its tasks; it is the
// ageing of the queue.
const overtakenPerTask = 20 * time.Millisecond

// meanTimeTasks is the number of admitted tasks over which the mean run time of a priority is taken.
const meanTimeTasks = 256

// submit admits a job or refuses it whole.
func (c *Core) submit(now time.Time, m Submit) {
	// The queue forgets a job with its answer, but tasks of it may still be in flight.
	if _, known := c.jobs[m.Job]; known {
		c.emit(FinishJob{Job: m.Job, Outcome: job.Unknown, Reason: queue.ErrDuplicate.Error()})
		return
	}
	refusal, refused := c.admit(now, m)
	if refused {
		refusal.Job = m.Job
		refusal.Outcome = job.NotRun
		c.emit(refusal)
		return
	}
	kind := c.kinds[m.Kind]
	if c.config.ForwardJobs && kind.Idempotent && !m.Forwarded && !m.ForwardTried && c.idle() < m.Tasks {
		m.ForwardTried = true
		c.emit(ForwardJob{Submit: m})
		return
	}
	flow := queue.Flow{Priority: kind.Priority, Team: m.Team}
	item := queue.Job{ID: m.Job, Flow: flow, Tasks: m.Tasks, Deadline: m.Deadline}
	if err := c.queue.Push(now, item); err != nil {
		c.emit(FinishJob{Job: m.Job, Outcome: job.Unknown, Reason: err.Error()})
		return
	}
	c.observeAdmitted(kind, m.Tasks)
	c.jobs[m.Job] = &jobState{
		kind:     kind,
		flow:     flow,
		deadline: m.Deadline,
		tasks:    m.Tasks,
		attempts: make([]uint8, m.Tasks),
	}
	c.startTasks(now)
	c.borrow(now)
}

// admit returns the refusal of a job that cannot run here in time.
func (c *Core) admit(now time.Time, m Submit) (refusal FinishJob, refused bool) {
	kind, ok := c.kinds[m.Kind]
	if !ok {
		return FinishJob{Reason: fmt.Sprintf("kind %q does not exist in service %q", m.Kind, c.config.Service)}, true
	}
	if _, ok := c.teams[m.Team]; !ok {
		return FinishJob{Reason: fmt.Sprintf("team %q does not exist", m.Team)}, true
	}
	if m.Tasks < 1 || m.Tasks > kind.MaxTasks {
		return FinishJob{Reason: fmt.Sprintf("kind %q takes 1 to %d tasks, not %d", m.Kind, kind.MaxTasks, m.Tasks)}, true
	}
	if len(c.endpoints) == 0 {
		reason := fmt.Sprintf("no endpoint of service %q is live in this zone", c.config.Service)
		return FinishJob{Reason: reason, RetryAfter: retryAfterNoEndpoint, Forwardable: !m.Forwarded}, true
	}
	return c.admitInTime(now, m, queue.Flow{Priority: kind.Priority, Team: m.Team})
}

// admitInTime refuses a job for which the queue has no room, or that is expected to end after its deadline.
func (c *Core) admitInTime(now time.Time, m Submit, flow queue.Flow) (refusal FinishJob, refused bool) {
	load := c.load(m, flow)
	if m.IfIdle && load.IdleSlots < m.Tasks {
		return FinishJob{Reason: fmt.Sprintf("%d slots are idle for %d tasks", load.IdleSlots, m.Tasks), RetryAfter: load.DrainTime(m.Tasks)}, true
	}
	if reason, full := c.queue.Full(flow, m.Tasks); full {
		return FinishJob{Reason: reason, RetryAfter: load.DrainTime(m.Tasks), Forwardable: !m.Forwarded}, true
	}
	expected := load.Estimate()
	if expected.Wait > 0 {
		expected.Response += time.Duration(waitMargin*float64(expected.Wait)) + time.Duration(m.Tasks)*overtakenPerTask
	}
	left := m.Deadline.Sub(now)
	if expected.Response <= left {
		return FinishJob{}, false
	}
	if load.RunTime > left {
		c.estimates.DecayStale(now, m.Kind, left)
	}
	reason := fmt.Sprintf("the expected response time of up to %v exceeds the %v left until the deadline",
		expected.Response.Round(time.Millisecond), left.Round(time.Millisecond))
	return FinishJob{Reason: reason, RetryAfter: expected.RetryAfter(left), Forwardable: !m.Forwarded}, true
}

// load returns what a job meets in the queue.
func (c *Core) load(m Submit, flow queue.Flow) QueueSnapshot {
	runTime := c.estimates.RunTime(m.Kind)
	load := QueueSnapshot{
		Tasks:       m.Tasks,
		RunTime:     runTime,
		TasksAhead:  c.queue.QueuedAhead(flow),
		MeanRunTime: runTime,
		FairShare:   c.expectedSlots(flow, m.Tasks),
		IdleSlots:   c.idle(),
	}
	if mean, ok := c.meanTimes[flow.Priority]; ok {
		load.MeanRunTime = time.Duration(mean * float64(time.Second))
	}
	return load
}

// expectedSlots returns the slots that a job may count on: the entitlement of its flow, or the part of the zone that
// follows its own demand. The entitlement alone is too low on a VM that had little demand at the last allocation.
func (c *Core) expectedSlots(flow queue.Flow, tasks int) float64 {
	demand := c.share.busy + c.running + c.queue.Queued() + tasks
	part := float64(c.zoneSlots*tasks) / float64(max(demand, 1))
	return max(c.queue.FairShare(flow, len(c.peers)+1), min(part, c.quotaSlots(flow.Team)))
}

// quotaSlots returns the slots of the zone that the limits of a team leave it at most.
func (c *Core) quotaSlots(team string) float64 {
	percent := 100
	for name := c.teams[team].Limit; name != ""; name = c.limits[name].Parent {
		percent = min(percent, c.limits[name].Quota)
	}
	return float64(c.zoneSlots*percent) / 100
}

// observeAdmitted moves the mean run time of a priority by the tasks of an admitted job.
func (c *Core) observeAdmitted(kind contract.Kind, tasks int) {
	runTime := c.estimates.RunTime(kind.Name).Seconds()
	mean, ok := c.meanTimes[kind.Priority]
	if !ok {
		c.meanTimes[kind.Priority] = runTime
		return
	}
	c.meanTimes[kind.Priority] = mean + (runTime-mean)*float64(tasks)/(meanTimeTasks+float64(tasks))
}
