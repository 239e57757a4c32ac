package placement

import (
	"sort"
	"time"

	"samphireplank.example/samphireplank/interference"
	"samphireplank.example/samphireplank/worker"
)

// Config configures a Scheduler.
type Config struct {
	Fence int64 // fencing token of all orders of this holder
	Rules Rules
	// IncompleteList means that the worker list may lack workers that an earlier holder used and whose entries have
	// expired.
	IncompleteList bool
	// ClaimRevision is the revision with which the store named this holder, 0 if unknown. The earlier holder may have durable
	// jobs on any worker whose entry is older.
	ClaimRevision int64
	// AwaitEvacuation means that nothing may be started before an Evacuation message has told whether the zone is evacuated.
	AwaitEvacuation bool
	// Restoring means that the durable jobs of the group are still being loaded; RestoreDone ends this state.
	Restoring bool
	// LongRunningJobs are the ids of jobs with long-running tasks, as reported by the earlier holder. Their runs are
	// not stopped while the durable jobs are being loaded.
	LongRunningJobs []string
	// Interference learns which kinds of tasks slow each other down on one worker; nil turns this off.
	Interference *interference.Estimator
}

// Scheduler holds the state of one group of workers under one holder. It is not safe for concurrent use.
type Scheduler struct {
	fence           int64
	incompleteList  bool
	claimRevision   int64
	rules           Rules
	now             time.Time
	firstUpdate     time.Time
	workers         map[string]*workerState
	sortedWorkers   []*workerState // sorted by id, so that equal inputs give equal effects
	submissions     map[SubmissionKey]*jobState
	jobs            map[string]*jobState
	queue           []*jobState               // jobs with queued tasks, by rank unless unsorted
	runs            map[string]*run           // runs that may still be running, by task
	orphans         map[string]orphanedRun    // orphaned runs, by task
	durations       map[string]*durationModel // by route
	runRatios       ratioDistribution         // of run times to the expected ones
	siblingRatios   ratioDistribution         // of run times to those of the other tasks of the step
	startRTT        rttEstimator
	interference    *interference.Estimator // nil if this is off
	shares          routeShares
	permits         Permits
	durablePermit   time.Time                // zero if there is no limit
	durableEvidence time.Time                // of the permit
	durableStopped  bool                     // the end of the permit was logged
	known           map[uint64]int64         // revision of the newest worker entry that a VM knows of, by connection
	listRevision    int64                    // up to which the worker list is complete
	removalsSince   time.Time                // removals from the worker list before are not known
	listed          bool                     // a worker list has been received
	forgotten       map[string]time.Time     // when workers were removed that have not shown their runs, by id
	durableJobs     map[string]*jobState     // durable jobs until their end is persisted
	unpersisted     []*jobState              // durable jobs with unpersisted changes
	deferredEnds    map[string][]deferredEnd // by job
	cancelledJobs   map[string]time.Time     // when best-effort jobs were cancelled, by id
	lostBestEffort  map[string]time.Time     // when a run of a best-effort job was last given up, by job; its end needs no storing
	readingJobs     bool                     // a ReadDurableJobs has no result yet
	jobsReadAt      time.Time                // when the durable jobs were last read
	longRunningJobs map[string]bool          // reported by the earlier holder
	restored        bool                     // all durable jobs of the group have been loaded
	evacuation      evacuationState
	coldSlowdown    float64 // of runs on cold workers
	effects         []Effect
	unsorted        bool
	firstDeadline   time.Time        // no job has an earlier deadline
	accepting       []*workerState   // of the current placement, see findAccepting
	mostFree        worker.Resources // likewise, of each resource
	acceptingKnown  bool             // likewise
	stopped         bool             // fenced off or handed over

	interferenceExpiredAt time.Time // when interference was last looked through for what is outdated
}

// New returns a Scheduler without workers.
func New(config Config) *Scheduler {
	s := &Scheduler{
		fence:           config.Fence,
		incompleteList:  config.IncompleteList,
		claimRevision:   config.ClaimRevision,
		rules:           config.Rules,
		workers:         map[string]*workerState{},
		submissions:     map[SubmissionKey]*jobState{},
		jobs:            map[string]*jobState{},
		runs:            map[string]*run{},
		orphans:         map[string]orphanedRun{},
		durations:       map[string]*durationModel{},
		durableJobs:     map[string]*jobState{},
		deferredEnds:    map[string][]deferredEnd{},
		lostBestEffort:  map[string]time.Time{},
		cancelledJobs:   map[string]time.Time{},
		restored:        !config.Restoring,
		coldSlowdown:    initialColdSlowdown,
		evacuation:      evacuationState{unknown: config.AwaitEvacuation},
		longRunningJobs: map[string]bool{},
		permits:         Permits{},
		known:           map[uint64]int64{},
		forgotten:       map[string]time.Time{},
		shares:          newRouteShares(),
		runRatios:       newRatioDistribution(),
		siblingRatios:   newRatioDistribution(),
		interference:    config.Interference,
	}
	for _, id := range config.LongRunningJobs {
		s.longRunningJobs[id] = true
	}
	return s
}

