package gateway

import (
	"encoding/json"
	"flag"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

var (
	simScheduleSeed  = flag.Uint64("sim-schedule-seed", 1, "first seed of TestScheduledJobsAcrossStoreOutages")
	simScheduleSeeds = flag.Int("sim-schedule-seeds", 4, "number of histories of TestScheduledJobsAcrossStoreOutages")
)

const (
	simScheduledJobs     = 40
	simOccurrences       = 7
	simScheduleInterval  = 4 * time.Second
	simScheduledDuration = 20 * time.Millisecond
)

// Guards against occurrences that run again after they have ended: the store goes down while they are written, and the VMs restart in
// turn later.
func TestScheduledJobsAcrossStoreOutages(t *testing.T) {
	for i := range *simScheduleSeeds {
		seed := *simScheduleSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(t, seed)
				s.durableShare = 1
				s.playSchedules()
			})
		})
	}
}

// playSchedules plays a history in which the store fails while every second occurrence is stored: at first it answers no call, though it
// carries out some writes, then it refuses writes until these occurrences are due, and then most of them.
func (s *simulation) playSchedules() {
	s.mu.Lock()
	for _, m := range s.machines {
		s.start(m)
	}
	s.mu.Unlock()
	time.Sleep(simWarmUp)
	var callers errgroup.Group
	submit := func(j *simJob) {
		callers.Go(func() error {
			s.runCaller(j)
			return nil
		})
	}
	first := time.Now().Add(6 * time.Second)
	s.mu.Lock()
	for _, zone := range s.zones {
		submit(s.newLastingJob(zone))
	}
	for range simScheduledJobs {
		submit(s.newScheduledJob(first))
	}
	s.mu.Unlock()
	for n := 1; n < simOccurrences; n += 2 {
		time.Sleep(time.Until(first.Add(time.Duration(n)*simScheduleInterval - scheduleLead)))
		s.failStores(storeSilent, simStoreTimeout+retryDelay)
		time.Sleep(simStoreTimeout + retryDelay)
		s.failStores(storeReadOnly, scheduleLead-simStoreTimeout)
		time.Sleep(scheduleLead - simStoreTimeout)
		s.failStores(storeRateLimited, 2*time.Second)
	}
	time.Sleep(time.Until(first.Add(simOccurrences*simScheduleInterval + time.Second)))
	for _, m := range s.machines {
		s.mu.Lock()
		s.stopPlanned(m, 200*time.Millisecond)
		s.mu.Unlock()
		time.Sleep(1300 * time.Millisecond)
	}
	time.Sleep(7 * time.Second)
	s.mu.Lock()
	s.ending = true
	s.checkScheduledJobs()
	s.mu.Unlock()
	s.end(&callers)
}

// checkScheduledJobs reports occurrences that have not run although their job is completed, and jobs that are still open.
func (s *simulation) checkScheduledJobs() {
	for id, j := range s.jobs {
		if strings.Contains(id, ".") || j.work.Schedule.Count == 0 {
			continue
		}
		if _, open := s.store.items[openJobsPrefix+id]; open {
			s.brokenJob = id
			s.fail("scheduled job %s has not ended", id)
		}
		var end endedJob
		if err := json.Unmarshal(s.store.items[endedJobsPrefix+id].Value, &end); err != nil || end.State != JobCompleted {
			continue // not accepted, or cancelled
		}
		for k := range j.work.Schedule.Count {
			if !s.jobs[job.OccurrenceID(id, k)].done[[2]int{0, 0}] {
				s.brokenJob = id
				s.fail("scheduled job %s is completed without occurrence %d", id, k)
			}
		}
		s.counts["completed"]++
	}
}

func (s *simulation) failStores(fault simStoreFault, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.machines {
		s.failStore(m, fault, d)
	}
}

// newLastingJob returns a job that keeps the leases of all workers of a zone.
func (s *simulation) newLastingJob(zone string) *simJob {
	j := s.newJob(zone)
	tasks := 0
	for _, w := range s.workers {
		if w.Zone == zone {
			tasks++
		}
	}
	j.lengths = []time.Duration{time.Hour}
	j.work.Steps = []job.Step{{Count: tasks, Lasting: true, MaxPerWorker: 1, MaxDisrupted: 1, Need: worker.Resources{MilliCores: 1000, MemoryMiB: 64}}}
	return j
}

// newScheduledJob returns a job with one short task in each occurrence.
func (s *simulation) newScheduledJob(first time.Time) *simJob {
	j := s.newJob(s.zones[s.rand.IntN(len(s.zones))])
	j.lengths = []time.Duration{simScheduledDuration}
	j.work.Steps = []job.Step{{Count: 1, Estimate: simScheduledDuration, Need: worker.Resources{MilliCores: 1000, MemoryMiB: 64}}}
	j.work.Schedule = job.Schedule{Count: simOccurrences, First: first, Interval: simScheduleInterval}
	for k := 1; k < simOccurrences; k++ {
		occurrence := *j
		occurrence.work.ID, occurrence.done = job.OccurrenceID(j.work.ID, k), map[[2]int]bool{}
		s.jobs[occurrence.work.ID] = &occurrence
	}
	return j
}
