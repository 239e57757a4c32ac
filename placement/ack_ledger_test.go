package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// storeManyRuns returns a worker with more runs of durable jobs than it can list ends at a time.
func storeManyRuns(t *testing.T) (sg *simGroup, w *simWorker) {
	sg = newSimGroup(t, 7, 1)
	sg.run(20 * time.Millisecond)
	small := grain
	small.cores = 60
	for range 8 {
		sg.storeJob(small, 100)
	}
	sg.run(400 * time.Millisecond)
	w = sg.workers["w00"]
	if len(w.runs) <= 600 {
		t.Fatalf("%d runs are too few", len(w.runs))
	}
	return sg, w
}

// endAll ends all runs of a worker as done.
func (sg *simGroup) endAll(w *simWorker) {
	for task := range w.runs {
		sg.endRun(w, task, worker.Done)
	}
}

// Guards against tasks that run twice because their ends stand behind the 500 that a worker lists at a time.
func TestEndBehindCutListIsNotLost(t *testing.T) {
	sg, w := storeManyRuns(t)
	w.unreachable = true
	sg.endAll(w)
	sg.run(900 * time.Millisecond) // less than the lease
	w.unreachable = false
	sg.run(9 * time.Second)
	sg.checkStored()
}

// Guards against tasks that a new holder runs again because their ends stand behind the 500 that a worker lists at a time.
func TestEndBehindCutListIsNotLostByNextHolder(t *testing.T) {
	sg, w := storeManyRuns(t)
	sg.replaceScheduler()
	sg.endAll(w)
	sg.run(9 * time.Second)
	sg.checkStored()
}

// Guards against a holder without the store that acknowledges ends of durable jobs which it has never read.
func TestHolderWithoutStoreAcknowledgesNoUnknownEnd(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 8, 2)
	for _, w := range sg.workers {
		w.sequence = 1000 // ends of its life so far, which are acknowledged
	}
	sg.run(20 * time.Millisecond)
	sg.maxStoreDelay = 1000_000 // the store is away
	short := quote
	short.cores = 1000
	id := sg.storeJob(short, 40)
	sg.run(500 * time.Millisecond)
	sg.replaceScheduler()
	sg.run(2 * time.Second)
	is.Equal(len(sg.acknowledged), 0)
	sg.maxStoreDelay = 5 // the store is back, and the group has a recorded holder
	sg.replaceScheduler()
	sg.run(8 * time.Second)
	is.Equal(sg.stored[id].state, DurableCompleted)
}

// Guards against a holder that acknowledges ends which it can't store because there are many of them, and is then lost.
func TestManyUnstoredEndsAreNotAcknowledged(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 9, 2)
	sg.run(20 * time.Millisecond)
	sg.maxStoreDelay = 1000_000
	short := quote
	short.cores, short.length = 2000, 100*time.Millisecond
	var ids []string
	for range 8 {
		ids = append(ids, sg.storeJob(short, 150))
	}
	sg.run(3 * time.Second)
	is.Equal(len(sg.acknowledged), 0)
	is.True(len(sg.doneTasks) > 2*maxUnackable)
	sg.maxStoreDelay = 5
	sg.replaceScheduler()
	sg.run(20 * time.Second)
	for _, id := range ids {
		is.Equal(sg.stored[id].state, DurableCompleted)
	}
}

// Guards against the acknowledgement of an end whose job was stored after the new holder had read the jobs, while the earlier one
// still ran it.
func TestEndOfJobStoredAfterReadIsNotLost(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 10, 1)
	sg.stored["none"] = &simStored{state: DurableCompleted}
	sg.run(20 * time.Millisecond)
	w := sg.workers["w00"]
	w.responsesLost, w.unreachable = true, true // so that the next holder reads it late
	earlier := sg.scheduler
	sg.replaceScheduler()
	sg.run(200 * time.Millisecond)

	next := sg.scheduler
	sg.scheduler = earlier
	id := sg.storeJob(quote, 1)
	sg.scheduler = next
	task := job.TaskName(id, 0, 0)
	w.runs[task] = &simRun{number: 1, startedAt: sg.now}
	sg.alive[task]++
	sg.endRun(w, task, worker.Done)
	w.responsesLost, w.unreachable = false, false
	sg.after(time.Second, func() { // by the watch of the open jobs
		if sg.stored[id].state == DurableOpen {
			sg.step(next, sg.stored[id].Submit)
		}
	})
	sg.run(5 * time.Second)
	is.Equal(sg.stored[id].state, DurableCompleted)
	is.True(sg.acknowledged[task])
}
