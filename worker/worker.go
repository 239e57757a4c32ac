package worker

import (
	"context"
	"errors"
	"math"
	"slices"
	"time"
)

// Resources is an amount of processor, memory and accelerators.
type Resources struct {
	MilliCores   int `json:"milli-cores,omitempty"` // thousandths of a core
	MemoryMiB    int `json:"memory-mib,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
}

// FitsIn reports whether r fits into the free resources.
func (r Resources) FitsIn(free Resources) bool {
	return r.MilliCores <= free.MilliCores && r.MemoryMiB <= free.MemoryMiB && r.Accelerators <= free.Accelerators
}

// CountIn returns how many times r fits into the free resources, math.MaxInt32 if r is zero.
func (r Resources) CountIn(free Resources) int {
	times := math.MaxInt32
	for _, pair := range [][2]int{{free.MilliCores, r.MilliCores}, {free.MemoryMiB, r.MemoryMiB}, {free.Accelerators, r.Accelerators}} {
		if pair[1] > 0 {
			times = min(times, max(pair[0]/pair[1], 0))
		}
	}
	return times
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMiB + o.MemoryMiB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMiB - o.MemoryMiB, r.Accelerators - o.Accelerators}
}

// Worker is an entry of the platform's worker list.
type Worker struct {
	ID          string
	Service     string
	Address     string // host:port
	Zone        string
	Capacity    Resources
	Labels      []string
	Rack        string
	Draining    bool
	ColdFor     time.Duration // how long it remains slow, counted from the write of its entry; 0 if it is warm
	Incarnation int64         // start of this incarnation in Unix milliseconds, 0 if the list does not contain it
}

// HasLabel reports whether the worker has a label.
func (w Worker) HasLabel(label string) bool { return slices.Contains(w.Labels, label) }

// Outcome is how a run ended.
type Outcome uint8

// The outcomes of a run.
const (
	Done           Outcome = iota + 1
	Failed                 // the task or the worker failed
	Stopped                // stopped by a StopOrder
	LeaseExpired           // the worker's lease expired
	GangBroken             // another member of its gang ended
	GangIncomplete         // the other members of its gang did not start
)

var outcomeNames = [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the platform's name of the outcome.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return outcomeNames[0]
}

// Run identifies one start of a task.
type Run struct {
	Task   string
	Number int // grows with each start of the task
}

// ActiveRun is a run that a worker reports as running.
type ActiveRun struct {
	Run
	Checkpoint string
	Progress   int // percent of the task's work
}

// EndedRun is a run that a worker reports as ended.
type EndedRun struct {
	Sequence int64 // counts the ended runs of an incarnation, from 1
	Run
	Outcome    Outcome
	Checkpoint string
}

// Target is the worker to which an order is sent.
type Target struct {
	ID          string
	Address     string
	Incarnation int64 // the only incarnation that may carry the order out, 0 for any
}

// StartOrder orders a worker to run a task.
type StartOrder struct {
	Target
	Run
	Spec       string
	Lease      time.Duration // end of the lease on the worker's clock; all runs on the worker may continue until then
	Fence      int64
	Checkpoint string
	Timeout    time.Duration // for the response
}

// StopOrder orders a worker to stop a run.
type StopOrder struct {
	Target
	Run
	Fence   int64
	Timeout time.Duration // for the response
}

// PollOrder renews a worker's lease, acknowledges ended runs and requests the running and ended runs (long poll).
type PollOrder struct {
	Target
	Fence        int64
	AckedThrough int64         // ended runs up to this sequence are acknowledged and need not be reported again
	Lease        time.Duration // as in StartOrder; zero leaves the lease unchanged
	Wait         time.Duration // the worker responds after this time, or as soon as a run has ended
	Timeout      time.Duration // for the response, including Wait
}

// Report is a worker's response to an order.
type Report struct {
	Clock       time.Duration // the worker's clock when it responded
	Incarnation int64         // start of the incarnation in Unix milliseconds, 0 if the response does not contain it
	Running     []ActiveRun   // only in the response to a PollOrder
	Ended       []EndedRun    // only in the response to a PollOrder
	MoreEnded   bool          // Ended was cut short: further runs may have ended
}

// Reason is why an order was rejected or not sent.
type Reason string

// The reasons for which an order was not carried out.
const (
	ReasonStaleFence       Reason = "fence"      // the worker has received an order with a higher fencing token
	ReasonStaleRun         Reason = "old"        // the run number is not higher than that of a run that ended there
	ReasonLeaseExpired     Reason = "late"       // the lease of the order had expired when it arrived
	ReasonNoCapacity       Reason = "room"       // the worker lacks the free resources for the task
	ReasonBadTicket        Reason = "ticket"     // the ticket that the policy requires is missing or expired
	ReasonWrongIncarnation Reason = "reborn"     // the order is addressed to another incarnation of the worker
	ReasonUnhealthy        Reason = "unhealthy"  // the worker is unhealthy and ignored the order
	ReasonMalformed        Reason = "malformed"  // the worker could not parse the order
	ReasonUnknown          Reason = "unknown"    // the worker's reason is not one of these
	ReasonDialFailed       Reason = "no-connect" // no connection could be opened, so nothing was sent
	ReasonNotSent          Reason = "unsent"     // the VM that should send the order has abandoned the job
)

// RejectedError means that an order was certainly not carried out.
type RejectedError struct {
	Reason Reason
	Report Report
}

// Error returns a message with the reason.
func (e *RejectedError) Error() string { return "worker rejected the order: " + string(e.Reason) }

// RejectionReason returns the reason if err is a RejectedError; false means that the order may have been carried out.
func RejectionReason(err error) (Reason, bool) {
	var rejected *RejectedError
	if errors.As(err, &rejected) {
		return rejected.Reason, true
	}
	return "", false
}

// Client sends orders to workers. After an error that is not a RejectedError the outcome is unknown: the order may have
// been carried out or may be carried out later.
type Client interface {
	Start(ctx context.Context, order StartOrder) (Report, error)
	Stop(ctx context.Context, order StopOrder) (Report, error)
	Poll(ctx context.Context, order PollOrder) (Report, error)
}
