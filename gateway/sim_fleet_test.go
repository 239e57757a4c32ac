package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/claim"
	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/placement"
	"samphireplank.example/samphireplank/worker"
)

const (
	simLease     = time.Second             // longest lease of a worker
	simResend    = 1300 * time.Millisecond // after which callers send an unanswered job again
	simStopGrace = 6 * time.Second
)

// simulation plays whole VMs with simulated workers, store, network and callers on the clock of a synctest bubble. It checks
// that no task has two runs at a time and that no refused job has run.
type simulation struct {
	t     *testing.T
	begin time.Time
	group errgroup.Group // callers and VMs; none of its functions returns an error

	mu        sync.Mutex
	rand      *rand.Rand
	machines  []*simMachine
	listeners map[string]*simListener
	store     *simStore
	workers   []*simWorker
	cuts      map[[2]string]time.Time // end of the cut from one VM or worker address to another
	jobs      map[string]*simJob
	alive     map[string][]*simRun // by task
	ending    bool                 // no faults any more
	zones     []string
	groups    int // of a zone

	claimRules claim.Rules

	evacuation *simEvacuation // may be nil
	onRun      func(*simRun)  // called when a run starts; may be nil

	durableShare float64                // share of durable jobs
	doneRuns     map[string][]*simEnded // of durable jobs, by task

	trace     []simTraceLine
	broken    []string
	brokenJob string
	counts    map[string]int
}

type simTraceLine struct {
	at   time.Duration
	text string
}

// simMachine is a VM, which runs one process after another.
type simMachine struct {
	name     string
	zone     string
	settings Settings
	process  *simProcess
	powerOff bool
	replaced bool // by another VM

	clockStep   time.Duration // of its wall clock at the next start
	narrowRate  float64       // bytes per second of its link until narrowUntil, whatever its settings say
	narrowUntil time.Time
}

// simProcess is one incarnation of a VM's process.
type simProcess struct {
	sim          *simulation
	machine      *simMachine
	gateway      *Gateway
	stop         context.CancelFunc
	ended        chan struct{} // closed when Run has returned
	conns        map[*simConn]struct{}
	untold       []*simStream  // connections whose end the other side does not know
	died         chan struct{} // closed when the process has died
	dead         bool
	begun        time.Time
	stopping     time.Time // when the planned stop began
	stalledSince time.Time
	stalledUntil time.Time
	drainedAt    time.Time // when the queue of its link will be empty

	callersReset    chan struct{} // closed by a reset of the callers' connections
	callersCutUntil time.Time     // it learns nothing of its callers before
	cutOffUntil     time.Time     // it is cut off from everything else
}

// simDecoder reads entries of the form that worker.Worker has in JSON.
type simDecoder struct{}

func (simDecoder) OperatorPrefix() string   { return "op/" }
func (simDecoder) ConfigurationKey() string { return "op/configuration" }

func (simDecoder) EvacuatedZone(key string) (string, bool) {
	return strings.CutPrefix(key, simEvacuationPrefix)
}

const simEvacuationPrefix = "op/evacuated/"

func (simDecoder) WorkerPrefix() string { return "workers/" }

func (simDecoder) DecodeConfiguration([]byte) (Configuration, error) {
	return Configuration{Version: 1}, nil
}

func (simDecoder) DecodeWork(string, []byte) (job.Work, error) { return job.Work{}, nil }

func (simDecoder) DecodeWorker(key string, value []byte) (worker.Worker, error) {
	var w worker.Worker
	err := json.Unmarshal(value, &w)
	w.ID = strings.TrimPrefix(key, simDecoder{}.WorkerPrefix())
	return w, err
}

