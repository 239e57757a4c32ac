package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/worker"
)

// Guards against a task that starts again beside its run, because the result of an order for an earlier submission of the
// job, which had the same run number, arrives late.
func TestLateResultOfEarlierSubmissionFreesItsTask(t *testing.T) {
	is := is.New(t)
	d := newDirectScheduler(t)
	const id = "00000000000000aa"
	first, ok := find(d.submit(0, id, 40000), func(StartRun) bool { return true })
	is.True(ok)
	sent := d.now
	d.update(WithdrawConn{}) // the caller has left
	poll := func() (effects []Effect) {
		for _, target := range []string{"w1", "w2"} {
			d.after(300 * time.Millisecond)
			effects = append(effects, d.update(Tick{})...)
			effects = append(effects, d.update(PollResult{Order: worker.PollOrder{Target: worker.Target{ID: target, Address: target + ":1"}}, SentAt: d.now, Report: worker.Report{Clock: d.clock, Incarnation: 1}})...)
		}
		return effects
	}
	for range 3 {
		poll() // the order has expired on its way
	}
	second, ok := find(d.submit(0, id, 40000), func(s StartRun) bool { return s.Order.Run == first.Order.Run && s.Order.ID == first.Order.ID })
	is.True(ok)
	is.True(second.Order.Lease > first.Order.Lease)
	effects := d.update(StartResult{Order: first.Order, SentAt: sent, Err: &worker.RejectedError{Reason: worker.ReasonLeaseExpired}})
	_, again := find(effects, func(StartRun) bool { return true })
	is.True(!again)
}
