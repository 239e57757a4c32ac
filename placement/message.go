package placement

import (
	"time"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// SubmissionKey identifies a submission of an entry VM to a pool.
type SubmissionKey struct {
	Conn     uint64 // connection that the submission came by, 0 for the VM itself
	Sequence uint64
}

// Message is an input of a Scheduler: one of the types of this file.
type Message interface{ message() }

// WorkerList is the list of the workers of the group.
type WorkerList struct {
	Workers []worker.Worker
	Removed []RemovedWorker // whose entries have disappeared lately
}

// RemovedWorker is a worker whose entry has disappeared: it may be gone, or cut off from the store and still at work.
type RemovedWorker struct {
	worker.Worker
	Elapsed time.Duration
}

// Submit asks to run a job.
type Submit struct {
	Key             SubmissionKey
	Work            job.Work
	Policy          job.Policy
	Age             time.Duration // since the caller's request arrived
	Budget          time.Duration // time left for the answer
	Resumed         bool          // an earlier holder of the group may have started the job
	Progress        Progress      // of a resumed job, as far as it is known
	StartDelay      time.Duration // until the time of a scheduled job; no task starts before
	Durable         bool          // the job is stored: it has no deadline, no verdict, and Key is not used
	DelegatedStarts bool          // the VM of the submission sends the starts itself, and the work has no spec
}

// Progress is what is known of a job that another holder has run.
type Progress struct {
	Done        [][]bool   `json:"done,omitempty"`        // by step and task
	Failed      [][]int    `json:"failed,omitempty"`      // failed runs by step and task
	Counted     [][]int    `json:"counted,omitempty"`     // highest number of a failed run that is counted, by step and task
	Runs        [][]int    `json:"runs,omitempty"`        // highest run number by step and task
	On          [][]string `json:"on,omitempty"`          // worker on which a run of the task may be alive, by step and task; nil if not known
	Checkpoints [][]string `json:"checkpoints,omitempty"` // newest checkpoint, by step and task
}

// known says whether the earlier holder has told the progress itself.
func (p Progress) known() bool { return len(p.Done) > 0 }

// Withdraw ends a submission whose caller no longer waits.
type Withdraw struct {
	Key    SubmissionKey
	Reason string
}

// StartResult is the result of a StartRun.
type StartResult struct {
	Order     worker.StartOrder
	SentAt    time.Time
	Report    worker.Report
	Err       error
	Spec      string // of the job, if the VM of a submission was to send the start and it is open whether it has arrived ...
	SpecKnown bool   // ... and has told the spec, so that the holder can go on by itself
}

// StopResult is the result of a StopRun.
type StopResult struct {
	Order  worker.StopOrder
	Report worker.Report
	Err    error
}

// PollResult is the result of a PollWorker.
type PollResult struct {
	Order  worker.PollOrder
	SentAt time.Time
	Report worker.Report
	Err    error
}

// SenderDisconnected says that a connection is lost, so that its VM sends no starts any more.
type SenderDisconnected struct{ Conn uint64 }

// WithdrawConn ends the submissions of a connection that is lost.
type WithdrawConn struct{ Conn uint64 }

// RaiseFence goes on under a higher fence of the same holder.
type RaiseFence struct{ Fence int64 }

// JobPersisted answers a PersistJob.
type JobPersisted struct {
	Job     string
	Version int
}

// CancelJob ends a stored job.
type CancelJob struct{ Job string }

// RestoreDone says that all stored jobs of the group were submitted that an earlier holder may have run.
type RestoreDone struct{}

// Tick lets time pass.
type Tick struct{}

// HandOver ends the pool: it reports the progress of its jobs and decides nothing more.
type HandOver struct{}

func (WorkerList) message()         {}
func (Submit) message()             {}
func (Withdraw) message()           {}
func (StartResult) message()        {}
func (StopResult) message()         {}
func (PollResult) message()         {}
func (WithdrawConn) message()       {}
func (SenderDisconnected) message() {}
func (RaiseFence) message()         {}
func (JobPersisted) message()       {}
func (CancelJob) message()          {}
func (RestoreDone) message()        {}
func (Tick) message()               {}
func (HandOver) message()           {}

// Effect is an output of a Scheduler: one of the types of this file.
type Effect interface{ effect() }

// StartRun sends a start order and returns a StartResult.
type StartRun struct {
	Order  worker.StartOrder
	Sender SubmissionKey // submission whose VM sends the order, which has no spec; zero for the holder itself
}

// StopRun sends a stop order and returns a StopResult.
type StopRun struct{ Order worker.StopOrder }

// PollWorker sends a hold order and returns a PollResult.
type PollWorker struct{ Order worker.PollOrder }

// Reply ends a submission.
type Reply struct {
	Key     SubmissionKey
	Verdict Verdict
}

// PersistJob asks to store what is known of a stored job and returns a JobPersisted. Later versions replace earlier ones.
type PersistJob struct {
	Job      string
	Version  int
	State    DurableState
	Progress Progress
}

// FencedOff says that another holder has taken the group; the pool decides nothing more.
type FencedOff struct{ Worker string }

// LogEvent is a decision worth a log line.
type LogEvent struct {
	Event  string
	Job    string
	Worker string
	Reason string
	Values map[string]int64 // inputs of the decision; times in milliseconds
}

func (StartRun) effect()   {}
func (StopRun) effect()    {}
func (PollWorker) effect() {}
func (Reply) effect()      {}
func (PersistJob) effect() {}
func (FencedOff) effect()  {}
func (LogEvent) effect()   {}

// Verdict is the final word of a pool on a submission: one of Completed, Failed, NotRun, DeadlineExceeded and HandedOver.
type Verdict interface{ verdict() }

// Completed means that all tasks are done.
type Completed struct{}

// Failed means that a task has failed as often as the policy allows.
type Failed struct{ Task string }

// NotRun means that no task was started.
type NotRun struct {
	Reason     string
	RetryAfter time.Duration
}

// DeadlineExceeded means that the time of the job ran out after a task may have started.
type DeadlineExceeded struct{}

// HandedOver means that the pool has given the job up to the next holder of the group.
type HandedOver struct{ Progress Progress }

func (Completed) verdict()        {}
func (Failed) verdict()           {}
func (NotRun) verdict()           {}
func (DeadlineExceeded) verdict() {}
func (HandedOver) verdict()       {}

// Load is a summary of a pool for those who choose between groups.
type Load struct {
	FreeMilliCores int
	Workers        int             // that take work
	Wait           []time.Duration // until a new task of the priority would start, by priority
}
