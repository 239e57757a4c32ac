package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// fleet plays a pool against simulated workers on a clock of its own and checks what must hold after each event.
type fleet struct {
	t        testing.TB
	now      time.Time
	start    time.Time
	events   timeline
	rand     *rand.Rand
	pool     stepper
	pools    int
	workers  map[string]*simWorker
	ids      []string
	alive    map[string]int // runs of a task that are alive, over all workers
	begun    map[string]bool
	verdicts map[SubmissionKey]Verdict
	jobs     map[SubmissionKey]*simJob
	known    map[string]*simJob // all jobs that were ever sent, by id
	notes    []timedNote
	listed   WorkerList
	listedAt time.Time
	fenced   bool
	link     simLink
	senders  uint64          // VMs that send the starts of their jobs themselves, by connections from 1 on
	gone     map[uint64]bool // connections that are lost
	rules    Rules
	starts   int           // orders to start
	wasted   time.Duration // core time of runs that were not done, in units of one core

	stored       map[string]*simStored
	storedIDs    []string
	gangs        map[string]*simGang
	cancelled    map[string]bool // stored jobs that were cancelled
	faulty       bool            // faults are played, so that lasting tasks may be stopped
	storeDelay   int             // longest time of a write in milliseconds
	done         map[string]bool // tasks that have ended so
	acknowledged map[string]bool // tasks of stored jobs whose end as done was acknowledged
	failures     map[string]int  // failed runs of tasks of stored jobs that were acknowledged
}

type timedNote struct {
	at   time.Duration
	pool int
	LogEvent
}

// explain logs the decisions on a job and on its workers.
func (f *fleet) explain(id string) {
	for _, n := range f.notes {
		if n.Job == id || n.Worker != "" && n.Job == "" {
			f.t.Logf("%v pool %d: %+v", n.at, n.pool, n.LogEvent)
		}
	}
	for name, w := range f.workers {
		for task, r := range w.runs {
			if j, _ := f.jobOf(task); j != nil && j.work.ID == id {
				f.t.Logf("on %s: %s run %d since %v, lease until %v, clock %v", name, task, r.number, r.began.Sub(f.start), w.lease, f.clock(w))
			}
		}
	}
}

// stepper is a Scheduler or a naive one beside it.
type stepper interface {
	Update(now time.Time, m Message) []Effect
}

type simJob struct {
	work      job.Work
	policy    job.Policy
	sent      time.Time
	length    time.Duration
	ended     time.Time
	objective time.Time
}

type simRun struct {
	number int
	need   worker.Resources
	began  time.Time
	length time.Duration
	fails  bool
	token  int
	gang   *simGang
}

type simWorker struct {
	worker.Worker
	pace     float64
	fence    int64
	runs     map[string]*simRun
	highest  map[string]int // run numbers that ended or were stopped here
	ended    []worker.EndedRun
	sequence int64
	lease    time.Duration
	offset   time.Duration // of its clock
	dark     bool          // neither hears nor answers
	mute     bool          // hears, but its answers are lost
	stuck    bool          // its runs make no progress
	failing  bool
	late     float64 // share of starts that are carried out seconds later, without an answer
	waiting  func()
	token    int
}

const (
	simHop     = 300 * time.Microsecond
	simTimeout = 100 * time.Millisecond
)

type simEvent struct {
	at    time.Time
	order int
	do    func()
}

type timeline struct {
	list []simEvent
	next int
}

func (l *timeline) Len() int { return len(l.list) }
func (l *timeline) Less(i, j int) bool {
	if !l.list[i].at.Equal(l.list[j].at) {
		return l.list[i].at.Before(l.list[j].at)
	}
	return l.list[i].order < l.list[j].order
}
func (l *timeline) Swap(i, j int) { l.list[i], l.list[j] = l.list[j], l.list[i] }
func (l *timeline) Push(x any)    { l.list = append(l.list, x.(simEvent)) }
func (l *timeline) Pop() any {
	x := l.list[len(l.list)-1]
	l.list = l.list[:len(l.list)-1]
	return x
}

