package placement

import (
	"testing"
	"time"

	"samphireplank.example/samphireplank/worker"
)

// Guards against a next holder that renews a worker's lease for a lasting task and so prolongs the run of a job that no VM has resumed.
func TestLeaseForLastingTaskProlongsRunOfLostVM(t *testing.T) {
	now := time.Now()
	s := New(Config{Fence: 2, Rules: DefaultRules(), Restoring: true, LongRunningJobs: []string{"00000000000000aa"}})
	effects := s.Update(now, WorkerList{Workers: []worker.Worker{{ID: "w", Service: "s", Address: "w:1", Zone: "a", Capacity: worker.Resources{MilliCores: 64000, MemoryMiB: 1 << 18}, Incarnation: 1}}})
	report := worker.Report{Clock: time.Hour, Incarnation: 1, Running: []worker.ActiveRun{
		{Run: worker.Run{Task: "00000000000000aa.0.0.0", Number: 1}}, {Run: worker.Run{Task: "00000000000000bb.0.0.0", Number: 1}},
	}}
	polls := 0
	for _, e := range effects {
		p, ok := e.(PollWorker)
		if !ok {
			continue
		}
		polls++
		for _, next := range s.Update(now.Add(time.Millisecond), PollResult{Order: p.Order, SentAt: now, Report: report}) {
			if renewal, ok := next.(PollWorker); ok && renewal.Order.Lease > 0 {
				t.Errorf("the lease is renewed by %v while the run of a job that may have lost its VM is listed", renewal.Order.Lease-report.Clock)
			}
		}
	}
	if polls != 1 {
		t.Fatalf("%d polls, want 1", polls)
	}
}
