package queue

import (
	"fmt"
	"testing"
	"time"

	"samphireplank.example/samphireplank/contract"
)

// largeSet has 4 priorities and 57 teams under 8 limits with a common parent.
func largeSet() *contract.Set {
	set := &contract.Set{Limits: []contract.Limit{{Name: "all", Quota: 100, MaxQueued: 1 << 30}}}
	for i, share := range []int{40, 30, 20, 10} {
		set.Priorities = append(set.Priorities, contract.Priority{Name: fmt.Sprint("p", i), Rank: i + 1, Share: share, MaxQueued: 1 << 30})
	}
	for i := range 8 {
		set.Limits = append(set.Limits, contract.Limit{Name: fmt.Sprint("limit-", i), Parent: "all", Quota: 40, MaxQueued: 1 << 30})
	}
	for i := range 57 {
		set.Teams = append(set.Teams, contract.Team{Name: fmt.Sprint("t", i), Limit: fmt.Sprint("limit-", i%8), Weight: i%5 + 1})
	}
	return set
}

// filled returns a queue with jobs of all flows.
func filled(policy Policy, jobs int) *Queue {
	q := New(Config{Policy: policy, Set: largeSet()})
	q.SetZoneDemand(400, nil)
	for i := range jobs {
		flow := Flow{Priority: fmt.Sprint("p", i%4), Team: fmt.Sprint("t", i%57)}
		item := Job{ID: id(i), Flow: flow, Tasks: i%150 + 1, Deadline: epoch.Add(time.Duration(i%30_000) * time.Millisecond)}
		if err := q.Push(epoch, item); err != nil {
			panic(err)
		}
	}
	return q
}

// BenchmarkNext measures one Pop with one Done of an earlier task, at 90 running tasks and 11 Pops per ms.
func BenchmarkNext(b *testing.B) {
	for _, policy := range []Policy{Fair, FIFO, Strict, Proportional} {
		for _, jobs := range []int{10_000, 100_000} {
			b.Run(fmt.Sprintf("policy-%d/jobs-%d", policy, jobs), func(b *testing.B) {
				q := filled(policy, jobs)
				now := epoch
				var running []Task
				for i := 0; b.Loop(); i++ {
					now = now.Add(90 * time.Microsecond)
					task, ok := q.Pop(now)
					if !ok {
						b.Fatal("Pop returned no task")
					}
					running = append(running, task)
					if len(running) > 90 {
						q.Done(running[0].Flow)
						running = running[1:]
					}
					if q.jobs[task.Job].queuedTasks() == 0 {
						q.Remove(task.Job)
						if err := q.Push(now, Job{ID: task.Job, Flow: task.Flow, Tasks: i%150 + 1}); err != nil {
							b.Fatal(err)
						}
					}
				}
			})
		}
	}
}

// BenchmarkPushRemove measures Push followed by Remove, as for a job that is canceled while queued.
func BenchmarkPushRemove(b *testing.B) {
	for _, jobs := range []int{10_000, 100_000} {
		b.Run(fmt.Sprintf("jobs-%d", jobs), func(b *testing.B) {
			q := filled(Fair, jobs)
			item := Job{ID: id(jobs), Flow: Flow{Priority: "p1", Team: "t1"}, Tasks: 20, Deadline: epoch.Add(time.Second)}
			for b.Loop() {
				if err := q.Push(epoch, item); err != nil {
					b.Fatal(err)
				}
				q.Remove(item.ID)
			}
		})
	}
}
