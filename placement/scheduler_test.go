package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// submitOneTask submits a job of one task and returns its key.
func (sg *simGroup) submitOneTask(id string, length time.Duration, resumed bool) SubmissionKey {
	simSequence++
	key := SubmissionKey{Sequence: simSequence}
	w := job.Work{ID: id, Steps: []job.Step{{Count: 1, Estimate: length, Need: worker.Resources{MilliCores: 40000}}}}
	sg.submitWork(key, w, grain, length, resumed, Progress{})
	return key
}

// Guards against a job that is not answered as soon as it has ended.
func TestJobCompletes(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 6)
	sg.run(20 * time.Millisecond)
	key := sg.submitOneTask("00000000000000aa", 100*time.Millisecond, false)
	sg.run(time.Second)
	_, completed := sg.verdicts[key].(Completed)
	is.True(completed)
	took := sg.jobs[key].ended.Sub(sg.jobs[key].sent)
	is.True(took < 130*time.Millisecond) // 100 ms at a slowdown of at most 1.25, and three hops
}

// Guards against a second run of a task whose worker is unreachable: the task may run until the lease expires.
func TestUnreachableWorkerKeepsTaskUntilLeaseExpires(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 2)
	sg.run(20 * time.Millisecond)
	key := sg.submitOneTask("00000000000000aa", 1500*time.Millisecond, false)
	sg.run(400 * time.Millisecond)
	for _, w := range sg.workers {
		if len(w.runs) > 0 {
			w.responsesLost = true // it receives every order, so its runs live as long as its lease is renewed
		}
	}
	sg.run(5 * time.Second) // simGroup fails the test if a task runs twice at a time
	_, completed := sg.verdicts[key].(Completed)
	is.True(completed)
}

// Guards against a start on another worker while the first order may still be carried out.
func TestStartWithoutAnswer(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 3, 4)
	sg.run(20 * time.Millisecond)
	for _, w := range sg.workers {
		w.delayedStarts = 0.5
	}
	var keys []SubmissionKey
	for i := range 40 {
		sg.workers[sg.workerIDs[i%4]].responsesLost = i%3 == 0 // orders are carried out, but the responses are lost
		keys = append(keys, sg.submit(quote))
		sg.run(sg.now.Sub(sg.start) + 150*time.Millisecond)
		sg.workers[sg.workerIDs[i%4]].responsesLost = false
	}
	sg.run(30 * time.Second)
	for _, key := range keys {
		is.True(sg.verdicts[key] != nil)
	}
}

// Guards against jobs that wait for a whole lease after a start order was lost, as in incident inc-ff53: a stop that
// the worker answers settles the outcome.
func TestLostStartIsReplacedSoon(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 2)
	sg.run(20 * time.Millisecond)
	sg.workers["w00"].delayedStarts, sg.workers["w01"].delayedStarts = 1, 1
	key := sg.submitOneTask("00000000000000aa", 100*time.Millisecond, false)
	sg.run(130 * time.Millisecond) // both tries are lost
	sg.workers["w00"].delayedStarts, sg.workers["w01"].delayedStarts = 0, 0
	sg.run(3 * time.Second)
	_, completed := sg.verdicts[key].(Completed)
	is.True(completed)
	is.True(sg.jobs[key].ended.Sub(sg.jobs[key].sent) < 600*time.Millisecond)
}

// Guards against TWICE on clt-cues trouble-2: a job that is resumed after the adoption timeout must wait until its run
// under the earlier holder has ended.
func TestResumedAfterAdoptionWindow(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 4)
	sg.run(20 * time.Millisecond)
	sg.submitOneTask("00000000000000aa", 900*time.Millisecond, false)
	sg.run(100 * time.Millisecond)
	sg.replaceScheduler()
	// The timeout expires and the stop order is under way when the job arrives.
	sg.run(100*time.Millisecond + DefaultRules().AdoptionTimeout + 53*time.Millisecond)
	key := sg.submitOneTask("00000000000000aa", 900*time.Millisecond, true)
	sg.run(6 * time.Second)
	_, completed := sg.verdicts[key].(Completed)
	is.True(completed)
}

