package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// submitOver submits a job of one task over a connection of a VM that knows of worker entries up to a revision.
func (sg *simGroup) submitOver(conn uint64, known int64, id string, resumed bool) SubmissionKey {
	simSequence++
	key := SubmissionKey{Conn: conn, Sequence: simSequence}
	sent := sg.now
	if before := sg.knownJobs[id]; before != nil {
		sent = before.sent
	}
	w := job.Work{ID: id, Steps: []job.Step{{Count: 1, Estimate: 1500 * time.Millisecond, Need: worker.Resources{MilliCores: 40000}}}}
	p := job.Policy{Route: "caller", Service: "cue", MaxAttempts: 3, Stretch: 1.6, Target: 10 * time.Second}
	sg.jobs[key] = &simJob{work: w, policy: p, sent: sent, length: 1500 * time.Millisecond}
	sg.knownJobs[id] = sg.jobs[key]
	sg.step(sg.scheduler, Submit{Key: key, Work: w, Policy: p, Age: sg.now.Sub(sent), Budget: 10 * time.Second, Resumed: resumed, Known: known})
	return key
}

// newestListed lists all workers, of which the last one has an entry with a given revision and the others an earlier one.
func (sg *simGroup) newestListed(revision int64) WorkerList {
	list := WorkerList{Added: map[string]int64{}, Revision: revision}
	for _, id := range sg.workerIDs {
		list.Workers = append(list.Workers, sg.workers[id].Worker)
		list.Added[id] = revision - 10
	}
	list.Added[sg.workerIDs[len(sg.workerIDs)-1]] = revision
	return list
}

// setList passes a list to the scheduler and keeps it for the next listInterval.
func (sg *simGroup) setList(list WorkerList) {
	sg.listed, sg.listedAt = list, sg.now
	sg.step(sg.scheduler, list)
}

// Guards against a second run of a task whose worker was removed from the list shortly before the holder was lost: the next
// holder forgets the worker before it has read it.
func TestNextHolderForgetsRemovedWorker(t *testing.T) {
	playUnlistedWorker(t, 2400*time.Millisecond)
}

// Guards against a second run of a task whose worker is not in the next holder's list, since it has only just registered.
func TestNextHolderDoesNotKnowTheWorker(t *testing.T) {
	playUnlistedWorker(t, 0)
}

// Guards against a second run of a task whose worker's entry expired long before the holder was lost, while the run went on.
func TestNextHolderForgetsWorkerRemovedLongBefore(t *testing.T) {
	playUnlistedWorker(t, 2600*time.Millisecond)
	playUnlistedWorker(t, 4900*time.Millisecond)
}

// playUnlistedWorker replaces the holder while a task runs on a worker whose entry was removed some time before, or is not
// known to the next holder if that is 0.
func playUnlistedWorker(t *testing.T, elapsed time.Duration) {
	t.Helper()
	is := is.New(t)
	sg := newSimGroup(t, 1, 2)
	sg.setList(sg.newestListed(20))
	sg.workers["w00"].Draining = true // so that the task runs on the newest worker
	sg.setList(sg.newestListed(20))
	sg.run(20 * time.Millisecond)
	key := sg.submitOver(1, 20, "00000000000000aa", false)
	sg.run(300 * time.Millisecond)
	is.Equal(len(sg.workers["w01"].runs), 1)
	delete(sg.jobs, key)
	sg.workers["w00"].Draining, sg.workers["w01"].unreachable = false, true
	list := WorkerList{Workers: []worker.Worker{sg.workers["w00"].Worker}, Added: map[string]int64{"w00": 10}, Revision: 19}
	if elapsed > 0 {
		list.Revision, list.Added["w01"] = 30, 20
		list.Removed = []RemovedWorker{{Worker: sg.workers["w01"].Worker, Elapsed: elapsed}}
	}
	sg.listed, sg.listedAt = list, sg.now
	sg.replaceScheduler() // the earlier holder is lost without a report
	key = sg.submitOver(2, 20, "00000000000000aa", true)
	sg.run(1700 * time.Millisecond) // simGroup fails the test if a task runs twice at a time
	is.True(sg.generations == 2)
	is.Equal(len(sg.workers["w00"].runs), 1) // started once no run of the lost holder can be left
	is.True(sg.jobs[key].ended.IsZero())
}

