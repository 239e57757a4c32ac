package dispatch

import (
	"fmt"
	"time"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/queue"
)

// retryAfterNoEndpoint is the retry-after time while no endpoint is live.
const retryAfterNoEndpoint = 2 * time.Second

// retryAfterLate is the retry-after time of a job that was admitted and left the queue without a start.
const retryAfterLate = 500 * time.Millisecond

// waitSafetyFactor is the fraction of the expected wait that is added to it at admission. It limits the queue to half
// of the time left, which keeps the slots as busy as a longer queue. With a factor of a quarter, 28 of 1,000 sends in a
// flood of short deadlines were wasted on jobs that ended late.
const waitSafetyFactor = 1.0

// agingAllowancePerTask is the time, for each task of a job, in which later and smaller jobs may overtake it because of
// the queue's ageing.
const agingAllowancePerTask = 20 * time.Millisecond

// meanRunTimeWindow is the number of admitted tasks over which the mean run time of a priority is averaged.
const meanRunTimeWindow = 256

// submit admits a job or refuses it as a whole.
func (c *Core) submit(now time.Time, m Submit) {
	// The queue drops a job when it is answered, but tasks of the job may still be in flight.
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
	if c.config.ForwardJobs && kind.Idempotent && !m.Forwarded && !m.ForwardTried && c.idleSlots() < m.Tasks {
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
	c.updateMeanRunTime(kind, m.Tasks)
	c.jobs[m.Job] = &jobState{
		kind:     kind,
		flow:     flow,
		deadline: m.Deadline,
		tasks:    m.Tasks,
		attempts: make([]uint8, m.Tasks),
	}
	c.startTasks(now)
	c.requestLoans(now)
}

// admit checks whether a job can run here in time, and returns the refusal otherwise.
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

// admitInTime refuses a job if too few slots are idle for IfIdle, the queue is full, or the job is expected to end
// after its deadline.
func (c *Core) admitInTime(now time.Time, m Submit, flow queue.Flow) (refusal FinishJob, refused bool) {
	load := c.snapshot(m, flow)
	if m.IfIdle && load.IdleSlots < m.Tasks {
		return FinishJob{Reason: fmt.Sprintf("%d slots are idle for %d tasks", load.IdleSlots, m.Tasks), RetryAfter: load.DrainTime(m.Tasks)}, true
	}
	if reason, full := c.queue.Full(flow, m.Tasks); full {
		return FinishJob{Reason: reason, RetryAfter: load.DrainTime(m.Tasks), Forwardable: !m.Forwarded}, true
	}
	expected := load.Estimate()
	if expected.Wait > 0 {
		expected.Response += time.Duration(waitSafetyFactor*float64(expected.Wait)) + time.Duration(m.Tasks)*agingAllowancePerTask
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

// snapshot returns the state of the queue for a job that is submitted.
func (c *Core) snapshot(m Submit, flow queue.Flow) QueueSnapshot {
	runTime := c.estimates.RunTime(m.Kind)
	load := QueueSnapshot{
		Tasks:       m.Tasks,
		RunTime:     runTime,
		TasksAhead:  c.queue.QueuedAhead(flow),
		MeanRunTime: runTime,
		FairShare:   c.expectedSlots(flow, m.Tasks),
		IdleSlots:   c.idleSlots(),
	}
	if mean, ok := c.meanRunTimes[flow.Priority]; ok {
		load.MeanRunTime = time.Duration(mean * float64(time.Second))
	}
	return load
}

// expectedSlots returns the number of slots that a job can expect: the fair share of its flow, or the part of the zone
// in proportion to its own demand if that is more. The fair share alone is too low on a VM that had little demand at
// the last allocation.
func (c *Core) expectedSlots(flow queue.Flow, tasks int) float64 {
	demand := c.allocation.peerTasks + c.running + c.queue.Queued() + tasks
	part := float64(c.zoneSlots*tasks) / float64(max(demand, 1))
	return max(c.queue.FairShare(flow, len(c.peers)+1), min(part, c.quotaSlots(flow.Team)))
}

// quotaSlots returns the maximum number of slots of the zone that the limits of a team allow.
func (c *Core) quotaSlots(team string) float64 {
	percent := 100
	for name := c.teams[team].Limit; name != ""; name = c.limits[name].Parent {
		percent = min(percent, c.limits[name].Quota)
	}
	return float64(c.zoneSlots*percent) / 100
}

// updateMeanRunTime includes the tasks of an admitted job in the mean run time of its priority.
func (c *Core) updateMeanRunTime(kind contract.Kind, tasks int) {
	runTime := c.estimates.RunTime(kind.Name).Seconds()
	mean, ok := c.meanRunTimes[kind.Priority]
	if !ok {
		c.meanRunTimes[kind.Priority] = runTime
		return
	}
	c.meanRunTimes[kind.Priority] = mean + (runTime-mean)*float64(tasks)/(meanRunTimeWindow+float64(tasks))
}
