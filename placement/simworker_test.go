package placement

import (
	"sort"
	"time"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

func (f *fleet) clock(w *simWorker) time.Duration { return f.now.Sub(f.start) + time.Hour + w.offset }

func (f *fleet) report(w *simWorker) worker.Report {
	return worker.Report{Clock: f.clock(w).Truncate(time.Millisecond), Incarnation: w.Incarnation}
}

func (f *fleet) reject(w *simWorker, reason worker.Reason) (worker.Report, error) {
	r := f.report(w)
	return r, &worker.RejectedError{Reason: reason, Report: r}
}

func (f *fleet) startOn(w *simWorker, o worker.StartOrder) (worker.Report, error) {
	if o.Fence < w.fence {
		return f.reject(w, worker.ReasonStaleFence)
	}
	w.fence = o.Fence
	if old := w.runs[o.Task]; old != nil && old.number == o.Number {
		f.extend(w, o.Lease)
		return f.report(w), nil
	}
	if o.Number <= w.highest[o.Task] {
		return f.reject(w, worker.ReasonStaleRun)
	}
	if o.Lease <= f.clock(w) {
		return f.reject(w, worker.ReasonLeaseExpired)
	}
	f.extend(w, o.Lease)
	j, need := f.jobOf(o.Task)
	if j == nil {
		f.t.Fatalf("task %s was never asked for", o.Task)
	}
	free := w.Capacity
	for _, r := range w.runs {
		free = free.Sub(r.need)
	}
	if !need.FitsIn(free) {
		return f.reject(w, worker.ReasonNoCapacity)
	}
	if f.alive[o.Task] > 0 {
		f.explain(j.work.ID)
		f.t.Fatalf("%v: two runs of task %s at a time, the second on %s", f.now.Sub(f.start), o.Task, w.ID)
	}
	f.checkStart(o)
	f.alive[o.Task]++
	f.begun[j.work.ID] = true
	w.token++
	r := &simRun{number: o.Number, need: need, began: f.now, length: time.Duration(float64(j.length) * w.pace), fails: w.failing || j.policy.Route == poisonRoute, token: w.token}
	w.runs[o.Task] = r
	if step := j.work.Steps[stepOf(o.Task)]; step.Gang {
		f.joinGang(w, o, r, step.Count)
	} else if step.Lasting {
		r.length = lastingStart // until it is at work
	} else if !w.stuck {
		f.after(r.length, func() {
			if w.runs[o.Task] == r && r.token == w.token || w.runs[o.Task] == r {
				outcome := worker.Done
				if r.fails {
					outcome = worker.Failed
				}
				f.end(w, o.Task, outcome)
			}
		})
	}
	return f.report(w), nil
}

// lastingStart is the time after which a task that lasts is at work.
const lastingStart = 50 * time.Millisecond

func stepOf(task string) int {
	_, step, _, _ := job.ParseTaskName(task)
	return step
}

func (f *fleet) jobOf(task string) (*simJob, worker.Resources) {
	id, step, _, ok := job.ParseTaskName(task)
	if !ok {
		return nil, worker.Resources{}
	}
	j := f.known[id]
	if j == nil {
		return nil, worker.Resources{}
	}
	return j, j.work.Steps[step].Need
}

func (f *fleet) end(w *simWorker, task string, outcome worker.Outcome) {
	r := w.runs[task]
	delete(w.runs, task)
	f.alive[task]--
	defer f.breakGang(r)
	w.sequence++
	w.highest[task] = max(w.highest[task], r.number)
	if outcome != worker.Done {
		f.wasted += f.now.Sub(r.began) * time.Duration(r.need.MilliCores) / 1000
	}
	if outcome == worker.Done {
		f.done[task] = true
	}
	w.ended = append(w.ended, worker.EndedRun{Sequence: w.sequence, Run: worker.Run{Task: task, Number: r.number}, Outcome: outcome})
	if w.waiting != nil {
		w.waiting()
	}
}

func (f *fleet) extend(w *simWorker, lease time.Duration) {
	most := f.clock(w) + time.Second
	w.lease = max(w.lease, min(lease, most))
	f.after(w.lease-f.clock(w), func() { f.lapse(w) })
}

func (f *fleet) lapse(w *simWorker) {
	if f.clock(w) < w.lease {
		return
	}
	tasks := make([]string, 0, len(w.runs))
	for task := range w.runs {
		tasks = append(tasks, task)
	}
	sort.Strings(tasks)
	for _, task := range tasks {
		f.end(w, task, worker.LeaseExpired)
	}
}

// crash loses everything that runs on a worker; it comes back with a new incarnation.
func (f *fleet) crash(w *simWorker) {
	for task, r := range w.runs {
		f.alive[task]--
		f.breakGang(r)
	}
	clear(w.runs)
	w.ended, w.sequence, w.fence, w.lease = nil, 0, 0, 0
	clear(w.highest)
	w.Incarnation++
	w.token++
}

func (f *fleet) stopOn(w *simWorker, o worker.StopOrder) (worker.Report, error) {
	if o.Fence < w.fence {
		return f.reject(w, worker.ReasonStaleFence)
	}
	w.fence = o.Fence
	w.highest[o.Task] = max(w.highest[o.Task], o.Number)
	if r := w.runs[o.Task]; r != nil && r.number == o.Number {
		f.checkStop(w, o)
		f.after(time.Duration(f.rand.IntN(50))*time.Millisecond, func() {
			if w.runs[o.Task] == r {
				f.end(w, o.Task, worker.Stopped)
			}
		})
	}
	return f.report(w), nil
}

func (f *fleet) hold(p stepper, o worker.PollOrder) {
	sent := f.now
	w := f.workers[o.ID]
	done := false
	finish := func(r worker.Report, err error) {
		if !done {
			done = true
			f.step(p, PollResult{Order: o, SentAt: sent, Report: r, Err: err})
		}
	}
	f.after(o.Wait+simTimeout, func() { finish(worker.Report{}, openError{}) })
	if w == nil || w.dark {
		return
	}
	f.after(simHop, func() {
		if w.dark {
			return
		}
		if o.Fence < w.fence {
			if !w.mute {
				f.after(simHop, func() { finish(f.reject(w, worker.ReasonStaleFence)) })
			}
			return
		}
		w.fence = o.Fence
		if o.Lease > 0 {
			f.extend(w, o.Lease)
		}
		for len(w.ended) > 0 && w.ended[0].Sequence <= o.AckedThrough {
			f.acknowledge(w.ended[0])
			w.ended = w.ended[1:]
		}
		replied := false
		reply := func() {
			if replied {
				return
			}
			replied = true
			w.waiting = nil
			r := f.report(w)
			r.Ended = append([]worker.EndedRun(nil), w.ended[:min(len(w.ended), 500)]...)
			for task, run := range w.runs {
				progress := 0
				if !w.stuck {
					progress = min(int(100*f.now.Sub(run.began)/max(run.length, 1)), 100)
				}
				r.Running = append(r.Running, worker.ActiveRun{Run: worker.Run{Task: task, Number: run.number}, Progress: progress})
			}
			sort.Slice(r.Running, func(i, j int) bool { return r.Running[i].Task < r.Running[j].Task })
			if !w.mute && !w.dark {
				f.after(simHop, func() { finish(r, nil) })
			}
		}
		if o.Wait == 0 || len(w.ended) > 0 {
			reply()
			return
		}
		w.waiting = reply
		f.after(o.Wait, reply)
	})
}
