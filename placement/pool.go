package placement

import (
	"sort"
	"time"
)

// Config configures a Pool.
type Config struct {
	Fence int64 // of all orders of this holder
	Rules Rules
	// Partial says that the list of workers may lack some that an earlier holder has used and whose entries have lapsed.
	Partial bool
	// Restoring says that stored jobs of the group are still being read; Restored ends it.
	Restoring bool
	// Lasting are jobs with tasks that last, as far as the earlier holder has told: their runs are not stopped while the
	// stored jobs are being read.
	Lasting []string
}

// Pool is the state of one group of workers under one holder. It is not safe for concurrent use.
type Pool struct {
	fence     int64
	partial   bool
	rules     Rules
	now       time.Time
	began     time.Time
	nodes     map[string]*node
	order     []*node // by id, so that equal inputs give equal effects
	jobs      map[Key]*batch
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

// New returns a Pool without workers.
func New(config Config) *Pool {
	p := &Pool{
		fence:     config.Fence,
		partial:   config.Partial,
		rules:     config.Rules,
		nodes:     map[string]*node{},
		jobs:      map[Key]*batch{},
		byID:      map[string]*batch{},
		tasks:     map[string]*run{},
		found:     map[string]found{},
		durations: map[string]float64{},
		kept:      map[string]*batch{},
		restored:  !config.Restoring,
		lasting:   map[string]bool{},
	}
	for _, id := range config.Lasting {
		p.lasting[id] = true
	}
	return p
}

// Step takes a message and returns what follows from it.
func (p *Pool) Step(now time.Time, message Message) []Effect {
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
	case Fleet:
		p.takeFleet(m)
	case Submit:
		p.submit(m)
	case Withdraw:
		p.withdraw(m)
	case StartAnswer:
		p.startAnswered(m)
	case StopAnswer:
		p.stopAnswered(m)
	case HoldAnswer:
		p.holdAnswered(m)
	case SenderLost:
		p.senderLost(m.Link)
	case WithdrawLink:
		p.withdrawLink(m.Link)
	case Raise:
		p.fence = max(p.fence, m.Fence)
	case Saved:
		p.takeSaved(m)
	case Cancel:
		p.cancel(m.Job)
	case Restored:
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
func (p *Pool) Idle() bool { return len(p.jobs) == 0 && len(p.tasks) == 0 }

// Waiting returns the numbers of jobs that have not started, by route.
func (p *Pool) Waiting() map[string]int {
	waiting := map[string]int{}
	for _, b := range p.byID {
		if !b.begun && !b.closed && !p.now.Before(b.due) {
			waiting[b.policy.Route]++
		}
	}
	return waiting
}

// Begun says whether a job is here of which a task has started.
func (p *Pool) Begun(id string) bool {
	b := p.byID[id]
	return b != nil && b.begun
}

// Lasting returns the ids of the jobs with tasks that last.
func (p *Pool) Lasting() []string {
	var ids []string
	for id, b := range p.kept {
		if b.work.Lasts() {
			ids = append(ids, id)
		}
	}
	return ids
}

// Counts returns the numbers of jobs, of jobs with waiting tasks and of runs.
func (p *Pool) Counts() (jobs, queued, runs int) { return len(p.byID), len(p.queue), len(p.tasks) }

func (p *Pool) emit(e Effect) { p.effects = append(p.effects, e) }

func (p *Pool) note(event, job, worker, reason string, values map[string]int64) {
	p.emit(Note{Event: event, Job: job, Worker: worker, Reason: reason, Values: values})
}

func ms(d time.Duration) int64 { return d.Milliseconds() }

// tick lets time pass for workers that are gone, silent or not yet known.
func (p *Pool) tick() {
	for _, n := range p.order {
		p.lapse(n)
	}
	p.forgetGone()
	p.leaveDraining()
	p.endAdoption()
}

// fenced ends the pool after a worker has named a higher fence.
func (p *Pool) fenced(worker string) {
	p.emit(Fenced{Worker: worker})
	p.handOver()
}

// handOver gives all jobs up to the next holder.
func (p *Pool) handOver() {
	p.ended = true
	keys := make([]Key, 0, len(p.jobs))
	for k := range p.jobs {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].less(keys[j]) })
	for _, k := range keys {
		b := p.jobs[k]
		if !b.started {
			p.emit(Answer{k, NotRun{Reason: ReasonMoved, RetryAfter: p.rules.MinRefusalWait}})
			continue
		}
		p.emit(Answer{k, Moved{Progress: b.progress(p.tasks, p.found, p.now)}})
	}
	p.jobs = map[Key]*batch{}
}

// ReasonMoved tells an entry VM that another holder has the group.
const ReasonMoved = "moved"

func (p *Pool) refuseAfterEnd(message Message) {
	if m, ok := message.(Submit); ok && !m.Kept {
		if m.Resumed {
			p.emit(Answer{m.Key, Moved{Progress: m.Progress}})
			return
		}
		p.emit(Answer{m.Key, NotRun{Reason: ReasonMoved, RetryAfter: p.rules.MinRefusalWait}})
	}
}
