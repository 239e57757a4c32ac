package dispatch

import (
	"fmt"
	"testing"
	"time"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/endpoint"
	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/queue"
	"samphireplank.example/samphireplank/store"
)

// Size of the benchmarks: the teams, priorities and endpoints of one zone, and the tasks of each job.
const (
	benchTeams     = 57
	benchEndpoints = 217
	benchTasks     = 20
)

// loaded is a core whose slots are all in use, with a given number of queued jobs.
type loaded struct {
	b        *testing.B
	core     *Core
	now      time.Time
	sequence uint64
	kinds    []contract.Kind
	teams    []contract.Team
	effects  []Effect
	running  []StartTask
	oldest   int
}

func benchSet() *contract.Set {
	set := testSet()
	set.Priorities, set.Kinds, set.Teams = nil, nil, nil
	for i, share := range []int{40, 30, 20, 10} {
		name := fmt.Sprint("p", i)
		set.Priorities = append(set.Priorities, contract.Priority{Name: name, Rank: i + 1, Share: share, MaxQueued: 1 << 30})
		set.Kinds = append(set.Kinds, contract.Kind{
			Name: name, Service: "sorting", Path: "/" + name, Priority: name, MaxAttempts: 1,
			Deadline: 30 * time.Second, RunTime: 50 * time.Millisecond, MaxTasks: job.MaxTasks,
		})
	}
	for i := range benchTeams {
		team := contract.Team{Name: fmt.Sprint("t", i), Limit: fmt.Sprint("limit-", i%8), Weight: i%5 + 1}
		set.Teams = append(set.Teams, team)
	}
	for i := range 8 {
		set.Limits = append(set.Limits, contract.Limit{Name: fmt.Sprint("limit-", i), Quota: 40, MaxQueued: 1 << 30})
	}
	return set
}

func newLoaded(b *testing.B, jobs int) *loaded {
	set := benchSet()
	l := &loaded{b: b, now: start, kinds: set.Kinds, teams: set.Teams}
	l.core = New(Config{VM: "entry-0", Incarnation: 1, Service: "sorting", Set: set})
	var endpoints []Endpoint
	for i := range benchEndpoints {
		vm := store.VM{ID: fmt.Sprintf("executor-%03d", i), Incarnation: 1}
		endpoints = append(endpoints, Endpoint{VM: vm, Owner: "entry-0"})
	}
	l.update(MembershipChanged{Endpoints: endpoints, Peers: []string{"entry-1", "entry-2"}})
	for range 150 { // a VM with peers waits for one loan term before it uses its slots
		l.now = l.now.Add(TickInterval)
		l.update(Tick{})
	}
	for range jobs + benchEndpoints*8/benchTasks + 1 {
		l.submit()
	}
	l.now = l.now.Add(allocationInterval)
	l.update(Tick{})
	if len(l.running) != benchEndpoints*8 {
		b.Fatalf("%d slots in use", len(l.running))
	}
	b.ReportAllocs()
	b.ResetTimer()
	return l
}

// update passes a message to the core and keeps the started tasks in the order of their ends.
func (l *loaded) update(m Message) {
	l.effects = l.core.Update(l.now, m, l.effects[:0])
	for _, effect := range l.effects {
		if s, ok := effect.(StartTask); ok {
			l.running = append(l.running, s)
		}
	}
}

func (l *loaded) submit() job.ID {
	l.sequence++
	id := job.ID{Zone: "tartu-a", VM: "entry-0", Incarnation: 1, Sequence: l.sequence}
	l.update(Submit{
		Job: id, Kind: l.kinds[l.sequence%4].Name, Team: l.teams[l.sequence%benchTeams].Name,
		Tasks: benchTasks, Deadline: l.now.Add(24 * time.Hour),
	})
	return id
}

// finishTask ends the oldest running task and replaces the jobs that are answered, one in benchTasks tasks.
func (l *loaded) finishTask() {
	if l.oldest == benchEndpoints*8 {
		l.running = append(l.running[:0], l.running[l.oldest:]...)
		l.oldest = 0
	}
	s := l.running[l.oldest]
	l.oldest++
	l.update(TaskFinished{
		Job: s.Job, Task: s.Task, Endpoint: s.Endpoint, Slot: s.Slot, Result: endpoint.Succeeded, RunTime: 50 * time.Millisecond,
	})
	answered := 0
	for _, effect := range l.effects {
		if _, ok := effect.(FinishJob); ok {
			answered++
		}
	}
	for range answered {
		l.submit()
	}
}

// eachSize runs a benchmark at the numbers of queued jobs of the design.
func eachSize(b *testing.B, run func(b *testing.B, l *loaded)) {
	for _, jobs := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprintf("jobs-%d", jobs), func(b *testing.B) { run(b, newLoaded(b, jobs)) })
	}
}

// BenchmarkSubmitCancel measures an admission and a cancellation, which keeps the queue at its length.
func BenchmarkSubmitCancel(b *testing.B) {
	eachSize(b, func(b *testing.B, l *loaded) {
		for range b.N {
			l.now = l.now.Add(time.Microsecond)
			l.update(Cancel{Job: l.submit()})
		}
	})
}

// BenchmarkSubmit measures an admission; the queue grows during the run.
func BenchmarkSubmit(b *testing.B) {
	eachSize(b, func(b *testing.B, l *loaded) {
		for range b.N {
			l.now = l.now.Add(time.Microsecond)
			l.submit()
		}
	})
}

// BenchmarkTaskFinished measures the end of a task with the start of the next one, including a thousandth of a tick and
// a twentieth of a submission.
func BenchmarkTaskFinished(b *testing.B) {
	eachSize(b, func(b *testing.B, l *loaded) {
		for i := range b.N {
			l.now = l.now.Add(10 * time.Microsecond)
			if i%1000 == 999 {
				l.update(Tick{})
			}
			l.finishTask()
		}
		b.ReportMetric(float64(len(l.running)-l.oldest), "running")
	})
}

// BenchmarkTick measures a tick; one in five computes the allocation and one in ten reports.
func BenchmarkTick(b *testing.B) {
	eachSize(b, func(b *testing.B, l *loaded) {
		for range b.N {
			l.now = l.now.Add(TickInterval)
			l.update(Tick{})
		}
	})
}

// BenchmarkReceiveReport measures the handling of a peer's demand report with all flows.
func BenchmarkReceiveReport(b *testing.B) {
	eachSize(b, func(b *testing.B, l *loaded) {
		report := DemandReport{Demands: l.core.queue.AppendDemand([]queue.Demand{})}
		for range b.N {
			l.now = l.now.Add(time.Microsecond)
			l.update(PeerMessage{From: "entry-1", Body: report})
		}
	})
}

// BenchmarkCancel measures the cancellation of queued jobs, in the order of their submission.
func BenchmarkCancel(b *testing.B) {
	eachSize(b, func(b *testing.B, l *loaded) {
		b.StopTimer()
		wave := make([]job.ID, b.N)
		for i := range wave {
			wave[i] = l.submit()
		}
		b.StartTimer()
		for _, id := range wave {
			l.update(Cancel{Job: id})
		}
	})
}
