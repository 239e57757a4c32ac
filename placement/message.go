package placement

import (
	"time"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// SubmissionKey identifies a submission of an entry VM to a Scheduler.
type SubmissionKey struct {
	Conn     uint64 // connection of the submitting VM, 0 for the holder itself
	Sequence uint64
}

// Message is an input of a Scheduler: one of the types of this file.
type Message interface{ message() }

// WorkerList is the list of the workers of the group.
type WorkerList struct {
	Workers []worker.Worker
	Removed []RemovedWorker // workers whose entries have recently disappeared
	// Added holds the revisions with which the entries of workers were created, by id, as far as they are known.
	Added map[string]int64
	// Cold holds how long workers remain cold, by id, as far as their entries say so.
	Cold          map[string]time.Duration
	Revision      int64     // up to which all changes are included, 0 if unknown
	RemovalsSince time.Time // workers removed before may be missing in Removed
}

// RemovedWorker is a worker whose entry has disappeared: it may have stopped, or be partitioned from the store and
// still run tasks.
type RemovedWorker struct {
	worker.Worker
	Elapsed time.Duration // since the entry disappeared
}

// Submit submits a job.
type Submit struct {
	Key             SubmissionKey
	Work            job.Work
	Policy          job.Policy
	Age             time.Duration // since the caller's request arrived
	Budget          time.Duration // time until the answer is due
	Resumed         bool          // an earlier holder of the group may have started the job
	Progress        Progress      // of a resumed job, as far as known
	StartDelay      time.Duration // time until a scheduled job may start its tasks
	Durable         bool          // the job is persisted; it has no deadline and no verdict, and Key is not used
	DelegatedStarts bool          // the submitting VM sends the start orders, and Work has no spec
	PermitUntil     time.Time     // initial permit of the connection, see Permits; zero if it needs none
	Fence           int64         // highest fence of the holders of the group that may have acted on the job
	Known           int64         // revision of the newest worker entry that the VM knows of, 0 if unknown
	Transfers       int           // how often a durable job was transferred without a run in between
	TransferTo      string        // group to which an earlier holder may still be transferring a durable job, empty if to none
	Cancelled       bool          // a durable job is cancelled: none of its tasks starts, and its runs are stopped
}

// Progress is the known progress of a job that another holder has run.
type Progress struct {
	Done        [][]bool   `json:"done,omitempty"`        // by step and task
	Failed      [][]int    `json:"failed,omitempty"`      // failed runs by step and task
	Counted     [][]int    `json:"counted,omitempty"`     // highest number of a counted failed run, by step and task
	FailedRuns  [][][]int  `json:"failed-runs,omitempty"` // numbers of the counted failed runs, likewise; nil from earlier versions
	Runs        [][]int    `json:"runs,omitempty"`        // highest run number by step and task
	On          [][]string `json:"on,omitempty"`          // worker that may still run the task, likewise; nil if unknown
	Checkpoints [][]string `json:"checkpoints,omitempty"` // newest checkpoint, by step and task
}

// known reports whether the earlier holder has sent the progress.
func (p Progress) known() bool { return len(p.Done) > 0 }

// WithUnknownRuns returns the progress of a job that another holder had since, of which only that is known: any task that
// is not done may be running.
func (p Progress) WithUnknownRuns() Progress {
	if !p.known() {
		return p
	}
	on := make([][]string, len(p.Done))
	for i, done := range p.Done {
		on[i] = make([]string, len(done))
		for j := range done {
			if !done[j] {
				on[i][j] = anyWorker
			}
		}
	}
	p.On = on
	return p
}

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
	Spec      string // of the job, for a delegated start whose outcome is unknown
	SpecKnown bool   // the VM has sent Spec, so that the holder can send the starts itself
}

