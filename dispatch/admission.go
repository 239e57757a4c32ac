package dispatch

import (
	"fmt"
	"time"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/queue"
)

// Times to return given with refusals that have no estimate of their own.
const (
	retryAfterNoEndpoint = 2 * time.Second
	retryAfterFullQueue  = 500 * time.Millisecond
)

// submit admits a job or refuses it whole.
func (c *Core) submit(now time.Time, m Submit) {
	refusal, refused := c.admit(m)
	if refused {
		refusal.Job = m.Job
		refusal.Outcome = job.NotRun
		c.emit(refusal)
		return
	}
	kind := c.kinds[m.Kind]
	flow := queue.Flow{Priority: kind.Priority, Team: m.Team}
	item := queue.Item{Job: m.Job, Flow: flow, Tasks: m.Tasks, Deadline: m.Deadline}
	if err := c.queue.Push(now, item); err != nil {
		c.emit(Finish{Job: m.Job, Outcome: job.Unknown, Reason: err.Error()})
		return
	}
	c.jobs[m.Job] = &jobState{
		kind:     kind,
		flow:     flow,
		deadline: m.Deadline,
		tasks:    m.Tasks,
		attempts: make([]uint8, m.Tasks),
	}
}

// admit returns the refusal of a job that cannot run here in time.
func (c *Core) admit(m Submit) (refusal Finish, refused bool) {
	kind, ok := c.kinds[m.Kind]
	if !ok {
		return Finish{Reason: fmt.Sprintf("kind %q does not exist in service %q", m.Kind, c.config.Service)}, true
	}
	if _, ok := c.teams[m.Team]; !ok {
		return Finish{Reason: fmt.Sprintf("team %q does not exist", m.Team)}, true
	}
	if m.Tasks < 1 || m.Tasks > kind.MaxTasks {
		return Finish{Reason: fmt.Sprintf("kind %q takes 1 to %d tasks, not %d", m.Kind, kind.MaxTasks, m.Tasks)}, true
	}
	if len(c.endpoints) == 0 {
		reason := fmt.Sprintf("no endpoint of service %q is live in this zone", c.config.Service)
		return Finish{Reason: reason, RetryAfter: retryAfterNoEndpoint, Overflow: true}, true
	}
	flow := queue.Flow{Priority: kind.Priority, Team: m.Team}
	if reason, full := c.queue.Full(flow, m.Tasks); full {
		return Finish{Reason: reason, RetryAfter: retryAfterFullQueue, Overflow: true}, true
	}
	return Finish{}, false
}
