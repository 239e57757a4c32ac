package gateway

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

var (
	simCancelSeed  = flag.Uint64("sim-cancel-seed", 1, "first seed of TestCancelledJobsStartNothing")
	simCancelSeeds = flag.Int("sim-cancel-seeds", 8, "number of histories of TestCancelledJobsStartNothing")
)

const (
	simCancelTime  = 3 * time.Second // after its confirmation, by which a cancellation must have reached every VM
	simContactTime = 3 * time.Second // without trouble, after which a VM counts as sound
	simCancelLoad  = 9 * time.Second
)

// Guards against cancelled jobs whose tasks start long after the confirmation: stored and best-effort jobs and scheduled ones are cancelled at any
// VM while they move to other groups, a zone loses its VMs, holders change and answers of the store are lost.
func TestCancelledJobsStartNothing(t *testing.T) {
	counts := map[string]int{}
	for i := range *simCancelSeeds {
		seed := *simCancelSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(t, seed)
				c := &simCancellations{simulation: s, rand: rand.New(rand.NewPCG(seed, 31)), confirmed: map[string]time.Time{}}
				c.play()
				for _, l := range s.trace {
					if strings.Contains(l.text, `"event":"transferred"`) {
						counts["transfers"]++
					}
				}
				for name, n := range s.counts {
					counts[name] += n
				}
			})
		})
	}
	if t.Log(counts); counts["transfers"] == 0 || counts["cancelled"] == 0 || counts["tombstone"] == 0 {
		t.Error("the histories have no transfer, no cancelled job or none that was unknown")
	}
}

// simCancellations checks that no sound VM starts tasks of jobs whose cancellation was confirmed long before. The lock of the simulation
// protects it.
type simCancellations struct {
	*simulation
	rand         *rand.Rand
	confirmed    map[string]time.Time // cancellations, by job
	storeFailing time.Time            // end of the last fault of the store
}

func (c *simCancellations) play() {
	c.mu.Lock()
	c.onRun = c.checkRun
	for i, w := range c.workers {
		if i%3 == 0 {
			w.Labels = []string{simKind, "r"}
			w.publish()
		}
	}
	for _, m := range c.machines {
		c.start(m)
	}
	c.planTrouble()
	c.mu.Unlock()
	time.Sleep(simWarmUp)
	var callers errgroup.Group
	for time.Since(c.begin) < simWarmUp+simCancelLoad {
		c.mu.Lock()
		j := c.newCancelledJob()
		after := span(c.rand, 0, 6*time.Second)
		wait := time.Duration(c.rand.ExpFloat64() * float64(150*time.Millisecond))
		c.mu.Unlock()
		callers.Go(func() error {
			c.runCaller(j)
			return nil
		})
		callers.Go(func() error {
			time.Sleep(after)
			c.cancel(j)
			return nil
		})
		time.Sleep(wait)
	}
	time.Sleep(12 * time.Second)
	c.mu.Lock()
	c.ending = true
	for task := range c.alive {
		if id, _, _, _ := job.ParseTaskName(task); len(c.alive[task]) > 0 && time.Since(c.confirmedAt(id)) > simCancelTime {
			c.brokenJob = id
			c.fail("task %s of a cancelled job is running", task)
		}
	}
	c.mu.Unlock()
	c.end(&callers)
}

// planTrouble lets the VMs of a zone halt or stop, loses workers of a kind there, and loses answers of the store.
func (c *simCancellations) planTrouble() {
	zone := c.zones[c.rand.IntN(len(c.zones))]
	at, away, planned := span(c.rand, 2*time.Second, 8*time.Second), span(c.rand, 3*time.Second, 12*time.Second), c.rand.IntN(3) == 0
	for _, m := range c.machines {
		if m.zone != zone {
			continue
		}
		gap := span(c.rand, 0, 300*time.Millisecond)
		if planned {
			gap = span(c.rand, 0, 3*time.Second)
		}
		c.after(at+gap, func() {
			if planned {
				c.stopPlanned(m, away)
				return
			}
			c.halt(m, c.rand.IntN(3) > 0, away)
		})
	}
	lost := c.zones[c.rand.IntN(len(c.zones))]
	for _, w := range c.workers {
		if way := 3 * c.rand.IntN(2); w.Zone == lost && w.HasLabel(simKind) {
			c.after(span(c.rand, 2*time.Second, 5*time.Second), func() {
				if w.down {
					return
				}
				if way == 0 {
					c.log("%s is lost", w.ID)
					w.crash()
					c.store.put(w.key(), nil)
					return
				}
				w.Draining = true
				w.publish()
			})
		}
	}
	if c.rand.IntN(2) == 0 {
		d := span(c.rand, 300*time.Millisecond, 2*time.Second)
		c.after(span(c.rand, 2*time.Second, 7*time.Second), func() {
			c.storeFailing = time.Now().Add(d + 3*time.Second) // writes may be carried out late
			for _, m := range c.machines {
				c.failStore(m, storeLossy, d)
			}
		})
	}
}

