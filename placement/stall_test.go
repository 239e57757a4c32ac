package placement

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

var stallSeeds = flag.Int("stall-seeds", 400, "number of histories of TestStalledProcesses")

// The durations of the gateway's connections between VMs, and of its callers.
const (
	simHeartbeat     = 150 * time.Millisecond
	simReadTimeout   = 500 * time.Millisecond
	simGrace         = 250 * time.Millisecond
	simPermit        = simReadTimeout + simGrace
	simOrphanTimeout = simPermit + PermitLease + 140*time.Millisecond
	simResend        = 1300 * time.Millisecond
)

// stallFleet is two groups in two zones under real schedulers, and entry VMs that submit jobs over links with delays.
// The first entry VM submits to the first group and, when it has lost that group's holder, to the second one. Its caller
// sends a job again to the second entry VM when the first one is gone.
type stallFleet struct {
	*simClock
	t       testing.TB
	rand    *rand.Rand
	groups  [2]*simGroup
	entries [2]*simProcess
	links   map[uint64]*simPeerLink
	nextID  uint64
	twice   []string
	jobs    []*simJob // submitted by the first entry VM
	echo    bool      // messages return readings of the holder's clock
}

// simPeerLink is a connection of an entry VM to the holder of a group.
type simPeerLink struct {
	fleet                       *stallFleet
	id                          uint64
	entry                       *simProcess
	group                       *simGroup
	holder                      updater
	lostByEntry                 bool
	closedByHolder              bool
	heardByEntry, heardByHolder time.Time
	bound                       time.Duration // of the holder's clock from the entry VM's
	permit                      time.Time
	congestedFrom               time.Time
	congestedUntil              time.Time // what is sent to the holder from congestedFrom on arrives then
	cut                         bool      // nothing arrives in either direction
	onLost, onBeat              func()
}

func newStallFleet(t testing.TB, seed uint64, echo bool) *stallFleet {
	f := &stallFleet{t: t, rand: rand.New(rand.NewPCG(seed, 2)), links: map[uint64]*simPeerLink{}, echo: echo}
	for i := range f.groups {
		sg := newSimGroup(t, seed*2+uint64(i), 3)
		if i > 0 { // the groups share their clock, and what is checked across them
			sg.simClock, sg.alive, sg.knownJobs = f.groups[0].simClock, f.groups[0].alive, f.groups[0].knownJobs
			sg.replaceScheduler()
		}
		f.groups[i], f.simClock = sg, sg.simClock
		sg.twoRuns = func(task string) { f.twice = append(f.twice, task) }
		sg.processes = map[updater]*simProcess{sg.scheduler: {simClock: f.simClock}}
		sg.permits = func() Permits { return f.permitsOf(sg) }
		f.entries[i] = &simProcess{simClock: f.simClock}
	}
	return f
}

func (f *stallFleet) permitsOf(sg *simGroup) Permits {
	if !f.echo {
		return nil
	}
	permits := Permits{}
	for id, l := range f.links {
		if l.group == sg {
			permits[id] = l.permit
		}
	}
	return permits
}

func (f *stallFleet) dial(entry *simProcess, sg *simGroup) *simPeerLink {
	f.nextID++
	l := &simPeerLink{
		fleet: f, id: f.nextID, entry: entry, group: sg, holder: sg.scheduler, heardByEntry: f.now, heardByHolder: f.now,
		bound: -time.Millisecond,
	}
	l.extendPermit(f.now.Add(l.bound))
	f.links[l.id] = l
	l.beat()
	l.watch()
	return l
}

func (l *simPeerLink) extendPermit(echo time.Time) {
	if until := echo.Add(simPermit); until.After(l.permit) {
		l.permit = until
	}
}

// toHolder sends a message, which arrives unless the link is cut, even if the entry VM has closed the connection since.
func (l *simPeerLink) toHolder(f func(echo time.Time)) {
	now, delay := l.fleet.now, time.Millisecond
	if !l.congestedFrom.IsZero() && !now.Before(l.congestedFrom) && now.Before(l.congestedUntil) {
		delay = l.congestedUntil.Sub(now)
	}
	echo := now.Add(l.bound)
	l.fleet.after(delay, func() {
		if l.cut {
			return
		}
		l.group.processes[l.holder].do(func() {
			if !l.closedByHolder {
				l.heardByHolder = l.fleet.now
				l.extendPermit(echo)
				f(echo)
			}
		})
	})
}