// newFleet returns workers of 64 and 96 cores under a fresh pool.
func newFleet(t testing.TB, seed uint64, count int) *fleet {
	f := &fleet{
		stored: map[string]*simStored{}, cancelled: map[string]bool{}, gangs: map[string]*simGang{}, storeDelay: 5, done: map[string]bool{}, acknowledged: map[string]bool{}, failures: map[string]int{},
		t: t, now: time.Unix(1_700_000_000, 0), rand: rand.New(rand.NewPCG(seed, 1)),
		workers: map[string]*simWorker{}, alive: map[string]int{}, begun: map[string]bool{},
		verdicts: map[SubmissionKey]Verdict{}, jobs: map[SubmissionKey]*simJob{}, known: map[string]*simJob{}, gone: map[uint64]bool{},
	}
	f.start, f.rules = f.now, DefaultRules()
	paces := []float64{1.25, 1, 0.8}
	for i := range count {
		cores := 64000
		if i%3 == 2 {
			cores = 96000
		}
		id := fmt.Sprintf("w%02d", i)
		f.workers[id] = &simWorker{
			Worker: worker.Worker{
				ID: id, Service: "cue", Address: id + ":1", Zone: "a", Incarnation: 1,
				Capacity: worker.Resources{MilliCores: cores, MemoryMiB: 1 << 18}, Labels: []string{"a", "r1"},
			},
			pace: paces[(i/3)%3], runs: map[string]*simRun{}, highest: map[string]int{}, offset: time.Duration(i) * time.Second,
		}
		f.ids = append(f.ids, id)
	}
	f.newPool()
	return f
}

// newPool replaces the holder by another one with a higher fence.
func (f *fleet) newPool() {
	f.pools++
	f.fenced = false
	config := Config{Fence: f.fence(), Rules: f.rules, Restoring: len(f.stored) > 0}
	if before, ok := f.pool.(*Scheduler); ok {
		config.LongRunningJobs = before.LongRunningJobs()
	}
	f.pool = New(config)
	f.step(f.pool, f.list())
	f.restore(f.pool)
	f.tick(f.pool)
}

// list returns the workers as they have last written of themselves, every listTime.
func (f *fleet) list() WorkerList {
	if f.listed.Workers == nil || f.now.Sub(f.listedAt) >= listTime {
		f.listed, f.listedAt = WorkerList{}, f.now
		for _, id := range f.ids {
			f.listed.Workers = append(f.listed.Workers, f.workers[id].Worker)
		}
	}
	return f.listed
}

const listTime = 1500 * time.Millisecond

func (f *fleet) after(d time.Duration, do func()) {
	f.events.next++
	heap.Push(&f.events, simEvent{f.now.Add(d), f.events.next, do})
}

// run plays until the time since the start.
func (f *fleet) run(until time.Duration) {
	end := f.start.Add(until)
	for f.events.Len() > 0 && !f.events.list[0].at.After(end) {
		e := heap.Pop(&f.events).(simEvent)
		f.now = e.at
		e.do()
	}
	f.now = end
}

func (f *fleet) tick(p stepper) {
	f.after(50*time.Millisecond, func() {
		if p != f.pool {
			return
		}
		f.step(p, f.list())
		f.step(p, Tick{})
		f.tick(p)
	})
}

func (f *fleet) step(p stepper, m Message) {
	for _, e := range p.Update(f.now, m) {
		f.carryOut(p, e)
	}
}

func (f *fleet) carryOut(p stepper, e Effect) {
	switch e := e.(type) {
	case StartRun:
		f.startBy(p, e)
	case StopRun:
		f.call(e.Order.ID, simTimeout, false,
			func(w *simWorker) (worker.Report, error) { return f.stopOn(w, e.Order) },
			func(r worker.Report, err error) { f.step(p, StopResult{Order: e.Order, Report: r, Err: err}) })
	case PollWorker:
		f.hold(p, e.Order)
	case Reply:
		if old, ok := f.verdicts[e.Key]; ok {
			f.t.Fatalf("job %v got two verdicts: %T and %T", e.Key, old, e.Verdict)
		}
		f.verdicts[e.Key] = e.Verdict
		if j := f.jobs[e.Key]; j != nil {
			j.ended = f.now
			if _, refused := e.Verdict.(NotRun); refused && f.begun[j.work.ID] {
				f.t.Fatalf("job %s was refused as not run after a task had started", j.work.ID)
			}
		}
	case PersistJob:
		f.save(p, e)
	case FencedOff:
		f.fenced = true
	case LogEvent:
		f.notes = append(f.notes, timedNote{f.now.Sub(f.start), f.pools, e})
	}
}

type openError struct{}

func (openError) Error() string { return "no answer" }

