package queue

import (
	"errors"
	"slices"
	"strings"
	"time"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/job"
)

// ErrDuplicate says that a job of this id is already known to the queue.
var ErrDuplicate = errors.New("job is already queued or running")

// Flow is the unit between which slots are shared.
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

// FlowAllocation is the number of slots that one flow is entitled to on one VM.
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
	policy  Policy
	ageing  time.Duration // 0 keeps the order of arrival inside a flow
	rules   *rules
	flows   map[Flow]*flow
	sorted  []*flow   // all flows by Flow.Compare
	queued  int       // tasks of all flows
	active  []*flow   // flows with queued tasks, in no particular order
	levels  []float64 // of the active flows; contiguous because every decision scans it
	jobs    map[job.ID]*entry
	expiry  wheel
	arrival int64 // newest arrival in nanoseconds; it never decreases
	counter uint64
	fair    fairClock
	zone    zoneState
}

// New returns an empty queue; limits have no slots until SetZoneDemand.
func New(config Config) *Queue {
	q := &Queue{
		policy: config.Policy,
		flows:  make(map[Flow]*flow),
		jobs:   make(map[job.ID]*entry),
	}
	if config.Policy == Fair {
		q.ageing = ageingPerTask
	}
	q.Configure(config.Set)
	return q
}

// Push queues all tasks of a job; the job stays known until Remove or RemoveExpired, even after all its tasks were started.
func (q *Queue) Push(now time.Time, item Job) error {
	if _, known := q.jobs[item.ID]; known {
		return ErrDuplicate
	}
	q.advance(now)
	q.arrival = max(q.arrival, now.UnixNano())
	q.counter++
	f := q.flow(item.Flow)
	e := &entry{
		id:       item.ID,
		flow:     f,
		tasks:    item.Tasks,
		left:     item.Tasks,
		arrival:  q.arrival,
		sequence: q.counter,
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
	q.relevel(f)
	return nil
}

// Pop hands out the next task and counts it as running; it returns false when nothing is queued or quotas forbid it.
func (q *Queue) Pop(now time.Time) (Task, bool) {
	q.advance(now)
	f := q.pick()
	if f == nil {
		return Task{}, false
	}
	e, index := f.take()
	q.addQueued(f, -1)
	q.addRunning(f, 1)
	q.started(f)
	return Task{Job: e.id, Flow: f.name, Index: index}, true
}

// Requeue takes back a task that Pop handed out and that is to be started again; it takes the place of Done.
//
// The task is the next of its flow, or is dropped when its job was removed in the meantime.
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
	f.putBack(e, task.Index)
	q.addQueued(f, 1)
	q.relevel(f)
}

// Done counts a running task of the flow as ended.
func (q *Queue) Done(name Flow) {
	if f, known := q.flows[name]; known {
		q.addRunning(f, -1)
	}
}

// Remove forgets a job in constant time and returns the number of its tasks that were never started.
//
// It is to be called for every job once it is answered.
func (q *Queue) Remove(id job.ID) int {
	e, known := q.jobs[id]
	if !known {
		return 0
	}
	waiting := e.waiting()
	delete(q.jobs, id)
	q.expiry.remove(e)
	e.flow.drop(e)
	q.addQueued(e.flow, -waiting)
	q.relevel(e.flow)
	return waiting
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

// Runnable returns the number of queued tasks that quotas would let start if there were slots for them.
func (q *Queue) Runnable() int {
	total := 0
	for _, f := range q.active {
		count := f.queued
		for _, l := range f.limits {
			count = min(count, l.room()-l.counted)
		}
		count = max(count, 0)
		for _, l := range f.limits {
			l.counted += count
		}
		total += count
	}
	for _, f := range q.active {
		for _, l := range f.limits {
			l.counted = 0
		}
	}
	return total
}

// QueuedAhead returns the number of queued tasks that compete with a new job of the flow for the same slots.
func (q *Queue) QueuedAhead(name Flow) int {
	rank := q.rules.rank(name.Priority)
	ahead := 0
	for _, f := range q.active {
		if f.name == name || q.policy.ahead(f.rank, rank) {
			ahead += f.queued
		}
	}
	return ahead
}

// flow returns the flow of this name and adds it when it is new.
func (q *Queue) flow(name Flow) *flow {
	if f, known := q.flows[name]; known {
		return f
	}
	f := &flow{name: name, ageing: int64(q.ageing), position: -1, settled: q.fair.seconds}
	q.flows[name] = f
	at, _ := slices.BinarySearchFunc(q.sorted, name, func(f *flow, name Flow) int { return f.name.Compare(name) })
	q.sorted = slices.Insert(q.sorted, at, f)
	q.rules.apply(f)
	return f
}

// addQueued changes the number of queued tasks of a flow and of its bounds.
func (q *Queue) addQueued(f *flow, count int) {
	if count == 0 {
		return
	}
	q.queued += count
	f.queued += count
	f.class.queued += count
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

// addRunning changes the number of running tasks of a flow and of its limits; a surplus Done is ignored.
func (q *Queue) addRunning(f *flow, count int) {
	if f.running+count < 0 {
		return
	}
	f.running += count
	if count < 0 {
		q.ended(f)
	}
	q.relevel(f)
	for _, l := range f.limits {
		l.running += count
	}
}

func (q *Queue) activate(f *flow) {
	f.position = len(q.active)
	f.virtual = max(f.virtual, q.fair.virtual-mostCredit)
	q.active = append(q.active, f)
	q.levels = append(q.levels, 0)
	f.class.weight += f.weight
}

func (q *Queue) deactivate(f *flow) {
	last := len(q.active) - 1
	moved := q.active[last]
	q.active[f.position], q.levels[f.position] = moved, q.levels[last]
	moved.position = f.position
	q.active[last] = nil
	q.active, q.levels = q.active[:last], q.levels[:last]
	f.position = -1
	f.class.weight -= f.weight
}
