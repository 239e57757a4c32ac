package queue

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/job"
)

var epoch = time.Unix(1_700_000_000, 0)

// smallSet has limits with a shared parent and a quota below one slot.
func smallSet() *contract.Set {
	return &contract.Set{
		Priorities: []contract.Priority{
			{Name: "batch", Rank: 3, Share: 20, MaxQueued: 200},
			{Name: "normal", Rank: 2, Share: 30, MaxQueued: 100},
			{Name: "urgent", Rank: 1, Share: 50, MaxQueued: 50},
		},
		Limits: []contract.Limit{
			{Name: "all", Quota: 60, MaxQueued: 150},
			{Name: "half", Parent: "all", Quota: 50, MaxQueued: 100},
			{Name: "tiny", Parent: "all", Quota: 1, MaxQueued: 40},
		},
		Teams: []contract.Team{
			{Name: "a", Limit: "half", Weight: 1},
			{Name: "b", Limit: "tiny", Weight: 2},
			{Name: "c", Limit: "all", Weight: 3},
			{Name: "d", Weight: 4},
		},
	}
}

// otherSet lacks a team, a priority and a limit of smallSet.
func otherSet() *contract.Set {
	set := smallSet()
	set.Priorities = set.Priorities[1:]
	set.Limits = set.Limits[:2]
	set.Teams = []contract.Team{{Name: "a", Limit: "all", Weight: 5}, {Name: "c", Weight: 1}, {Name: "d", Limit: "half", Weight: 1}}
	return set
}

func id(sequence int) job.ID {
	return job.ID{Zone: "z", VM: "v", Incarnation: 1, Sequence: uint64(sequence)}
}

// machine applies the same events to a queue and to the naive queue and compares them.
type machine struct {
	queue    *Queue
	naive    *naive
	now      time.Time
	jobs     int
	removed  map[job.ID]bool
	started  map[Task]int // number of Pops less number of Requeues
	accepted int
}

func newMachine(policy Policy) *machine {
	set := smallSet()
	n := &naive{policy: policy, set: set, localQuotas: map[string]int{}, targets: map[Flow]float64{}, visibleService: map[Flow]float64{}, service: map[Flow]float64{}}
	if policy == Fair {
		n.ageing = ageingPerTask
	}
	return &machine{
		queue:   New(Config{Policy: policy, Set: set}),
		naive:   n,
		now:     epoch,
		removed: map[job.ID]bool{},
		started: map[Task]int{},
	}
}

func drawFlow(t *rapid.T) Flow {
	return Flow{
		Priority: rapid.SampledFrom([]string{"batch", "normal", "urgent"}).Draw(t, "priority"),
		Team:     rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "team"),
	}
}

func (m *machine) push(t *rapid.T) {
	m.jobs++
	item := Job{ID: id(m.jobs), Flow: drawFlow(t), Tasks: rapid.IntRange(1, 12).Draw(t, "tasks")}
	if rapid.Bool().Draw(t, "has-deadline") {
		item.Deadline = m.now.Add(time.Duration(rapid.IntRange(-10, 60_000).Draw(t, "deadline")) * time.Millisecond)
	}
	if err := m.queue.Push(m.now, item); err != nil {
		t.Fatalf("Push(%v): %v", item, err)
	}
	if err := m.queue.Push(m.now, item); err != ErrDuplicate {
		t.Fatalf("second Push(%v): %v, want ErrDuplicate", item, err)
	}
	m.naive.push(m.now, item)
	m.accepted += item.Tasks
}

func (m *machine) pop(t *rapid.T) {
	task, ok := m.queue.Pop(m.now)
	if fault := m.naive.checkPop(m.now, task, ok); fault != "" {
		t.Fatalf("Pop = %v, %v: %s", task, ok, fault)
	}
	if !ok {
		return
	}
	m.started[task]++
	if m.started[task] > 1 || m.removed[task.Job] {
		t.Fatalf("task %v returned by Pop %d times, job removed: %v", task, m.started[task], m.removed[task.Job])
	}
}

func (m *machine) end(t *rapid.T) {
	if len(m.naive.running) == 0 {
		return
	}
	at := rapid.IntRange(0, len(m.naive.running)-1).Draw(t, "running")
	m.queue.Done(m.naive.running[at].Flow)
	m.naive.end(at)
}

func (m *machine) requeue(t *rapid.T) {
	if len(m.naive.running) == 0 {
		return
	}
	at := rapid.IntRange(0, len(m.naive.running)-1).Draw(t, "running")
	task := m.naive.running[at]
	m.started[task]--
	m.queue.Requeue(task)
	m.naive.requeue(at)
}

func (m *machine) remove(t *rapid.T) {
	target := id(rapid.IntRange(0, m.jobs).Draw(t, "job"))
	m.removed[target] = true
	want := 0
	if j := m.naive.find(target); j != nil {
		want = len(j.queued) + len(j.requeued)
	}
	m.naive.remove(target)
	if got := m.queue.Remove(target); got != want {
		t.Fatalf("Remove(%v) = %d, want %d", target, got, want)
	}
}

