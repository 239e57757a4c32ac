package slot

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// demand queues tasks on a VM and reports how many run after d.
func (z *testZone) demand(v *vm, tasks int, d time.Duration) int {
	v.queued += tasks
	z.dispatch(v)
	z.run(d, nil)
	return len(v.held)
}

// remove takes a VM from the views of the others.
func (z *testZone) remove(lost *vm) {
	z.alive, z.owners = nil, nil
	for _, v := range z.vms {
		if v != lost {
			z.alive = append(z.alive, v.id)
		}
	}
	z.owners = z.alive
	for _, v := range z.vms {
		if v != lost {
			z.inform(v)
		}
	}
}

// A job on one VM must not wait while slots of its peers are idle, and few tasks must not share an endpoint.
func TestOneExchangeReachesAllIdleSlots(t *testing.T) {
	for _, vms := range []int{3, 5} {
		is := is.New(t)
		z := newTestZone(Config{}, vms, 15, 8, 1)
		z.run(1100*time.Millisecond, nil)
		is.Equal(z.demand(z.vms[0], 15/vms, 0), 15/vms)
		for _, count := range z.inUse() {
			is.Equal(count, 1)
		}
		is.Equal(z.demand(z.vms[0], 150, time.Millisecond), 120)
		for z.vms[0].queued = 0; len(z.vms[0].held) > 0; {
			z.finish(z.vms[0], 0)
		}
		z.run(100*time.Millisecond, nil)
		is.Equal(z.vms[0].ledger.Counts().Borrowed, 0) // unused loans are returned after 50 ms
		is.Equal(z.vms[1].ledger.Counts().Lent, 0)
	}
}

// The slots of a killed VM must be in use again within 3 s: 1 s until it is lost and a loan term.
func TestKilledOwner(t *testing.T) {
	is := is.New(t)
	z := newTestZone(Config{}, 3, 16, 8, 1)
	z.run(1100*time.Millisecond, nil)
	z.demand(z.vms[2], 20, 10*time.Millisecond)
	killed := z.now
	z.vms[2].dead, z.vms[2].held = true, nil
	is.True(z.demand(z.vms[0], 200, time.Second) < 100) // its own slots aren't lent while it is thought alive
	z.remove(z.vms[2])
	for len(z.vms[0].held) < 128 && z.now.Sub(killed) < 3*time.Second {
		z.run(10*time.Millisecond, nil)
	}
	t.Logf("all slots in use %v after the kill", z.now.Sub(killed))
	is.Equal(len(z.vms[0].held), 128)
}

// A VM that wakes after its slots were taken over must not use them, and must hand over the tasks that still run.
func TestFreeze(t *testing.T) {
	cases := []struct {
		name      string
		length    time.Duration
		takenOver bool
	}{
		{"short", 600 * time.Millisecond, false},
		{"long and taken over", 3 * time.Second, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			z := newTestZone(Config{}, 3, 15, 8, 1)
			z.run(1100*time.Millisecond, nil)
			frozen := z.vms[0]
			is.Equal(z.demand(frozen, 50, 10*time.Millisecond), 50) // 40 own slots and 10 loans
			for range 10 {
				z.finish(frozen, 0)
			}
			frozen.frozen = true
			z.run(tc.length, nil)
			if tc.takenOver {
				z.remove(frozen)
				z.run(2*time.Second, nil)
			}
			frozen.frozen = false
			_, ok := frozen.ledger.TryAcquire(z.now)
			is.True(!ok) // the first call after the freeze finds neither loans nor own slots
			z.run(11*time.Millisecond, nil)
			c := frozen.ledger.Counts()
			is.Equal(c.InUse, 40)
			is.Equal(c.Borrowed, 0)
			is.Equal(c.Waiting == 0, !tc.takenOver)
		})
	}
}

// A flooded VM must give up slots to one below its target within a run time, and then loans must not move any more.
func TestRecall(t *testing.T) {
	for _, owner := range []int{0, 1, 2} {
		is := is.New(t)
		z := newTestZone(Config{}, 3, 12, 8, 1)
		z.owners = []string{z.vms[owner].id}
		for _, v := range z.vms {
			z.inform(v)
		}
		z.run(1100*time.Millisecond, nil)
		flood, late := z.vms[0], z.vms[1]
		is.Equal(z.demand(flood, 1000, 20*time.Millisecond), 96)
		z.step = func() { // tasks of 200 ms
			for _, v := range z.vms {
				if z.now.UnixNano()%int64(5*time.Millisecond) == 0 && len(v.held) > 0 {
					for range max(1, len(v.held)/40) {
						z.finish(v, 0)
					}
				}
				v.queued = max(v.queued, 100)
			}
			z.vms[2].queued = 0
		}
		targets := []Allocation{{"entry-0", 48}, {"entry-1", 48}, {"entry-2", 0}}
		late.queued = 1000
		z.run(600*time.Millisecond, targets)
		held := len(late.held)
		is.True(held >= 48-7) // the hysteresis is an eighth of the target and one
		z.kinds = map[string]traffic{}
		z.run(time.Second, targets)
		t.Logf("owner %d: held %d and %d; then in 1 s %v", owner, held, len(late.held), z.kinds)
		is.True(len(late.held) >= held-1)
		is.True(z.kinds["Return"].messages <= 2) // loans stay where they are
	}
}

