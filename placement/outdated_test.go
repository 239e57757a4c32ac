package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// Guards against a holder that goes on by what it knew before another holder had the group: the VM of a job comes back to
// it with a job that runs on a worker which the first holder has read before.
func TestOutdatedHolderTakesJobBack(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 2)
	h := &history{simGroup: sg}
	sg.run(20 * time.Millisecond) // the first scheduler has read its workers and sends nothing from now on
	first := sg.scheduler
	sg.replaceScheduler()
	key := sg.submitOneTask("00000000000000aa", time.Second, true)
	sg.run(200 * time.Millisecond)
	is.Equal(sg.alive["00000000000000aa.0.0.0"], 1)
	j := sg.jobs[key]
	second := sg.currentFence()
	sg.step(sg.scheduler, HandOver{})
	progress := sg.verdicts[key].(HandedOver).Progress
	delete(sg.jobs, key)

	sg.scheduler = first
	simSequence++
	again := SubmissionKey{Sequence: simSequence}
	sg.step(first, Submit{Key: again, Work: j.work, Policy: j.policy, Budget: 5 * time.Second, Resumed: true, Progress: progress, Fence: second})
	verdict := sg.verdicts[again].(HandedOver)
	is.True(verdict.NotAccepted)
	is.Equal(verdict.Progress, progress)
	is.True(sg.fenced) // its VM claims the group anew
	sg.replaceScheduler()
	h.resubmit(j, verdict.Progress)
	sg.run(4 * time.Second) // simGroup fails the test if a task runs twice at a time
	is.True(!sg.jobs[SubmissionKey{Sequence: simSequence}].ended.IsZero())
}

// Guards against the report of a holder that is outdated without knowing it: its own start, which a worker rejects since
// another holder had the group in between, hides the run that this holder had started.
func TestFencedHolderReportsOutdatedProgress(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 2)
	h := &history{simGroup: sg}
	sg.run(20 * time.Millisecond) // the first scheduler has read its workers and sends nothing from now on
	first := sg.scheduler
	sg.replaceScheduler()
	sg.run(40 * time.Millisecond)
	sg.submitOneTask("00000000000000bb", 100*time.Millisecond, false) // on the worker that is preferred while both are idle
	key := sg.submitOneTask("00000000000000aa", 1500*time.Millisecond, false)
	sg.run(200 * time.Millisecond)
	is.Equal(len(sg.workers["w01"].runs), 1)
	j := sg.jobs[key]
	delete(sg.jobs, key)
	second := sg.scheduler

	sg.scheduler = first // the second holder is lost, and the job returns to the first one
	h.resubmit(j, Progress{})
	outdated := SubmissionKey{Sequence: simSequence}
	sg.run(210 * time.Millisecond)
	handedOver, ok := sg.verdicts[outdated].(HandedOver)
	is.True(ok)
	delete(sg.jobs, outdated)
	sg.workers["w01"].unreachable = true
	sg.scheduler = second
	sg.replaceScheduler()
	h.resubmit(j, handedOver.Progress)
	sg.run(1200 * time.Millisecond) // simGroup fails the test if a task runs twice at a time
	is.Equal(sg.generations, 3)
}

// lostHolder plays a holder of durable jobs that is replaced without knowing it: it reaches the worker w00 only, which the next
// holder can't reach, and its permit ends as late as evidence from the moment of the take-over allows. It is driven on beside
// the next holder.
func (sg *simGroup) lostHolder() *Scheduler {
	lost := sg.scheduler.(*Scheduler)
	sg.step(lost, DurablePermit{Until: sg.now.Add(permitOfEvidence)})
	sg.workers["w00"].unreachable = true
	sg.replaceScheduler() // it sends its first orders at once
	sg.workers["w00"].unreachable = false
	sg.cutOff = map[updater]*simWorker{lost: sg.workers["w01"], sg.scheduler: sg.workers["w00"]}
	sg.driveBeside(lost)
	return lost
}

// driveBeside drives a scheduler that was replaced.
func (sg *simGroup) driveBeside(lost *Scheduler) {
	sg.step(lost, WorkerList{Workers: []worker.Worker{sg.workers["w00"].Worker, sg.workers["w01"].Worker}})
	sg.step(lost, Tick{})
	sg.after(50*time.Millisecond, func() { sg.driveBeside(lost) })
}

// permitOfEvidence is the permit that the gateway grants for evidence of the current moment, see gateway.durablePermitDuration.
const permitOfEvidence = 2400 * time.Millisecond

// runsOn reports whether a task of the job runs on a worker.
func (sg *simGroup) runsOn(id, workerID string) bool {
	return sg.workers[workerID].runs[id+".0.0.0"] != nil
}

// Guards against a second run of a durable job's task: a lost holder that does not know that it was replaced renews the
// lease of a worker that the next holder can't reach.
func TestNextHolderStartsDurableTaskWhileLostHolderMayAct(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 2)
	sg.run(20 * time.Millisecond)
	sg.workers["w01"].unreachable = true // so that the task runs on w00
	id := sg.storeJob(jobClass{route: "caller", cores: 40000, attempts: 3, length: 20 * time.Second}, 1)
	sg.run(300 * time.Millisecond)
	sg.workers["w01"].unreachable = false
	sg.runUntil(sg.now.Add(time.Second))
	is.True(sg.runsOn(id, "w00"))
	takeOver := sg.now
	sg.lostHolder()
	sg.runUntil(takeOver.Add(permitOfEvidence))
	is.True(sg.runsOn(id, "w00"))              // work goes on as long as the permit
	sg.runUntil(takeOver.Add(4 * time.Second)) // simGroup fails the test if a task runs twice at a time
	is.True(!sg.runsOn(id, "w00") && sg.runsOn(id, "w01"))
}