func (l *simPeerLink) beat() {
	l.fleet.after(simHeartbeat, func() {
		if l.lostByEntry && l.closedByHolder {
			return
		}
		l.entry.do(func() {
			if !l.lostByEntry {
				l.toHolder(func(time.Time) {})
			}
		})
		l.group.processes[l.holder].do(func() {
			sent := l.fleet.now
			l.fleet.after(time.Millisecond, func() {
				l.entry.do(func() {
					if !l.cut {
						l.heardByEntry, l.bound = l.fleet.now, max(l.bound, sent.Sub(l.fleet.now))
					}
				})
			})
		})
		l.beat()
	})
}

// watch detects on either side that the other one is silent.
func (l *simPeerLink) watch() {
	l.fleet.after(50*time.Millisecond, func() {
		if l.lostByEntry && l.closedByHolder {
			return
		}
		l.entry.do(func() {
			if !l.lostByEntry && l.fleet.now.Sub(l.heardByEntry) > simReadTimeout {
				l.lostByEntry = true
				l.onLost()
			} else if !l.lostByEntry {
				l.onBeat()
			}
		})
		l.group.processes[l.holder].do(func() {
			if !l.closedByHolder && l.fleet.now.Sub(l.heardByHolder) > simReadTimeout {
				l.closedByHolder = true
				l.group.step(l.holder, SenderDisconnected{l.id})
				l.fleet.after(simGrace, func() { l.group.step(l.holder, WithdrawConn{l.id}) })
			}
		})
		l.watch()
	})
}

// submit submits the job over a new link, and over a link to the other group once no run can be left in the first one.
func (f *stallFleet) submit(entry *simProcess, sg *simGroup, j *simJob, resumed bool, progress Progress) {
	l := f.dial(entry, sg)
	f.nextID++
	sent := SubmissionKey{Conn: l.id, Sequence: f.nextID}
	l.onLost = func() {
		f.after(50*time.Millisecond, func() { // the group's next holder, if there is one
			entry.do(func() {
				if sg.verdicts[sent] == nil && sg.scheduler != l.holder {
					f.submit(entry, sg, j, true, Progress{})
				}
			})
		})
		f.after(simOrphanTimeout, func() {
			entry.do(func() {
				if sg.verdicts[sent] == nil && sg.scheduler == l.holder {
					f.submit(entry, f.groups[1], j, false, Progress{})
				}
			})
		})
	}
	l.onBeat = func() {
		switch v := sg.verdicts[sent].(type) {
		case HandedOver:
			l.onBeat = func() {}
			f.submit(entry, sg, j, true, v.Progress)
		case NotRun:
			l.onBeat = func() {}
			f.submit(entry, f.groups[1], j, false, Progress{})
		}
	}
	if f.congest(sg) {
		l.congestedFrom, l.congestedUntil = f.now, f.now.Add(f.upTo(2000))
	}
	l.toHolder(func(echo time.Time) {
		m := Submit{Key: sent, Work: j.work, Policy: j.policy, Budget: 4 * time.Second, Resumed: resumed, Progress: progress}
		if f.echo {
			m.PermitUntil = echo.Add(simPermit)
		}
		sg.step(l.holder, m)
	})
}

func (f *stallFleet) congest(sg *simGroup) bool { return sg == f.groups[0] && f.rand.IntN(3) == 0 }

func (f *stallFleet) upTo(milliseconds int) time.Duration {
	return time.Duration(f.rand.IntN(milliseconds)) * time.Millisecond
}

func (f *stallFleet) stall(p *simProcess) {
	p.stalledUntil = f.now.Add(50*time.Millisecond + f.upTo(550))
}

