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
	{"series of stalls", 2, func(s *simulation, r *rand.Rand, m *simMachine) {
		at := time.Duration(0)
		for range 3 + r.IntN(4) {
			d := span(r, 50*time.Millisecond, 900*time.Millisecond)
			s.after(at, func() { s.stall(m, d) })
			at += d + span(r, 5*time.Millisecond, 400*time.Millisecond)
		}
	}},
	{"long suspension", 1, func(s *simulation, r *rand.Rand, m *simMachine) {
		s.stall(m, span(r, 2500*time.Millisecond, 5*time.Second))
	}},
	{"kill of several VMs", 1, func(s *simulation, r *rand.Rand, _ *simMachine) {
		power := r.IntN(3) == 0
		for _, m := range s.machines {
			if r.IntN(5) > 1 {
				s.halt(m, power, span(r, 50*time.Millisecond, 1500*time.Millisecond))
			}
		}
	}},
	{"rolling restart", 2, func(s *simulation, r *rand.Rand, _ *simMachine) {
		at, gap := time.Duration(0), span(r, 150*time.Millisecond, 1200*time.Millisecond)
		for _, i := range r.Perm(len(s.machines)) {
			m, restart := s.machines[i], span(r, 50*time.Millisecond, 800*time.Millisecond)
			s.after(at, func() { s.stopPlanned(m, restart) })
			at += span(r, gap/2, gap)
		}
	}},
	{"loss of workers and of another VM", 3, func(s *simulation, r *rand.Rand, m *simMachine) {
		for _, w := range s.workers {
			if way := r.IntN(3); w.Zone == m.zone && r.IntN(2) == 0 {
				s.cut(m.name, w.Address, way, span(r, time.Second, 3*time.Second))
			}
		}
		other, power, restart := s.machines[r.IntN(len(s.machines))], r.IntN(2) == 0, span(r, 100*time.Millisecond, 2*time.Second)
		s.after(span(r, 0, 900*time.Millisecond), func() { s.halt(other, power, restart) })
		if d := span(r, 50*time.Millisecond, 490*time.Millisecond); r.IntN(2) == 0 {
			s.after(span(r, 0, 900*time.Millisecond), func() { s.stall(m, d) })
		}
	}},
	{"reset callers", 2, func(s *simulation, r *rand.Rand, m *simMachine) {
		if r.IntN(2) == 0 {
			s.stall(m, span(r, 50*time.Millisecond, 600*time.Millisecond))
		}
		s.after(span(r, 0, 500*time.Millisecond), func() { s.resetCallers(m) })
	}},
	{"loss of workers and of callers", 2, func(s *simulation, r *rand.Rand, m *simMachine) {
		other, d := s.machines[r.IntN(len(s.machines))], span(r, 50*time.Millisecond, 490*time.Millisecond)
		s.stall(other, d)
		s.after(span(r, 0, d), func() { s.resetCallers(other) })
		s.after(d+span(r, -100*time.Millisecond, 50*time.Millisecond), func() {
			for _, w := range s.workers {
				if way := r.IntN(3); w.Zone == m.zone && r.IntN(3) > 0 {
					s.cut(m.name, w.Address, way, span(r, time.Second, 3*time.Second))
				}
			}
		})
	}},
	{"silent connections", 3, func(s *simulation, r *rand.Rand, m *simMachine) {
		s.silence(m, r.IntN(3))
	}},
	{"silent connections of all VMs", 1, func(s *simulation, r *rand.Rand, _ *simMachine) {
		for _, m := range s.machines {
			if way := r.IntN(3); r.IntN(3) > 0 {
				s.silence(m, way)
			}
		}
	}},
	{"VM is cut off", 3, func(s *simulation, r *rand.Rand, m *simMachine) {
		s.cutOff(m, span(r, 300*time.Millisecond, 4*time.Second), *simCallersLag)
	}},
	{"VM is replaced", 1, func(s *simulation, r *rand.Rand, m *simMachine) {
		if p := m.process; p != nil && !p.dead && !m.replaced && len(s.machines) < 20 {
			m.replaced = true
			s.halt(m, r.IntN(2) == 0, time.Hour)
			next := &simMachine{name: m.name + "n", zone: m.zone, settings: m.settings}
			next.settings.VM, next.settings.CallerAddress, next.settings.ReadyAddress = next.name, next.name+":callers", next.name+":ready"
			next.settings.PeerAddress, next.settings.MetricsAddress = next.name+":peers", next.name+":metrics"
			s.after(span(r, 0, time.Second), func() {
				s.machines = append(s.machines, next)
				s.keepCutOff(next.name)
				s.start(next)
			})
		}
	}},
	{"zone halts", 1, func(s *simulation, r *rand.Rand, m *simMachine) {
		power := r.IntN(2) == 0
		for _, o := range s.machines {
			if o.zone == m.zone {
				s.halt(o, power, span(r, 200*time.Millisecond, 4*time.Second))
			}
		}
	}},
	{"zone is cut off", 1, func(s *simulation, r *rand.Rand, m *simMachine) {
		d, way := span(r, 300*time.Millisecond, 4*time.Second), r.IntN(3)
		for _, a := range s.machines {
			for _, b := range s.machines {
				if a.zone == m.zone && b.zone != m.zone {
					s.cut(a.name, b.name, way, d)
				}
			}
		}
	}},
	{"reset connections", 3, func(s *simulation, r *rand.Rand, m *simMachine) {
		s.reset(m, r.IntN(2) == 0)
	}},
	{"narrow link", 2, func(s *simulation, r *rand.Rand, m *simMachine) {
		m.narrowRate, m.narrowUntil = float64(10_000+r.IntN(90_000)), time.Now().Add(span(r, 300*time.Millisecond, 3*time.Second))
		s.log("the link of %s is narrowed to %.0f bytes a second for %v", m.name, m.narrowRate, time.Until(m.narrowUntil))
	}},
	{"stall of workers", 3, func(s *simulation, r *rand.Rand, m *simMachine) {
		for _, w := range s.workers {
			if w.Zone == m.zone && r.IntN(2) == 0 {
				s.stallWorker(w, span(r, 50*time.Millisecond, 5*time.Second))
			}
		}
	}},
	{"series of stalls of a worker", 2, func(s *simulation, r *rand.Rand, _ *simMachine) {
		w, at := s.workers[r.IntN(len(s.workers))], time.Duration(0)
		for range 3 + r.IntN(4) {
			d := span(r, 50*time.Millisecond, 1200*time.Millisecond)
			s.after(at, func() { s.stallWorker(w, d) })
			at += d + span(r, 5*time.Millisecond, 400*time.Millisecond)
		}
	}},
	{"store restarts", 2, func(s *simulation, r *rand.Rand, _ *simMachine) {
		d := span(r, 300*time.Millisecond, 4*time.Second)
		for _, m := range s.machines {
			s.failStore(m, []simStoreFault{storeSilent, storeRefuses}[r.IntN(2)], d)
		}
		s.after(d, func() { s.store.compacted = s.store.revision })
		for _, w := range s.workers {
			if back := span(r, 10*time.Millisecond, maxUnlisted); r.IntN(2) == 0 {
				s.after(d-time.Millisecond, func() { s.unlist(w, back) })
			}
		}
	}},
	{"worker is replaced", 3, func(s *simulation, r *rand.Rand, m *simMachine) {
		for _, w := range s.workers {
			if w.Zone == m.zone && r.IntN(4) == 0 {
				s.replaceWorker(w, span(r, 100*time.Millisecond, 2*time.Second), span(r, 0, time.Second))
			}
		}
	}},
	{"worker restarts with another wall clock", 2, func(s *simulation, r *rand.Rand, _ *simMachine) {
		w := s.workers[r.IntN(len(s.workers))]
		w.clockStep = span(r, -5*time.Second, 5*time.Second)
		s.crashWorker(w, true, span(r, 10*time.Millisecond, 600*time.Millisecond))
	}},
	{"VM restarts with another wall clock", 2, func(s *simulation, r *rand.Rand, m *simMachine) {
		m.clockStep = span(r, -5*time.Second, 5*time.Second)
		s.halt(m, r.IntN(2) == 0, span(r, 50*time.Millisecond, 1500*time.Millisecond))
	}},
	{"slow workers", 2, func(s *simulation, r *rand.Rand, m *simMachine) {
		factor, until := 2+8*r.Float64(), time.Now().Add(span(r, 500*time.Millisecond, 3*time.Second))
		for _, w := range s.workers {
			if w.Zone == m.zone && r.IntN(4) == 0 {
				w.slowness, w.slowUntil = factor, until
				s.log("%s is %.1f times as slow for %v", w.ID, factor, time.Until(until))
			}
		}
	}},
	{"unhealthy workers", 2, func(s *simulation, r *rand.Rand, m *simMachine) {
		until := time.Now().Add(span(r, 300*time.Millisecond, 3*time.Second))
		for _, w := range s.workers {
			if w.Zone == m.zone && r.IntN(4) == 0 {
				w.unhealthyUntil = until
				s.log("%s rejects some starts for %v", w.ID, time.Until(until))
			}
		}
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
	if m.process != nil && time.Now().Before(m.process.cutOffUntil) {
		return
	}
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

// reset resets all connections between a VM and other VMs; bytes on their way may be lost.
func (s *simulation) reset(m *simMachine, lose bool) {
	p, now := m.process, time.Now()
	if p == nil || p.dead {
		return
	}
	s.log("the connections of %s are reset", m.name)
	for c := range p.conns {
		for _, stream := range []*simStream{c.in, c.out} {
			if lose {
				stream.chunks = nil
			}
			stream.end(now, errSimReset)
		}
	}
}

// silence lets the open connections of a VM go silent for good, in the first direction (0), the second (1) or both (2); new
// ones work.
func (s *simulation) silence(m *simMachine, way int) {
	p := m.process
	if p == nil || p.dead {
		return
	}
	s.log("the connections of %s go silent in direction %d", m.name, way)
	for c := range p.conns {
		c.in.silent = c.in.silent || way != 1
		c.out.silent = c.out.silent || way != 0
	}
}

// cutOff cuts a VM off from everything. Its callers send their jobs again elsewhere; the VM sees that they have left callersLag
// after the end of the cut, when their connections repeat it, or at once if that is negative.
func (s *simulation) cutOff(m *simMachine, d, callersLag time.Duration) {
	for _, w := range s.workers {
		if p := m.process; p != nil && !p.dead {
			s.cut(m.name, w.Address, 2, d)
		}
	}
	s.cutOffOutside(m, d, callersLag)
}

// cutOffOutside cuts a VM off from everything but workers, see cutOff.
func (s *simulation) cutOffOutside(m *simMachine, d, callersLag time.Duration) {
	p := m.process
	if p == nil || p.dead {
		return
	}
	s.log("%s is cut off for %v, its callers for %v more", m.name, d, callersLag)
	for _, o := range s.machines {
		s.cut(m.name, o.name, 2, d)
	}
	s.store.faults[m.name] = simStoreFaultPeriod{storeSilent, later(p.cutOffUntil, time.Now().Add(d))}
	p.cutOffUntil = later(p.cutOffUntil, time.Now().Add(d))
	if callersLag >= 0 {
		p.callersCutUntil = later(p.callersCutUntil, time.Now().Add(d+callersLag))
	}
	s.resetCallers(m)
}

// keepCutOff cuts the VMs that are cut off from everything off from a new VM or worker.
func (s *simulation) keepCutOff(added string) {
	for _, m := range s.machines {
		if m.process != nil && time.Now().Before(m.process.cutOffUntil) {
			s.cut(m.name, added, 2, time.Until(m.process.cutOffUntil))
		}
	}
}

// resetCallers resets the connections of all callers of a VM.
func (s *simulation) resetCallers(m *simMachine) {
	if p := m.process; p != nil && !p.dead {
		s.log("the callers of %s are reset", m.name)
		close(p.callersReset)
		p.callersReset = make(chan struct{})
	}
}

// stallWorker lets a worker handle no order and send no response for some time. Its runs and its lease end in time, as the
// platform says. Its entry vanishes after simListTimeout.
func (s *simulation) stallWorker(w *simWorker, d time.Duration) {
	w.stalledUntil = later(w.stalledUntil, time.Now().Add(d))
	s.log("%s is stalled for %v", w.ID, time.Until(w.stalledUntil))
	if life := w.life; d > simListTimeout {
		s.after(simListTimeout, func() {
			if w.life == life {
				s.unlist(w, time.Until(w.stalledUntil)+s.between(0, 300*time.Millisecond))
			}
		})
	}
}

// simListTimeout is the time of silence after which the platform removes the entry of a worker.
const simListTimeout = 1500 * time.Millisecond

// replaceWorker lets a worker drain and leave, and adds another one.
func (s *simulation) replaceWorker(w *simWorker, drain, next time.Duration) {
	if w.down || w.Draining {
		return
	}
	s.log("%s drains for %v", w.ID, drain)
	w.Draining = true
	w.publish()
	life := w.life
	s.after(drain, func() {
		if w.life != life {
			return
		}
		s.log("%s leaves", w.ID)
		w.crash()
		s.store.put(w.key(), nil)
	})
	s.after(next, func() {
		added := &simWorker{sim: s, Worker: w.Worker}
		added.ID += "r"
		added.Address = added.ID + ":1"
		s.log("%s joins", added.ID)
		added.start()
		added.publish()
		s.workers = append(s.workers, added)
		s.keepCutOff(added.Address)
	})
}

// simTheme is a kind of burst; it names the faults that it consists of, or any if it is empty.
type simTheme struct {
	name   string
	faults []string
}

var simThemes = []simTheme{
	{"any", nil},
	{"any again", nil},
	{"VMs and links", []string{"stall", "stall of several VMs", "suspension", "loss of power", "kill", "planned stop", "cut from all VMs", "cut from some VMs"}},
	{"stops", []string{"loss of power", "kill", "planned stop"}},
	{"workers", []string{"cut from workers", "lost and late orders", "crash of a worker", "worker entries vanish", "planned stop", "stall"}},
	{"store", []string{"store fault", "store fault for a VM", "suspension", "loss of power", "cut from some VMs"}},
	{"rolling restart", []string{"rolling restart", "planned stop", "reset connections", "cut from some VMs", "stall", "lost and late orders"}},
	{"mass kill", []string{"kill of several VMs", "kill", "store fault", "lost and late orders", "crash of a worker", "stall of several VMs"}},
	{"stalls in series", []string{"series of stalls", "series of stalls of a worker", "stall of workers", "long suspension", "planned stop", "reset connections"}},
	{"links", []string{"narrow link", "reset connections", "cut from some VMs", "cut from all VMs", "cut from workers", "planned stop", "stall"}},
	{"store restart", []string{"store restarts", "worker is replaced", "worker entries vanish", "kill", "planned stop", "lost and late orders"}},
	{"slow workers", []string{"slow workers", "unhealthy workers", "planned stop", "kill", "lost and late orders", "cut from workers", "stall", "reset connections"}},
	{"zones", []string{"zone halts", "zone is cut off", "planned stop", "kill", "store fault for a VM", "cut from some VMs", "lost and late orders"}},
	{"loss of workers and VMs", []string{"loss of workers and of another VM", "stall", "kill", "cut from some VMs", "reset connections"}},
	{"callers", []string{"reset callers", "loss of workers and of callers", "stall", "series of stalls", "cut from workers", "planned stop", "lost and late orders"}},
	{"silent connections", []string{"silent connections", "silent connections of all VMs", "planned stop", "reset connections", "stall", "lost and late orders", "kill", "store fault for a VM"}},
	{"machines", []string{"VM is cut off", "VM is replaced", "kill of several VMs", "suspension", "store fault for a VM", "planned stop", "lost and late orders"}},
	{"clocks", []string{"VM restarts with another wall clock", "worker restarts with another wall clock", "planned stop", "store fault", "cut from some VMs"}},
	{"worker list", []string{"worker is replaced", "worker restarts with another wall clock", "crash of a worker", "stall of workers", "planned stop", "store fault for a VM", "lost and late orders"}},
}

// pickFault returns a fault of a theme.
func pickFault(r *rand.Rand, faults []string) simFault {
	var list []simFault
	total := 0
	for _, f := range simFaults {
		if len(faults) == 0 || slices.Contains(faults, f.name) {
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
		zone := s.zones[plan.IntN(len(s.zones))]
		group := groupName(zone, plan.IntN(s.groups))
		theme := simThemes[plan.IntN(len(simThemes))]
		if i := slices.IndexFunc(simThemes, func(t simTheme) bool { return t.name == *simThemeName }); i >= 0 {
			theme = simThemes[i]
		}
		s.log("theme %q from %v", theme.name, at)
		for range 2 + plan.IntN(5) {
			fault := pickFault(plan, theme.faults)
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
