package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// submitOver submits a job of one task over a connection of a VM that knows of worker entries up to a revision.
func (sg *simGroup) submitOver(conn uint64, known int64, id string, resumed bool) SubmissionKey {
	return sg.submitLength(conn, known, id, resumed, 1500*time.Millisecond)
}

// submitLength is submitOver for a task of a given length.
func (sg *simGroup) submitLength(conn uint64, known int64, id string, resumed bool, length time.Duration) SubmissionKey {
	simSequence++
	key := SubmissionKey{Conn: conn, Sequence: simSequence}
	sent := sg.now
	if before := sg.knownJobs[id]; before != nil {
		sent = before.sent
	}
	w := job.Work{ID: id, Steps: []job.Step{{Count: 1, Estimate: 1500 * time.Millisecond, Need: worker.Resources{MilliCores: 40000}}}}
	p := job.Policy{Route: "caller", Service: "cue", MaxAttempts: 3, Stretch: 1.6, Target: 10 * time.Second}
	sg.jobs[key] = &simJob{work: w, policy: p, sent: sent, length: length}
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
	sg.submitLength(1, 20, "00000000000000aa", false, 5*time.Second)
	sg.run(300 * time.Millisecond)
	w := sg.workers["w01"]
	is.Equal(len(w.runs), 1)
	for renewal := range 8 {
		sg.after(time.Duration(renewal)*400*time.Millisecond, func() { sg.extendLease(w, sg.clock(w)+900*time.Millisecond) })
	}
	sg.workers["w00"].Draining, w.unreachable = false, true
	list := WorkerList{
		Workers: []worker.Worker{sg.workers["w00"].Worker}, Removed: []RemovedWorker{{Worker: w.Worker, Elapsed: 2600 * time.Millisecond}},
		Added: map[string]int64{"w00": 10, "w01": 20}, Revision: 30,
	}
	sg.lists = func() WorkerList { return list }
	sg.replaceScheduler()
	sg.run(3390 * time.Millisecond) // the worker is dropped, its run goes on until 4 s
	is.Equal(len(sg.scheduler.(*Scheduler).workers), 1)
	is.Equal(len(w.runs), 1)
	sg.submitLength(2, 20, "00000000000000aa", true, 5*time.Second)
	sg.run(3600 * time.Millisecond) // simGroup fails the test if a task runs twice at a time
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

// entryChange is a change of the worker list: a new entry of a worker, or its removal.
type entryChange struct {
	revision int64
	at       time.Time
	id       string
	removed  bool
}

// laggingView is what a VM knows of the worker list, whose changes it receives late.
type laggingView struct {
	lag    time.Duration
	seen   int         // number of changes received
	seenAt []time.Time // by change
}

// listHistory plays workers whose entries come and go while they run tasks, before VMs whose lists lag.
type listHistory struct {
	*history
	changes []entryChange
	views   []*laggingView // of the VM of the jobs and of the VMs that hold the group in turn
	holder  int
	conn    uint64
}

func (h *listHistory) change(id string, removed bool) {
	h.changes = append(h.changes, entryChange{int64(100 + len(h.changes)), h.now, id, removed})
}

// update lets a view receive the changes up to some time ago.
func (h *listHistory) update(v *laggingView) {
	if h.rand.IntN(10) == 0 {
		v.lag = time.Duration(h.rand.IntN(1200)) * time.Millisecond
	}
	upTo := h.now.Add(-v.lag)
	for v.seen < len(h.changes) && !h.changes[v.seen].at.After(upTo) {
		v.seen++
		v.seenAt = append(v.seenAt, h.now)
	}
	h.after(time.Duration(50+h.rand.IntN(250))*time.Millisecond, func() { h.update(v) })
}

// list returns the list of a view as a VM passes it to its scheduler.
func (h *listHistory) list(v *laggingView) WorkerList {
	list := WorkerList{Added: map[string]int64{}, RemovalsSince: h.start.Add(-time.Hour)}
	last, before := map[string]int{}, map[string]int{}
	for i, c := range h.changes[:v.seen] {
		list.Revision = c.revision
		before[c.id], last[c.id] = last[c.id], i
	}
	for _, id := range h.workerIDs {
		i, ok := last[id]
		switch {
		case !ok:
		case h.changes[i].removed:
			list.Removed = append(list.Removed, RemovedWorker{Worker: h.workers[id].Worker, Elapsed: h.now.Sub(v.seenAt[i])})
			list.Added[id] = h.changes[before[id]].revision
		default:
			list.Workers = append(list.Workers, h.workers[id].Worker)
			list.Added[id] = h.changes[i].revision
			if r := before[id]; r > 0 && h.changes[r].removed && v.seenAt[i].Sub(v.seenAt[r]) < h.rules.RemovalGrace && h.now.Sub(v.seenAt[i]) < RelistTime {
				for j := r; j >= 0; j-- {
					if c := h.changes[j]; c.id == id && !c.removed {
						list.Added[id] = c.revision
						break
					}
				}
			}
		}
	}
	return list
}

// newest returns the newest entry that the VM of the jobs knows of.
func (h *listHistory) newest() int64 {
	newest := int64(1)
	for _, c := range h.changes[:h.views[0].seen] {
		if !c.removed {
			newest = max(newest, c.revision)
		}
	}
	return newest
}

func (h *listHistory) submitJob(j *simJob, resumed bool) {
	simSequence++
	key := SubmissionKey{Conn: h.conn, Sequence: simSequence}
	h.jobs[key], h.knownJobs[j.work.ID] = j, j
	h.step(h.scheduler, Submit{Key: key, Work: j.work, Policy: j.policy, Age: h.now.Sub(j.sent), Budget: 10 * time.Second, Resumed: resumed, Known: h.newest(), PermitUntil: h.now.Add(vmPermit)})
}

// vmPermit is a little longer than the permit that a message of a VM extends, see gateway.permitDuration. A lost holder goes on
// until then.
const vmPermit = 850 * time.Millisecond

// loseHolder replaces the holder without a report, and with some workers out of the next one's reach.
func (h *listHistory) loseHolder() {
	h.holder = 1 + h.holder%(len(h.views)-1)
	view := h.views[h.holder]
	h.lists = func() WorkerList { return h.list(view) }
	var left []*simJob
	for _, key := range h.withoutVerdict() {
		left = append(left, h.jobs[key])
		delete(h.jobs, key)
	}
	h.conn++
	for _, id := range h.workerIDs {
		if w := h.workers[id]; h.rand.IntN(3) == 0 {
			w.unreachable = true
			h.after(time.Duration(h.rand.IntN(2500))*time.Millisecond, func() { w.unreachable = false })
		}
	}
	h.replaceScheduler()
	for _, j := range left {
		h.after(time.Duration(h.rand.IntN(200))*time.Millisecond, func() { h.submitJob(j, true) })
	}
}

// entries lets the entry of a worker expire and come back while the worker goes on.
func (h *listHistory) entries(id string) {
	h.change(id, false)
	h.after(time.Duration(500+h.rand.IntN(7000))*time.Millisecond, func() {
		h.change(id, true)
		h.after(time.Duration(100+h.rand.IntN(6000))*time.Millisecond, func() { h.entries(id) })
	})
}

// Guards against two runs of a task at a time while the lists of the holder, of the next holder and of the VM of the jobs lag
// behind registrations and removals by random times.
func TestLaggingWorkerLists(t *testing.T) {
	for seed := range uint64(2 * *seeds) {
		func() {
			defer func() {
				if t.Failed() {
					t.Logf("seed %d", seed)
				}
			}()
			playLaggingLists(t, seed)
		}()
	}
}

// playLaggingLists plays a history of 15 s.
func playLaggingLists(t *testing.T, seed uint64) {
	h := &listHistory{history: &history{simGroup: newSimGroup(t, seed, 5), length: 15 * time.Second}, conn: 1, holder: 1}
	h.change("", true) // so that the revisions and indexes of workers' changes are above 0
	for range 4 {
		v := &laggingView{}
		h.views = append(h.views, v)
		h.update(v)
	}
	for _, id := range h.workerIDs {
		h.after(time.Duration(h.rand.IntN(3000))*time.Millisecond, func() { h.entries(id) })
	}
	h.lists = func() WorkerList { return h.list(h.views[1]) }
	h.replaceScheduler()
	var heartbeat func()
	heartbeat = func() {
		h.step(h.scheduler, Tick{Known: map[uint64]int64{h.conn: h.newest()}, Permits: Permits{h.conn: h.now.Add(vmPermit)}})
		h.after(150*time.Millisecond, heartbeat)
	}
	h.after(0, heartbeat)
	for i := range 60 {
		h.atRandomTime(func() {
			length := time.Duration(200+h.rand.IntN(2000)) * time.Millisecond
			w := job.Work{ID: fmt.Sprintf("%016x", i+1), Spec: "s", BestEffort: true, Steps: []job.Step{{Count: 1 + h.rand.IntN(3), Estimate: length, Need: worker.Resources{MilliCores: 20000}}}}
			p := job.Policy{Route: "caller", Service: "cue", MaxAttempts: 9, Stretch: 3, Target: 5 * time.Second}
			h.submitJob(&simJob{work: w, policy: p, sent: h.now, length: length}, false)
		})
	}
	for range 6 {
		h.atRandomTime(h.loseHolder)
	}
	h.run(h.length + 5*time.Second) // simGroup fails the test if a task runs twice at a time
	if h.starts == 0 || h.generations != 8 {
		t.Fatalf("%d starts, %d holders", h.starts, h.generations)
	}
}
