package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/peer"
	"samphireplank.example/samphireplank/placement"
	"samphireplank.example/samphireplank/worker"
)

// Guards against a start that counts as rejected because the VM of its job returns the late result of an order for an earlier
// submission of the job, whose runs had the same numbers.
func TestLateResultOfEarlierDelegatedStart(t *testing.T) {
	is := is.New(t)
	run := worker.Run{Task: "00000000000000aa.0.0.0", Number: 1}
	order := func(id string, lease time.Duration) worker.StartOrder {
		return worker.StartOrder{Target: worker.Target{ID: id}, Run: run, Lease: lease}
	}
	d := &groupDriver{group: "a#0", delegated: map[worker.Run]delegatedStart{}}
	var sent []worker.StartOrder
	d.delegate = func(_ placement.SubmissionKey, orders peer.Orders) bool {
		sent = append(sent, orders.Starts...)
		return true
	}
	d.delegateStarts(t.Context(), placement.SubmissionKey{Conn: 7, Sequence: 1}, []worker.StartOrder{order("w1", time.Second)})
	d.delegateStarts(t.Context(), placement.SubmissionKey{Conn: 7, Sequence: 2}, []worker.StartOrder{order("w2", 3*time.Second)})
	late := (&Gateway{}).startResponse("a#0", sent[0], worker.Report{}, &worker.RejectedError{Reason: worker.ReasonLeaseExpired})
	d.checkPause = func(context.Context) { t.Fatal("the result was taken for that of the second order") }
	d.handleDelegatedResult(t.Context(), 7, late)
	is.Equal(d.delegated[run].order.ID, "w2")
}