// newCancelledJob returns a job of up to three steps, which is scheduled, stored or of best effort.
func (c *simCancellations) newCancelledJob() *simJob {
	j := c.newJob(c.zones[c.rand.IntN(len(c.zones))])
	j.durable, j.budget, j.lengths, j.work.Steps = c.rand.IntN(4) > 0, 12*time.Second, nil, nil
	j.work.BestEffort, j.policy.Target = !j.durable, 20*time.Second
	label := []string{"", simKind, simKind}[c.rand.IntN(3)]
	for i := range 1 + c.rand.IntN(3) {
		length := span(c.rand, 200*time.Millisecond, 3*time.Second)
		step := job.Step{Count: 1 + c.rand.IntN(3), Estimate: length, RequiredLabel: label, Need: worker.Resources{MilliCores: 2000 + c.rand.IntN(8000), MemoryMiB: 64}}
		if i > 0 {
			step.After = []int{i - 1}
		}
		j.lengths, j.work.Steps = append(j.lengths, length), append(j.work.Steps, step)
	}
	if !j.durable || c.rand.IntN(2) == 0 {
		return j
	}
	j.work.Schedule = job.Schedule{Count: 1 + c.rand.IntN(4), First: time.Now().Add(span(c.rand, 0, 5*time.Second)), Interval: span(c.rand, 300*time.Millisecond, 4*time.Second)}
	for k := 1; k < j.work.Schedule.Count; k++ {
		occurrence := *j
		occurrence.work.ID, occurrence.done = job.OccurrenceID(j.work.ID, k), map[[2]int]bool{}
		c.jobs[occurrence.work.ID] = &occurrence
	}
	return j
}

// cancel cancels a job at one VM after another until one confirms it.
func (c *simCancellations) cancel(j *simJob) {
	for {
		c.mu.Lock()
		vms := c.running("")
		if c.ending {
			c.mu.Unlock()
			return
		}
		if len(vms) == 0 {
			c.mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			continue
		}
		p := vms[c.rand.IntN(len(vms))].process
		c.mu.Unlock()
		if !p.awake() {
			continue
		}
		ctx, cancel := context.WithTimeout(p.gateway.ctx, 2*time.Second)
		state, err := p.gateway.Cancel(ctx, j.work.ID)
		cancel()
		if !p.awake() || err != nil {
			continue
		}
		c.mu.Lock()
		c.log("job %s is cancelled at %s: %s", j.work.ID, p.machine.name, state)
		c.counts[string(state)]++
		c.confirmed[j.work.ID] = time.Now()
		c.mu.Unlock()
		return
	}
}

// confirmedAt returns when the cancellation of a job, or of the scheduled job of an occurrence, was confirmed.
func (c *simCancellations) confirmedAt(id string) time.Time {
	series, _, _ := strings.Cut(id, ".")
	if at, ok := c.confirmed[series]; ok {
		return at
	}
	return time.Now()
}

func (c *simCancellations) checkRun(r *simRun) {
	id, _, _, _ := job.ParseTaskName(r.Task)
	p := c.machineAt(r.sender + ":").process
	if after := time.Since(c.confirmedAt(id)); after > simCancelTime && p.stopping.IsZero() && time.Since(p.begun) > simContactTime && time.Since(c.storeFailing) > simContactTime {
		c.brokenJob = id
		c.fail("%s starts task %s %v after its cancellation was confirmed", r.sender, r.Task, after.Round(time.Millisecond))
	}
}
