package gateway

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/claim"
)

var (
	simSeed       = flag.Uint64("sim-seed", 1, "first seed of TestTwoRunsOfOneTask")
	simSeeds      = flag.Int("sim-seeds", 12, "number of histories of TestTwoRunsOfOneTask")
	simThemeName  = flag.String("sim-theme", "", "theme of all bursts of TestTwoRunsOfOneTask, mixed ones if empty")
	simCallersLag = flag.Duration("sim-callers-lag", -1, "time after the end of a cut after which a VM sees that its callers have left, negative if at once")
	simTrace      = flag.String("sim-trace", "", "file for the trace of the last history of TestTwoRunsOfOneTask")
)

// Guards against two runs of one task at a time, whichever VMs, workers, links and calls of the store fail in a burst, and
// against refused jobs that have run.
func TestTwoRunsOfOneTask(t *testing.T) {
	for i := range *simSeeds {
		seed := *simSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { newSimulation(t, seed).play(seed) })
		})
	}
}

const (
	simWarmUp = 1500 * time.Millisecond
	simLoad   = 7 * time.Second // load and faults
)

// play plays a history and reports what it breaks.
func (s *simulation) play(seed uint64) {
	s.mu.Lock()
	for _, m := range s.machines {
		s.start(m)
	}
	s.planFaults(seed, simWarmUp+300*time.Millisecond, simLoad)
	s.mu.Unlock()
	time.Sleep(simWarmUp)
	var callers errgroup.Group
	s.mu.Lock()
	interval := s.between(30*time.Millisecond, 120*time.Millisecond)
	s.mu.Unlock()
	for time.Since(s.begin) < simLoad {
		s.mu.Lock()
		j := s.newJob(s.zones[s.rand.IntN(len(s.zones))])
		wait := time.Duration(s.rand.ExpFloat64() * float64(interval))
		s.mu.Unlock()
		callers.Go(func() error {
			s.runCaller(j)
			return nil
		})
		time.Sleep(wait)
	}
	s.mu.Lock()
	s.ending = true
	s.mu.Unlock()
	s.end(&callers)
}

// end waits for the callers, ends all VMs and reports.
func (s *simulation) end(callers *errgroup.Group) {
	_ = callers.Wait() // returns no error
	s.mu.Lock()
	for _, m := range s.machines {
		m.process.dieLocked(true)
	}
	s.mu.Unlock()
	_ = s.group.Wait()
	time.Sleep(2 * idleTimeout) // for goroutines of the HTTP servers
	s.report()
}

// report writes the trace and reports what was broken, with the part of the trace that concerns the job.
func (s *simulation) report() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.t.Logf("%v", s.counts)
	if *simTrace != "" {
		var b strings.Builder
		for _, l := range s.trace {
			fmt.Fprintf(&b, "%9.4f %s\n", l.at.Seconds(), l.text)
		}
		if err := os.WriteFile(*simTrace, []byte(b.String()), 0o600); err != nil {
			s.t.Fatal(err)
		}
	}
	for _, text := range s.broken {
		s.t.Error(text)
	}
	if len(s.broken) == 0 {
		return
	}
	for _, l := range s.trace {
		if strings.Contains(l.text, s.brokenJob) || strings.Contains(l.text, "fault ") || strings.Contains(l.text, "theme ") {
			s.t.Logf("%9.4f %s", l.at.Seconds(), l.text)
		}
	}
}

// Guards against a VM that was cut off from everything and then acts on jobs whose callers have left meanwhile, before it sees that.
func TestCutOffVMActsForCallersThatHaveLeft(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(t, seed)
				s.durableShare = 0
				s.playCutOff(func() *simMachine { return s.machines[0] }, func(m *simMachine) { s.cutOff(m, 2200*time.Millisecond, 300*time.Millisecond) })
			})
		})
	}
}

// Guards against a holder that still reaches its workers and lets the tasks of callers run who have left, which it can't see.
func TestHolderCutOffFromCallersKeepsTheirRuns(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(t, seed)
				s.durableShare = 0
				s.playCutOff(func() *simMachine { return s.holderOf("a#0") }, func(m *simMachine) {
					for _, o := range s.machines { // so that no VM of the zone takes its group
						if o != m && o.zone == m.zone {
							s.halt(o, true, time.Hour)
						}
					}
					s.cutOffOutside(m, 2200*time.Millisecond, 300*time.Millisecond)
				})
			})
		})
	}
}

// playCutOff lets callers send jobs to one VM, which is then cut off.
func (s *simulation) playCutOff(choose func() *simMachine, cut func(*simMachine)) {
	s.mu.Lock()
	for _, m := range s.machines {
		s.start(m)
	}
	s.mu.Unlock()
	time.Sleep(simWarmUp)
	var callers errgroup.Group
	s.mu.Lock()
	m := choose()
	s.mu.Unlock()
	for range 12 {
		s.mu.Lock()
		j := s.newJob("a")
		j.budget, j.firstVM, j.lengths, j.work.Steps = 6*time.Second, m, []time.Duration{3 * time.Second}, j.work.Steps[:1]
		j.work.Steps[0].Count, j.work.Steps[0].Estimate = 1, 3*time.Second
		s.mu.Unlock()
		callers.Go(func() error {
			s.runCaller(j)
			return nil
		})
	}
	time.Sleep(20 * time.Millisecond)
	s.mu.Lock()
	s.ending = true // nobody leaves without a cause
	cut(m)
	s.mu.Unlock()
	s.end(&callers)
}

// Guards against a group that has no holder for long after the planned removal of all VMs of its zone, and against one that stays
// with a VM of another zone when one of its own is back.
func TestZoneWithoutVMsIsHeldByAnotherZone(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { newSimulation(t, seed).playRemovedZone() })
		})
	}
}

// playRemovedZone removes the VMs of a zone one after the other, and starts one of them again later.
func (s *simulation) playRemovedZone() {
	s.claimRules = claim.DefaultRules()
	s.mu.Lock()
	var removed []*simMachine
	for _, m := range s.machines {
		if s.start(m); m.zone == "a" {
			removed = append(removed, m)
		}
	}
	s.mu.Unlock()
	time.Sleep(simWarmUp)
	for _, m := range removed {
		s.mu.Lock()
		s.stopPlanned(m, time.Hour)
		s.mu.Unlock()
		<-m.process.ended
		time.Sleep(time.Second)
	}
	s.checkHolders("after the removal", func(m *simMachine) bool { return m.zone != "a" })
	s.mu.Lock()
	s.start(removed[0])
	s.mu.Unlock()
	time.Sleep(4*claim.RebalanceInterval + claim.MinConnectedTime)
	s.checkHolders("after the return", func(m *simMachine) bool { return m == removed[0] })
	s.mu.Lock()
	s.ending = true
	s.mu.Unlock()
	s.end(&errgroup.Group{})
}

// checkHolders checks the recorded holders of the groups of zone a.
func (s *simulation) checkHolders(when string, right func(*simMachine) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.groups {
		group := groupName("a", i)
		m := s.holderOf(group)
		if m == nil {
			s.fail("%s: group %s has no holder", when, group)
		} else if !right(m) {
			s.fail("%s: group %s is held by %s", when, group, m.name)
		}
	}
}