// newJob returns a job of a few tasks that run long enough to meet their second runs.
func (f *stallFleet) newJob() *simJob {
	f.nextID++
	c := callerJob
	w := job.Work{ID: fmt.Sprintf("%016x", f.nextID), Spec: "s", BestEffort: true}
	length := 200*time.Millisecond + f.upTo(2500)
	w.Steps = []job.Step{{Count: 1 + f.rand.IntN(2), Estimate: length, Need: worker.Resources{MilliCores: c.cores}}}
	j := &simJob{
		work: w, length: length, sent: f.now,
		policy: job.Policy{Route: c.route, Service: "cue", Priority: c.priority, MaxAttempts: c.attempts, Stretch: 8, Target: 2 * time.Second},
	}
	f.groups[0].knownJobs[w.ID] = j
	return j
}

var callerJob = jobClass{route: "caller", cores: 20000, attempts: 3}

// stallAt stalls the holder of a group right after it has decided on the n-th order of a kind.
func (f *stallFleet) stallAt(sg *simGroup, isKind func(Effect) bool, n int) {
	sg.onEffect = func(e Effect) {
		if isKind(e) {
			if n--; n == 0 {
				f.stall(sg.processes[sg.scheduler])
			}
		}
	}
}

func isStart(e Effect) bool { _, ok := e.(StartRun); return ok }
func isStop(e Effect) bool  { _, ok := e.(StopRun); return ok }
func isPoll(e Effect) bool  { _, ok := e.(PollWorker); return ok }

// kill ends the holder of the first group; a successor takes the group after some time.
func (f *stallFleet) kill(sg *simGroup) {
	sg.processes[sg.scheduler].dead = true
	old := sg.scheduler
	f.after(100*time.Millisecond+f.upTo(900), func() {
		sg.replaceScheduler()
		sg.processes[sg.scheduler] = sg.processes[old].successor()
	})
}

func (p *simProcess) successor() *simProcess { return &simProcess{simClock: p.simClock} }

// play runs one history and returns the tasks that had two runs at a time.
func (f *stallFleet) play() []string {
	first := f.groups[0]
	f.runUntil(first.start.Add(300 * time.Millisecond)) // the workers are synced
	kinds := []func(Effect) bool{isStart, isStop, isPoll}
	if kind := f.rand.IntN(4); kind < len(kinds) {
		f.stallAt(first, kinds[kind], 1+f.rand.IntN(6))
	}
	f.after(f.upTo(2500), func() { f.stall(first.processes[first.scheduler]) })
	f.after(f.upTo(2500), func() { f.stall(f.entries[0]) })
	for range 3 {
		j, other := f.newJob(), f.newJob() // the other job keeps the leases of the workers alive
		f.after(f.upTo(600), func() {
			f.entries[0].do(func() {
				f.jobs = append(f.jobs, j)
				f.submit(f.entries[0], first, j, false, Progress{})
			})
		})
		f.after(f.upTo(1500), func() { f.submit(f.entries[1], first, other, false, Progress{}) })
	}
	f.after(700*time.Millisecond, func() {
		switch f.rand.IntN(4) {
		case 0:
			f.killEntry()
		case 1:
			f.killEntry()
			f.after(f.upTo(1000), func() { f.kill(first) })
		case 2:
			for _, l := range f.links {
				l.cut = l.cut || l.entry == f.entries[0] && l.group == first
			}
		case 3:
			f.kill(first)
		}
	})
	f.runUntil(first.start.Add(7 * time.Second))
	return f.twice
}

// killEntry kills the first entry VM; the callers of its jobs send them again to the second one.
func (f *stallFleet) killEntry() {
	f.entries[0].dead = true
	for _, l := range f.links {
		if l.entry == f.entries[0] {
			l.lostByEntry = true
		}
	}
	f.after(simResend, func() {
		for _, j := range f.jobs {
			f.submit(f.entries[1], f.groups[1], j, false, Progress{})
		}
	})
}

// Guards against two runs of a task at a time when a holder or an entry VM gets no processor for up to 600 ms at any of
// its steps, or a submission arrives late, while the entry VM is killed, its link is cut or the holder is replaced.
func TestStalledProcesses(t *testing.T) {
	for seed := range uint64(*stallSeeds) {
		if twice := newStallFleet(t, seed, true).play(); len(twice) > 0 {
			t.Errorf("seed %d: two runs at a time of %v", seed, twice)
		}
	}
}