// Update processes a message at the given time and returns the resulting effects.
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
	case JobPersisted:
		s.handleJobPersisted(m)
	case CancelJob:
		s.cancelDurable(m.Job)
	case CancelBestEffort:
		s.cancelBestEffort(m.Job)
	case RestoreDone:
		s.handleRestoreDone(m)
	case DurableJobsRead:
		s.handleJobsRead(m.Since)
	case TransferJob:
		s.transferJob(m)
	case JobTransferred:
		s.handleJobTransferred(m.Job)
	case Tick:
		s.tick(m)
	case DurablePermit:
		s.durablePermit = m.Until
		if m.Evidence.After(s.durableEvidence) {
			s.durableEvidence = m.Evidence
		}
		return nil
	case Evacuation:
		if !s.setEvacuation(m.Active) {
			return nil
		}
	case HandOver:
		s.handOver(true)
		return s.effects
	}
	if !s.stopped {
		s.expireJobs()
		s.returnJobs()
		s.place()
		s.persistChanged()
		s.readUnknownJobs()
		s.pollWorkers()
	}
	return s.effects
}

// Idle reports whether the scheduler has neither submissions nor runs.
func (s *Scheduler) Idle() bool { return len(s.submissions) == 0 && len(s.runs) == 0 }

// QueuedByRoute returns the number of jobs that are due but not started, by route.
func (s *Scheduler) QueuedByRoute() map[string]int {
	waiting := map[string]int{}
	for _, js := range s.jobs {
		if !js.started && !js.closed && !s.now.Before(js.startAt) {
			waiting[js.policy.Route]++
		}
	}
	return waiting
}

// HasStarted reports whether the scheduler has the job and a task of it has started.
func (s *Scheduler) HasStarted(id string) bool {
	js := s.jobs[id]
	return js != nil && js.started
}

// LongRunningJobs returns the ids of the jobs with long-running tasks.
func (s *Scheduler) LongRunningJobs() []string {
	var ids []string
	for id, js := range s.durableJobs {
		if js.work.IsLongRunning() {
			ids = append(ids, id)
		}
	}
	return ids
}

// Stats returns the numbers of jobs, of jobs with queued tasks and of runs.
func (s *Scheduler) Stats() (jobs, queued, runs int) { return len(s.jobs), len(s.queue), len(s.runs) }

func (s *Scheduler) emit(e Effect) { s.effects = append(s.effects, e) }

func (s *Scheduler) logEvent(event, job, worker, reason string, values map[string]int64) {
	s.emit(LogEvent{Event: event, Job: job, Worker: worker, Reason: reason, Values: values})
}

func ms(d time.Duration) int64 { return d.Milliseconds() }

// tick handles what is due by time alone: expired leases and permits, unlisted workers, draining workers and orphaned
// runs.
func (s *Scheduler) tick(m Tick) {
	for conn, until := range m.Permits {
		s.extendPermit(conn, until)
	}
	for conn, revision := range m.Known {
		s.reportKnown(conn, revision)
	}
	s.releaseExpired()
	s.logDurablePermit()
	for _, w := range s.sortedWorkers {
		s.expireLease(w)
	}
	s.removeUnlisted()
	s.drainWorkers()
	s.stopUnadopted()
	s.stopCrippledJobs()
	s.requestTransfers()
	s.forgetLostRuns()
	s.forgetCancelled()
	s.expireInterference()
}

// stopFenced stops the scheduler after a worker or the VM of a job has reported a higher fence.
func (s *Scheduler) stopFenced(worker string) {
	s.emit(FencedOff{Worker: worker})
	s.handOver(false)
}

// handOver ends all submissions, so that the next holder can continue their jobs. Unless this scheduler is the latest, its
// jobs may have runs that it does not know.
func (s *Scheduler) handOver(latest bool) {
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
		progress := js.progress(s.runs, s.orphans, s.now)
		if !latest {
			progress = progress.WithUnknownRuns()
		}
		s.emit(Reply{k, HandedOver{Progress: progress}})
	}
	s.submissions = map[SubmissionKey]*jobState{}
}

// ReasonHandedOver tells an entry VM that another holder has claimed the group.
const ReasonHandedOver = "moved"

func (s *Scheduler) rejectAfterStop(message Message) {
	if m, ok := message.(Submit); ok && !m.Durable {
		if m.Resumed {
			s.emit(Reply{m.Key, HandedOver{Progress: m.Progress, NotAccepted: true}})
			return
		}
		s.emit(Reply{m.Key, NotRun{Reason: ReasonHandedOver, RetryAfter: s.rules.MinRetryAfter}})
	}
}
