package slot

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against two tasks on one slot: the next owner of an endpoint is paused, and then uses a slot that a peer still has
// by a loan of the lost owner.
func TestPauseEndsWaitForLoansOfLostOwner(t *testing.T) {
	is := is.New(t)
	z := newTestZone(Config{}, 3, 1, 1, 1)
	lost, next, borrower := z.vms[0], z.vms[1], z.vms[2]
	z.run(1100*time.Millisecond, nil)
	is.Equal(z.demand(borrower, 1, 100*time.Millisecond), 1)
	lost.stopped = true
	z.removeVM(lost)
	z.owners = []string{next.id}
	z.inform(next)
	z.inform(borrower)
	next.queued, next.paused = 1, true
	z.run(600*time.Millisecond, nil)
	next.paused = false
	z.run(1050*time.Millisecond, nil)
	is.Equal(z.inUse()[endpointID(0)], 1)
	z.finish(borrower, 0)
	z.run(20*time.Millisecond, nil)
	is.Equal(len(next.held), 1) // the wait has ended
}
