package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// directScheduler passes messages to a scheduler by hand and keeps the effects.
type directScheduler struct {
	*Scheduler
	t     *testing.T
	now   time.Time
	clock time.Duration // of the workers
}

// newDirectScheduler returns a scheduler that has read the workers w1 and w2, in this order of preference.
func newDirectScheduler(t *testing.T) *directScheduler {
	d := &directScheduler{Scheduler: New(Config{Fence: 256, Rules: DefaultRules()}), t: t, now: time.Unix(1_700_000_000, 0), clock: time.Hour}
	list := WorkerList{}
	for _, id := range []string{"w1", "w2"} {
		list.Workers = append(list.Workers, worker.Worker{ID: id, Service: "cue", Address: id + ":1", Capacity: worker.Resources{MilliCores: 64000}})
	}
	for _, e := range d.update(list) {
		if p, ok := e.(PollWorker); ok {
			d.answerPoll(p, nil)
		}
	}
	return d
}

func (d *directScheduler) after(elapsed time.Duration) {
	d.now, d.clock = d.now.Add(elapsed), d.clock+elapsed
}

func (d *directScheduler) update(m Message) []Effect { return d.Update(d.now, m) }

// answerPoll answers a poll with a list of running tasks.
func (d *directScheduler) answerPoll(p PollWorker, running []worker.ActiveRun) []Effect {
	return d.update(PollResult{Order: p.Order, SentAt: d.now, Report: worker.Report{Clock: d.clock, Incarnation: 1, Running: running}})
}

// directPolicy is the policy of jobs of a directScheduler.
var directPolicy = job.Policy{Route: "r", Service: "cue", Stretch: 4, Target: 10 * time.Second}

func oneTask(id string, milliCores int) job.Work {
	return job.Work{ID: id, BestEffort: true, Steps: []job.Step{{Count: 1, Estimate: 3 * time.Second, Need: worker.Resources{MilliCores: milliCores}}}}
}

func (d *directScheduler) submit(conn uint64, id string, milliCores int) []Effect {
	m := Submit{
		Key: SubmissionKey{Conn: conn, Sequence: 1}, Work: oneTask(id, milliCores), Policy: directPolicy, Budget: 10 * time.Second,
	}
	if conn != 0 {
		m.PermitUntil = d.now.Add(750 * time.Millisecond)
	}
	return d.update(m)
}

func find[T Effect](effects []Effect, accept func(T) bool) (found T, ok bool) {
	for _, e := range effects {
		if typed, is := e.(T); is && accept(typed) {
			return typed, true
		}
	}
	return found, false
}

// Guards against a task that starts on another worker while the first of two unanswered start orders may still be
// carried out: the second one had a shorter lease, since another job on the worker had been withdrawn in between.
func TestRepeatedStartShortensFirstOne(t *testing.T) {
	is := is.New(t)
	d := newDirectScheduler(t)
	onFirst := func(id string) func(StartRun) bool {
		return func(s StartRun) bool { return s.Order.ID == "w1" && s.Order.Task == id+".0.0.0" }
	}
	effects := d.submit(7, "00000000000000bb", 20000)
	start, ok := find(effects, onFirst("00000000000000bb"))
	is.True(ok)
	poll, ok := find(effects, func(p PollWorker) bool { return p.Order.ID == "w1" })
	is.True(ok)
	d.update(StartResult{Order: start.Order, SentAt: d.now, Report: worker.Report{Clock: d.clock, Incarnation: 1}})

	first, ok := find(d.submit(8, "00000000000000aa", 40000), onFirst("00000000000000aa"))
	is.True(ok)
	d.after(30 * time.Millisecond)
	effects = d.update(Withdraw{Key: SubmissionKey{Conn: 7, Sequence: 1}})
	stopOther, ok := find(effects, func(StopRun) bool { return true })
	is.True(ok)
	d.after(30 * time.Millisecond)
	noResponse := noResponseError{}
	second, ok := find(d.update(StartResult{Order: first.Order, SentAt: d.now.Add(-60 * time.Millisecond), Err: noResponse}), onFirst("00000000000000aa"))
	is.True(ok)
	d.after(60 * time.Millisecond)
	stop, ok := find(d.update(StartResult{Order: second.Order, SentAt: d.now.Add(-60 * time.Millisecond), Err: noResponse}), func(StopRun) bool { return true })
	is.True(ok)
	d.after(60 * time.Millisecond)
	d.update(StopResult{Order: stop.Order, Err: noResponse})
	d.update(StopResult{Order: stopOther.Order, SentAt: d.now, Report: worker.Report{Clock: d.clock, Incarnation: 1}})
	d.update(Tick{Permits: Permits{8: d.now.Add(750 * time.Millisecond)}})

	for first.Order.Lease > d.clock { // the worker would still carry out the first order
		d.after(20 * time.Millisecond)
		effects = d.update(Tick{Permits: Permits{8: d.now.Add(750 * time.Millisecond)}})
		effects = append(effects, d.answerPoll(poll, nil)...)
		_, again := find(effects, func(s StartRun) bool {
			return s.Order.Task == "00000000000000aa.0.0.0" && s.Order.Number > first.Order.Number
		})
		if again {
			t.Fatalf("the task starts again %v before the worker rejects its first start", first.Order.Lease-d.clock)
		}
	}
}

