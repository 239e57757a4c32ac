package gateway

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/job"
)

var (
	simTransferSeed  = flag.Uint64("sim-transfer-seed", 1, "first seed of TestTransferOfStoredJobs")
	simTransferSeeds = flag.Int("sim-transfer-seeds", 10, "number of histories of TestTransferOfStoredJobs")
)

// Guards against stored jobs that run twice, or never, when the workers that can run them are lost and their jobs move to another
// group while VMs, links, workers and the store fail.
func TestTransferOfStoredJobs(t *testing.T) {
	transfers := 0
	for i := range *simTransferSeeds {
		seed := *simTransferSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(t, seed)
				s.durableShare = 1
				s.playTransfers(seed)
				for _, l := range s.trace {
					if strings.Contains(l.text, `"event":"transferred"`) {
						transfers++
					}
				}
			})
		})
	}
	if t.Logf("%d transfers", transfers); transfers == 0 {
		t.Error("no job was transferred")
	}
}

const (
	simKind       = "y" // label of a third of the workers
	simStoredLoad = 4 * time.Second
	simFinish     = 22 * time.Second // by which all stored jobs must have ended
)

// playTransfers plays a history in which the workers of a kind are lost for some time or for good.
func (s *simulation) playTransfers(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 23))
	s.mu.Lock()
	for i, w := range s.workers {
		if i%3 == 0 {
			w.Labels = []string{simKind, "r"}
			w.publish()
		}
	}
	for _, m := range s.machines {
		s.start(m)
	}
	if r.IntN(4) > 0 {
		s.planFaults(seed, simWarmUp+time.Second, simLoad)
	}
	lost := s.zones[r.IntN(len(s.zones))]
	for _, w := range s.workers {
		if w.Zone == lost && w.HasLabel(simKind) {
			s.loseWorker(w, r)
		}
	}
	s.mu.Unlock()
	time.Sleep(simWarmUp)
	var callers errgroup.Group
	for time.Since(s.begin) < simWarmUp+simStoredLoad {
		s.mu.Lock()
		j := s.newJob(s.zones[r.IntN(len(s.zones))])
		if r.IntN(3) > 0 {
			for i := range j.work.Steps {
				j.work.Steps[i].RequiredLabel = simKind
			}
		}
		s.mu.Unlock()
		callers.Go(func() error {
			s.runCaller(j)
			return nil
		})
		time.Sleep(time.Duration(r.ExpFloat64() * float64(120*time.Millisecond)))
	}
	time.Sleep(max(simLoad+5*time.Second-time.Since(s.begin), 0))
	s.mu.Lock()
	s.ending = true
	for _, m := range s.machines {
		if p := m.process; (p == nil || p.dead) && !m.replaced {
			s.start(m)
		}
	}
	s.mu.Unlock()
	time.Sleep(simFinish)
	s.checkStoredJobs()
	s.end(&callers)
}

// loseWorker ends a worker, or lets it drain, at a random time. It may come back later, alive all the while or as a new incarnation.
func (s *simulation) loseWorker(w *simWorker, r *rand.Rand) {
	at, away := simWarmUp+span(r, 500*time.Millisecond, 3*time.Second), span(r, 3*time.Second, 7*time.Second)
	how := r.IntN(4)
	s.after(at, func() {
		if w.down {
			return
		}
		s.log("%s is lost for %v, way %d", w.ID, away, how)
		switch how {
		case 0: // gone for good
			w.crash()
			s.store.put(w.key(), nil)
		case 1: // restarts
			s.crashWorker(w, true, away)
			s.after(2*time.Second, func() {
				if w.down {
					s.store.put(w.key(), nil)
				}
			})
		case 2: // cut off from everything, and back with its ends
			for _, m := range s.machines {
				s.cut(m.name, w.Address, 2, away)
			}
			s.unlist(w, away)
		case 3:
			w.Draining = true
			w.publish()
		}
	})
}

// checkStoredJobs reports stored jobs that have not ended, unless they last.
func (s *simulation) checkStoredJobs() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, item := range s.store.items {
		var open openJob
		if !strings.HasPrefix(key, openJobsPrefix) || json.Unmarshal(item.Value, &open) != nil || open.Work.IsLongRunning() {
			continue
		}
		if on := s.roomFor(open); on != "" {
			s.brokenJob = open.Work.ID
			s.fail("job %s of group %s has not ended, and %s has room for a task, revision %d, transfers %d, to %q", open.Work.ID, open.Group, on, item.Revision, open.Transfers, open.TransferTo)
		}
	}
}

// roomFor returns a worker with room for a task of a job whose turn has come, "" if tasks that last leave none.
func (s *simulation) roomFor(open openJob) string {
	done := s.jobs[open.Work.ID].done
	ready := func(step job.Step) bool {
		for _, earlier := range step.After {
			for k := range open.Work.Steps[earlier].Count {
				if !done[[2]int{earlier, k}] {
					return false
				}
			}
		}
		return true
	}
	for _, w := range s.workers {
		free := w.Capacity
		for _, r := range w.runs {
			free = free.Sub(r.need)
		}
		for i, step := range open.Work.Steps {
			for k := range step.Count {
				if ready(step) && !done[[2]int{i, k}] && !w.down && !w.Draining && (step.RequiredLabel == "" || w.HasLabel(step.RequiredLabel)) && step.Need.FitsIn(free) {
					return w.ID
				}
			}
		}
	}
	return ""
}
