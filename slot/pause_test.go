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

// Guards against two tasks on one slot: a paused VM uses the release of an earlier owner, which has taken the endpoint over
// again meanwhile.
func TestReleaseFromBeforePauseUnblocksSlots(t *testing.T) {
	is := is.New(t)
	z := newTestZone(Config{}, 2, 1, 1, 1)
	first, paused := z.vms[0], z.vms[1]
	z.run(1100*time.Millisecond, nil)
	z.owners = []string{paused.id}
	z.inform(paused)
	z.inform(first)
	paused.queued, paused.paused = 1, true
	z.run(700*time.Millisecond, nil) // the release waits in the socket of the paused VM
	z.removeVM(paused)
	z.run(1100*time.Millisecond, nil)
	is.Equal(z.demand(first, 1, 10*time.Millisecond), 1)
	paused.paused = false
	z.run(900*time.Millisecond, nil) // until it learns that it owns the endpoint no longer
	is.Equal(z.inUse()[endpointID(0)], 1)
}

// Guards against two tasks on one slot: a VM is paused, and the peer that took its endpoint over is unreachable for it right after
// the pause, while another peer answers that it has taken nothing over.
func TestResumeWithoutAnswerOfLostPeerUnblocksSlots(t *testing.T) {
	is := is.New(t)
	z := newTestZone(Config{}, 3, 1, 1, 1)
	paused, next := z.vms[0], z.vms[2]
	z.run(1100*time.Millisecond, nil)
	paused.queued, paused.paused = 0, true
	z.run(700*time.Millisecond, nil)
	z.removeVM(paused)
	z.owners = []string{next.id}
	z.inform(z.vms[1])
	z.inform(next)
	z.run(1200*time.Millisecond, nil)
	is.Equal(z.demand(next, 1, 10*time.Millisecond), 1)
	paused.paused = false
	z.alive, z.owners = []string{paused.id, z.vms[1].id}, []string{paused.id}
	z.inform(paused)
	z.inform(z.vms[1])
	is.Equal(z.demand(paused, 1, 900*time.Millisecond), 0) // until it learns of the new owner
	is.Equal(z.inUse()[endpointID(0)], 1)
}

// Guards against two tasks on one slot: a VM is paused again before it has heard its peers after a first pause, and its slots were
// usable after the second one, when the term of the first one was over.
func TestSecondPauseWithoutPeersUnblocksSlots(t *testing.T) {
	is := is.New(t)
	z := newTestZone(Config{}, 2, 1, 1, 1)
	paused, next := z.vms[0], z.vms[1]
	z.owners = []string{paused.id}
	z.inform(paused)
	z.inform(next)
	z.run(1100*time.Millisecond, nil)
	paused.paused = true
	z.run(600*time.Millisecond, nil)
	paused.paused = false
	z.alive = []string{paused.id}
	z.inform(paused) // the peer has timed out on its clock
	paused.paused = true
	z.run(600*time.Millisecond, nil)
	z.alive, z.owners = []string{next.id}, []string{next.id}
	z.inform(next)
	z.run(1200*time.Millisecond, nil)
	is.Equal(z.demand(next, 1, 10*time.Millisecond), 1)
	paused.paused = false
	is.Equal(z.demand(paused, 1, 500*time.Millisecond), 0) // until it learns of the new owner
	is.Equal(z.inUse()[endpointID(0)], 1)
}
