package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/worker"
)

// durableHolder is a holder of durable jobs with one worker, w1.
type durableHolder struct {
	*directScheduler
	entry worker.Worker
	poll  PollWorker // the last one
}

// newDurableHolder returns a holder whose first list has the incarnation 1 of w1, and which has read the given one.
func newDurableHolder(t *testing.T, incarnation int64) *durableHolder {
	d := &directScheduler{Scheduler: New(Config{Fence: 256, Rules: DefaultRules()}), t: t, now: time.Unix(1_700_000_000, 0), clock: time.Hour}
	h := &durableHolder{directScheduler: d, entry: worker.Worker{ID: "w1", Service: "cue", Address: "w1:1", Capacity: worker.Resources{MilliCores: 64000}, Incarnation: 1}}
	h.confirm(0)
	h.do(WorkerList{Workers: []worker.Worker{h.entry}})
	h.answer(incarnation, nil)
	return h
}

// confirm renews the permit by evidence of some time ago.
func (h *durableHolder) confirm(ago time.Duration) {
	h.update(DurablePermit{Until: h.now.Add(permitOfEvidence - ago), Evidence: h.now.Add(-ago)})
}

func (h *durableHolder) do(m Message) []Effect {
	effects := h.update(m)
	if p, ok := find(effects, func(PollWorker) bool { return true }); ok {
		h.poll = p
	}
	return effects
}

// answer lets an incarnation answer the last poll, and the polls after it if it is the first answer of that incarnation.
func (h *durableHolder) answer(incarnation int64, running []worker.ActiveRun) (effects []Effect) {
	for range 2 {
		effects = append(effects, h.do(PollResult{Order: h.poll.Order, SentAt: h.now, Report: worker.Report{Clock: h.clock, Incarnation: incarnation, Running: running}})...)
		h.after(time.Millisecond)
	}
	return effects
}

// submitDurableTask submits a durable job and reports whether its task starts within 100 ms.
func (h *durableHolder) submitDurableTask(id string) bool {
	work := oneTask(id, 10000)
	work.BestEffort = false
	effects := h.do(Submit{Work: work, Policy: directPolicy, Durable: true})
	for range 2 {
		if h.started(effects, id) {
			return true
		}
		h.after(50 * time.Millisecond)
		effects = h.do(Tick{})
	}
	return false
}

func (h *durableHolder) started(effects []Effect, id string) bool {
	_, ok := find(effects, func(s StartRun) bool { return s.Order.Task == id+".0.0.0" })
	return ok
}

// Guards against a restarted worker without durable tasks for good, and against one that gets them on evidence from before the
// restart was seen, when another holder may have read the earlier incarnation.
func TestRestartedWorkerNeedsLaterEvidence(t *testing.T) {
	is := is.New(t)
	h := newDurableHolder(t, 1)
	is.True(h.submitDurableTask("00000000000000aa"))
	h.after(100 * time.Millisecond)
	h.answer(2, nil)
	is.True(h.workers["w1"].synced)
	is.True(!h.submitDurableTask("00000000000000bb"))
	h.confirm(h.now.Sub(h.workers["w1"].incarnationAt) + time.Millisecond)
	is.True(!h.started(h.do(Tick{}), "00000000000000bb"))
	h.after(10 * time.Millisecond)
	h.confirm(0)
	is.True(h.started(h.do(Tick{}), "00000000000000bb"))
	h.after(10 * time.Millisecond)
	h.answer(3, nil) // again
	is.True(!h.submitDurableTask("00000000000000cc"))
}

// Guards against durable tasks on a worker that has restarted before its first response to this holder, but perhaps after the next
// one had read it: the holder's list has the earlier incarnation.
func TestWorkerRestartsBeforeFirstContact(t *testing.T) {
	is := is.New(t)
	h := newDurableHolder(t, 2)
	is.True(h.workers["w1"].synced)
	is.True(!h.submitDurableTask("00000000000000aa"))
	h.confirm(0)
	is.True(h.started(h.do(Tick{}), "00000000000000aa"))
}