// Guards against lost work when a group changes its holder: runs whose jobs are resumed in time continue.
func TestHandOverAdoptsRuns(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 4)
	sg.run(20 * time.Millisecond)
	sg.submitOneTask("00000000000000aa", 900*time.Millisecond, false)
	sg.run(300 * time.Millisecond)
	sg.replaceScheduler()
	sg.run(330 * time.Millisecond)
	key := sg.submitOneTask("00000000000000aa", 900*time.Millisecond, true)
	sg.run(3 * time.Second)
	_, completed := sg.verdicts[key].(Completed)
	is.True(completed)
	is.Equal(sg.wastedCoreTime, time.Duration(0))
}

// Guards against TWICE on kuusepuu-blanks fresh-c301: a worker whose entry has expired may still run tasks of the
// earlier holder, so it is synced like the others.
func TestUnlistedWorkerIsSynced(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 2)
	sg.run(20 * time.Millisecond)
	sg.submitOneTask("00000000000000aa", 900*time.Millisecond, false)
	sg.run(100 * time.Millisecond)
	var busy, other worker.Worker
	for _, w := range sg.workers {
		if len(w.runs) > 0 {
			busy = w.Worker
		} else {
			other = w.Worker
		}
	}
	sg.generations++
	sg.scheduler = New(Config{Fence: sg.currentFence(), Rules: DefaultRules()})
	sg.listed, sg.listedAt = WorkerList{Workers: []worker.Worker{other}, Removed: []RemovedWorker{{Worker: busy, Elapsed: time.Second}}}, sg.now.Add(time.Hour)
	sg.step(sg.scheduler, sg.list())
	sg.tick(sg.scheduler)
	sg.run(150 * time.Millisecond)
	key := sg.submitOneTask("00000000000000aa", 900*time.Millisecond, true)
	sg.run(4 * time.Second)
	_, completed := sg.verdicts[key].(Completed)
	is.True(completed)
	is.Equal(sg.wastedCoreTime, time.Duration(0))
}

// Guards against TWICE on kuusepuu-blanks-grown trouble-2: a VM that had just started claimed a group after a zone
// partition and did not know the workers whose entries had expired.
func TestHolderDoesNotKnowAWorker(t *testing.T) {
	is := is.New(t)
	for _, planned := range []bool{true, false} {
		sg := newSimGroup(t, 1, 2)
		sg.run(20 * time.Millisecond)
		first := sg.submitOneTask("00000000000000aa", 900*time.Millisecond, false)
		sg.run(100 * time.Millisecond)
		var other worker.Worker
		for _, w := range sg.workers {
			if len(w.runs) == 0 {
				other = w.Worker
			}
		}
		progress := Progress{}
		if planned {
			sg.step(sg.scheduler, HandOver{})
			progress = sg.verdicts[first].(HandedOver).Progress
		}
		sg.generations++
		sg.scheduler = New(Config{Fence: sg.currentFence(), Rules: DefaultRules(), IncompleteList: !planned})
		sg.listed, sg.listedAt = WorkerList{Workers: []worker.Worker{other}}, sg.now.Add(time.Hour)
		sg.step(sg.scheduler, sg.list())
		sg.tick(sg.scheduler)
		sg.run(150 * time.Millisecond)
		simSequence++
		key := SubmissionKey{Sequence: simSequence}
		j := sg.jobs[first]
		delete(sg.jobs, first)
		sg.submitWork(key, j.work, grain, j.length, true, progress)
		sg.run(4 * time.Second)
		_, completed := sg.verdicts[key].(Completed)
		is.True(completed)
	}
}

// Guards against restarting a resumed task while an unreachable worker may still run it.
func TestResumedWhileWorkerIsUnreachable(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 2)
	sg.run(20 * time.Millisecond)
	sg.submitOneTask("00000000000000aa", 1400*time.Millisecond, false)
	sg.run(500 * time.Millisecond)
	for _, w := range sg.workers {
		if len(w.runs) > 0 {
			w.unreachable = true
		}
	}
	sg.replaceScheduler()
	sg.run(520 * time.Millisecond)
	key := sg.submitOneTask("00000000000000aa", 1400*time.Millisecond, true)
	sg.run(5 * time.Second)
	_, completed := sg.verdicts[key].(Completed)
	is.True(completed)
}

