package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/worker"
)

// errOtherIncarnation is the client's response to an order for an incarnation that has ended.
var errOtherIncarnation = &worker.RejectedError{Reason: worker.ReasonWrongIncarnation}

// Guards against orders of this holder that a restarted worker carries out, although they were decided for the runs, the lease
// and the sequences of its earlier incarnation.
func TestOrdersNameTheIncarnationOfTheWorker(t *testing.T) {
	is := is.New(t)
	d := newDirectScheduler(t)
	effects := d.submit(0, "00000000000000aa", 40000)
	start, ok := find(effects, func(s StartRun) bool { return s.Order.ID == "w1" })
	is.True(ok)
	is.Equal(start.Order.Incarnation, int64(1))
	poll, ok := find(effects, func(p PollWorker) bool { return p.Order.ID == "w1" })
	is.True(ok)
	is.True(poll.Order.Lease > 0)
	is.Equal(poll.Order.Incarnation, int64(1))
	ended := worker.Report{Clock: d.clock, Incarnation: 1, Ended: []worker.EndedRun{{Sequence: 1, Run: start.Order.Run, Outcome: worker.Done}}}
	d.update(PollResult{Order: poll.Order, SentAt: d.now, Report: ended})
	d.after(d.rules.AckDelay)
	ack, ok := find(d.update(Tick{}), func(p PollWorker) bool { return p.Order.ID == "w1" })
	is.True(ok)
	is.Equal(ack.Order.AckedThrough, int64(1))
	is.Equal(ack.Order.Incarnation, int64(1))
	stop, ok := find(append(d.submit(0, "00000000000000bb", 40000), d.update(Withdraw{Key: SubmissionKey{Sequence: 1}})...), func(StopRun) bool { return true })
	is.True(ok)
	is.Equal(stop.Order.Incarnation, int64(1))
}

// Guards against ends of a new incarnation that are acknowledged unseen, so that done tasks of durable jobs run again: a list
// shows the restart, and the poll that reads the worker again acknowledges what the earlier incarnation had listed.
func TestEndOfNextIncarnationIsAcknowledgedUnseen(t *testing.T) {
	is := is.New(t)
	d := newDirectScheduler(t)
	effects := d.submit(0, "00000000000000aa", 40000)
	start, _ := find(effects, func(StartRun) bool { return true })
	poll, ok := find(effects, func(p PollWorker) bool { return p.Order.ID == "w1" })
	is.True(ok)
	ended := worker.Report{Clock: d.clock, Incarnation: 1, Ended: []worker.EndedRun{{Sequence: 1, Run: start.Order.Run, Outcome: worker.Done}}}
	d.update(PollResult{Order: poll.Order, SentAt: d.now, Report: ended})
	d.after(10 * time.Millisecond)
	list := WorkerList{}
	for _, w := range d.sortedWorkers {
		entry := w.Worker
		entry.Incarnation = 2
		list.Workers = append(list.Workers, entry)
	}
	read, ok := find(d.update(list), func(p PollWorker) bool { return p.Order.ID == "w1" })
	is.True(ok)
	is.Equal(read.Order.Incarnation, int64(0)) // so that the new incarnation responds
	is.Equal(read.Order.AckedThrough, int64(0))
	is.Equal(read.Order.Lease, time.Duration(0))
}

// listWith returns the workers of the scheduler with another incarnation of w1.
func (d *directScheduler) listWith(incarnation int64) WorkerList {
	list := WorkerList{}
	for _, w := range d.sortedWorkers {
		entry := w.Worker
		if entry.ID == "w1" {
			entry.Incarnation = incarnation
		}
		list.Workers = append(list.Workers, entry)
	}
	return list
}

