package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// watchEffects records the effects of a type that the scheduler emits.
func watchEffects[E Effect](sg *simGroup) *[]E {
	list := &[]E{}
	sg.observe = append(sg.observe, func(e Effect) {
		if typed, ok := e.(E); ok {
			*list = append(*list, typed)
		}
	})
	return list
}

// Guards against a durable job that waits for good because the only workers of its group that fit are lost.
func TestStrandedJobRequestsAnotherGroup(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 20, 2)
	requests := watchEffects[RequestTransfer](sg)
	sg.lists = func() WorkerList { return WorkerList{Workers: []worker.Worker{sg.workers["w00"].Worker}} }
	sg.workers["w01"].Labels = []string{"b", "r1"}
	sg.run(20 * time.Millisecond)
	id := sg.storeJob(quote, 2)
	sg.run(2 * time.Second)
	is.Equal(sg.stored[id].state, DurableCompleted)
	is.Equal(len(*requests), 0)

	labelled := sg.stored[id].Work
	labelled.ID = "00000000000000ff"
	labelled.Steps[0].RequiredLabel = "b"
	sg.store(labelled, sg.stored[id].Policy, quote.length)
	sg.run(6 * time.Second)
	is.True(len(*requests) > 0)
	is.Equal((*requests)[0].Job, labelled.ID)
	is.Equal((*requests)[0].Fits, false)

	sg.step(sg.scheduler, TransferJob{Job: labelled.ID, Group: "other"})
	sg.lists = nil // the worker is back
	sg.run(10 * time.Second)
	is.True(!sg.started[labelled.ID]) // it may belong to the other group by now
	sg.step(sg.scheduler, JobTransferred{Job: labelled.ID})
	is.Equal(len(sg.scheduler.(*Scheduler).durableJobs), 0)
}

// Guards against a task that starts while a write of its job's transfer by an earlier scheduler may still take effect.
func TestJobBeingTransferredStartsNothing(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 21, 2)
	sg.run(20 * time.Millisecond)
	id := sg.storeJob(quote, 2)
	sg.run(2 * time.Second)
	again := sg.stored[id].Submit
	again.Work.ID, again.Resumed, again.Progress, again.TransferTo, again.Transfers = "00000000000000fe", true, Progress{}, "other", 2
	sg.knownJobs[again.Work.ID] = sg.knownJobs[id]
	sg.stored[again.Work.ID] = &simStored{Submit: again}
	saves := watchEffects[PersistJob](sg)
	sg.step(sg.scheduler, again)
	sg.run(4500 * time.Millisecond)
	is.True(!sg.started[again.Work.ID])
	is.True(len(*saves) > 0)
	is.Equal((*saves)[0].TransferTo, "other")
	is.Equal((*saves)[0].Transfers, 2)
}

// Guards against the transfer of a job whose run by an earlier holder may still be alive on a worker that was not read yet.
func TestTransferWaitsForRunsOfEarlierHolder(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 22, 1)
	sg.run(20 * time.Millisecond)
	long := grain
	long.length = 5 * time.Second
	id := sg.storeJob(long, 1)
	sg.run(200 * time.Millisecond)
	sg.workers["w00"].unreachable = true
	saves := watchEffects[PersistJob](sg)
	sg.replaceScheduler()
	for at := 300 * time.Millisecond; at < 3*time.Second; at += 100 * time.Millisecond {
		sg.run(at)
		sg.step(sg.scheduler, TransferJob{Job: id, Group: "other"})
	}
	is.Equal(len(*saves), 0)
	sg.run(4 * time.Second) // its lease has ended
	sg.step(sg.scheduler, TransferJob{Job: id, Group: "other"})
	is.Equal(len(*saves), 1)
	is.Equal((*saves)[0].TransferTo, "other")
}

// Guards against jobs that move to another group since their holder may start nothing while the store is away.
func TestNoTransferWhileHolderMayStartNothing(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 23, 2)
	requests := watchEffects[RequestTransfer](sg)
	sg.run(20 * time.Millisecond)
	sg.step(sg.scheduler, DurablePermit{Until: sg.now, Evidence: sg.now.Add(-time.Second)})
	id := sg.storeJob(quote, 2)
	sg.run(5 * time.Second)
	is.True(!sg.started[id])
	is.Equal(len(*requests), 0)
	sg.step(sg.scheduler, DurablePermit{Until: sg.now.Add(time.Minute), Evidence: sg.now})
	sg.run(7 * time.Second)
	is.Equal(sg.stored[id].state, DurableCompleted)
	is.Equal(len(*requests), 0)
}

// Guards against jobs that never ask for another group behind many that no group can run.
func TestManyStrandedJobsAllRequestAnotherGroup(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 24, 1)
	requests := watchEffects[RequestTransfer](sg)
	sg.run(20 * time.Millisecond)
	first := sg.storeJob(quote, 1)
	sg.run(2 * time.Second)
	const jobs = 200
	for i := range jobs {
		labelled := sg.stored[first].Work
		labelled.ID = fmt.Sprintf("%016x", 1<<40+i)
		labelled.Steps = []job.Step{labelled.Steps[0]}
		labelled.Steps[0].RequiredLabel = "nowhere"
		sg.store(labelled, sg.stored[first].Policy, quote.length)
	}
	sg.run(9 * time.Second)
	asked := map[string]bool{}
	for _, r := range *requests {
		asked[r.Job] = true
	}
	is.Equal(len(asked), jobs)
}