// Guards against a run that outlives the permit of its job, because a holder that was stalled when the permit ended
// renews the lease of the worker for another job while the order to stop the run is on its way.
func TestLateReleaseExtendsLease(t *testing.T) {
	is := is.New(t)
	d := newDirectScheduler(t)
	permits := Permits{7: d.now.Add(750 * time.Millisecond)}
	end := permits[7]
	var poll PollWorker
	for conn, id := range map[uint64]string{7: "00000000000000aa", 0: "00000000000000bb"} {
		effects := d.submit(conn, id, 20000)
		start, ok := find(effects, func(s StartRun) bool { return s.Order.ID == "w1" })
		is.True(ok)
		if p, ok := find(effects, func(p PollWorker) bool { return p.Order.ID == "w1" }); ok {
			poll = p
		}
		d.update(StartResult{Order: start.Order, SentAt: d.now, Report: worker.Report{Clock: d.clock, Incarnation: 1}})
	}
	running := []worker.ActiveRun{{Run: worker.Run{Task: "00000000000000aa.0.0.0", Number: 1}}, {Run: worker.Run{Task: "00000000000000bb.0.0.0", Number: 1}}}
	d.after(700 * time.Millisecond)
	if p, ok := find(d.answerPoll(poll, running), func(p PollWorker) bool { return p.Order.ID == "w1" }); ok {
		poll = p
	}
	d.after(400 * time.Millisecond) // the holder gets no processor
	d.update(Tick{Permits: permits})
	next, ok := find(d.answerPoll(poll, running), func(p PollWorker) bool { return p.Order.ID == "w1" })
	is.True(ok)
	leaseEnd := d.now.Add(next.Order.Lease - d.clock)
	is.True(leaseEnd.Sub(end) <= PermitLease+d.leaseError())
}

// Guards against runs that start again beside themselves: a late response of a worker's earlier incarnation counts as
// another restart.
func TestLateResponseOfEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	d := newDirectScheduler(t)
	start, ok := find(d.submit(7, "00000000000000aa", 20000), func(StartRun) bool { return true })
	is.True(ok)
	d.after(10 * time.Millisecond)
	born := worker.Report{Clock: time.Millisecond, Incarnation: 2}
	effects := d.update(PollResult{Order: worker.PollOrder{Target: start.Order.Target}, SentAt: d.now, Report: born}) // w1 has restarted
	poll, ok := find(effects, func(p PollWorker) bool { return p.Order.ID == "w1" })
	is.True(ok)
	d.update(PollResult{Order: poll.Order, SentAt: d.now, Report: born})
	other, ok := find(d.submit(0, "00000000000000bb", 20000), func(s StartRun) bool { return s.Order.ID == "w1" })
	is.True(ok)
	d.update(StartResult{Order: other.Order, SentAt: d.now, Report: born})
	effects = d.update(StartResult{Order: start.Order, SentAt: d.now.Add(-10 * time.Millisecond), Report: worker.Report{Clock: d.clock, Incarnation: 1}}) // sent before the restart
	_, again := find(effects, func(s StartRun) bool { return s.Order.Task == "00000000000000bb.0.0.0" })
	is.True(!again)
}

// Guards against a second run of a task whose worker has restarted: the first of two start orders reaches the new
// incarnation after the second one was answered by the earlier one.
func TestFirstStartReachesRestartedWorker(t *testing.T) {
	is := is.New(t)
	d := newDirectScheduler(t)
	first, ok := find(d.submit(0, "00000000000000aa", 40000), func(StartRun) bool { return true })
	is.True(ok)
	d.after(60 * time.Millisecond)
	second, ok := find(d.update(StartResult{Order: first.Order, SentAt: d.now.Add(-60 * time.Millisecond), Err: noResponseError{}}), func(StartRun) bool { return true })
	is.True(ok)
	d.update(StartResult{Order: second.Order, SentAt: d.now, Report: worker.Report{Clock: d.clock, Incarnation: 1}})
	d.after(10 * time.Millisecond)
	effects := d.update(PollResult{Order: worker.PollOrder{Target: first.Order.Target}, SentAt: d.now, Report: worker.Report{Clock: time.Millisecond, Incarnation: 2}})
	_, again := find(effects, func(StartRun) bool { return true })
	_, stopped := find(effects, func(StopRun) bool { return true })
	is.True(!again && stopped)
}