// Guards against starts that are rejected again and again: the list has a later incarnation of a worker than its responses,
// since its wall clock was set back, and the scheduler takes it for the present one.
func TestListedIncarnationIsRejectedForever(t *testing.T) {
	is := is.New(t)
	d := &directScheduler{Scheduler: New(Config{Fence: 256, Rules: DefaultRules()}), t: t, now: time.Unix(1_700_000_000, 0), clock: time.Hour}
	entry := worker.Worker{ID: "w1", Service: "cue", Address: "w1:1", Capacity: worker.Resources{MilliCores: 64000}, Incarnation: 1000}
	effects := d.update(WorkerList{Workers: []worker.Worker{entry}})
	rejected, listed := 0, false
	for i := range 50 {
		var next []Effect
		if i == 2 {
			next = d.submit(0, "00000000000000aa", 40000)
		}
		for _, e := range effects {
			switch e := e.(type) {
			case StartRun:
				if e.Order.Incarnation == 900 {
					is.True(rejected <= 1)
					return
				}
				rejected++
				next = append(next, d.update(StartResult{Order: e.Order, SentAt: d.now, Err: errOtherIncarnation})...)
			case PollWorker:
				m := PollResult{Order: e.Order, SentAt: d.now, Report: worker.Report{Clock: d.clock, Incarnation: 900}}
				if e.Order.Incarnation != 0 && e.Order.Incarnation != 900 {
					m.Report, m.Err = worker.Report{}, errOtherIncarnation
				}
				if next = append(next, d.update(m)...); !listed { // the worker writes its entry later
					listed = true
					next = append(next, d.update(WorkerList{Workers: []worker.Worker{entry}})...)
				}
			}
		}
		d.after(10 * time.Millisecond)
		effects = append(next, d.update(Tick{})...)
	}
	t.Fatalf("no start reaches the worker, %d were rejected", rejected)
}

// Guards against a restarted worker that is used as before: a start for its earlier incarnation is rejected, and neither the task
// starts again nor is the worker read again.
func TestWorkerIsNotReadAfterRejectedStart(t *testing.T) {
	is := is.New(t)
	d := newDirectScheduler(t)
	d.after(time.Second)
	start, ok := find(d.submit(0, "00000000000000aa", 40000), func(s StartRun) bool { return s.Order.ID == "w1" })
	is.True(ok)
	d.after(10 * time.Millisecond)
	effects := d.update(StartResult{Order: start.Order, SentAt: d.now, Err: errOtherIncarnation})
	_, again := find(effects, func(s StartRun) bool { return s.Order.ID == "w2" })
	is.True(again)
	for range 3 { // the poll from before is open
		d.after(50 * time.Millisecond)
		effects = append(effects, d.update(Tick{})...)
	}
	_, early := find(effects, func(s StartRun) bool { return s.Order.ID == "w1" })
	is.True(!early)
	late := PollResult{Order: worker.PollOrder{Target: start.Order.Target}, SentAt: d.now.Add(-200 * time.Millisecond), Report: worker.Report{Clock: d.clock, Incarnation: 1}}
	read, ok := find(d.update(late), func(p PollWorker) bool { return p.Order.ID == "w1" }) // a response that was on its way
	is.True(ok)
	is.Equal(read.Order.Incarnation, int64(0))
	is.True(!d.workers["w1"].synced)
	d.update(PollResult{Order: read.Order, SentAt: d.now, Report: restarted(2)})
	other, ok := find(d.submit(0, "00000000000000bb", 40000), func(s StartRun) bool { return s.Order.ID == "w1" })
	is.True(ok)
	is.Equal(other.Order.Incarnation, int64(2))
	d.update(d.listWith(1)) // an entry of before the restart
	is.Equal(d.workers["w1"].incarnation, int64(2))
}

// Guards against a worker that is polled without a pause since it rejects each incarnation that it reports.
func TestWorkerThatRejectsItsIncarnationIsPolledWithoutPause(t *testing.T) {
	is := is.New(t)
	d := newDirectScheduler(t)
	effects, polls := d.submit(0, "00000000000000aa", 40000), 0
	for range 1000 { // ms
		var next []Effect
		for _, e := range effects {
			switch e := e.(type) {
			case StartRun:
				next = append(next, d.update(StartResult{Order: e.Order, SentAt: d.now, Err: errOtherIncarnation})...)
			case PollWorker:
				polls++
				m := PollResult{Order: e.Order, SentAt: d.now, Report: worker.Report{Clock: d.clock, Incarnation: 1}}
				if e.Order.Incarnation != 0 {
					m.Report, m.Err = worker.Report{}, errOtherIncarnation
				}
				next = append(next, d.update(m)...)
			}
		}
		d.after(time.Millisecond)
		effects = append(next, d.update(Tick{})...)
	}
	is.True(polls <= 2*2*5) // of both workers, at each ProbeInterval
}

