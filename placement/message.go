package placement

import (
	"time"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// Key identifies a submission of an entry VM to a pool.
type Key struct {
	Link     uint64 // connection that the submission came by, 0 for the VM itself
	Sequence uint64
}

// Message is an input of a Pool: one of the types of this file.
type Message interface{ message() }

// Fleet is the list of the workers of the group.
type Fleet struct {
	Workers  []worker.Worker
	Unlisted []Unlisted // whose entries have disappeared lately
}

// Unlisted is a worker whose entry has disappeared: it may be gone, or cut off from the store and still at work.
type Unlisted struct {
	worker.Worker
	For time.Duration
}

// Submit asks to run a job.
type Submit struct {
	Key      Key
	Work     job.Work
	Policy   job.Policy
	Age      time.Duration // since the caller's request arrived
	Budget   time.Duration // time left for the answer
	Resumed  bool          // an earlier holder of the group may have started the job
	Progress Progress      // of a resumed job, as far as it is known
	Wait     time.Duration // until the time of a scheduled job; no task starts before
	Kept     bool          // the job is stored: it has no deadline, no verdict, and Key is not used
	Sends    bool          // the VM of the submission sends the starts itself, and the work has no spec
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
	Key    Key
	Reason string
}

// StartAnswer is the result of a Start.
type StartAnswer struct {
	Order     worker.StartOrder
	Sent      time.Time
	Report    worker.Report
	Err       error
	Spec      string // of the job, if the VM of a submission was to send the start and it is open whether it has arrived ...
	SpecKnown bool   // ... and has told the spec, so that the holder can go on by itself
}

// StopAnswer is the result of a Stop.
type StopAnswer struct {
	Order  worker.StopOrder
	Report worker.Report
	Err    error
}

// HoldAnswer is the result of a Hold.
type HoldAnswer struct {
	Order  worker.HoldOrder
	Sent   time.Time
	Report worker.Report
	Err    error
}

// SenderLost says that a connection is lost, so that its VM sends no starts any more.
type SenderLost struct{ Link uint64 }

// WithdrawLink ends the submissions of a connection that is lost.
type WithdrawLink struct{ Link uint64 }

// Raise goes on under a higher fence of the same holder.
type Raise struct{ Fence int64 }

// Saved answers a Save.
type Saved struct {
	Job     string
	Version int
}

// Cancel ends a stored job.
type Cancel struct{ Job string }

// Restored says that all stored jobs of the group were submitted that an earlier holder may have run.
type Restored struct{}

// Tick lets time pass.
type Tick struct{}

// HandOver ends the pool: it reports the progress of its jobs and decides nothing more.
type HandOver struct{}

func (Fleet) message()        {}
func (Submit) message()       {}
func (Withdraw) message()     {}
func (StartAnswer) message()  {}
func (StopAnswer) message()   {}
func (HoldAnswer) message()   {}
func (WithdrawLink) message() {}
func (SenderLost) message()   {}
func (Raise) message()        {}
func (Saved) message()        {}
func (Cancel) message()       {}
func (Restored) message()     {}
func (Tick) message()         {}
func (HandOver) message()     {}

// Effect is an output of a Pool: one of the types of this file.
type Effect interface{ effect() }

// Start sends a start order and returns a StartAnswer.
type Start struct {
	Order worker.StartOrder
	By    Key // submission whose VM sends the order, which has no spec; zero for the holder itself
}

// Stop sends a stop order and returns a StopAnswer.
type Stop struct{ Order worker.StopOrder }

// Hold sends a hold order and returns a HoldAnswer.
type Hold struct{ Order worker.HoldOrder }

// Answer ends a submission.
type Answer struct {
	Key     Key
	Verdict Verdict
}

// Save asks to store what is known of a stored job and returns a Saved. Later versions replace earlier ones.
type Save struct {
	Job      string
	Version  int
	State    KeptState
	Progress Progress
}

// Fenced says that another holder has taken the group; the pool decides nothing more.
type Fenced struct{ Worker string }

// Note is a decision worth a log line.
type Note struct {
	Event  string
	Job    string
	Worker string
	Reason string
	Values map[string]int64 // inputs of the decision; times in milliseconds
}

func (Start) effect()  {}
func (Stop) effect()   {}
func (Hold) effect()   {}
func (Answer) effect() {}
func (Save) effect()   {}
func (Fenced) effect() {}
func (Note) effect()   {}

// Verdict is the final word of a pool on a submission: one of Completed, Failed, NotRun, Expired and Moved.
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

// Expired means that the time of the job ran out after a task may have started.
type Expired struct{}

// Moved means that the pool has given the job up to the next holder of the group.
type Moved struct{ Progress Progress }

func (Completed) verdict() {}
func (Failed) verdict()    {}
func (NotRun) verdict()    {}
func (Expired) verdict()   {}
func (Moved) verdict()     {}

// Load is a summary of a pool for those who choose between groups.
type Load struct {
	FreeMilliCores int
	Workers        int             // that take work
	Wait           []time.Duration // until a new task of the priority would start, by priority
}
