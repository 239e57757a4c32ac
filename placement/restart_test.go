package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// restarted is the report of a worker that has restarted under its id.
func restarted(born int64) worker.Report {
	return worker.Report{Clock: time.Millisecond, Incarnation: born}
}

// Guards against runs that start again beside themselves: a worker whose wall clock was set back restarts, and its list
// entry of before, which is up to two seconds old, counts as another restart.
func TestEntryOfEarlierIncarnationAfterClockStep(t *testing.T) {
	is := is.New(t)
	d := newDirectScheduler(t)
	list := WorkerList{}
	for _, id := range []string{"w1", "w2"} {
		list.Workers = append(list.Workers, worker.Worker{ID: id, Service: "cue", Address: id + ":1", Capacity: worker.Resources{MilliCores: 64000}, Incarnation: 1000})
	}
	d.Scheduler = New(Config{Fence: 256, Rules: DefaultRules()})
	report := func(born int64) worker.Report { return worker.Report{Clock: d.clock, Incarnation: born} }
	for _, e := range d.update(list) {
		if p, ok := e.(PollWorker); ok {
			d.update(PollResult{Order: p.Order, SentAt: d.now, Report: report(1000)})
		}
	}
	d.after(10 * time.Millisecond) // w1 restarts with its clock set back by 100 ms
	target := worker.Target{ID: "w1", Address: "w1:1"}
	effects := d.update(PollResult{Order: worker.PollOrder{Target: target}, SentAt: d.now, Report: report(900)})
	poll, ok := find(effects, func(p PollWorker) bool { return p.Order.ID == "w1" })
	is.True(ok)
	d.update(PollResult{Order: poll.Order, SentAt: d.now, Report: report(900)})
	start, ok := find(d.submit(0, "00000000000000aa", 40000), func(s StartRun) bool { return s.Order.ID == "w1" })
	is.True(ok)
	d.update(StartResult{Order: start.Order, SentAt: d.now, Report: report(900)})
	d.after(50 * time.Millisecond)
	effects = d.update(list) // w1 writes its entry about every 1.5 s
	_, again := find(effects, func(s StartRun) bool { return s.Order.Task == "00000000000000aa.0.0.0" })
	is.True(!again)
}

// giveUpStart lets both tries of a start on w1 go unanswered and returns the order to stop the run.
func giveUpStart(t *testing.T, d *directScheduler) (first StartRun, stop StopRun) {
	t.Helper()
	is := is.New(t)
	first, ok := find(d.submit(0, "00000000000000aa", 40000), func(s StartRun) bool { return s.Order.ID == "w1" })
	is.True(ok)
	d.after(60 * time.Millisecond)
	second, ok := find(d.update(StartResult{Order: first.Order, SentAt: d.now.Add(-60 * time.Millisecond), Err: noResponseError{}}), func(StartRun) bool { return true })
	is.True(ok)
	d.after(60 * time.Millisecond)
	stop, ok = find(d.update(StartResult{Order: second.Order, SentAt: d.now.Add(-60 * time.Millisecond), Err: noResponseError{}}), func(StopRun) bool { return true })
	is.True(ok)
	return first, stop
}

// Guards against a second run of a task whose worker has restarted: an unanswered start may reach the new incarnation, which
// does not know that the earlier one was ordered to stop the run.
func TestStopOfUnansweredStartIsLostWithIncarnation(t *testing.T) {
	is := is.New(t)
	d := newDirectScheduler(t)
	_, stop := giveUpStart(t, d)
	d.update(StopResult{Order: stop.Order, SentAt: d.now, Report: worker.Report{Clock: d.clock, Incarnation: 1}})
	d.after(10 * time.Millisecond)
	target := stop.Order.Target
	stopped := false
	effects := d.update(PollResult{Order: worker.PollOrder{Target: target}, SentAt: d.now, Report: restarted(2)})
	list := WorkerList{}
	for _, w := range d.sortedWorkers {
		entry := w.Worker
		entry.Draining = entry.ID == "w1" // so that the task starts again on w2
		list.Workers = append(list.Workers, entry)
	}
	effects = append(effects, d.update(list)...)
	for range 5 {
		if _, ok := find(effects, func(s StopRun) bool { return s.Order.ID == "w1" }); ok {
			stopped = true
		}
		if _, again := find(effects, func(s StartRun) bool { return s.Order.ID == "w2" }); again {
			is.True(stopped) // by the new incarnation
			return
		}
		d.after(100 * time.Millisecond)
		effects = d.update(Tick{})
		poll := worker.PollOrder{Target: target}
		effects = append(effects, d.update(PollResult{Order: poll, SentAt: d.now, Report: restarted(2)})...)
	}
	is.True(stopped)
}

