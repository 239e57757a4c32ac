package queue

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/job"
)

// Guards against an order of equally served flows that depends on anything but rank and arrival.
func TestFairBreaksTiesByRankAndArrival(t *testing.T) {
	is := is.New(t)
	q := New(Config{Set: smallSet()})
	flows := []Flow{{"batch", "d"}, {"normal", "d"}, {"normal", "c"}, {"urgent", "d"}}
	q.SetZoneDemand(40, nil)
	for i, f := range flows {
		is.NoErr(q.Push(epoch, Job{ID: id(i), Flow: f, Tasks: 1}))
	}
	for _, want := range []int{3, 1, 2, 0} {
		task, ok := q.Pop(epoch)
		is.True(ok)
		is.Equal(task.Flow, flows[want])
	}
}

// Guards against quotas that are rounded down to zero slots, ignore the parent or count the tasks of one VM only.
func TestQuotas(t *testing.T) {
	limits := []contract.Limit{
		{Name: "all", Quota: 60, MaxQueued: 100},
		{Name: "part", Parent: "all", Quota: 50, MaxQueued: 100},
		{Name: "tiny", Quota: 1, MaxQueued: 100},
	}
	tests := []struct {
		name      string
		team      string
		slots     int
		elsewhere int
		share     int // -1: no local quota
		want      int
	}{
		{"no slots", "part", 0, 0, -1, 0},
		{"below one slot", "tiny", 10, 0, -1, 1},
		{"below one slot and in use elsewhere", "tiny", 10, 1, -1, 0},
		{"own quota", "part", 10, 0, -1, 5},
		{"parent in use elsewhere", "part", 10, 4, -1, 2},
		{"share of this VM", "part", 10, 0, 3, 3},
		{"no limit", "free", 10, 10, -1, 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			set := smallSet()
			set.Limits = limits
			set.Teams = []contract.Team{
				{Name: "free", Weight: 1},
				{Name: "other", Limit: "all", Weight: 1},
				{Name: "part", Limit: "part", Weight: 1},
				{Name: "tiny", Limit: "tiny", Weight: 1},
			}
			q := New(Config{Set: set})
			elsewhere := "other"
			if test.team == "tiny" {
				elsewhere = "tiny"
			}
			q.SetZoneDemand(test.slots, []Demand{{Flow: Flow{"batch", elsewhere}, Running: test.elsewhere}})
			if test.share >= 0 {
				q.SetLocalQuotas([]LocalQuota{{Limit: "part", Slots: test.share}})
			}
			is.NoErr(q.Push(epoch, Job{ID: id(1), Flow: Flow{"urgent", test.team}, Tasks: 20}))
			got := 0
			for _, ok := q.Pop(epoch); ok; _, ok = q.Pop(epoch) {
				got++
			}
			is.Equal(got, test.want)
		})
	}
}

// Guards against a flow that gets less than its share in the long run while all flows have queued work, for any
// targets, number of slots and run times.
func TestFairGivesEachFlowItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{Set: smallSet()})
		slots := rapid.IntRange(1, 40).Draw(t, "slots")
		var targets []FlowAllocation
		total := 0.0
		for i, p := range smallSet().Priorities {
			targets = append(targets, FlowAllocation{Flow: Flow{p.Name, "d"}, Slots: float64(rapid.IntRange(1, 20).Draw(t, "weight"))})
			total += targets[i].Slots
		}
		least, served := float64(slots), 0.0
		for i := range targets {
			targets[i].Slots *= float64(slots) / total
			least = min(least, targets[i].Slots)
			served += max(targets[i].Slots, minTarget)
		}
		// A longer task would exceed maxDebt.
		longest := rapid.IntRange(20+2*slots, max(20+2*slots, min(1000, int(least*maxDebt*500)))).Draw(t, "ms")
		got := saturateSlots(t, q, targets, slots, longest)
		for _, target := range targets {
			// A flow may lag by its last task and by startCost, which is 1/40 of the shortest task of 4 ms.
			lag := float64(longest)/1000*(1+target.Slots) + 0.025*target.Slots*saturatedSeconds
			if want := target.Slots*saturatedSeconds*float64(slots)/served - lag; target.Slots >= minTarget && got[target.Flow] < want {
				t.Fatalf("%v used %.1f slot seconds, want at least %.1f", target.Flow, got[target.Flow], want)
			}
		}
	})
}

const saturatedSeconds = 30

