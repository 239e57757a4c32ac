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
	*fleet
	length time.Duration
}

func (h *history) at(f func()) {
	h.after(time.Duration(h.rand.Int64N(int64(h.length))), f)
}

// spell applies a fault to a worker for a while.
func (h *history) spell(set func(w *simWorker, on bool)) {
	h.at(func() {
		w := h.workers[h.ids[h.rand.IntN(len(h.ids))]]
		set(w, true)
		h.after(time.Duration(200+h.rand.IntN(4000))*time.Millisecond, func() { set(w, false) })
	})
}

// open returns the submissions without a verdict, oldest first.
func (h *history) open() []SubmissionKey {
	var keys []SubmissionKey
	for key := range h.jobs {
		if h.verdicts[key] == nil {
			keys = append(keys, key)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].Sequence < keys[j].Sequence })
	return keys
}

// replace puts a new holder in place of the present one; entry VMs resume their jobs there after a while.
func (h *history) replace() {
	planned := h.rand.IntN(2) == 0
	before := h.pool
	resume := map[SubmissionKey]Progress{}
	order := h.open()
	for _, key := range order {
		resume[key] = Progress{}
	}
	if planned {
		h.step(before, HandOver{})
		for _, key := range order {
			if moved, ok := h.verdicts[key].(HandedOver); ok {
				resume[key] = moved.Progress
			}
		}
	}
	h.newPool()
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

func (h *history) resubmit(j *simJob, progress Progress) { h.resubmitBy(0, j, progress, true) }

func (h *history) resubmitBy(link uint64, j *simJob, progress Progress, resumed bool) {
	simSequence++
	key := SubmissionKey{Conn: link, Sequence: simSequence}
	h.jobs[key] = &simJob{work: j.work, policy: j.policy, sent: h.now, length: j.length, objective: j.objective}
	h.step(h.pool, h.sent(Submit{Key: key, Work: j.work, Policy: j.policy, Age: h.now.Sub(j.sent), Budget: 5 * time.Second, Resumed: resumed, Progress: progress}))
}

// leave withdraws a job and sends it again as a client does whose entry VM died.
func (h *history) leave() {
	for _, key := range h.open() {
		j := h.jobs[key]
		h.step(h.pool, Withdraw{Key: key, Reason: "test"})
		delete(h.jobs, key)
		h.after(1300*time.Millisecond, func() {
			simSequence++
			again := SubmissionKey{Sequence: simSequence}
			h.jobs[again] = &simJob{work: j.work, policy: j.policy, sent: h.now, length: j.length, objective: h.now}
			// A refusal is true of this submission alone, so the earlier one does not count for the check.
			delete(h.begun, j.work.ID)
			h.step(h.pool, Submit{Key: again, Work: j.work, Policy: j.policy, Budget: 5 * time.Second})
		})
		return
	}
}

func (h *history) play() {
	rate := 2 + 10*h.rand.Float64()
	h.load(knot, rate*0.25, 0, h.length)
	h.load(grain, rate*0.05, 0, h.length)
	h.load(quote, rate*0.7, 0, h.length)
	if h.rand.IntN(2) == 0 {
		h.keepJobs(rate * 0.3)
	}
	for range h.rand.IntN(8) {
		switch h.rand.IntN(8) {
		case 0:
			h.spell(func(w *simWorker, on bool) { w.dark = on })
		case 1:
			h.spell(func(w *simWorker, on bool) { w.mute = on })
		case 2:
			h.spell(func(w *simWorker, on bool) { w.stuck = on })
		case 3:
			h.spell(func(w *simWorker, on bool) { w.failing = on })
		case 4:
			h.spell(func(w *simWorker, on bool) {
				w.late = 0
				if on {
					w.late = 0.3
				}
			})
		case 5:
			h.at(func() { h.crash(h.workers[h.ids[h.rand.IntN(len(h.ids))]]) })
		case 6:
			h.at(h.replace)
		case 7:
			h.at(h.leave)
		}
	}
	h.run(h.length + 12*time.Second)
	for key := range h.jobs {
		if h.verdicts[key] == nil {
			h.explain(h.jobs[key].work.ID)
			h.t.Fatalf("job %s has no verdict 12 s after the end of the load", h.jobs[key].work.ID)
		}
	}
	h.checkStored()
	if jobs, _, runs := h.pool.(*Scheduler).Stats(); jobs > 0 || runs > 0 {
		h.t.Fatalf("%d jobs and %d runs are left 12 s after the end of the load", jobs, runs)
	}
}

// Guards against two runs of a task at a time, refusals after a start, second verdicts and jobs without a verdict, under
// random faults of workers, changes of the holder and clients that send again. The seed of a failure stands in its name.
func TestRandomHistories(t *testing.T) {
	for seed := range uint64(*seeds) {
		h := &history{fleet: newFleet(t, seed, 6), length: 8 * time.Second}
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