// Guards against a second run of a task whose unanswered start may reach the new incarnation of its worker, since a VM of an
// earlier version sent it for any incarnation: the stop is rejected for the earlier one.
func TestStopForEarlierIncarnationIsNotRepeated(t *testing.T) {
	is := is.New(t)
	d := newDirectScheduler(t)
	simSequence++
	key := SubmissionKey{Conn: 7, Sequence: simSequence}
	m := Submit{Key: key, Work: oneTask("00000000000000aa", 40000), Policy: directPolicy, Budget: 10 * time.Second, DelegatedStarts: true, PermitUntil: d.now.Add(5 * time.Second)}
	start, ok := find(d.update(m), func(s StartRun) bool { return s.Sender == key })
	is.True(ok)
	d.after(10 * time.Millisecond)
	stop, ok := find(d.update(SenderDisconnected{Conn: 7}), func(StopRun) bool { return true })
	is.True(ok)
	is.Equal(stop.Order.ID, start.Order.ID)
	effects := d.update(StopResult{Order: stop.Order, SentAt: d.now, Err: errOtherIncarnation})
	second, ok := find(effects, func(s StopRun) bool { return s.Order.ID == start.Order.ID })
	is.True(ok)
	is.Equal(second.Order.Incarnation, int64(0))
	_, again := find(effects, func(StartRun) bool { return true })
	is.True(!again)
}

// Guards against a second run of a task on a worker that has restarted and is unreachable since: the earlier holder has renewed
// the lease of the new incarnation in full, and a start of this holder, which a VM of an earlier version sent for any
// incarnation, runs there until then.
func TestLeaseOfNextIncarnationWasRenewedByEarlierHolder(t *testing.T) {
	is := is.New(t)
	d := newDirectScheduler(t)
	d.after(2 * time.Second) // the leases of the earlier holder have expired
	d.update(Tick{})
	m := Submit{Key: SubmissionKey{Conn: 7, Sequence: 1}, Work: oneTask("00000000000000aa", 40000), Policy: directPolicy, Budget: 10 * time.Second, DelegatedStarts: true, PermitUntil: d.now.Add(100 * time.Millisecond)}
	effects := d.update(m)
	start, ok := find(effects, func(s StartRun) bool { return s.Order.ID == "w1" })
	is.True(ok)
	poll, ok := find(effects, func(p PollWorker) bool { return p.Order.ID == "w1" })
	is.True(ok)
	d.after(10 * time.Millisecond) // the start reaches the new incarnation, whose lease the earlier holder renews until then
	end := d.now.Add(d.rules.maxElapsed(d.rules.LeaseDuration) + d.rules.KillTime)
	d.update(StartResult{Order: start.Order, SentAt: d.now.Add(-10 * time.Millisecond), Report: restarted(2)})
	permits := Permits{7: d.now.Add(10 * time.Second)}
	d.update(PollResult{Order: poll.Order, SentAt: d.now.Add(-10 * time.Millisecond), Err: errConnectionClosed})
	for d.now.Before(end) {
		if _, again := find(d.update(Tick{Permits: permits}), func(s StartRun) bool { return s.Order.ID == "w2" }); again {
			t.Fatalf("the task starts again %v before the lease of its worker has expired", end.Sub(d.now))
		}
		d.after(10 * time.Millisecond)
	}
	_, again := find(d.update(Tick{Permits: permits}), func(s StartRun) bool { return s.Order.ID == "w2" })
	is.True(again)
}

// Guards against a task that requires a label and starts on a worker that has restarted as one of another kind, whose entry is still
// that of its earlier incarnation.
func TestRestartedWorkerOfUnknownKindGetsNoLabelledTask(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 30, 1)
	sg.run(20 * time.Millisecond)
	w := sg.workers["w00"]
	listed := w.Worker
	sg.lists = func() WorkerList { return WorkerList{Workers: []worker.Worker{listed}} } // the store is away
	sg.crash(w)
	w.Labels = []string{"b", "r1"}
	plain := sg.storeJob(quote, 1)
	sg.run(2 * time.Second)
	is.True(sg.started[plain]) // a task that requires no label shows the restart
	labelled := sg.stored[plain].Work
	labelled.ID, labelled.Steps[0].RequiredLabel = "00000000000000fd", "a"
	sg.store(labelled, sg.stored[plain].Policy, quote.length)
	sg.run(4 * time.Second)
	is.True(!sg.started[labelled.ID])
}