// Guards against durable tasks on a worker that the holder first lists during its tenure, here under the id of another one: the next
// holder may have read its list before.
func TestNewWorkerNeedsLaterEvidence(t *testing.T) {
	is := is.New(t)
	h := newDurableHolder(t, 1)
	h.after(10 * time.Millisecond)
	h.entry.Address, h.entry.Incarnation = "w1:2", 2
	h.do(WorkerList{Workers: []worker.Worker{h.entry}})
	h.answer(2, nil)
	is.True(h.workers["w1"].synced)
	is.True(!h.submitDurableTask("00000000000000aa"))
	h.confirm(0)
	is.True(h.started(h.do(Tick{}), "00000000000000aa"))
}

// Guards against best-effort tasks on a worker that has moved to another address in its entry of the list, whose first revision VMs
// know: the next holder may have read it at the earlier address.
func TestMovedWorkerNeedsLaterEvidence(t *testing.T) {
	is := is.New(t)
	h := newDurableHolder(t, 1)
	h.after(10 * time.Millisecond)
	h.entry.Address, h.entry.Incarnation = "w1:2", 2
	h.do(WorkerList{Workers: []worker.Worker{h.entry}})
	h.answer(2, nil)
	is.True(h.workers["w1"].synced)
	is.True(!h.started(h.submit(0, "00000000000000aa", 10000), "00000000000000aa"))
	h.confirm(0)
	is.True(h.started(h.do(Tick{}), "00000000000000aa"))
}

// Guards against a durable task whose lease a lost holder renews on a worker that has restarted: an earlier holder started it
// there, and the next one had read the worker before.
func TestRestartedWorkerKeepsLeaseOfEarlierHolder(t *testing.T) {
	is := is.New(t)
	h := newDurableHolder(t, 1)
	work := oneTask("00000000000000aa", 10000)
	work.BestEffort = false
	running := []worker.ActiveRun{{Run: worker.Run{Task: "00000000000000aa.0.0.0", Number: 7}}}
	h.do(PollResult{Order: h.poll.Order, SentAt: h.now, Report: worker.Report{Clock: h.clock, Incarnation: 2}})
	h.do(PollResult{Order: h.poll.Order, SentAt: h.now, Report: worker.Report{Clock: h.clock, Incarnation: 2, Running: running}})
	h.do(Submit{Work: work, Policy: directPolicy, Durable: true, Resumed: true})
	is.True(h.workers["w1"].runs["00000000000000aa.0.0.0"] != nil)
	h.after(100 * time.Millisecond)
	h.answer(2, running)
	is.True(h.poll.Order.Lease <= h.clock)
	h.confirm(0)
	h.after(100 * time.Millisecond)
	h.answer(2, running)
	is.True(h.poll.Order.Lease > h.clock+500*time.Millisecond)
}

// jobOnRestartedWorker plays a holder that is replaced without knowing it: the next holder reads w00 and w01, then w00 restarts, and
// the lost holder, which doesn't use w01, sees that and starts the task of a best-effort job there.
func jobOnRestartedWorker(t *testing.T, address string) (sg *simGroup, lost updater, j *simJob, key SubmissionKey) {
	t.Helper()
	sg = newSimGroup(t, 1, 2)
	sg.workers["w01"].Labels = []string{"a", "near"} // so that the next holder uses it
	sg.listed = WorkerList{}
	sg.step(sg.scheduler, sg.list())
	sg.run(20 * time.Millisecond)
	lost = sg.scheduler
	sg.step(lost, DurablePermit{Until: sg.now.Add(permitOfEvidence), Evidence: sg.now})
	sg.replaceScheduler()
	sg.run(220 * time.Millisecond)
	sg.crash(sg.workers["w00"])
	sg.workers["w00"].Address = address
	list := WorkerList{Workers: []worker.Worker{sg.workers["w00"].Worker, sg.workers["w01"].Worker}}
	list.Workers[1].Draining = true
	sg.step(lost, list)
	sg.run(270 * time.Millisecond)
	j = &simJob{work: oneTask("00000000000000aa", 40000), policy: directPolicy, sent: sg.now, length: 3 * time.Second}
	j.work.Steps[0].DataRack = "near"
	sg.knownJobs[j.work.ID], key = j, SubmissionKey{Conn: 7, Sequence: 1}
	sg.step(lost, Submit{Key: key, Work: j.work, Policy: j.policy, Budget: 5 * time.Second, PermitUntil: sg.now.Add(750 * time.Millisecond)})
	sg.run(320 * time.Millisecond)
	return sg, lost, j, key
}