// newSimulation returns two zones of some VMs and workers that have not started.
func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{
		t: t, begin: time.Now(), rand: rand.New(rand.NewPCG(seed, 7)), listeners: map[string]*simListener{}, cuts: map[[2]string]time.Time{},
		jobs: map[string]*simJob{}, alive: map[string][]*simRun{}, doneRuns: map[string][]*simEnded{}, counts: map[string]int{},
	}
	s.store = newSimStore(s)
	s.store.put(simDecoder{}.ConfigurationKey(), []byte("{}"))
	narrow := s.chance(0.3)
	if rand.New(rand.NewPCG(seed, 13)).IntN(2) == 0 {
		s.durableShare = 0.4
	}
	size := rand.New(rand.NewPCG(seed, 17))
	zones, vms, workers, groups := 2, 3, 6, 1+s.rand.IntN(2)
	if size.IntN(2) == 0 {
		zones, vms, workers, groups = 2+size.IntN(2), 2+size.IntN(3), 4+size.IntN(6), 1+size.IntN(3)
	}
	if size.IntN(12) == 0 {
		vms = twoWatcherZoneSize
	}
	if s.claimRules = claim.DefaultRules(); size.IntN(3) == 0 {
		s.claimRules.CrossZoneDelay = span(size, 300*time.Millisecond, 2*time.Second)
	}
	s.zones, s.groups = []string{"a", "b", "c"}[:zones], groups
	for _, zone := range s.zones {
		value, err := json.Marshal(zonePartition{Groups: groups})
		if err != nil {
			t.Fatal(err)
		}
		s.store.put(partitionPrefix+zone, value)
		for i := range vms {
			name := fmt.Sprintf("%s%d", zone, i)
			m := &simMachine{name: name, zone: zone, settings: Settings{
				VM: name, Zone: zone, CallerAddress: name + ":callers", ReadyAddress: name + ":ready", PeerAddress: name + ":peers",
				MetricsAddress: name + ":metrics", LeaseDuration: simLease, StopGrace: simStopGrace, ClientRetryDelay: simResend, CPUShare: 1, EndedJobRetention: time.Minute,
			}}
			if narrow {
				m.settings.LinkBytesPerSecond = 250_000
			}
			s.machines = append(s.machines, m)
		}
		for i := range workers {
			id := fmt.Sprintf("w%s%d", zone, i)
			w := &simWorker{sim: s, Worker: worker.Worker{
				ID: id, Service: "cue", Address: id + ":1", Zone: zone, Rack: "r", Labels: []string{"x", "r"}, Capacity: worker.Resources{MilliCores: 64000 + 32000*(i%2), MemoryMiB: 1 << 18},
			}}
			w.start()
			w.publish()
			s.workers = append(s.workers, w)
		}
	}
	return s
}

func (s *simulation) chance(p float64) bool { return s.rand.Float64() < p }

func (s *simulation) chanceLocking(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chance(p)
}

func (s *simulation) between(a, b time.Duration) time.Duration {
	return a + time.Duration(s.rand.Int64N(int64(max(b-a, 1))))
}

func (s *simulation) latency(from, to string) time.Duration {
	if from == to {
		return s.between(200*time.Microsecond, 1200*time.Microsecond)
	}
	return s.between(2*time.Millisecond, 5*time.Millisecond)
}

func (s *simulation) latencyOf(from, to string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latency(from, to)
}

// after runs f with the lock held.
func (s *simulation) after(d time.Duration, f func()) {
	time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		f()
	})
}

func (s *simulation) log(format string, values ...any) {
	s.trace = append(s.trace, simTraceLine{time.Since(s.begin), "sim: " + fmt.Sprintf(format, values...)})
}

func (s *simulation) fail(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	s.log("BROKEN: %s", text)
	s.broken = append(s.broken, fmt.Sprintf("%v: %s", time.Since(s.begin).Round(100*time.Microsecond), text))
}

