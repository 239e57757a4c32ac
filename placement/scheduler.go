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
	fence           int64
	incompleteList  bool
	rules           Rules
	now             time.Time
	firstUpdate     time.Time
	workers         map[string]*workerState
	sortedWorkers   []*workerState // by id, so that equal inputs give equal effects
	submissions     map[SubmissionKey]*jobState
	jobs            map[string]*jobState
	queue           []*jobState            // with tasks that wait for room, in the order of service
	runs            map[string]*run        // runs that may be alive, by task
	orphans         map[string]orphanedRun // runs of an earlier holder, by task
	routeDurations  map[string]float64
	startRTT        rttEstimator
	durableJobs     map[string]*jobState // stored jobs until their end is stored
	unpersisted     []*jobState          // stored jobs with something new to store
	deferredEnds    []deferredEnd
	longRunningJobs map[string]bool // of the earlier holder, until the stored jobs are known
	restored        bool            // the stored jobs of the group are known
	effects         []Effect
	unsorted        bool
	stopped         bool // fenced off or handed over
}

// New returns a Scheduler without workers.
func New(config Config) *Scheduler {
	s := &Scheduler{
		fence:           config.Fence,
		incompleteList:  config.IncompleteList,
		rules:           config.Rules,
		workers:         map[string]*workerState{},
		submissions:     map[SubmissionKey]*jobState{},
		jobs:            map[string]*jobState{},
		runs:            map[string]*run{},
		orphans:         map[string]orphanedRun{},
		routeDurations:  map[string]float64{},
		durableJobs:     map[string]*jobState{},
		restored:        !config.Restoring,
		longRunningJobs: map[string]bool{},
	}
	for _, id := range config.LongRunningJobs {
		s.longRunningJobs[id] = true
	}
	return s
}

// Update takes a message and returns what follows from it.
func (s *Scheduler) Update(now time.Time, message Message) []Effect {
	s.effects = nil
	if s.stopped {
		s.rejectAfterStop(message)
		return s.effects
	}
	if s.firstUpdate.IsZero() {
		s.firstUpdate = now
	}
	s.now = now
	switch m := message.(type) {
	case WorkerList:
		s.updateWorkers(m)
	case Submit:
		s.submit(m)
	case Withdraw:
		s.withdraw(m)
	case StartResult:
		s.handleStartResult(m)
	case StopResult:
		s.handleStopResult(m)
	case PollResult:
		s.handlePollResult(m)
	case SenderDisconnected:
		s.handleSenderDisconnected(m.Conn)
	case WithdrawConn:
		s.withdrawConn(m.Conn)
	case RaiseFence:
		s.fence = max(s.fence, m.Fence)
	case JobPersisted:
		s.handleJobPersisted(m)
	case CancelJob:
		s.cancelDurable(m.Job)
	case RestoreDone:
		s.handleRestoreDone()
	case Tick:
		s.tick()
	case HandOver:
		s.handOver()
		return s.effects
	}
	if !s.stopped {
		s.expireJobs()
		s.place()
		s.persistChanged()
		s.pollWorkers()
	}
	return s.effects
}

// Idle says whether the pool has neither jobs nor runs.
func (s *Scheduler) Idle() bool { return len(s.submissions) == 0 && len(s.runs) == 0 }

// QueuedByRoute returns the numbers of jobs that have not started, by route.
func (s *Scheduler) QueuedByRoute() map[string]int {
	waiting := map[string]int{}
	for _, js := range s.jobs {
		if !js.started && !js.closed && !s.now.Before(js.startAt) {
			waiting[js.policy.Route]++
		}
	}
	return waiting
}

// HasStarted says whether a job is here of which a task has started.
func (s *Scheduler) HasStarted(id string) bool {
	js := s.jobs[id]
	return js != nil && js.started
}

// LongRunningJobs returns the ids of the jobs with tasks that last.
func (s *Scheduler) LongRunningJobs() []string {
	var ids []string
	for id, js := range s.durableJobs {
		if js.work.IsLongRunning() {
			ids = append(ids, id)
		}
	}
	return ids
}

// Stats returns the numbers of jobs, of jobs with waiting tasks and of runs.
func (s *Scheduler) Stats() (jobs, queued, runs int) { return len(s.jobs), len(s.queue), len(s.runs) }

func (s *Scheduler) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *Scheduler) logEvent(event, job, worker, reason string, values map[string]int64) {
	s.emit(LogEvent{Event: event, Job: job, Worker: worker, Reason: reason, Values: values})
}

func ms(d time.Duration) int64 { return d.Milliseconds() }

// tick lets time pass for workers that are gone, silent or not yet known.
func (s *Scheduler) tick() {
	for _, w := range s.sortedWorkers {
		s.expireLease(w)
	}
	s.removeUnlisted()
	s.drainWorkers()
	s.stopUnadopted()
}

// stopFenced ends the pool after a worker has named a higher fence.
func (s *Scheduler) stopFenced(worker string) {
	s.emit(FencedOff{Worker: worker})
	s.handOver()
}

// handOver gives all jobs up to the next holder.
func (s *Scheduler) handOver() {
	s.stopped = true
	keys := make([]SubmissionKey, 0, len(s.submissions))
	for k := range s.submissions {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].less(keys[j]) })
	for _, k := range keys {
		js := s.submissions[k]
		if !js.mayHaveStarted {
			s.emit(Reply{k, NotRun{Reason: ReasonHandedOver, RetryAfter: s.rules.MinRetryAfter}})
			continue
		}
		s.emit(Reply{k, HandedOver{Progress: js.progress(s.runs, s.orphans, s.now)}})
	}
	s.submissions = map[SubmissionKey]*jobState{}
}

// ReasonHandedOver tells an entry VM that another holder has the group.
const ReasonHandedOver = "moved"

func (s *Scheduler) rejectAfterStop(message Message) {
	if m, ok := message.(Submit); ok && !m.Durable {
		if m.Resumed {
			s.emit(Reply{m.Key, HandedOver{Progress: m.Progress}})
			return
		}
		s.emit(Reply{m.Key, NotRun{Reason: ReasonHandedOver, RetryAfter: s.rules.MinRetryAfter}})
	}
}