func (m *machine) advanceClock(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "microseconds")) * time.Microsecond)
	if rapid.IntRange(0, 30).Draw(t, "long") == 0 {
		m.now = m.now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second)
	}
}

func (m *machine) expire(t *rapid.T) {
	got := m.queue.RemoveExpired(m.now, nil)
	m.naive.advance(m.now)
	var want []job.ID
	for _, j := range slices.Clone(m.naive.jobs) {
		late := !j.item.Deadline.IsZero() && !j.item.Deadline.After(m.now)
		if late {
			want = append(want, j.item.ID)
			m.naive.remove(j.item.ID)
			m.removed[j.item.ID] = true
		}
	}
	compare := func(a, b job.ID) int { return int(a.Sequence) - int(b.Sequence) }
	slices.SortFunc(got, compare)
	if !slices.Equal(got, want) {
		t.Fatalf("RemoveExpired = %v, want %v", got, want)
	}
}

func (m *machine) configure(t *rapid.T) {
	set := rapid.SampledFrom([]*contract.Set{smallSet(), otherSet()}).Draw(t, "set")
	m.queue.Configure(set)
	m.naive.configure(set)
}

func (m *machine) setZone(t *rapid.T) {
	m.naive.slots = rapid.IntRange(0, 40).Draw(t, "slots")
	m.naive.peerDemand = nil
	for range rapid.IntRange(0, 2).Draw(t, "flows-elsewhere") {
		m.naive.peerDemand = append(m.naive.peerDemand, Demand{Flow: drawFlow(t), Running: rapid.IntRange(0, 6).Draw(t, "elsewhere")})
	}
	m.queue.SetZoneDemand(m.naive.slots, m.naive.peerDemand)
	m.naive.localQuotas = map[string]int{}
	var localQuotas []LocalQuota
	if rapid.Bool().Draw(t, "has-share") {
		m.naive.localQuotas["all"] = rapid.IntRange(0, 10).Draw(t, "share")
		localQuotas = append(localQuotas, LocalQuota{Limit: "all", Slots: m.naive.localQuotas["all"]})
	}
	m.queue.SetLocalQuotas(localQuotas)
	m.naive.refresh()
}

func (m *machine) setTargets(t *rapid.T) {
	m.naive.targets, m.naive.demandMet = map[Flow]float64{}, map[Flow]bool{}
	var targets []FlowAllocation
	for range rapid.IntRange(0, 4).Draw(t, "targets") {
		f := drawFlow(t)
		if _, given := m.naive.targets[f]; !given {
			m.naive.targets[f] = float64(rapid.IntRange(0, 40).Draw(t, "quarter-slots")) / 4
			queued, running := m.naive.count(func(g Flow) bool { return g == f })
			m.naive.demandMet[f] = m.naive.targets[f] >= float64(queued+running)
			targets = append(targets, FlowAllocation{Flow: f, Slots: m.naive.targets[f]})
		}
	}
	m.queue.SetFlowAllocations(targets)
	m.naive.refresh()
}

// check compares all counters.
func (m *machine) check(t *rapid.T) {
	if got, want := m.queue.AppendDemand(nil), m.naive.demand(); !slices.Equal(got, want) {
		t.Fatalf("AppendDemand = %v, want %v", got, want)
	}
	f := Flow{Priority: "normal", Team: "b"}
	if got, want := m.queue.QueuedAhead(f), m.naive.queuedAhead(f); got != want {
		t.Fatalf("QueuedAhead = %d, want %d", got, want)
	}
	if _, got := m.queue.Full(f, 20); got != m.naive.full(f, 20) {
		t.Fatalf("Full = %v, want %v", got, !got)
	}
}

// drain checks that every queued task is returned by Pop once there are no quotas.
func (m *machine) drain(t *rapid.T) {
	set := smallSet()
	set.Limits, set.Teams = nil, nil
	m.queue.Configure(set)
	m.naive.configure(set)
	for range m.accepted + 1 {
		m.pop(t)
	}
	for _, j := range m.naive.jobs {
		for index := range j.item.Tasks {
			if m.started[Task{Job: j.item.ID, Flow: j.item.Flow, Index: index}] != 1 {
				t.Fatalf("task %d of job %v was lost", index, j.item.ID)
			}
		}
	}
}

// Guards against any difference between the queue and the naive queue: a wrong order, a task that is lost or returned
// twice, a task returned after Remove, an exceeded quota, idle slots while tasks are queued, and wrong counters.
func TestQueueMatchesNaive(t *testing.T) {
	for _, policy := range []Policy{Fair, FIFO, Strict, Proportional} {
		t.Run(fmt.Sprintf("policy-%d", policy), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				m := newMachine(policy)
				m.setZone(t)
				next := func(t *rapid.T) {
					for range rapid.IntRange(1, 8).Draw(t, "decisions") {
						m.pop(t)
					}
				}
				t.Repeat(map[string]func(*rapid.T){
					"push": m.push, "push-2": m.push, "next": next, "next-2": next, "end": m.end, "requeue": m.requeue,
					"remove": m.remove, "pass": m.advanceClock, "expire": m.expire, "configure": m.configure,
					"zone": m.setZone, "targets": m.setTargets, "": m.check,
				})
				m.drain(t)
			})
		})
	}
}