func (s *simulation) machineAt(address string) *simMachine {
	name, _, _ := strings.Cut(address, ":")
	for _, m := range s.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (s *simulation) workerAt(address string) *simWorker {
	for _, w := range s.workers {
		if w.Address == address {
			return w
		}
	}
	return nil
}

// start starts the process of a VM; the caller holds the lock.
func (s *simulation) start(m *simMachine) {
	if old := m.process; old != nil {
		for _, out := range old.untold {
			out.end(time.Now().Add(time.Millisecond), errSimReset)
		}
	}
	p := &simProcess{sim: s, machine: m, begun: time.Now(), ended: make(chan struct{}), died: make(chan struct{}), callersReset: make(chan struct{}), conns: map[*simConn]struct{}{}}
	m.process, m.powerOff = p, false
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	base := time.Hour + s.between(0, time.Hour)
	began := time.Now()
	clock := func() time.Duration {
		s.mu.Lock()
		defer s.mu.Unlock()
		now := time.Now()
		if now.Before(p.stalledUntil) {
			now = p.stalledSince // it does not read the clock while it is stalled
		}
		return base + now.Sub(began)
	}
	s.log("%s starts", m.name)
	s.group.Go(func() error {
		defer close(p.ended)
		p.gateway = New(Config{
			Settings: m.settings, Store: simKV{p}, Workers: simWorkers{p}, Decoder: simDecoder{}, PlacementRules: placement.DefaultRules(), ClaimRules: s.claimRules,
			NewHandler: func(*Gateway) fasthttp.RequestHandler { return func(*fasthttp.RequestCtx) {} },
			Log:        zerolog.New(p), Clock: clock, Listen: p.listen, Dial: p.dial,
		})
		p.gateway.self.Incarnation += m.clockStep.Nanoseconds()
		err := p.gateway.Run(ctx)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.log("%s has ended", m.name); err != nil && !p.dead {
			s.fail("%s: %v", m.name, err)
		}
		p.dieLocked(true)
		return nil
	})
}

// Write records a log line of the process.
func (p *simProcess) Write(line []byte) (int, error) {
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	if !p.dead {
		p.sim.trace = append(p.sim.trace, simTraceLine{time.Since(p.sim.begin), strings.TrimSpace(string(line))})
	}
	return len(line), nil
}

// awake waits until the process is not stalled; false means that it is dead.
func (p *simProcess) awake() bool {
	for {
		p.sim.mu.Lock()
		dead, wait := p.dead, time.Until(p.stalledUntil)
		p.sim.mu.Unlock()
		if dead || wait <= 0 {
			return !dead
		}
		time.Sleep(wait)
	}
}

// sendAt returns when bytes that are sent now have left the VM's link.
func (p *simProcess) sendAt(now time.Time, bytes int) time.Time {
	rate := p.machine.settings.LinkBytesPerSecond
	if now.Before(p.machine.narrowUntil) {
		rate = p.machine.narrowRate
	}
	if rate == 0 {
		return later(p.drainedAt, now)
	}
	p.drainedAt = later(p.drainedAt, now).Add(time.Duration(float64(bytes+100) / rate * float64(time.Second)))
	return p.drainedAt
}

// dieLocked ends a process at once; other VMs learn of it if tell is set. The caller holds the lock.
func (p *simProcess) dieLocked(tell bool) {
	if p.dead {
		return
	}
	p.dead = true
	close(p.died)
	for c := range p.conns {
		c.closeLocked(tell, errSimReset)
	}
	p.stop()
}

// running returns the VMs that answer callers, of a zone or of all zones.
func (s *simulation) running(zone string) []*simMachine {
	var list []*simMachine
	for _, m := range s.machines {
		p := m.process
		if (zone == "" || m.zone == zone) && p != nil && !p.dead && !time.Now().Before(p.cutOffUntil) && s.listeners[m.settings.PeerAddress] != nil && s.listeners[m.settings.PeerAddress].process == p && (p.stopping.IsZero() || time.Since(p.stopping) < time.Second) {
			list = append(list, m)
		}
	}
	return list
}

// holderOf returns the VM that holds a group according to the store, nil if there is none.
func (s *simulation) holderOf(group string) *simMachine {
	var r claim.Record
	if err := json.Unmarshal(s.store.items[groupPrefix+group].Value, &r); err != nil {
		return nil
	}
	return s.machineAt(r.VM + ":")
}

// runStarted records a new run and checks that it is the only one of its task.
func (s *simulation) runStarted(r *simRun, fence int64) {
	id, _, _, _ := job.ParseTaskName(r.Task)
	j := s.jobs[id]
	s.counts["starts"]++
	s.evacuation.runStarted(r)
	if s.onRun != nil {
		s.onRun(r)
	}
	s.log("%s starts %s run %d by %s under %d, lease %v", r.worker.ID, r.Task, r.Number, r.sender, fence, (r.worker.lease - r.worker.clock()).Round(time.Millisecond))
	if others := s.alive[r.Task]; len(others) > 0 {
		o := others[0]
		s.brokenJob = id
		s.fail("two runs of task %s: run %d on %s by %s since %v, and run %d on %s by %s", r.Task, o.Number, o.worker.ID, o.sender, o.startedAt.Sub(s.begin).Round(100*time.Microsecond), r.Number, r.worker.ID, r.sender)
	}
	if j.refused {
		s.brokenJob = id
		s.fail("task %s of a refused job runs on %s", r.Task, r.worker.ID)
	}
	for _, e := range s.doneRuns[r.Task] {
		e.startedAgain = true
		s.checkDone(e)
	}
	j.started = true
	s.alive[r.Task] = append(s.alive[r.Task], r)
}

func (s *simulation) runEnded(r *simRun, how string) {
	s.alive[r.Task] = slices.DeleteFunc(s.alive[r.Task], func(o *simRun) bool { return o == r })
	id, step, index, _ := job.ParseTaskName(r.Task)
	if how == worker.Done.String() {
		s.jobs[id].done[[2]int{step, index}] = true
	}
	s.log("%s ends %s run %d: %s", r.worker.ID, r.Task, r.Number, how)
}

// simEnded is a run of a durable job that has ended done.
type simEnded struct {
	run          *simRun
	at           time.Time
	acknowledged bool
	startedAgain bool
}

// checkDone reports a task that starts after an end that is taken note of then or later.
func (s *simulation) checkDone(e *simEnded) {
	if e.acknowledged && e.startedAgain {
		s.brokenJob, _, _, _ = job.ParseTaskName(e.run.Task)
		s.fail("task %s starts again after its end of run %d on %s at %v, which is acknowledged", e.run.Task, e.run.Number, e.run.worker.ID, e.at.Sub(s.begin).Round(100*time.Microsecond))
	}
}