// Guards against a run on a worker that the next holder may not know: the VM of the job does not know it either, so that it
// can't tell.
func TestHolderUsesWorkerUnknownToTheVM(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 1)
	sg.setList(sg.newestListed(20))
	sg.run(20 * time.Millisecond)
	sg.submitOver(1, 19, "00000000000000aa", false)
	sg.run(300 * time.Millisecond)
	is.Equal(sg.starts, 0)
	sg.step(sg.scheduler, Tick{Known: map[uint64]int64{1: 20}}) // a heartbeat
	is.Equal(sg.starts, 1)
	sg.run(2400 * time.Millisecond)
	is.Equal(len(sg.workers["w00"].runs), 0)
	sg.setList(sg.newestListed(30)) // the worker has a new entry
	sg.submitOver(1, 0, "00000000000000bb", false)
	is.Equal(sg.starts, 1)
	sg.submitOver(0, 0, "00000000000000cc", false) // a job of the holder itself ends with it
	is.Equal(sg.starts, 2)
}

// Guards against a cost for each resumed job: the next holder's list is complete, and a worker that was removed before any run
// of the job can have started there does not answer.
func TestResumedJobWaitsForWorkerOfNoRun(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 2)
	sg.workers["w01"].unreachable = true
	list := WorkerList{Workers: []worker.Worker{sg.workers["w00"].Worker}, Added: map[string]int64{"w00": 10, "w01": 20}, Revision: 30}
	list.Removed = []RemovedWorker{{Worker: sg.workers["w01"].Worker, Elapsed: 5100 * time.Millisecond}}
	sg.listed, sg.listedAt = list, sg.now
	sg.replaceScheduler()
	sg.submitOver(1, 20, "00000000000000aa", true)
	sg.run(20 * time.Millisecond)
	is.Equal(len(sg.workers["w00"].runs), 1)
}

// Guards against a longer wait than for the missing change: the next holder has received the entry of the worker and has read
// the worker.
func TestResumedJobWaitsLongerThanForTheEntry(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 2)
	sg.listed, sg.listedAt = WorkerList{Workers: []worker.Worker{sg.workers["w00"].Worker}, Added: map[string]int64{"w00": 10}, Revision: 19}, sg.now
	sg.replaceScheduler()
	sg.submitOver(1, 20, "00000000000000aa", true)
	sg.run(200 * time.Millisecond)
	is.Equal(sg.starts, 0)
	sg.setList(sg.newestListed(20))
	sg.run(220 * time.Millisecond)
	is.Equal(sg.starts, 1)
}

// Guards against a second run of a task on a removed worker that the next holder has dropped without having read it: the lost
// holder goes on and renews its lease until the job is resumed.
func TestNextHolderDropsUnreadWorker(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 2)
	sg.setList(sg.newestListed(20))
	sg.workers["w00"].Draining = true
	sg.setList(sg.newestListed(20))
	sg.run(20 * time.Millisecond)
	sg.submitOver(1, 20, "00000000000000aa", false)
	sg.run(300 * time.Millisecond)
	w := sg.workers["w01"]
	is.Equal(len(w.runs), 1)
	for renewal := range 3 {
		sg.after(time.Duration(renewal)*400*time.Millisecond, func() { sg.extendLease(w, sg.clock(w)+900*time.Millisecond) })
	}
	sg.workers["w00"].Draining, w.unreachable = false, true
	sg.listed, sg.listedAt = WorkerList{
		Workers: []worker.Worker{sg.workers["w00"].Worker}, Removed: []RemovedWorker{{Worker: w.Worker, Elapsed: 2600 * time.Millisecond}},
		Added: map[string]int64{"w00": 10, "w01": 20}, Revision: 30,
	}, sg.now
	sg.replaceScheduler()
	sg.run(1690 * time.Millisecond) // the worker is dropped, its run goes on until 1.7 s or later
	is.Equal(len(sg.scheduler.(*Scheduler).workers), 1)
	is.Equal(len(w.runs), 1)
	sg.submitOver(2, 20, "00000000000000aa", true)
	sg.run(1900 * time.Millisecond) // simGroup fails the test if a task runs twice at a time
}

// Guards against a run of which a second VM of the job can't tell the next holder: it joins the job without knowing the worker.
func TestVMJoinsJobOnUnknownWorker(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 1)
	sg.setList(sg.newestListed(20))
	sg.run(20 * time.Millisecond)
	sg.submitOver(1, 20, "00000000000000aa", false)
	sg.run(100 * time.Millisecond)
	is.Equal(sg.starts, 1)
	joined := sg.submitOver(2, 19, "00000000000000aa", false)
	handedOver, ok := sg.verdicts[joined].(HandedOver)
	is.True(ok)
	is.Equal(handedOver.Progress.On[0][0], "w00")
	joined = sg.submitOver(2, 20, "00000000000000aa", false)
	sg.run(2 * time.Second)
	_, completed := sg.verdicts[joined].(Completed)
	is.True(completed)
}