// Guards against a second run of a durable job's task that was stored after the take-over: the lost holder hears of the job from
// the VM that took it, and may still start it.
func TestLostHolderStartsDurableTaskBesideNextHolder(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 2)
	sg.run(500 * time.Millisecond)
	takeOver := sg.now
	lost := sg.lostHolder()
	sg.runUntil(takeOver.Add(1500 * time.Millisecond))
	c := jobClass{route: "caller", cores: 20000, attempts: 3, length: 20 * time.Second}
	id := sg.storeJob(c, 1)
	sg.step(lost, sg.stored[id].Submit)
	sg.runUntil(takeOver.Add(2 * time.Second))
	is.True(sg.runsOn(id, "w00"))
	sg.runUntil(takeOver.Add(2600 * time.Millisecond))
	late := sg.storeJob(c, 1)
	sg.step(lost, sg.stored[late].Submit)
	sg.runUntil(takeOver.Add(5 * time.Second)) // simGroup fails the test if a task runs twice at a time
	is.True(!sg.runsOn(late, "w00"))           // its permit had ended
	is.True(!sg.runsOn(id, "w00") && sg.runsOn(id, "w01"))
}

// Guards against a second run of a durable job's task on a worker whose entry has disappeared: the next holder forgets it while a
// lost holder may renew its lease.
func TestNextHolderForgetsRemovedWorkerOfDurableTask(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 2)
	sg.run(20 * time.Millisecond)
	sg.workers["w01"].unreachable = true // so that the task runs on w00
	id := sg.storeJob(jobClass{route: "caller", cores: 40000, attempts: 3, length: 20 * time.Second}, 1)
	sg.run(300 * time.Millisecond)
	sg.workers["w01"].unreachable = false
	sg.runUntil(sg.now.Add(time.Second))
	is.True(sg.runsOn(id, "w00"))
	takeOver := sg.now
	removed := RemovedWorker{Worker: sg.workers["w00"].Worker, Elapsed: 2400 * time.Millisecond}
	sg.listed, sg.listedAt = WorkerList{Workers: []worker.Worker{sg.workers["w01"].Worker}, Removed: []RemovedWorker{removed}}, sg.now
	sg.workerIDs = []string{"w01"}
	sg.lostHolder()
	sg.runUntil(takeOver.Add(4 * time.Second)) // simGroup fails the test if a task runs twice at a time
	is.True(!sg.runsOn(id, "w00") && sg.runsOn(id, "w01"))
}

// Guards against a second run of a durable job's task on a worker that has restarted after the next holder had read it: its new
// incarnation knows no fence and takes the orders of the lost holder.
func TestRestartedWorkerTakesOrdersOfLostHolder(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 2)
	sg.workers["w01"].Labels = []string{"a", "near"}
	sg.listed = WorkerList{}
	sg.step(sg.scheduler, sg.list())
	sg.run(20 * time.Millisecond)
	takeOver := sg.now
	lost := sg.scheduler.(*Scheduler)
	sg.step(lost, DurablePermit{Until: sg.now.Add(permitOfEvidence)})
	sg.replaceScheduler()
	sg.cutOff = map[updater]*simWorker{lost: sg.workers["w01"]}
	sg.driveBeside(lost)
	sg.runUntil(takeOver.Add(200 * time.Millisecond)) // the next holder has read both workers
	sg.crash(sg.workers["w00"])
	w := job.Work{ID: "00000000000000aa", Spec: "s", Steps: []job.Step{{Count: 1, Estimate: 20 * time.Second, DataRack: "near", Need: worker.Resources{MilliCores: 20000}}}}
	sg.store(w, job.Policy{Service: "cue", MaxAttempts: 3, Stretch: 2, Target: time.Minute}, 20*time.Second)
	sg.step(lost, sg.stored[w.ID].Submit)
	sg.runUntil(takeOver.Add(4 * time.Second)) // simGroup fails the test if a task runs twice at a time
	is.True(sg.runsOn(w.ID, "w01"))
}

// Guards against a second run of a durable job's task whose worker is not in the next holder's list, since it has only just
// registered.
func TestNextHolderDoesNotKnowTheWorkerOfDurableTask(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 2)
	sg.setList(sg.newestListed(20))
	sg.workers["w00"].Draining = true // so that the task runs on the newest worker
	sg.setList(sg.newestListed(20))
	sg.run(20 * time.Millisecond)
	id := sg.storeJob(jobClass{route: "caller", cores: 40000, attempts: 3, length: 20 * time.Second}, 1)
	sg.run(300 * time.Millisecond)
	is.True(sg.runsOn(id, "w01"))
	sg.workers["w00"].Draining = false
	listed := sg.newestListed(20)
	listed.Revision = 30
	sg.listed, sg.listedAt = WorkerList{Workers: []worker.Worker{sg.workers["w00"].Worker}, Added: map[string]int64{"w00": 10}, Revision: 19}, sg.now
	sg.claimRevision = 25
	sg.replaceScheduler()                                         // the earlier holder is lost without a report
	sg.after(500*time.Millisecond, func() { sg.setList(listed) }) // the next holder's list is 0.5 s behind
	sg.run(4 * time.Second)                                       // simGroup fails the test if a task runs twice at a time
	is.True(sg.runsOn(id, "w01"))                                 // adopted
}
