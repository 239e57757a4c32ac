package placement

import (
	"sort"
	"time"
)

// Config configures a Scheduler.
type Config struct {
	Fence int64 // of all orders of this holder
	Rules Rules
	// IncompleteList says that the list of workers may lack some that an earlier holder has used and whose entries have lapsed.
	IncompleteList bool
	// Restoring says that stored jobs of the group are still being read; RestoreDone ends it.
	Restoring bool
	// LongRunningJobs are jobs with tasks that last, as far as the earlier holder has told: their runs are not stopped while the
	// stored jobs are being read.
	LongRunningJobs []string
}

// Scheduler is the state of one group of workers under one holder. It is not safe for concurrent use.
type Scheduler struct {
	fence     int64
	partial   bool
	rules     Rules
	now       time.Time
	began     time.Time
	nodes     map[string]*node
	order     []*node // by id, so that equal inputs give equal effects
	jobs      map[SubmissionKey]*batch
	byID      map[string]*batch
	queue     []*batch         // with tasks that wait for room, in the order of service
	tasks     map[string]*run  // runs that may be alive, by task
	found     map[string]found // runs of an earlier holder, by task
	durations map[string]float64
	patience  patience
	kept      map[string]*batch // stored jobs until their end is stored
	changed   []*batch          // stored jobs with something new to store
	listed    []listedEnd
	lasting   map[string]bool // of the earlier holder, until the stored jobs are known
	restored  bool            // the stored jobs of the group are known
	effects   []Effect
	unsorted  bool
	ended     bool // fenced off or handed over
}

// New returns a Scheduler without workers.
func New(config Config) *Scheduler {
	p := &Scheduler{
		fence:     config.Fence,
		partial:   config.IncompleteList,
		rules:     config.Rules,
		nodes:     map[string]*node{},
		jobs:      map[SubmissionKey]*batch{},
		byID:      map[string]*batch{},
		tasks:     map[string]*run{},
		found:     map[string]found{},
		durations: map[string]float64{},
		kept:      map[string]*batch{},
		restored:  !config.Restoring,
		lasting:   map[string]bool{},
	}
	for _, id := range config.LongRunningJobs {
		p.lasting[id] = true
	}
	return p
}

// Update takes a message and returns what follows from it.
func (p *Scheduler) Update(now time.Time, message Message) []Effect {
	p.effects = nil
	if p.ended {
		p.refuseAfterEnd(message)
		return p.effects
	}
	if p.began.IsZero() {
		p.began = now
	}
	p.now = now
	switch m := message.(type) {
	case WorkerList:
		p.takeFleet(m)
	case Submit:
		p.submit(m)
	case Withdraw:
		p.withdraw(m)
	case StartResult:
		p.startAnswered(m)
	case StopResult:
		p.stopAnswered(m)
	case PollResult:
		p.holdAnswered(m)
	case SenderDisconnected:
		p.senderLost(m.Conn)
	case WithdrawConn:
		p.withdrawLink(m.Conn)
	case RaiseFence:
		p.fence = max(p.fence, m.Fence)
	case JobPersisted:
		p.takeSaved(m)
	case CancelJob:
		p.cancel(m.Job)
	case RestoreDone:
		p.takeRestored()
	case Tick:
		p.tick()
	case HandOver:
		p.handOver()
		return p.effects
	}
	if !p.ended {
		p.expire()
		p.place()
		p.saveChanged()
		p.renew()
	}
	return p.effects
}

// Idle says whether the pool has neither jobs nor runs.
func (p *Scheduler) Idle() bool { return len(p.jobs) == 0 && len(p.tasks) == 0 }

// QueuedByRoute returns the numbers of jobs that have not started, by route.
func (p *Scheduler) QueuedByRoute() map[string]int {
	waiting := map[string]int{}
	for _, b := range p.byID {
		if !b.begun && !b.closed && !p.now.Before(b.due) {
			waiting[b.policy.Route]++
		}
	}
	return waiting
}

// HasStarted says whether a job is here of which a task has started.
func (p *Scheduler) HasStarted(id string) bool {
	b := p.byID[id]
	return b != nil && b.begun
}

// LongRunningJobs returns the ids of the jobs with tasks that last.
func (p *Scheduler) LongRunningJobs() []string {
	var ids []string
	for id, b := range p.kept {
		if b.work.IsLongRunning() {
			ids = append(ids, id)
		}
	}
	return ids
}

// Stats returns the numbers of jobs, of jobs with waiting tasks and of runs.
func (p *Scheduler) Stats() (jobs, queued, runs int) { return len(p.byID), len(p.queue), len(p.tasks) }

func (p *Scheduler) emit(e Effect) { p.effects = append(p.effects, e) }

func (p *Scheduler) note(event, job, worker, reason string, values map[string]int64) {
	p.emit(LogEvent{Event: event, Job: job, Worker: worker, Reason: reason, Values: values})
}

func ms(d time.Duration) int64 { return d.Milliseconds() }

// tick lets time pass for workers that are gone, silent or not yet known.
func (p *Scheduler) tick() {
	for _, n := range p.order {
		p.lapse(n)
	}
	p.forgetGone()
	p.leaveDraining()
	p.endAdoption()
}

// fenced ends the pool after a worker has named a higher fence.
func (p *Scheduler) fenced(worker string) {
	p.emit(FencedOff{Worker: worker})
	p.handOver()
}

// handOver gives all jobs up to the next holder.
func (p *Scheduler) handOver() {
	p.ended = true
	keys := make([]SubmissionKey, 0, len(p.jobs))
	for k := range p.jobs {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].less(keys[j]) })
	for _, k := range keys {
		b := p.jobs[k]
		if !b.started {
			p.emit(Reply{k, NotRun{Reason: ReasonHandedOver, RetryAfter: p.rules.MinRetryAfter}})
			continue
		}
		p.emit(Reply{k, HandedOver{Progress: b.progress(p.tasks, p.found, p.now)}})
	}
	p.jobs = map[SubmissionKey]*batch{}
}

// ReasonHandedOver tells an entry VM that another holder has the group.
const ReasonHandedOver = "moved"

func (p *Scheduler) refuseAfterEnd(message Message) {
	if m, ok := message.(Submit); ok && !m.Durable {
		if m.Resumed {
			p.emit(Reply{m.Key, HandedOver{Progress: m.Progress}})
			return
		}
		p.emit(Reply{m.Key, NotRun{Reason: ReasonHandedOver, RetryAfter: p.rules.MinRetryAfter}})
	}
}
