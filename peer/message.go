package peer

import (
	"encoding/gob"
	"reflect"
	"strings"
	"time"

	"samphireplank.example/samphireplank/interference"
	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/placement"
	"samphireplank.example/samphireplank/worker"
)

// Message is a message between VMs: one of the types of this file.
type Message interface{ message() }

// Hello is the first message on a connection, in both directions.
type Hello struct {
	VM          string
	Zone        string
	Address     string
	Incarnation int64 // start of the process in Unix nanoseconds
	Clock       time.Duration
}

// Holding describes a group that a VM holds.
type Holding struct {
	Group   string
	Fence   int64
	Loads   map[string]placement.Load // by service
	Waiting map[string]int            // number of jobs that have not started, by route
	Lasting []string                  // ids of jobs with long-running tasks
	// TakesTransfers means that the holder resumes durable jobs that another group has run. Earlier versions would run them from the start.
	TakesTransfers bool
	// Interference is what the holder has learned about tasks that slow each other down, nil in most heartbeats and from earlier versions.
	Interference *interference.Evidence
}

// Heartbeat shows that a VM is reachable and carries its state.
type Heartbeat struct {
	Holds         []Holding
	Configuration int64 // revision of the configuration that the VM runs
	// Evacuated are the evacuated zones as of EvacuationsRevision, a revision of the store. A VM that knows nothing of them, or is of an
	// earlier version, sends revision 0, which says nothing.
	Evacuated           []string
	EvacuationsRevision int64
	Listed              int64 // revision up to which the VM has read the worker list from the store itself, 0 if it is no watcher
	Known               int64 // revision of the newest entry of the worker list that the VM knows of
	Stopping            bool
	Often               bool // the sender asks for frequent heartbeats on this connection
	Clock               time.Duration
	Echo                time.Duration // lower bound of the receiver's clock when the heartbeat was sent, 0 if unknown
	Confirmation        Confirmation  // empty unless the sender knows the receiver as the holder of a group
}

// Confirmation tells a VM of which groups another VM knew it as the recorded holder. Earlier versions send none.
type Confirmation struct {
	Records  map[string]int64 // revisions of the holder's records, by group
	Clock    time.Duration    // lower bound of the receiver's clock before the sender looked at the records
	StoreAge time.Duration    // age of the last call by which the store confirmed the records, 0 if it never did
}

// Submit submits a job to the holder of a group; the holder answers with a Verdict.
type Submit struct {
	Sequence uint64
	Group    string
	Work     job.Work
	Policy   job.Policy
	Age      time.Duration
	Budget   time.Duration
	Resumed  bool
	Progress placement.Progress
	Sends    bool // the submitting VM sends the start orders to workers itself, so the work has no spec
	Echo     time.Duration
	Fence    int64 // highest fence of the holders of the group that may have acted on the job
	Known    int64 // revision of the newest entry of the worker list that the VM knows of
}

// Orders asks the VM that submitted a job to send its start orders to workers.
type Orders struct {
	Sequence uint64 // of the Submit
	Group    string
	Starts   []worker.StartOrder // without the spec
}

// Ordered reports to the holder the result of one start order of Orders.
type Ordered struct {
	Group string
	worker.Run
	Lease     time.Duration // of the order, 0 from VMs of earlier versions
	Clock     time.Duration
	Born      int64
	Reason    worker.Reason // of a rejection, empty otherwise
	Open      string        // why the outcome of the order is unknown, empty otherwise
	Spec      string        // of the job, so that the holder can continue by itself when the outcome is unknown
	SpecKnown bool
}

// Withdraw withdraws a submission.
type Withdraw struct{ Sequence uint64 }

// VerdictKind is the kind of a Verdict.
type VerdictKind uint8

// The kinds of verdicts.
const (
	VerdictCompleted VerdictKind = iota + 1
	VerdictFailed
	VerdictNotRun
	VerdictDeadlineExceeded
	VerdictHandedOver
	VerdictStarted
)

// Verdict is the holder's answer to a Submit or an Ask.
type Verdict struct {
	Sequence   uint64
	Kind       VerdictKind
	Task       string
	Reason     string
	RetryAfter time.Duration
	Progress   placement.Progress
	Loads      map[string]placement.Load // of the group
	// NotAccepted qualifies VerdictHandedOver: the VM has not acted on the submission. Earlier versions do not send it.
	NotAccepted bool
	// Idle qualifies VerdictHandedOver: no run of the job can be alive, so that any group may continue it at once. Earlier versions do
	// not send it.
	Idle bool
}