// Guards against a run of a withdrawn job on a worker that has restarted: its only start order is still on its way when the
// earlier incarnation answers the stop.
func TestStopOfWithdrawnStartIsLostWithIncarnation(t *testing.T) {
	is := is.New(t)
	d := newDirectScheduler(t)
	toFirst := func(s StopRun) bool { return s.Order.ID == "w1" }
	d.submit(7, "00000000000000aa", 40000)
	stop, ok := find(d.update(Withdraw{Key: SubmissionKey{Conn: 7, Sequence: 1}}), toFirst)
	is.True(ok)
	d.update(StopResult{Order: stop.Order, SentAt: d.now, Report: worker.Report{Clock: d.clock, Incarnation: 1}})
	d.after(10 * time.Millisecond)
	_, stopped := find(d.update(PollResult{Order: worker.PollOrder{Target: stop.Order.Target}, SentAt: d.now, Report: restarted(2)}), toFirst)
	is.True(stopped)
}

// Guards against a task that never starts again: its worker restarts while the order to stop an unanswered start is
// unanswered, and the start counts as not expired by the clock of the new incarnation.
func TestTaskWaitsForClockOfEarlierIncarnation(t *testing.T) {
	d := newDirectScheduler(t)
	_, stop := giveUpStart(t, d)
	target := stop.Order.Target
	d.after(60 * time.Millisecond)
	d.update(StopResult{Order: stop.Order, SentAt: d.now.Add(-60 * time.Millisecond), Err: noResponseError{}})
	effects := d.update(PollResult{Order: worker.PollOrder{Target: target}, SentAt: d.now, Report: restarted(2)})
	for at := 100 * time.Millisecond; at < 5*time.Second; at += 100 * time.Millisecond {
		for _, e := range effects {
			switch e := e.(type) {
			case StartRun:
				return
			case StopRun:
				effects = append(effects, d.update(StopResult{Order: e.Order, SentAt: d.now, Report: worker.Report{Clock: at, Incarnation: 2}})...)
			}
		}
		d.after(100 * time.Millisecond)
		effects = append(d.update(Tick{}), d.update(PollResult{Order: worker.PollOrder{Target: target}, SentAt: d.now, Report: worker.Report{Clock: at, Incarnation: 2}})...)
	}
	t.Fatal("the task does not start again within 5 s of its worker's restart")
}

// Guards against a second run of a task whose worker has restarted and is unreachable since: the start may reach the new
// incarnation after the lease that the earlier one had.
func TestTaskStartsAgainBeforeRestartedWorkerHasStoppedIt(t *testing.T) {
	is := is.New(t)
	d := newDirectScheduler(t)
	_, stop := giveUpStart(t, d)
	poll := worker.PollOrder{Target: stop.Order.Target}
	d.update(PollResult{Order: poll, SentAt: d.now, Report: restarted(2)})
	started := func(s StartRun) bool { return s.Order.Task == "00000000000000aa.0.0.0" }
	for range 20 {
		d.after(100 * time.Millisecond)
		effects := append(d.update(PollResult{Order: poll, SentAt: d.now, Err: noResponseError{}}), d.update(Tick{})...)
		_, again := find(effects, started)
		is.True(!again)
	}
	again := false
	for range 10 {
		d.after(100 * time.Millisecond)
		effects := d.update(PollResult{Order: poll, SentAt: d.now, Report: restarted(2)})
		if sent, ok := find(effects, func(StopRun) bool { return true }); ok {
			effects = append(effects, d.update(StopResult{Order: sent.Order, SentAt: d.now, Report: restarted(2)})...)
		}
		if _, ok := find(effects, started); ok {
			again = true
		}
	}
	is.True(again)
}

// Guards against a second run of a task: a start of the earlier holder that was delayed on its way reaches a worker that has
// restarted since, and so has forgotten the fence of the next holder.
func TestStartOfEarlierHolderReachesRestartedWorker(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 2)
	h := &history{simGroup: sg}
	sg.run(20 * time.Millisecond)
	w := job.Work{ID: "00000000000000aa", Steps: []job.Step{{Count: 1, Estimate: 3 * time.Second, Need: worker.Resources{MilliCores: 40000}}}}
	j := &simJob{work: w, policy: job.Policy{Route: "caller", Service: "cue", Stretch: 4, Target: time.Second}, length: 3 * time.Second}
	sg.knownJobs[w.ID] = j
	simSequence++
	key := SubmissionKey{Sequence: simSequence}
	first := sg.scheduler
	start, ok := find(first.Update(sg.now, Submit{Key: key, Work: w, Policy: j.policy, Budget: 5 * time.Second}), func(StartRun) bool { return true })
	is.True(ok)
	sg.step(first, HandOver{}) // at 20 ms; the start is on its way
	sg.replaceScheduler()
	sg.run(50 * time.Millisecond)
	sg.submitOneTask("00000000000000bb", 30*time.Millisecond, false) // on the worker that is preferred while both are idle
	h.resubmit(j, sg.verdicts[key].(HandedOver).Progress)
	sg.run(100 * time.Millisecond)
	is.Equal(sg.alive["00000000000000aa.0.0.0"], 1)
	is.True(sg.workers[start.Order.ID].runs["00000000000000aa.0.0.0"] == nil)
	sg.crash(sg.workers[start.Order.ID])
	sg.run(200 * time.Millisecond)
	_, err := sg.handleStart(sg.workers[start.Order.ID], start.Order) // simGroup fails the test if a task runs twice at a time
	is.True(err != nil)
}
