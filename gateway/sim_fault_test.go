package gateway

import (
	"math/rand/v2"
	"slices"
	"time"
)

// simFault is a fault of a simulation. Its parameters come from r, so that they do not depend on the order of other events.
type simFault struct {
	name   string
	weight int
	apply  func(s *simulation, r *rand.Rand, m *simMachine)
}

func span(r *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(r.Int64N(int64(to-from)))
}

// simFaults are the faults of a VM m and of what it is in touch with.
var simFaults = []simFault{
	{"stall", 8, func(s *simulation, r *rand.Rand, m *simMachine) {
		s.stall(m, span(r, 50*time.Millisecond, 600*time.Millisecond))
	}},
	{"stall of several VMs", 3, func(s *simulation, r *rand.Rand, _ *simMachine) {
		for _, m := range s.machines {
			if r.IntN(2) == 0 {
				s.stall(m, span(r, 50*time.Millisecond, 600*time.Millisecond))
			}
		}
	}},
	{"suspension", 2, func(s *simulation, r *rand.Rand, m *simMachine) {
		s.stall(m, span(r, 600*time.Millisecond, 2500*time.Millisecond))
	}},
	{"loss of power", 4, func(s *simulation, r *rand.Rand, m *simMachine) {
		s.halt(m, true, span(r, 300*time.Millisecond, 3*time.Second))
	}},
	{"kill", 3, func(s *simulation, r *rand.Rand, m *simMachine) {
		s.halt(m, false, span(r, 100*time.Millisecond, 1500*time.Millisecond))
	}},
	{"planned stop", 6, func(s *simulation, r *rand.Rand, m *simMachine) {
		s.stopPlanned(m, span(r, 100*time.Millisecond, time.Second))
	}},
	{"cut from all VMs", 4, func(s *simulation, r *rand.Rand, m *simMachine) {
		d, way := span(r, 200*time.Millisecond, 2500*time.Millisecond), r.IntN(3)
		for _, o := range s.machines {
			s.cut(m.name, o.name, way, d)
		}
	}},
	{"cut from some VMs", 4, func(s *simulation, r *rand.Rand, m *simMachine) {
		for _, o := range s.machines {
			if r.IntN(2) == 0 {
				s.cut(m.name, o.name, r.IntN(3), span(r, 200*time.Millisecond, 2500*time.Millisecond))
			}
		}
	}},
	{"cut from workers", 4, func(s *simulation, r *rand.Rand, m *simMachine) {
		for _, w := range s.workers {
			if w.Zone == m.zone && r.IntN(2) == 0 {
				s.cut(m.name, w.Address, r.IntN(3), span(r, 100*time.Millisecond, 2*time.Second))
			}
		}
	}},
	{"store fault for a VM", 3, func(s *simulation, r *rand.Rand, m *simMachine) {
		s.failStore(m, simStoreFault(1+r.IntN(4)), span(r, 300*time.Millisecond, 3*time.Second))
	}},
	{"store fault", 3, func(s *simulation, r *rand.Rand, _ *simMachine) {
		fault, d := simStoreFault(1+r.IntN(4)), span(r, 300*time.Millisecond, 4*time.Second)
		for _, m := range s.machines {
			s.failStore(m, fault, d)
		}
	}},
	{"lost and late orders", 4, func(s *simulation, r *rand.Rand, m *simMachine) {
		for _, w := range s.workers {
			if w.Zone == m.zone && r.IntN(3) == 0 {
				w.faultyTil = time.Now().Add(span(r, 300*time.Millisecond, 2*time.Second))
				s.log("%s loses and delays orders for %v", w.ID, time.Until(w.faultyTil))
			}
		}
	}},
	{"crash of a worker", 3, func(s *simulation, r *rand.Rand, _ *simMachine) {
		s.crashWorker(s.workers[r.IntN(len(s.workers))], r.IntN(3) > 0, span(r, 10*time.Millisecond, 600*time.Millisecond))
	}},
	{"worker entries vanish", 2, func(s *simulation, r *rand.Rand, m *simMachine) {
		for _, w := range s.workers {
			if w.Zone == m.zone && r.IntN(3) == 0 {
				s.unlist(w, span(r, 300*time.Millisecond, maxUnlisted))
			}
		}
	}},
}

// maxUnlisted is how long the entry of a worker that is alive may be missing; the platform says two seconds.
const maxUnlisted = 2 * time.Second

func (s *simulation) stall(m *simMachine, d time.Duration) {
	p, now := m.process, time.Now()
	if p == nil || p.dead {
		return
	}
	if !now.Before(p.stalledUntil) {
		p.stalledSince = now
	}
	p.stalledUntil = later(p.stalledUntil, now.Add(d))
	s.log("%s is stalled for %v", m.name, time.Until(p.stalledUntil))
}

