package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/worker"
)

// Guards against a second run of a task whose worker is cut off: the holder starts it again while the worker, whose clock
// runs 2% slow, still takes its 50 ms to kill the run of the expired lease.
func TestTaskStartsAgainBeforeLapsedRunIsKilled(t *testing.T) {
	is := is.New(t)
	const stop = 50 * time.Millisecond // that a worker takes to kill a run
	d := newDirectScheduler(t)
	effects := d.submit(0, "00000000000000aa", 40000)
	start, ok := find(effects, func(s StartRun) bool { return s.Order.ID == "w1" })
	is.True(ok)
	granted, length := d.now, start.Order.Lease-d.clock // the order arrives at once
	end := granted.Add(time.Duration(float64(length)/(1-d.rules.ClockDrift)) + stop)
	poll, ok := find(effects, func(p PollWorker) bool { return p.Order.ID == "w1" })
	is.True(ok)
	is.True(poll.Order.Lease <= start.Order.Lease)
	d.update(StartResult{Order: start.Order, SentAt: d.now, Report: worker.Report{Clock: d.clock, Incarnation: 1}})
	after := func(elapsed time.Duration) { d.now, d.clock = d.now.Add(elapsed), d.clock+elapsed*98/100 }
	after(poll.Order.Timeout)
	effects = d.update(PollResult{Order: poll.Order, SentAt: granted, Err: noResponseError{}}) // w1 is cut off; the next poll does not reach it
	if second, ok := find(effects, func(p PollWorker) bool { return p.Order.ID == "w1" }); ok {
		length = second.Order.Lease - d.clock
		end = d.now.Add(time.Duration(float64(length)/(1-d.rules.ClockDrift)) + stop) // or it does, and only the response is lost
	}
	for again := false; !again; {
		after(time.Millisecond)
		_, again = find(d.update(Tick{}), func(s StartRun) bool { return s.Order.Task == "00000000000000aa.0.0.0" })
		if again && d.now.Before(end) {
			t.Fatalf("the task starts again %v before its first run is killed", end.Sub(d.now))
		}
	}
}
