package placement

import (
	"flag"
	"sort"
	"testing"
	"time"
)

// seeds is the number of random histories; a long run takes thousands.
var seeds = flag.Int("seeds", 60, "number of random histories that TestRandomHistories plays")

// history is a random sequence of faults over a load.
type history struct {
	*simGroup
	length time.Duration
}

func (h *history) atRandomTime(f func()) {
	h.after(time.Duration(h.rand.Int64N(int64(h.length))), f)
}

// faultOnWorker applies a fault to a random worker for a random time.
func (h *history) faultOnWorker(set func(w *simWorker, on bool)) {
	h.atRandomTime(func() {
		w := h.workers[h.workerIDs[h.rand.IntN(len(h.workerIDs))]]
		set(w, true)
		h.after(time.Duration(200+h.rand.IntN(4000))*time.Millisecond, func() { set(w, false) })
	})
}

// withoutVerdict returns the submissions without a verdict, oldest first.
func (h *history) withoutVerdict() []SubmissionKey {
	var keys []SubmissionKey
	for key := range h.jobs {
		if h.verdicts[key] == nil {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].Sequence < keys[j].Sequence })
	return keys
}

// changeHolder replaces the holder; entry VMs resume their jobs at the new one after a delay.
func (h *history) changeHolder() {
	planned := h.rand.IntN(2) == 0
	before := h.scheduler
	resume := map[SubmissionKey]Progress{}
	order := h.withoutVerdict()
	for _, key := range order {
		resume[key] = Progress{}
	}
	if planned {
		h.step(before, HandOver{})
		for _, key := range order {
			if handedOver, ok := h.verdicts[key].(HandedOver); ok {
				resume[key] = handedOver.Progress
			}
		}
	}
	h.replaceScheduler()
	for _, key := range order {
		progress := resume[key]
		j := h.jobs[key]
		if v, ok := h.verdicts[key].(NotRun); ok && v.Reason == ReasonHandedOver {
			delete(h.jobs, key)
			continue
		}
		delete(h.verdicts, key)
		delete(h.jobs, key)
		h.after(time.Duration(h.rand.IntN(700))*time.Millisecond, func() { h.resubmit(j, progress) })
	}
}

func (h *history) resubmit(j *simJob, progress Progress) { h.resubmitOver(0, j, progress, true) }

func (h *history) resubmitOver(conn uint64, j *simJob, progress Progress, resumed bool) {
	simSequence++
	key := SubmissionKey{Conn: conn, Sequence: simSequence}
	h.jobs[key] = &simJob{work: j.work, policy: j.policy, sent: h.now, length: j.length, targetEnd: j.targetEnd}
	h.step(h.scheduler, h.withoutSpec(Submit{Key: key, Work: j.work, Policy: j.policy, Age: h.now.Sub(j.sent), Budget: 5 * time.Second, Resumed: resumed, Progress: progress}))
}

// withdrawAndResubmit withdraws a job and submits it again, as a client does after its entry VM has died.
func (h *history) withdrawAndResubmit() {
	for _, key := range h.withoutVerdict() {
		j := h.jobs[key]
		h.step(h.scheduler, Withdraw{Key: key, Reason: "test"})
		delete(h.jobs, key)
		h.after(1300*time.Millisecond, func() {
			simSequence++
			again := SubmissionKey{Sequence: simSequence}
			h.jobs[again] = &simJob{work: j.work, policy: j.policy, sent: h.now, length: j.length, targetEnd: h.now}
			// A refusal concerns this submission only, so starts of the earlier one do not count for the check.
			delete(h.started, j.work.ID)
			h.step(h.scheduler, Submit{Key: again, Work: j.work, Policy: j.policy, Budget: 5 * time.Second})
		})
		return
	}
}

func (h *history) play() {
	rate := 2 + 10*h.rand.Float64()
	h.submitAtRate(knot, rate*0.25, 0, h.length)
	h.submitAtRate(grain, rate*0.05, 0, h.length)
	h.submitAtRate(quote, rate*0.7, 0, h.length)
	if h.rand.IntN(2) == 0 {
		h.storeRandomJobs(rate * 0.3)
	}
	for range h.rand.IntN(8) {
		switch h.rand.IntN(8) {
		case 0:
			h.faultOnWorker(func(w *simWorker, on bool) { w.unreachable = on })
		case 1:
			h.faultOnWorker(func(w *simWorker, on bool) { w.responsesLost = on })
		case 2:
			h.faultOnWorker(func(w *simWorker, on bool) { w.noProgress = on })
		case 3:
			h.faultOnWorker(func(w *simWorker, on bool) { w.failing = on })
		case 4:
			h.faultOnWorker(func(w *simWorker, on bool) {
				w.delayedStarts = 0
				if on {
					w.delayedStarts = 0.3
				}
			})
		case 5:
			h.atRandomTime(func() { h.crash(h.workers[h.workerIDs[h.rand.IntN(len(h.workerIDs))]]) })
		case 6:
			h.atRandomTime(h.changeHolder)
		case 7:
			h.atRandomTime(h.withdrawAndResubmit)
		}
	}
	h.run(h.length + 12*time.Second)
	for key := range h.jobs {
		if h.verdicts[key] == nil {
			h.logDecisions(h.jobs[key].work.ID)
			h.t.Fatalf("job %s has no verdict 12 s after the end of the load", h.jobs[key].work.ID)
		}
	}
	h.checkStored()
	if jobs, _, runs := h.scheduler.(*Scheduler).Stats(); jobs > 0 || runs > 0 {
		h.t.Fatalf("%d jobs and %d runs are left 12 s after the end of the load", jobs, runs)
	}
}

// Guards against two runs of a task at a time, refusals after a start, second verdicts and jobs without a verdict,
// under random worker faults, holder changes and resubmissions. On a failure the seed is logged.
func TestRandomHistories(t *testing.T) {
	for seed := range uint64(*seeds) {
		h := &history{simGroup: newSimGroup(t, seed, 6), length: 8 * time.Second}
		func() {
			defer func() {
				if t.Failed() {
					t.Logf("seed %d", seed)
				}
			}()
			h.play()
		}()
	}
}
