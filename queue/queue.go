package queue

import (
	"errors"
	"slices"
	"strings"
	"time"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/job"
)

// ErrDuplicate is returned by Push for a job id that the queue already holds.
var ErrDuplicate = errors.New("job is already queued or running")

// Flow identifies the unit of fair sharing: the jobs of one priority and team.
type Flow struct {
	Priority string `json:"priority"`
	Team     string `json:"team"`
}

// Compare orders flows by priority name and then by team name.
func (f Flow) Compare(other Flow) int {
	if c := strings.Compare(f.Priority, other.Priority); c != 0 {
		return c
	}
	return strings.Compare(f.Team, other.Team)
}

// Job is a job to be queued; a zero Deadline means none.
type Job struct {
	ID       job.ID
	Flow     Flow
	Tasks    int
	Deadline time.Time
}

// Task is one task of a queued job.
type Task struct {
	Job   job.ID
	Flow  Flow
	Index int
}

// Demand is the number of queued and running tasks of one flow.
type Demand struct {
	Flow
	Queued  int `json:"queued"`
	Running int `json:"running"`
}

// FlowAllocation is the number of slots allocated to one flow on one VM.
type FlowAllocation struct {
	Flow  Flow
	Slots float64
}

// Config holds the settings of a Queue.
type Config struct {
	Policy Policy
	Set    *contract.Set
}

// Queue is the queue of one service on one entry VM.
type Queue struct {
	policy       Policy
	ageing       time.Duration // 0 serves the jobs of a flow in order of arrival
	index        *configIndex
	flows        map[Flow]*flow
	sorted       []*flow   // all flows by Flow.Compare
	queued       int       // tasks of all flows
	active       []*flow   // flows with queued tasks, in no particular order
	sortKeys     []float64 // sort keys of the active flows; contiguous because every Pop scans them
	jobs         map[job.ID]*jobEntry
	expiry       timingWheel
	lastArrival  int64 // newest arrival in Unix nanoseconds; it never decreases
	lastSequence uint64
	fair         fairClock
	zone         zoneState
}

// New returns an empty queue. Teams with a limit can't start tasks until SetZoneDemand gives the slots of the zone.
func New(config Config) *Queue {
	q := &Queue{
		policy: config.Policy,
		flows:  make(map[Flow]*flow),
		jobs:   make(map[job.ID]*jobEntry),
	}
	if config.Policy == Fair {
		q.ageing = ageingPerTask
	}
	q.Configure(config.Set)
	return q
}

// Push queues all tasks of a job. The queue holds the job until Remove or RemoveExpired, even after all its tasks were
// started. It returns ErrDuplicate if the queue already holds the job.
func (q *Queue) Push(now time.Time, item Job) error {
	if _, known := q.jobs[item.ID]; known {
		return ErrDuplicate
	}
	q.advance(now)
	q.lastArrival = max(q.lastArrival, now.UnixNano())
	q.lastSequence++
	f := q.flow(item.Flow)
	e := &jobEntry{
		id:        item.ID,
		flow:      f,
		tasks:     item.Tasks,
		unstarted: item.Tasks,
		arrival:   q.lastArrival,
		sequence:  q.lastSequence,
	}
	q.jobs[item.ID] = e
	if item.Tasks <= 0 {
		return nil
	}
	f.push(e)
	q.addQueued(f, item.Tasks)
	if !item.Deadline.IsZero() {
		q.expiry.add(e, item.Deadline)
	}
	q.updateSortKey(f)
	return nil
}

// Pop removes the next task from the queue and counts it as running. It returns false when no task is queued or quotas
// prevent all flows with queued tasks from starting one.
func (q *Queue) Pop(now time.Time) (Task, bool) {
	q.advance(now)
	f := q.nextFlow()
	if f == nil {
		return Task{}, false
	}
	e, index := f.popTask()
	q.addQueued(f, -1)
	q.addRunning(f, 1)
	q.chargeStart(f)
	return Task{Job: e.id, Flow: f.name, Index: index}, true
}

// Requeue puts a task that Pop returned back into the queue, to be started again; the caller then doesn't call Done for
// it.
//
// The task becomes the next of its flow. If its job was removed in the meantime, the task is dropped.
func (q *Queue) Requeue(task Task) {
	f, known := q.flows[task.Flow]
	if !known || f.running == 0 {
		return
	}
	q.addRunning(f, -1)
	e, known := q.jobs[task.Job]
	if !known {
		return
	}
	f.requeue(e, task.Index)
	q.addQueued(f, 1)
	q.updateSortKey(f)
}