// call plays an order to a worker: its way there, and the answer's way back unless one of them is lost.
func (f *fleet) call(id string, timeout time.Duration, start bool, do func(*simWorker) (worker.Report, error), answer func(worker.Report, error)) {
	w := f.workers[id]
	done := false
	finish := func(r worker.Report, err error) {
		if !done {
			done = true
			answer(r, err)
		}
	}
	f.after(timeout, func() { finish(worker.Report{}, openError{}) })
	if w == nil || w.dark {
		return
	}
	if start && f.rand.Float64() < w.late {
		f.after(time.Duration(2+f.rand.IntN(10))*time.Second, func() { _, _ = do(w) })
		return
	}
	f.after(simHop+f.link.send(f.now), func() {
		if w.dark {
			return
		}
		r, err := do(w)
		if w.mute {
			return
		}
		f.after(simHop, func() { finish(r, err) })
	})
}

// simLink is the holder's link to its workers: orders leave it one after the other. A rate of 0 takes no time.
type simLink struct {
	rate  float64 // bytes a second
	known bool    // time-outs begin when the order has left the link, as those of the client of workers
	empty time.Time
}

// simOrderBytes is the size of an order of the users' standard days with its headers.
const simOrderBytes = 1300

func (l *simLink) send(now time.Time) time.Duration {
	if l.rate == 0 {
		return 0
	}
	if l.empty.Before(now) {
		l.empty = now
	}
	l.empty = l.empty.Add(time.Duration(simOrderBytes / l.rate * float64(time.Second)))
	return l.empty.Sub(now)
}

// timeout returns the time-out of an order: that of the pool on a link that takes time.
func (l *simLink) timeout(now time.Time, order time.Duration) time.Duration {
	if l.rate == 0 {
		return simTimeout
	}
	if l.known {
		order += max(l.empty.Sub(now), 0)
	}
	return order
}

// simClass is a kind of job of a load.
type simClass struct {
	route    string
	priority int
	width    int
	length   time.Duration
	cores    int // thousandths
	attempts int
	worth    float64
}

// The kinds of jobs of the users' standard days.
var (
	knot  = simClass{"knot", 0, 8, 60 * time.Millisecond, 27000, 4, 0.0291}
	grain = simClass{"grain", 2, 4, 900 * time.Millisecond, 27000, 2, 0.16}
	quote = simClass{"quote", 1, 2, 200 * time.Millisecond, 27000, 2, 0.01}
)

var simSequence uint64

// submit hands a job to the pool; its length is off from what it declares.
func (f *fleet) submit(c simClass) SubmissionKey {
	simSequence++
	key := SubmissionKey{Sequence: simSequence}
	if f.senders > 0 {
		key.Conn = 1 + simSequence%f.senders
		if f.gone[key.Conn] {
			key.Conn += 100 // its next connection
		}
	}
	w := job.Work{ID: fmt.Sprintf("%016x", simSequence), Spec: "s", BestEffort: true}
	length := time.Duration(float64(c.length) * spread(f.rand, 0.4))
	w.Steps = []job.Step{{
		Count: max(1, int(float64(c.width)*spread(f.rand, 0.4))), Estimate: time.Duration(float64(length) * spread(f.rand, 0.4)),
		Need: worker.Resources{MilliCores: min(int(float64(c.cores)*spread(f.rand, 0.2)), 41000), MemoryMiB: 64},
	}}
	f.submitWork(key, w, c, length, false, Progress{})
	return key
}

func (f *fleet) submitWork(key SubmissionKey, w job.Work, c simClass, length time.Duration, resumed bool, progress Progress) {
	p := job.Policy{
		Route: c.route, Service: "cue", Priority: c.priority, MaxAttempts: c.attempts, Stretch: 1.6, Target: 60 * time.Millisecond,
	}
	f.jobs[key] = &simJob{
		work: w, policy: p, sent: f.now, length: length,
		objective: f.now.Add(time.Duration(1.6*float64(length)) + 60*time.Millisecond),
	}
	f.known[w.ID] = f.jobs[key]
	f.step(f.pool, f.sent(Submit{Key: key, Work: w, Policy: p, Budget: 5 * time.Second, Resumed: resumed, Progress: progress}))
}

// spread returns a factor around 1.
func spread(r *rand.Rand, sigma float64) float64 {
	return min(max(1+sigma*r.NormFloat64(), 0.3), 2.5)
}

// load submits jobs of a class at a rate for a time.
func (f *fleet) load(c simClass, perSecond float64, from, until time.Duration) {
	for at := from; ; {
		at += time.Duration(f.rand.ExpFloat64() / perSecond * float64(time.Second))
		if at >= until {
			return
		}
		f.after(at-f.now.Sub(f.start), func() { f.submit(c) })
	}
}

// fence returns the fence of the present pool; the store's revisions leave room between two holders.
func (f *fleet) fence() int64 { return int64(f.pools) * 256 }