// Guards against a second run of a best-effort job's task on a worker that has restarted after the next holder had read it: its
// new incarnation takes the start of the lost holder, to which the VM of the job has sent messages after the restart.
func TestRestartedWorkerTakesJobOfLostHolder(t *testing.T) {
	for _, address := range []string{"w00:1", "w00:2"} {
		t.Run(address, func(t *testing.T) {
			is := is.New(t)
			sg, _, j, _ := jobOnRestartedWorker(t, address)
			sg.run(780 * time.Millisecond) // its VM has lost the link to the first holder
			(&history{simGroup: sg}).resubmit(j, Progress{})
			sg.run(2 * time.Second) // simGroup fails the test if a task runs twice at a time
			is.Equal(sg.alive[j.work.ID+".0.0.0"], 1)
		})
	}
}

// Guards against a second run of a best-effort job's task that the lost holder has reported as running on the new incarnation of a
// worker: the next holder takes the earlier one that it has read for that worker.
func TestReportNamesWorkerThatRestarted(t *testing.T) {
	for _, address := range []string{"w00:1", "w00:2"} {
		t.Run(address, func(t *testing.T) {
			is := is.New(t)
			sg, lost, j, key := jobOnRestartedWorker(t, address)
			sg.step(lost, HandOver{})
			progress := Progress{}
			switch v := sg.verdicts[key].(type) {
			case HandedOver:
				progress = v.Progress
			case NotRun:
			default:
				t.Fatalf("verdict %T", v)
			}
			(&history{simGroup: sg}).resubmit(j, progress)
			sg.run(2 * time.Second) // simGroup fails the test if a task runs twice at a time
			is.Equal(sg.alive[j.work.ID+".0.0.0"], 1)
		})
	}
}

// Guards against a second run of a task that the lost holder reports as not started: an order that it sent before must not reach
// the restarted worker.
func TestReportOfTaskThatIsNotStarted(t *testing.T) {
	is := is.New(t)
	sg, lost, j, _ := jobOnRestartedWorker(t, "w00:1")
	other := &simJob{work: oneTask("00000000000000bb", 40000), policy: directPolicy, sent: sg.now, length: 3 * time.Second}
	key := SubmissionKey{Conn: 7, Sequence: 2}
	sg.knownJobs[other.work.ID] = other
	sg.step(lost, Submit{Key: key, Work: other.work, Policy: other.policy, Budget: 5 * time.Second, PermitUntil: sg.now.Add(750 * time.Millisecond)})
	sg.run(340 * time.Millisecond) // w00 has no room for it
	sg.step(lost, HandOver{})
	_, notRun := sg.verdicts[key].(NotRun)
	is.True(notRun)
	sg.crash(sg.workers["w00"]) // which has room again
	(&history{simGroup: sg}).resubmit(other, Progress{})
	sg.run(2 * time.Second) // simGroup fails the test if a task runs twice at a time
	is.Equal(sg.alive[other.work.ID+".0.0.0"], 1)
	is.Equal(sg.alive[j.work.ID+".0.0.0"], 0)
}

// Guards against a best-effort task on a worker that has restarted at another address during the tenure, when another holder may
// have read its earlier incarnation: the VM of the job knew its earlier entry.
func TestWorkerRestartsAtAnotherAddress(t *testing.T) {
	is := is.New(t)
	h := newDurableHolder(t, 1)
	h.after(10 * time.Millisecond)
	h.entry.Address, h.entry.Incarnation = "w1:2", 2
	h.do(WorkerList{Workers: []worker.Worker{h.entry}})
	h.answer(2, nil)
	is.True(h.workers["w1"].synced)
	const id = "00000000000000aa"
	effects := h.do(Submit{Key: SubmissionKey{Conn: 7, Sequence: 1}, Work: oneTask(id, 10000), Policy: directPolicy, Budget: time.Minute, PermitUntil: h.now.Add(750 * time.Millisecond)})
	is.True(!h.started(effects, id))
	h.after(50 * time.Millisecond)
	is.True(!h.started(h.do(Tick{}), id))
	h.confirm(0)
	is.True(h.started(h.do(Tick{}), id))
}
