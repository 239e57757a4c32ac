package slot

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// demand queues tasks on a VM and returns the number of its running tasks after d.
func (z *testZone) demand(v *vm, tasks int, d time.Duration) int {
	v.queued += tasks
	z.dispatch(v)
	z.run(d, nil)
	return len(v.held)
}

// removeVM removes a VM from the views of the others.
func (z *testZone) removeVM(removed *vm) {
	z.alive, z.owners = nil, nil
	for _, v := range z.vms {
		if v != removed {
			z.alive = append(z.alive, v.id)
		}
	}
	z.owners = z.alive
	for _, v := range z.vms {
		if v != removed {
			z.inform(v)
		}
	}
}

// Guards against a job that waits while slots of peers are idle, and against few tasks that share an endpoint.
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
		is.Equal(z.vms[0].pool.Counts().Borrowed, 0) // unused loans are returned after 50 ms
		is.Equal(z.vms[1].pool.Counts().Lent, 0)
	}
}

// Guards against slots of a killed VM that stay unused for more than 3 s: 1 s until it is considered unreachable, plus
// a loan term.
func TestKilledOwner(t *testing.T) {
	is := is.New(t)
	z := newTestZone(Config{}, 3, 16, 8, 1)
	z.run(1100*time.Millisecond, nil)
	z.demand(z.vms[2], 20, 10*time.Millisecond)
	killed := z.now
	z.vms[2].stopped, z.vms[2].held = true, nil
	is.True(z.demand(z.vms[0], 200, time.Second) < 100) // its slots aren't lent while it is considered alive
	z.removeVM(z.vms[2])
	for len(z.vms[0].held) < 128 && z.now.Sub(killed) < 3*time.Second {
		z.run(10*time.Millisecond, nil)
	}
	t.Logf("all slots in use %v after the kill", z.now.Sub(killed))
	is.Equal(len(z.vms[0].held), 128)
}

// Guards against a VM that uses its slots after a pause during which they were taken over, and against one that doesn't
// hand over the tasks that still run.
func TestPause(t *testing.T) {
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
			pausedVM := z.vms[0]
			is.Equal(z.demand(pausedVM, 50, 10*time.Millisecond), 50) // 40 owned slots and 10 loans
			for range 10 {
				z.finish(pausedVM, 0)
			}
			pausedVM.paused = true
			z.run(tc.length, nil)
			if tc.takenOver {
				z.removeVM(pausedVM)
				z.run(2*time.Second, nil)
			}
			pausedVM.paused = false
			_, ok := pausedVM.pool.TryAcquire(z.now)
			is.True(!ok) // the first call after the pause finds neither loans nor owned slots
			z.run(11*time.Millisecond, nil)
			c := pausedVM.pool.Counts()
			is.Equal(c.InUse, 40)
			is.Equal(c.Borrowed, 0)
			is.Equal(c.Waiting == 0, !tc.takenOver)
		})
	}
}

// Guards against a flooded VM that doesn't return slots to one below its target within a run time, and against loans
// that keep moving afterwards.
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
		is.True(held >= 48-7) // the hysteresis is one plus an eighth of the target
		z.kinds = map[string]traffic{}
		z.run(time.Second, targets)
		t.Logf("owner %d: held %d and %d; then in 1 s %v", owner, held, len(late.held), z.kinds)
		is.True(len(late.held) >= held-1)
		is.True(z.kinds["Return"].messages <= 2) // loans don't move
	}
}

func TestWithheldAndUsable(t *testing.T) {
	is := is.New(t)
	z := newTestZone(Config{}, 2, 4, 8, 1)
	z.run(1100*time.Millisecond, nil)
	v, l := z.vms[0], z.vms[0].pool
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
	is.Equal(z.demand(v, 0, 10*time.Millisecond), 26) // half-open
	l.SetConcurrencyLimit(endpointID(0), 1<<30)
	is.Equal(z.demand(v, 0, 10*time.Millisecond), 32)
	l.SetConcurrencyLimit(endpointID(2), 0)
	for v.queued = 0; len(v.held) > 0; {
		z.finish(v, 0)
	}
	is.Equal(z.demand(z.vms[1], 32, 10*time.Millisecond), 24) // an ejected endpoint isn't lent
}

// Guards against a draining VM that can't finish on borrowed slots, doesn't return them at once or keeps any.
func TestDrain(t *testing.T) {
	is := is.New(t)
	z := newTestZone(Config{}, 3, 6, 8, 1)
	z.run(1100*time.Millisecond, nil)
	v := z.vms[0]
	is.Equal(z.demand(v, 10, 10*time.Millisecond), 10)
	v.pool.Drain(z.now)
	z.owners = z.owners[1:]
	for _, other := range z.vms {
		z.inform(other)
	}
	is.Equal(z.demand(v, 10, 30*time.Millisecond), 20)
	is.Equal(v.pool.Counts().Owned, 0)
	is.True(!v.pool.Drained())
	for len(v.held) > 0 {
		z.finish(v, 0)
	}
	z.run(20*time.Millisecond, nil)
	is.True(v.pool.Drained())
	is.Equal(z.demand(z.vms[1], 48, 150*time.Millisecond), 48) // all slots at once
}

// Guards against fixed shares that don't add up to the slots, also after a VM is removed.
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
		z.now = z.now.Add(time.Second) // a pause has no effect without loans
		last := len(z.vms) - 1
		z.removeVM(z.vms[last])
		z.vms = z.vms[:last]
	}
}

// Guards against a release that counts again after the endpoint has changed owners once more, which the views of VMs
// may skip.
func TestStaleRelease(t *testing.T) {
	type step struct {
		owner          int   // owner of the only slot
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
