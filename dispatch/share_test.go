package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/endpoint"
	"samphireplank.example/samphireplank/job"
)

// submitLoad submits single-task jobs at a rate for a time; parts gives each VM's percentage of them.
func (z *testZone) submitLoad(d time.Duration, perSecond int, parts []int, kind string) {
	interval := time.Second / time.Duration(perSecond)
	for at := time.Duration(0); at < d; at += interval {
		z.after(at+z.upTo(interval), func() {
			draw := z.random.IntN(100)
			for i, part := range parts {
				if draw -= part; draw < 0 {
					if !z.vms[i].stopped {
						z.submit(z.vms[i], kind, "birch", 1, 5*time.Second)
					}
					return
				}
			}
		})
	}
}

// Guards against an endpoint that fails every task fast and therefore attracts most of the work of the zone.
func TestFailingEndpointCostsFewTasks(t *testing.T) {
	is := is.New(t)
	z := newTestZone(t, 1, 3, 16)
	z.submitLoad(12*time.Second, 1800, []int{34, 33, 33}, "scan") // 70% of 128 slots
	z.run(time.Second)
	bad := z.endpoints[5]
	before := bad.starts
	bad.answers = always(endpoint.Failed, time.Millisecond)
	z.run(time.Second)
	cost := bad.starts - before
	z.run(9 * time.Second)
	later := bad.starts - before - cost
	t.Logf("%d tasks a second before, %d in the first second, %d in the next 9 s", before, cost, later)
	is.True(cost <= 20)
	is.True(later*100 <= before*9)
	z.drainAndCheck()
}

// Guards against endpoints that are ejected because a job fails wherever it runs.
func TestFailingJobEjectsNoEndpoint(t *testing.T) {
	is := is.New(t)
	z := newTestZone(t, 1, 1, 4)
	var failing job.ID
	z.setAnswers(func(s *StartTask) answer {
		if s.Job == failing {
			return answer{endpoint.Failed, time.Millisecond}
		}
		return answer{endpoint.Succeeded, 50 * time.Millisecond}
	})
	z.submitLoad(time.Second, 300, []int{100}, "scan")
	z.run(200 * time.Millisecond)
	failing = job.ID{Zone: "tartu-a", VM: "entry-0", Incarnation: 1, Sequence: z.vms[0].sequence + 1}
	z.submit(z.vms[0], "quote", "juniper", 150, 5*time.Second)
	for range 100 {
		z.run(10 * time.Millisecond)
		is.Equal(len(z.vms[0].core.Status().Limited), 0)
	}
	z.drainAndCheck()
	is.Equal(z.jobs[failing].outcome, job.Failed)
}

// Guards against endpoints that are ejected because all work fails.
func TestFailingWorkEjectsNoEndpoint(t *testing.T) {
	is := is.New(t)
	z := newTestZone(t, 1, 1, 4)
	z.setAnswers(always(endpoint.Failed, time.Millisecond))
	for range 200 {
		z.submit(z.vms[0], "scan", "birch", 1, 5*time.Second)
		z.run(5 * time.Millisecond)
		is.Equal(len(z.vms[0].core.Status().Limited), 0)
	}
	z.drainAndCheck()
}

// Guards against a quota that each VM applies to its own tasks only.
func TestQuotaHoldsOverTheZone(t *testing.T) {
	is := is.New(t)
	z := newTestZone(t, 1, 3, 16)
	z.set.Limits = []contract.Limit{{Name: "birch", Quota: 25, MaxQueued: 1 << 20}}
	z.set.Teams[0].Limit = "birch"
	for _, vm := range z.vms {
		z.deliver(vm, ConfigurationChanged{Set: z.set})
		for range 10 {
			z.submit(vm, "scan", "birch", 150, 30*time.Second)
		}
	}
	z.run(time.Second)
	most, sum := 0, 0
	for range 2000 {
		z.run(time.Millisecond)
		most = max(most, z.inUse())
		sum += z.inUse()
	}
	t.Logf("%d slots in use at most and %.1f on average, with a quota of 32", most, float64(sum)/2000)
	is.True(most <= 32)
	is.True(sum >= 28*2000)
	z.drainAndCheck()
}

// Guards against starts on an endpoint that is leaving.
func TestLeavingEndpointGetsNoStart(t *testing.T) {
	for seed := range uint64(8) {
		is := is.New(t)
		z := newTestZone(t, seed, 3, 4)
		z.submitLoad(time.Second, 600, []int{70, 20, 10}, "scan")
		z.run(500 * time.Millisecond)
		leaving := z.endpoints[1]
		is.True(leaving.starts > 0)
		leaving.listed = false
		z.inform(0)
		z.run(linkDelay) // tasks in transit
		before := leaving.starts
		z.run(500 * time.Millisecond)
		is.Equal(leaving.starts, before)
		z.drainAndCheck()
	}
}

