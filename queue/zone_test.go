package queue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against quotas that are exceeded over all VMs of a zone, or stay unused while tasks are queued, when each VM
// decides independently between two exchanges of reports.
func TestZoneQuotas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 20
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		queues := make([]*Queue, rapid.IntRange(1, 4).Draw(t, "vms"))
		for i := range queues {
			queues[i] = New(Config{Set: smallSet()})
		}
		ends := map[int][]func(){}
		jobs, unused := 0, 0
		for step := range 300 { // steps of 10 ms
			now := epoch.Add(time.Duration(step) * 10 * time.Millisecond)
			for _, end := range ends[step] {
				end()
			}
			for _, q := range queues {
				if random.IntN(20) == 0 {
					jobs++
					flow := Flow{"normal", []string{"a", "b", "c"}[random.IntN(3)]}
					if err := q.Push(now, Job{ID: id(jobs), Flow: flow, Tasks: 1 + random.IntN(30)}); err != nil {
						t.Fatal(err)
					}
				}
			}
			if step%10 == 0 {
				unused = checkUnused(t, queues, slots, unused)
				exchange(queues, slots)
			}
			for _, q := range queues {
				for task, ok := q.Pop(now); ok; task, ok = q.Pop(now) {
					end := step + 1 + random.IntN(30)
					ends[end] = append(ends[end], func() { q.Done(task.Flow) })
				}
			}
			for name, running := range runningByLimit(queues) {
				if quota := queues[0].index.limits[name].quota; running > quota {
					t.Fatalf("step %d: limit %s runs %d tasks, quota %d", step, name, running, quota)
				}
			}
		}
	})
}

// exchange distributes the reports of all VMs to each VM.
func exchange(queues []*Queue, slots int) {
	var demands []VMDemand
	for i, q := range queues {
		demands = append(demands, VMDemand{VM: fmt.Sprint("v", i), Flows: q.AppendDemand(nil)})
	}
	for i, targets := range Allocate(slots, smallSet(), demands) {
		var peerDemand []Demand
		for other, d := range demands {
			if other != i {
				peerDemand = append(peerDemand, d.Flows...)
			}
		}
		queues[i].SetZoneDemand(slots, peerDemand)
		queues[i].SetAllocation(targets)
	}
}

func runningByLimit(queues []*Queue) map[string]int {
	running := map[string]int{}
	for _, q := range queues {
		for name, l := range q.index.limits {
			running[name] += l.running
		}
	}
	return running
}

// checkUnused counts the consecutive exchanges at which the root limit runs less than half of its quota while some team
// has enough queued tasks for more.
func checkUnused(t *rapid.T, queues []*Queue, slots, unused int) int {
	queued := 0
	for _, q := range queues {
		for _, d := range q.AppendDemand(nil) {
			if d.Flow.Team == "c" {
				queued += d.Queued
			}
		}
	}
	quota := quotaSlots(60, slots)
	if queued < quota || runningByLimit(queues)["all"] >= quota/2 {
		return 0
	}
	if unused >= 5 {
		t.Fatalf("%d tasks are queued while the limit runs %d of %d", queued, runningByLimit(queues)["all"], quota)
	}
	return unused + 1
}