func TestWithheldAndUsable(t *testing.T) {
	is := is.New(t)
	z := newTestZone(Config{}, 2, 4, 8, 1)
	z.run(1100*time.Millisecond, nil)
	v, l := z.vms[0], z.vms[0].ledger
	is.Equal(z.demand(v, 32, 10*time.Millisecond), 32)
	for _, held := range v.held {
		if held.Endpoint == endpointID(0) || held.Endpoint == endpointID(1) {
			l.Withhold(z.now, held.ID)
			l.Withhold(z.now, held.ID) // has no further effect
		} else {
			l.Release(z.now, held.ID)
			l.Release(z.now, held.ID)
		}
	}
	v.held = nil
	is.Equal(l.Counts().Withheld, 16)
	is.Equal(l.Counts().InUse, 0)
	z.run(2*time.Second, nil) // a withheld loan is renewed
	is.Equal(l.Counts().Withheld, 16)
	is.Equal(z.demand(v, 32, 10*time.Millisecond), 16)
	l.ReleaseWithheld(z.now, endpointID(1)) // a loan
	is.Equal(z.demand(v, 0, 10*time.Millisecond), 24)
	l.SetConcurrencyLimit(endpointID(0), 2)
	l.ReleaseWithheld(z.now, endpointID(0))
	is.Equal(z.demand(v, 0, 10*time.Millisecond), 26) // on trial
	l.SetConcurrencyLimit(endpointID(0), 1<<30)
	is.Equal(z.demand(v, 0, 10*time.Millisecond), 32)
	l.SetConcurrencyLimit(endpointID(2), 0)
	for v.queued = 0; len(v.held) > 0; {
		z.finish(v, 0)
	}
	is.Equal(z.demand(z.vms[1], 32, 10*time.Millisecond), 24) // an ejected endpoint isn't lent
}

// A VM that stops must finish on borrowed slots, return them at once and end with nothing.
func TestDrain(t *testing.T) {
	is := is.New(t)
	z := newTestZone(Config{}, 3, 6, 8, 1)
	z.run(1100*time.Millisecond, nil)
	v := z.vms[0]
	is.Equal(z.demand(v, 10, 10*time.Millisecond), 10)
	v.ledger.Drain(z.now)
	z.owners = z.owners[1:]
	for _, other := range z.vms {
		z.inform(other)
	}
	is.Equal(z.demand(v, 10, 30*time.Millisecond), 20)
	is.Equal(v.ledger.Counts().Owned, 0)
	is.True(!v.ledger.Drained())
	for len(v.held) > 0 {
		z.finish(v, 0)
	}
	z.run(20*time.Millisecond, nil)
	is.True(v.ledger.Drained())
	is.Equal(z.demand(z.vms[1], 48, 150*time.Millisecond), 48) // all slots at once
}

// The parts of all VMs must add up to the slots, also after a VM is lost.
func TestFixedShare(t *testing.T) {
	is := is.New(t)
	z := newTestZone(Config{Policy: FixedShare}, 3, 10, 8, 1)
	for range 2 {
		sum := 0
		for _, v := range z.vms {
			sum += z.demand(v, 100, 0)
		}
		is.Equal(sum, 80)
		for _, v := range z.vms {
			for v.queued = 0; len(v.held) > 0; {
				z.finish(v, 0)
			}
		}
		z.now = z.now.Add(time.Second) // a frozen clock doesn't matter without loans
		last := len(z.vms) - 1
		z.remove(z.vms[last])
		z.vms = z.vms[:last]
	}
}

// A release must not count again after the endpoint has changed hands once more, which the views of VMs may skip.
func TestStaleRelease(t *testing.T) {
	type step struct {
		owner          int   // of the only slot
		told           []int // VMs that learn of it now
		demand, finish int   // VMs that get or end a task, or -1
		ms             time.Duration
	}
	cases := map[string][]step{
		"got back before the other saw it": {
			{1, []int{0, 1}, -1, -1, 1100},
			{0, []int{1}, -1, -1, 10},
			{1, []int{1}, -1, -1, 610},
			{0, []int{0}, 0, -1, 400},
			{0, nil, 1, -1, 20},
			{0, []int{1}, -1, -1, 20},
		},
		"repeated while the other gives it up": {
			{1, []int{0, 1}, 1, -1, 1100},
			{0, []int{0, 1}, -1, -1, 20},
			{1, []int{0}, -1, 1, 10},
			{1, []int{1}, 1, -1, 20},
			{0, []int{0}, 0, -1, 20},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			z := newTestZone(Config{}, 2, 1, 1, 1)
			for _, s := range steps {
				z.owners = []string{z.vms[s.owner].id}
				for _, i := range s.told {
					z.inform(z.vms[i])
				}
				if s.finish >= 0 {
					z.finish(z.vms[s.finish], 0)
				}
				if s.demand >= 0 {
					z.vms[s.demand].queued++
				}
				z.run(s.ms*time.Millisecond, nil)
				is.New(t).True(len(z.inUse()) == 0 || z.inUse()[endpointID(0)] == 1)
			}
		})
	}
}