// Done records that a running task of the flow has ended.
func (q *Queue) Done(name Flow) {
	if f, known := q.flows[name]; known {
		q.addRunning(f, -1)
	}
}

// Remove deletes a job in constant time and returns the number of its queued tasks.
//
// It must be called for every job once the job is answered.
func (q *Queue) Remove(id job.ID) int {
	e, known := q.jobs[id]
	if !known {
		return 0
	}
	queued := e.queuedTasks()
	delete(q.jobs, id)
	q.expiry.remove(e)
	e.flow.removeJob(e)
	q.addQueued(e.flow, -queued)
	q.updateSortKey(e.flow)
	return queued
}

// RemoveExpired removes the jobs whose deadline has passed, with or without queued tasks, and appends their ids to out.
func (q *Queue) RemoveExpired(now time.Time, out []job.ID) []job.ID {
	q.advance(now)
	for _, e := range q.expiry.expired(now) {
		out = append(out, e.id)
		q.Remove(e.id)
	}
	return out
}

// AppendDemand appends the demand of all flows with queued or running tasks to out, sorted by flow.
func (q *Queue) AppendDemand(out []Demand) []Demand {
	for _, f := range q.sorted {
		if f.queued > 0 || f.running > 0 {
			out = append(out, Demand{Flow: f.name, Queued: f.queued, Running: f.running})
		}
	}
	return out
}

// Queued returns the number of queued tasks of all flows.
func (q *Queue) Queued() int { return q.queued }

// Runnable returns the number of queued tasks that could start within the quotas if enough slots were free.
func (q *Queue) Runnable() int {
	total := 0
	for _, f := range q.active {
		count := f.queued
		for _, l := range f.limits {
			count = min(count, l.remaining()-l.countedRunnable)
		}
		count = max(count, 0)
		for _, l := range f.limits {
			l.countedRunnable += count
		}
		total += count
	}
	for _, f := range q.active {
		for _, l := range f.limits {
			l.countedRunnable = 0
		}
	}
	return total
}

// QueuedAhead returns the number of queued tasks that compete for slots with a new job of the flow.
func (q *Queue) QueuedAhead(name Flow) int {
	rank := q.index.rank(name.Priority)
	ahead := 0
	for _, f := range q.active {
		if f.name == name || q.policy.servesFirst(f.rank, rank) {
			ahead += f.queued
		}
	}
	return ahead
}

// flow returns the flow with this name, creating it if needed.
func (q *Queue) flow(name Flow) *flow {
	if f, known := q.flows[name]; known {
		return f
	}
	f := &flow{name: name, ageing: int64(q.ageing), position: -1, chargedUntil: q.fair.contendedSeconds}
	q.flows[name] = f
	at, _ := slices.BinarySearchFunc(q.sorted, name, func(f *flow, name Flow) int { return f.name.Compare(name) })
	q.sorted = slices.Insert(q.sorted, at, f)
	q.index.apply(f)
	return f
}

// addQueued adds count to the queued tasks of a flow, its priority and its limits.
func (q *Queue) addQueued(f *flow, count int) {
	if count == 0 {
		return
	}
	q.queued += count
	f.queued += count
	f.priority.queued += count
	for _, l := range f.limits {
		l.queued += count
	}
	switch {
	case f.queued > 0 && f.position < 0:
		q.activate(f)
	case f.queued == 0 && f.position >= 0:
		q.deactivate(f)
	}
}

// addRunning adds count to the running tasks of a flow and its limits; a Done without a running task is ignored.
func (q *Queue) addRunning(f *flow, count int) {
	if f.running+count < 0 {
		return
	}
	f.running += count
	if count < 0 {
		q.deferEndCharge(f)
	}
	q.updateSortKey(f)
	for _, l := range f.limits {
		l.running += count
	}
}

func (q *Queue) activate(f *flow) {
	f.position = len(q.active)
	f.virtualTime = max(f.virtualTime, q.fair.virtualTime-maxCredit)
	q.active = append(q.active, f)
	q.sortKeys = append(q.sortKeys, 0)
	f.priority.weight += f.weight
}

func (q *Queue) deactivate(f *flow) {
	last := len(q.active) - 1
	moved := q.active[last]
	q.active[f.position], q.sortKeys[f.position] = moved, q.sortKeys[last]
	moved.position = f.position
	q.active[last] = nil
	q.active, q.sortKeys = q.active[:last], q.sortKeys[:last]
	f.position = -1
	f.priority.weight -= f.weight
}