// saturateSlots keeps all flows queued and all slots busy for saturatedSeconds and returns the slot seconds used by
// each flow. The tasks of the first flow take longest ms and those of the others a fifth of it.
func saturateSlots(t *rapid.T, q *Queue, targets []FlowAllocation, slots, longest int) map[Flow]float64 {
	const jobTasks = job.MaxTasks
	used, queued, jobs := map[Flow]float64{}, map[Flow]int{}, 0
	ends := map[int][]Flow{} // flows of the ending tasks by millisecond
	busy := 0
	for ms := range saturatedSeconds * 1000 {
		for _, f := range ends[ms] {
			q.Done(f)
			busy--
		}
		delete(ends, ms)
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		if ms%10 == 0 {
			q.RemoveExpired(now, nil)
		}
		for _, target := range targets {
			f := target.Flow
			if queued[f] < jobTasks/2 {
				jobs++
				queued[f] += jobTasks
				if err := q.Push(now, Job{ID: id(jobs), Flow: f, Tasks: jobTasks}); err != nil {
					t.Fatal(err)
				}
			}
		}
		if ms%100 == 0 {
			q.SetFlowAllocations(targets)
		}
		for ; busy < slots; busy++ {
			task, ok := q.Pop(now)
			if !ok {
				t.Fatal("Pop returns no task although tasks are queued")
			}
			run := longest
			if task.Flow != targets[0].Flow {
				run = max(1, longest/5)
			}
			queued[task.Flow]--
			used[task.Flow] += float64(run) / 1000
			ends[ms+run] = append(ends[ms+run], task.Flow)
		}
	}
	return used
}

// Guards against estimates that are too low because the allocation is low for lack of demand.
func TestFairShare(t *testing.T) {
	is := is.New(t)
	q := New(Config{Set: smallSet()})
	q.SetZoneDemand(100, nil)
	flow := Flow{"urgent", "d"}
	q.SetAllocation(VMAllocation{Slots: 40, Flows: []FlowAllocation{{Flow: flow, Slots: 1}}, Limits: []LocalQuota{{Limit: "half", Slots: 7}}})
	is.Equal(q.FairShare(flow, 1), 20.0)                      // half of the 40 slots by the share of the priority
	is.Equal(q.FairShare(Flow{"urgent", "a"}, 10), 7.0)       // the local quota
	is.Equal(q.FairShare(Flow{"urgent", "a"}, 4), 12.5)       // an equal part of the quota exceeds the local quota
	is.Equal(q.FairShare(Flow{"urgent", "b"}, 1), 1.0)        // the quota
	is.Equal(q.FairShare(Flow{"gone", "gone"}, 1), minTarget) // an unknown flow has the minimum target
	is.Equal(q.QueuedAhead(Flow{"gone", "gone"}), 0)          // and no tasks
	q.SetFlowAllocations([]FlowAllocation{{Flow: flow, Slots: 30}})
	is.Equal(q.FairShare(flow, 1), 30.0) // its allocation exceeds its share while others don't use theirs
}

// Guards against errors with an empty queue, jobs without tasks, and calls for unknown jobs and flows.
func TestEmptyQueue(t *testing.T) {
	for policy := range Proportional + 1 {
		is := is.New(t)
		q := New(Config{Policy: policy})
		flow := Flow{"urgent", "d"}
		is.NoErr(q.Push(epoch, Job{ID: id(1), Flow: flow}))
		q.Done(flow)
		q.Requeue(Task{Job: id(1), Flow: flow})
		_, ok := q.Pop(epoch)
		is.True(!ok)
		is.Equal(q.Remove(id(1)), 0)
		is.Equal(q.Remove(id(1)), 0)
		is.Equal(len(q.RemoveExpired(epoch.Add(time.Hour), nil)), 0)
		is.Equal(len(q.AppendDemand(nil)), 0)
		q.SetZoneDemand(10, nil)
		is.NoErr(q.Push(epoch, Job{ID: id(2), Flow: flow, Tasks: 1}))
		task, ok := q.Pop(epoch)
		is.True(ok) // a flow that is not configured is served
		is.Equal(task, Task{Job: id(2), Flow: flow})
	}
}

// Guards against borrowing slots from other VMs for tasks that a quota prevents from starting.
func TestRunnableMatchesPop(t *testing.T) {
	for _, slots := range []int{0, 1, 10, 40, 1000} {
		is := is.New(t)
		q := New(Config{Policy: Fair, Set: smallSet()})
		q.SetZoneDemand(slots, []Demand{{Flow: Flow{"normal", "a"}, Running: 2}})
		for i, team := range []string{"a", "b", "c", "d", "a"} {
			flow := Flow{"normal", team}
			is.NoErr(q.Push(epoch, Job{ID: id(i + 1), Flow: flow, Tasks: 9}))
		}
		runnable, popped := q.Runnable(), 0
		for _, ok := q.Pop(epoch); ok; _, ok = q.Pop(epoch) {
			popped++
		}
		is.Equal(runnable, popped)
		is.Equal(q.Runnable(), 0)
	}
}