// Guards against orders of a holder that has been replaced.
func TestFencedSchedulerStops(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 3)
	old := sg.scheduler
	sg.run(20 * time.Millisecond)
	first := sg.submitOneTask("00000000000000aa", 900*time.Millisecond, false)
	sg.run(50 * time.Millisecond)
	sg.replaceScheduler()
	sg.run(900 * time.Millisecond)
	is.True(sg.fenced)
	_, moved := sg.verdicts[first].(HandedOver)
	is.True(moved)
	effects := old.Update(sg.now, Submit{Key: SubmissionKey{Sequence: 1 << 40}, Budget: time.Second})
	is.Equal(len(effects), 1)
	is.Equal(effects[0].(Reply).Verdict.(NotRun).Reason, ReasonHandedOver)
}

// Guards against runs that continue after their job is withdrawn, and against worker capacity that is lost with them.
func TestWithdrawnJobIsStopped(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 3)
	sg.run(20 * time.Millisecond)
	key := sg.submitOneTask("00000000000000aa", 3*time.Second, false)
	sg.run(300 * time.Millisecond)
	sg.step(sg.scheduler, Withdraw{Key: key, Reason: "test"})
	sg.run(500 * time.Millisecond)
	is.Equal(sg.alive["00000000000000aa.0.0.0"], 0)
	is.True(sg.scheduler.(*Scheduler).Idle())
}

// Guards against a second run when a client submits a job again while the first submission is still being stopped.
func TestSameJobAgain(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		sg := newSimGroup(t, seed, 3)
		sg.run(20 * time.Millisecond)
		first := sg.submitOneTask("00000000000000aa", 800*time.Millisecond, false)
		sg.run(300 * time.Millisecond)
		sg.step(sg.scheduler, Withdraw{Key: first, Reason: "test"})
		sg.run(305 * time.Millisecond)
		second := sg.submitOneTask("00000000000000aa", 800*time.Millisecond, false)
		sg.run(4 * time.Second)
		_, completed := sg.verdicts[second].(Completed)
		is.True(completed)
	}
}

// Guards against a job that is answered as failed without enough failed runs, and against more attempts than allowed.
func TestMaxAttempts(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 6)
	for _, w := range sg.workers {
		w.failing = true
	}
	sg.run(20 * time.Millisecond)
	key := sg.submitOneTask("00000000000000aa", 50*time.Millisecond, false)
	sg.run(8 * time.Second)
	_, failed := sg.verdicts[key].(Failed)
	is.True(failed)
	runs := 0
	for _, w := range sg.workers {
		runs += int(w.sequence)
	}
	is.Equal(runs, grain.attempts)
}

// Guards against a worker without progress that delays its jobs until their deadline.
func TestTasksMoveFromWorkerWithoutProgress(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 6)
	sg.workers["w02"].noProgress = true
	sg.run(20 * time.Millisecond)
	for range 60 {
		sg.submit(grain)
		sg.run(sg.now.Sub(sg.start) + 400*time.Millisecond)
	}
	sg.run(40 * time.Second)
	for _, v := range sg.verdicts {
		_, expired := v.(DeadlineExceeded)
		is.True(!expired) // no job of this load reaches its deadline
	}
}

// Guards against a worker that restarts under the same id: its runs are lost and its sequences start again.
func TestWorkerRestartsUnderSameID(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 5, 3)
	sg.run(20 * time.Millisecond)
	for range 20 {
		sg.submit(quote) // raises the sequences of ended runs
	}
	sg.run(4 * time.Second)
	key := sg.submitOneTask("00000000000000aa", 900*time.Millisecond, false)
	sg.run(4200 * time.Millisecond)
	for _, id := range sg.workerIDs {
		sg.crash(sg.workers[id])
	}
	sg.run(4300 * time.Millisecond)
	after := sg.submitOneTask("00000000000000bb", 100*time.Millisecond, false)
	sg.run(9 * time.Second)
	for _, k := range []SubmissionKey{key, after} {
		_, completed := sg.verdicts[k].(Completed)
		is.True(completed)
	}
	is.True(sg.jobs[after].ended.Sub(sg.jobs[after].sent) < 250*time.Millisecond)
}
