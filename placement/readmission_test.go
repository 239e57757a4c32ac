package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// barAll makes the tasks of jobs that can't be done fail until all workers are half-open.
func (sg *simGroup) barAll(t *testing.T, until time.Duration) {
	bad := quote
	bad.route, bad.attempts, bad.cores = poisonRoute, 100, 1000
	id := sg.storeJob(bad, 12)
	sg.run(until)
	for _, w := range sg.scheduler.(*Scheduler).sortedWorkers {
		if !w.health.halfOpen {
			t.Fatalf("worker %s is not half-open", w.ID)
		}
	}
	sg.cancelled[id] = true
	sg.step(sg.scheduler, CancelJob{Job: id})
	sg.run(until + 100*time.Millisecond)
}

// Guards against workers with a task that lasts which never get another task once jobs that can't be done have failed there.
func TestHalfOpenWorkerWithLastingTaskGetsTrial(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 12, 2)
	sg.run(20 * time.Millisecond)
	lasting := sg.storeLongRunning(4, 1) // 20 of 64 cores each
	sg.run(500 * time.Millisecond)
	_, on := sg.runningTasks(lasting)
	is.Equal(len(on), 2) // each worker has some
	sg.barAll(t, 3*time.Second)
	small := quote
	small.cores = 4000
	id := sg.storeJob(small, 4)
	sg.run(13 * time.Second)
	is.Equal(sg.stored[id].state, DurableCompleted)
}

// Guards against workers that stay half-open for the failures of a job that fails everywhere.
func TestJobThatFailsEverywhereReadmitsWorkers(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 13, 3)
	sg.run(20 * time.Millisecond)
	bad := quote
	bad.route, bad.attempts, bad.cores = poisonRoute, 3, 1000
	first, second := sg.storeJob(bad, 1), sg.storeJob(bad, 1)
	sg.run(12 * time.Second)
	is.Equal(sg.stored[first].state, DurableFailed)
	is.Equal(sg.stored[second].state, DurableFailed)
	for _, w := range sg.scheduler.(*Scheduler).sortedWorkers {
		is.True(!w.health.halfOpen)
	}
}

// Guards against a group that refuses all jobs for good, since all its workers are half-open and idle.
func TestHalfOpenGroupAdmitsJobs(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 14, 2)
	sg.run(20 * time.Millisecond)
	sg.barAll(t, 3*time.Second)
	sg.run(12 * time.Second) // the ejections are over
	small := quote
	small.cores = 1000
	key := sg.submit(small)
	sg.run(14 * time.Second)
	_, completed := sg.verdicts[key].(Completed)
	is.True(completed)
}

// Guards against a worker that stays half-open for good since its trial is a task that lasts.
func TestLastingTrialReadmitsWorker(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 15, 1)
	sg.run(20 * time.Millisecond)
	sg.barAll(t, 3*time.Second)
	lasting := sg.storeLongRunning(1, 1)
	sg.run(12 * time.Second)
	n, _ := sg.runningTasks(lasting)
	is.Equal(n, 1)
	is.True(!sg.scheduler.(*Scheduler).sortedWorkers[0].health.halfOpen)
}

// Guards against a durable job that waits for good on a third worker whose runs never end.
func TestHangingRunIsMovedMoreThanTwice(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 16, 6)
	sg.run(20 * time.Millisecond)
	for _, w := range sg.workers {
		w.noProgress = true
	}
	id := sg.storeJob(quote, 1)
	sg.run(20 * time.Second)
	moves := 0
	for _, n := range sg.logs {
		if n.Event == "run-moved" {
			moves++
		}
	}
	is.True(moves > maxMoves)
	for _, w := range sg.workers {
		w.noProgress = false // of new runs
	}
	sg.run(80 * time.Second)
	is.Equal(sg.stored[id].state, DurableCompleted)
}