// halt ends the process of a VM; without power the other VMs do not learn of it.
func (s *simulation) halt(m *simMachine, power bool, restart time.Duration) {
	p := m.process
	if p == nil || p.dead {
		return
	}
	s.log("%s halts for %v, loss of power %v", m.name, restart, power)
	m.powerOff = power
	p.dieLocked(!power)
	s.after(restart, func() {
		if !s.ending && m.process == p {
			s.start(m)
		}
	})
}

func (s *simulation) stopPlanned(m *simMachine, restart time.Duration) {
	p := m.process
	if p == nil || p.dead || !p.stopping.IsZero() {
		return
	}
	s.log("%s stops", m.name)
	p.stopping = time.Now()
	p.stop()
	s.group.Go(func() error {
		<-p.ended
		time.Sleep(restart)
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.ending && m.process == p {
			s.start(m)
		}
		return nil
	})
}

// cut cuts the link between two VMs, or a VM and a worker, in the first direction (0), the second (1) or both (2).
func (s *simulation) cut(a, b string, way int, d time.Duration) {
	if a == b {
		return
	}
	s.log("%s and %s are cut for %v in direction %d", a, b, d, way)
	until := time.Now().Add(d)
	if way != 1 {
		s.cuts[[2]string{a, b}] = later(until, s.cuts[[2]string{a, b}])
	}
	if way != 0 {
		s.cuts[[2]string{b, a}] = later(until, s.cuts[[2]string{b, a}])
	}
}

func (s *simulation) failStore(m *simMachine, fault simStoreFault, d time.Duration) {
	s.log("the store of %s has fault %d for %v", m.name, fault, d)
	s.store.faults[m.name] = simStoreFaultPeriod{fault, time.Now().Add(d)}
}

// crashWorker ends a worker, which starts again under the same id or another one.
func (s *simulation) crashWorker(w *simWorker, sameID bool, restart time.Duration) {
	if w.down {
		return
	}
	s.log("%s crashes for %v, same id %v", w.ID, restart, sameID)
	w.crash()
	old := w.key()
	if !sameID {
		s.after(s.between(2*time.Second, 4*time.Second), func() { s.store.put(old, nil) })
	}
	s.after(restart, func() {
		if !sameID {
			w.ID += "n"
		}
		w.start()
		s.after(s.between(0, 200*time.Millisecond), func() {
			if !w.down {
				w.publish()
			}
		})
	})
}

func (s *simulation) unlist(w *simWorker, d time.Duration) {
	if w.down {
		return
	}
	s.log("the entry of %s vanishes for %v", w.ID, d)
	s.store.put(w.key(), nil)
	s.after(d, func() {
		if !w.down {
			w.publish()
		}
	})
}

// simThemes are the kinds of bursts; each names the faults that it consists of, or any if it is empty.
var simThemes = [][]string{
	nil,
	nil,
	{"stall", "stall of several VMs", "suspension", "loss of power", "kill", "planned stop", "cut from all VMs", "cut from some VMs"},
	{"loss of power", "kill", "planned stop"},
	{"cut from workers", "lost and late orders", "crash of a worker", "worker entries vanish", "planned stop", "stall"},
	{"store fault", "store fault for a VM", "suspension", "loss of power", "cut from some VMs"},
}

// pickFault returns a fault of a theme.
func pickFault(r *rand.Rand, theme []string) simFault {
	var list []simFault
	total := 0
	for _, f := range simFaults {
		if len(theme) == 0 || slices.Contains(theme, f.name) {
			list, total = append(list, f), total+f.weight
		}
	}
	n := r.IntN(total)
	for _, f := range list {
		if n -= f.weight; n < 0 {
			return f
		}
	}
	return list[0]
}

// planFaults schedules bursts of faults, most of them of the holder of one group.
func (s *simulation) planFaults(seed uint64, from, until time.Duration) {
	plan := rand.New(rand.NewPCG(seed, 11))
	for range 3 + plan.IntN(3) {
		at := span(plan, from, until)
		zone := []string{"a", "b"}[plan.IntN(2)]
		group := groupName(zone, plan.IntN(2))
		theme := simThemes[plan.IntN(len(simThemes))]
		for range 2 + plan.IntN(5) {
			fault := pickFault(plan, theme)
			r := rand.New(rand.NewPCG(seed, plan.Uint64()))
			s.after(at, func() {
				m := s.holderOf(group)
				if m == nil || r.IntN(3) == 0 {
					m = s.machines[r.IntN(len(s.machines))]
				}
				s.log("fault %q at %s", fault.name, m.name)
				s.counts[fault.name]++
				fault.apply(s, r, m)
			})
			at += span(plan, 20*time.Millisecond, 700*time.Millisecond)
		}
	}
}
