package peer

import (
	"encoding/gob"
	"reflect"
	"strings"
	"time"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/placement"
	"samphireplank.example/samphireplank/worker"
)

// Message is what VMs send to each other: one of the types of this file.
type Message interface{ message() }

// Hello opens a connection in both directions.
type Hello struct {
	VM          string
	Zone        string
	Address     string
	Incarnation int64 // start of the process in Unix nanoseconds
}

// Holding is a group that a VM holds.
type Holding struct {
	Group   string
	Fence   int64
	Loads   map[string]placement.Load // by service
	Waiting map[string]int            // jobs that have not begun, by route
	Lasting []string                  // jobs with tasks that last
}

// Heartbeat tells that a VM lives, what it holds and what it knows.
type Heartbeat struct {
	Holds         []Holding
	Configuration int64 // revision of the configuration that the VM runs
	Listed        int64 // revision up to which the VM has read the list of workers from the store itself, 0 if it does not do so
	Stopping      bool
	Often         bool // the VM asks for frequent heartbeats on this connection
}

// Submit hands a job to the holder of a group.
type Submit struct {
	Sequence uint64
	Group    string
	Work     job.Work
	Policy   job.Policy
	Age      time.Duration
	Budget   time.Duration
	Resumed  bool
	Progress placement.Progress
	Sends    bool // the VM sends the starts itself; the work has no spec
}

// Orders asks the VM of a submission to send starts of its job.
type Orders struct {
	Sequence uint64 // of the submission
	Group    string
	Starts   []worker.StartOrder // without the spec
}

// Ordered tells the holder of the answer to a start of Orders.
type Ordered struct {
	Group string
	worker.Run
	Clock     time.Duration
	Born      int64
	Reason    worker.Reason // of a rejection, empty otherwise
	Open      string        // why it is open whether the start has arrived, empty otherwise
	Spec      string        // of the job, so that the holder can go on by itself after an open start
	SpecKnown bool
}

// Withdraw takes a job back.
type Withdraw struct{ Sequence uint64 }

// VerdictKind tells the kinds of a Verdict apart.
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

// Verdict answers a Submit.
type Verdict struct {
	Sequence   uint64
	Kind       VerdictKind
	Task       string
	Reason     string
	RetryAfter time.Duration
	Progress   placement.Progress
	Loads      map[string]placement.Load // of the group
}

// Stored tells the holder of a group of a job that was stored or cancelled; the rest is the item of the store.
type Stored struct {
	Group    string
	Key      string
	Value    []byte
	Revision int64
}

// Over tells of stored jobs that have ended.
type Over struct{ States map[string]string } // by job

// Ask asks the holder of a group whether a job has begun; a Verdict of the kind VerdictStarted says so.
type Ask struct {
	Sequence uint64
	Group    string
	Job      string
}

// TakeOver asks a VM to become the holder of a group, since the present one stops.
type TakeOver struct{ Group string }

// Follow asks a VM that reads the list of workers for all its changes after a revision, now and from now on.
type Follow struct{ Revision int64 }

// WorkerChange is a change of one entry of the list of workers.
type WorkerChange struct {
	Key      string
	Value    []byte
	Revision int64
	Removed  bool
}

// WorkerChanges are the changes of the list of workers between two revisions, without those that tell nothing but life.
type WorkerChanges struct {
	From    int64
	To      int64
	Whole   bool // the entries are the whole list as of To
	Changes []WorkerChange
}

// Want asks for the configuration, and for all other keys if the store is out of reach.
type Want struct{ All bool }

// Copy is a copy of keys of the store.
type Copy struct {
	Configuration []byte
	Revision      int64 // of the configuration
	Keys          map[string][]byte
	Parts         map[string]int64 // revision of the store up to which the keys with a prefix are known, by prefix
	Revisions     map[string]int64 // of the keys
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

// envelope carries a message, since a codec needs a concrete type.
type envelope struct{ Message Message }

// purposes are the names of messages in the counts of traffic, by type.
var purposes = map[reflect.Type]string{}

func init() {
	for _, m := range []Message{Hello{}, Heartbeat{}, Submit{}, Orders{}, Ordered{}, Withdraw{}, Verdict{}, Stored{}, Over{}, Ask{}, TakeOver{}, Follow{}, WorkerChanges{}, Want{}, Copy{}} {
		name := strings.ToLower(reflect.TypeOf(m).Name())
		gob.RegisterName(name, m) // the name goes with each message
		purposes[reflect.TypeOf(m)] = "peer-" + name
	}
}

// NewVerdict translates a verdict of a pool.
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
	case placement.HandedOver:
		out.Kind, out.Progress = VerdictHandedOver, v.Progress
	}
	return out
}