// Guards against starts on idle loans of an endpoint that has left; the next tick returns them.
func TestLoansOfALeavingEndpointAreNotUsed(t *testing.T) {
	is := is.New(t)
	z := newTestZone(t, 1, 2, 2)
	z.submit(z.vms[1], "scan", "birch", 16, 5*time.Second)
	z.run(70 * time.Millisecond) // the tasks have ended and the loans are idle
	leaving := z.endpoints[0]    // owned by the other VM
	before := leaving.starts
	is.True(before > 0)
	leaving.listed = false
	z.inform(0)
	z.submit(z.vms[1], "scan", "birch", 16, 5*time.Second)
	z.drainAndCheck()
	is.Equal(leaving.starts, before)
}

// Guards against slots that stay unused after their owner was killed.
func TestSlotsOfAKilledVMAreUsedAgain(t *testing.T) {
	is := is.New(t)
	z := newTestZone(t, 1, 3, 16)
	for range 60 {
		for _, vm := range z.vms {
			z.submit(vm, "scan", "birch", 150, 30*time.Second)
		}
	}
	z.run(time.Second)
	is.True(z.inUse() >= 120)
	z.kill(z.vms[2])
	killed := z.now
	z.run(200 * time.Millisecond)
	t.Logf("%d slots in use 200 ms after the kill", z.inUse())
	for z.now.Sub(killed) < 3*time.Second {
		z.run(10 * time.Millisecond)
		if z.inUse() >= 125 {
			break
		}
	}
	t.Logf("%d slots in use %v after the kill", z.inUse(), z.now.Sub(killed))
	z.run(3*time.Second - z.now.Sub(killed))
	sum := 0
	for range 100 {
		z.run(time.Millisecond)
		sum += z.inUse()
	}
	t.Logf("%.1f slots in use on average after 3 s", float64(sum)/100)
	is.True(sum >= 122*100) // of 128; between two tasks a slot waits for two messages
	z.drainAndCheck()
}

// Guards against a job with many tasks that waits for loans, or for the next tick to request them, although the zone is
// idle.
func TestWideJobGetsTheIdleZone(t *testing.T) {
	is := is.New(t)
	z := newTestZone(t, 1, 3, 16)
	z.setAnswers(always(endpoint.Succeeded, 500*time.Millisecond))
	z.run(time.Second)
	id := z.submit(z.vms[0], "scan", "birch", 150, 10*time.Second)
	asked := z.now
	for z.now.Sub(asked) < 50*time.Millisecond && z.first < 120 {
		z.run(100 * time.Microsecond)
	}
	t.Logf("%d slots after %v", z.first, z.now.Sub(asked))
	is.True(z.first >= 120)
	is.True(z.now.Sub(asked) <= 4*linkDelay) // two exchanges
	z.drainAndCheck()
	is.Equal(z.jobs[id].outcome, job.Complete)
}

// Guards against idle slots while tasks are queued when one VM gets most of the jobs.
func TestWorkIsConserved(t *testing.T) {
	is := is.New(t)
	z := newTestZone(t, 1, 3, 16)
	z.submitLoad(4*time.Second, 2400, []int{70, 20, 10}, "scan") // 94% of 128 slots
	idle := make([]int, len(z.endpoints))
	longest, sum := 0, 0
	for ms := range 4000 {
		z.run(time.Millisecond)
		waiting := 0
		for _, vm := range z.vms {
			waiting += z.queued(vm)
		}
		sum += waiting
		for i, e := range z.endpoints {
			idle[i]++
			if waiting == 0 || e.running >= e.slots {
				idle[i] = 0
			}
			if ms > 500 {
				longest = max(longest, idle[i])
			}
		}
	}
	t.Logf("an endpoint had an idle slot next to queued work for %d ms at most; %.1f tasks queued", longest, float64(sum)/4000)
	is.True(longest <= 100)
	z.drainAndCheck()
}

// Guards against a graceful shutdown that loses queued jobs or keeps slots.
func TestDrainFinishesTheQueue(t *testing.T) {
	is := is.New(t)
	z := newTestZone(t, 1, 3, 16)
	for range 10 {
		for _, vm := range z.vms {
			z.submit(vm, "scan", "birch", 100, 30*time.Second)
		}
	}
	z.run(200 * time.Millisecond)
	stopping := z.vms[1]
	stopping.draining = true
	z.inform(0)
	z.deliver(stopping, Drain{})
	for stopping.core.Jobs() > 0 && z.now.Sub(start) < 10*time.Second { // 3,000 tasks of 50 ms on 128 slots take 1.2 s
		z.run(time.Millisecond)
	}
	is.Equal(stopping.core.Jobs(), 0)
	z.run(2 * TickInterval)
	is.True(stopping.core.pool.Drained()) // without the wait of 50 ms for idle loans
	z.drainAndCheck()
	for _, j := range z.jobs {
		is.Equal(j.outcome, job.Complete)
	}
}