// Stored notifies the holder of a group that a durable job was stored or cancelled; the other fields are its item in
// the store.
type Stored struct {
	Group    string
	Key      string
	Value    []byte
	Revision int64
}

// Over reports the final states of durable jobs that have ended.
type Over struct{ States map[string]string } // by job id

// Ask asks the holder of a group whether a job has started; if so, the holder answers with a Verdict of kind
// VerdictStarted.
type Ask struct {
	Sequence uint64
	Group    string
	Job      string
}

// TakeOver asks a VM to claim a group, since its holder is stopping or rebalances its groups.
type TakeOver struct{ Group string }

// Follow subscribes to the changes of the worker list after a revision; it is sent to a watcher.
type Follow struct{ Revision int64 }

// WorkerChange is a change of one entry of the worker list.
type WorkerChange struct {
	Key      string
	Value    []byte
	Revision int64
	Created  int64 // revision with which the entry was created; earlier versions do not send it
	Removed  bool
}

// WorkerChanges are the changes of the worker list between two revisions, without those that only refresh an entry.
type WorkerChanges struct {
	From    int64
	To      int64
	Whole   bool // Changes holds the complete list as of To
	Changes []WorkerChange
}

// Want requests a Copy: the configuration and, if All is set since the store may be unavailable, all other keys.
type Want struct{ All bool }

// Copy is a copy of keys of the store, sent by another VM.
type Copy struct {
	Configuration []byte
	Revision      int64 // of the configuration
	Keys          map[string][]byte
	Parts         map[string]int64 // revision of the store up to which the keys with a prefix are known, by prefix
	Revisions     map[string]int64 // of the keys
	Created       map[string]int64 // revisions with which the keys were created; earlier versions do not send them
	// Evacuated and EvacuationsRevision are as in Heartbeat.
	Evacuated           []string
	EvacuationsRevision int64
}

func (Hello) message()         {}
func (Heartbeat) message()     {}
func (Submit) message()        {}
func (Orders) message()        {}
func (Ordered) message()       {}
func (Withdraw) message()      {}
func (Verdict) message()       {}
func (Stored) message()        {}
func (Over) message()          {}
func (Ask) message()           {}
func (TakeOver) message()      {}
func (Want) message()          {}
func (Follow) message()        {}
func (WorkerChanges) message() {}
func (Copy) message()          {}

// envelope wraps a message, since gob needs a concrete type at the top level.
type envelope struct{ Message Message }

// purposes holds the names of messages in the traffic metrics, by type.
var purposes = map[reflect.Type]string{}

func init() {
	for _, m := range []Message{Hello{}, Heartbeat{}, Submit{}, Orders{}, Ordered{}, Withdraw{}, Verdict{}, Stored{}, Over{}, Ask{}, TakeOver{}, Follow{}, WorkerChanges{}, Want{}, Copy{}} {
		name := strings.ToLower(reflect.TypeOf(m).Name())
		gob.RegisterName(name, m) // the name is part of each encoded message
		purposes[reflect.TypeOf(m)] = "peer-" + name
	}
}

// NewVerdict translates a verdict of a placement.Scheduler.
func NewVerdict(sequence uint64, v placement.Verdict) Verdict {
	out := Verdict{Sequence: sequence}
	switch v := v.(type) {
	case placement.Completed:
		out.Kind = VerdictCompleted
	case placement.Failed:
		out.Kind, out.Task = VerdictFailed, v.Task
	case placement.NotRun:
		out.Kind, out.Reason, out.RetryAfter = VerdictNotRun, v.Reason, v.RetryAfter
	case placement.DeadlineExceeded:
		out.Kind = VerdictDeadlineExceeded
	case placement.Cancelled:
		// Earlier versions know no kind of its own, and must not submit the job again.
		out.Kind, out.Reason = VerdictDeadlineExceeded, placement.ReasonCancelled
	case placement.HandedOver:
		out.Kind, out.Progress, out.NotAccepted = VerdictHandedOver, v.Progress, v.NotAccepted
		out.Idle = v.Idle
	}
	return out
}