// StopResult is the result of a StopRun.
type StopResult struct {
	Order  worker.StopOrder
	SentAt time.Time
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

// SenderDisconnected reports a closed connection; its VM sends no more start orders.
type SenderDisconnected struct{ Conn uint64 }

// WithdrawConn withdraws the submissions of a closed connection.
type WithdrawConn struct{ Conn uint64 }

// JobPersisted reports that a version of a PersistJob is stored.
type JobPersisted struct {
	Job     string
	Version int
}

// CancelJob cancels a durable job.
type CancelJob struct{ Job string }

// CancelBestEffort cancels a best-effort job, and rejects it if it is submitted afterwards.
type CancelBestEffort struct{ Job string }

// TransferJob transfers a durable job that waits to another group.
type TransferJob struct {
	Job   string
	Group string
}

// JobTransferred reports that the store has a durable job for another group.
type JobTransferred struct{ Job string }

// RestoreDone reports that all durable jobs that an earlier holder may have run have been submitted.
type RestoreDone struct {
	Since time.Time // when the read of the jobs began
}

// DurableJobsRead reports that all durable jobs of the group have been submitted that were stored when a read began.
type DurableJobsRead struct {
	Since time.Time // when the read of the jobs began
}

// Tick advances the time. It is sent at regular intervals.
type Tick struct {
	// Permits holds, by connection, until when the holder may act on submissions. It only extends the known permits.
	Permits Permits
	// Known holds, by connection, the revision of the newest worker entry that the VM knows of.
	Known map[uint64]int64
}

// DurablePermit sets until when the holder may start runs of durable jobs and renew their leases. Without this message
// there is no limit.
type DurablePermit struct {
	Until    time.Time
	Evidence time.Time // when the evidence for it showed that no other VM had replaced the holder
}

// HandOver stops the Scheduler, which reports the progress of its jobs to their submitters.
type HandOver struct{}

func (WorkerList) message()         {}
func (Evacuation) message()         {}
func (Submit) message()             {}
func (Withdraw) message()           {}
func (StartResult) message()        {}
func (StopResult) message()         {}
func (PollResult) message()         {}
func (WithdrawConn) message()       {}
func (SenderDisconnected) message() {}
func (JobPersisted) message()       {}
func (CancelJob) message()          {}
func (CancelBestEffort) message()   {}
func (TransferJob) message()        {}
func (JobTransferred) message()     {}
func (RestoreDone) message()        {}
func (DurableJobsRead) message()    {}
func (Tick) message()               {}
func (DurablePermit) message()      {}
func (HandOver) message()           {}

// Effect is an output of a Scheduler: one of the types of this file.
type Effect interface{ effect() }

// StartRun sends a start order and returns a StartResult.
type StartRun struct {
	Order  worker.StartOrder
	Sender SubmissionKey // submission whose VM sends the order, which then has no spec; zero for the holder itself
}

// StopRun sends a stop order and returns a StopResult.
type StopRun struct{ Order worker.StopOrder }

// PollWorker sends a poll and returns a PollResult.
type PollWorker struct{ Order worker.PollOrder }

// Reply ends a submission with a verdict.
type Reply struct {
	Key     SubmissionKey
	Verdict Verdict
}

// PersistJob stores the state of a durable job and returns a JobPersisted, or a JobTransferred. Later versions replace earlier ones.
type PersistJob struct {
	Job        string
	Version    int
	State      DurableState
	Progress   Progress
	TransferTo string // group to which the job is transferred, empty if it stays
	Transfers  int    // how often it was transferred, this one included, without a run in between
}

// RequestTransfer asks for another group for a durable job that waits. It returns a TransferJob if there is one.
type RequestTransfer struct {
	Job   string
	Steps []bool // steps with tasks that are not done
	Fits  bool   // listed workers of this group could run them
}

// ReadDurableJobs reads the durable jobs of the group and returns a DurableJobsRead.
type ReadDurableJobs struct{}

// FencedOff reports that another holder has claimed the group; the Scheduler has stopped. Worker is empty if the VM of a job
// has reported that holder.
type FencedOff struct{ Worker string }

// LogEvent is a decision to be logged.
type LogEvent struct {
	Event  string
	Job    string
	Worker string
	Route  string // for events of a route
	Reason string
	Values map[string]int64 // inputs of the decision; times in milliseconds
}

func (StartRun) effect()        {}
func (StopRun) effect()         {}
func (PollWorker) effect()      {}
func (Reply) effect()           {}
func (PersistJob) effect()      {}
func (ReadDurableJobs) effect() {}
func (RequestTransfer) effect() {}
func (FencedOff) effect()       {}
func (LogEvent) effect()        {}

// Verdict is the final result of a submission: one of Completed, Failed, NotRun, DeadlineExceeded, Cancelled and HandedOver.
type Verdict interface{ verdict() }

// Completed means that all tasks are done.
type Completed struct{}

// Failed means that a task failed as often as the policy allows.
type Failed struct{ Task string }

// NotRun means that no task was started.
type NotRun struct {
	Reason     string
	RetryAfter time.Duration
}

// DeadlineExceeded means that the deadline passed after a task may have started.
type DeadlineExceeded struct{}

// Cancelled means that the job was cancelled; a task may have started before.
type Cancelled struct{}

// HandedOver means that the job continues under the next holder of the group.
type HandedOver struct {
	Progress    Progress
	NotAccepted bool // this holder has not acted on the submission
	Idle        bool // no run of the job can be alive, so that any group may continue it
}

func (Completed) verdict()        {}
func (Failed) verdict()           {}
func (NotRun) verdict()           {}
func (DeadlineExceeded) verdict() {}
func (Cancelled) verdict()        {}
func (HandedOver) verdict()       {}

// Load is a summary of a Scheduler, used to choose between groups.
type Load struct {
	FreeMilliCores int
	Workers        int             // workers that accept work
	Wait           []time.Duration // expected time until a new task would start, by priority
}
