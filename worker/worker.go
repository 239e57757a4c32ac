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

// FitsIn says whether the amount fits into the free amount.
func (r Resources) FitsIn(free Resources) bool {
	return r.MilliCores <= free.MilliCores && r.MemoryMiB <= free.MemoryMiB && r.Accelerators <= free.Accelerators
}

// CountIn returns how often the amount fits into the free amount; nothing fits as often as one likes.
func (r Resources) CountIn(free Resources) int {
	times := math.MaxInt32
	for _, pair := range [][2]int{{free.MilliCores, r.MilliCores}, {free.MemoryMiB, r.MemoryMiB}, {free.Accelerators, r.Accelerators}} {
		if pair[1] > 0 {
			times = min(times, max(pair[0]/pair[1], 0))
		}
	}
	return times
}

// Add returns the sum of two amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCores + o.MilliCores, r.MemoryMiB + o.MemoryMiB, r.Accelerators + o.Accelerators}
}

// Sub returns the difference of two amounts.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCores - o.MilliCores, r.MemoryMiB - o.MemoryMiB, r.Accelerators - o.Accelerators}
}

// Worker is an entry of the platform's list of workers.
type Worker struct {
	ID          string
	Service     string
	Address     string // host:port
	Zone        string
	Capacity    Resources
	Labels      []string
	Rack        string
	Draining    bool
	Incarnation int64 // start of this incarnation in Unix milliseconds, 0 when the list does not say
}

// HasLabel says whether the worker has a label.
func (w Worker) HasLabel(label string) bool { return slices.Contains(w.Labels, label) }

// Outcome says how a run ended.
type Outcome uint8

// The outcomes of a run.
const (
	Done           Outcome = iota + 1
	Failed                 // by a fault of the task or of the worker
	Stopped                // by an order
	LeaseExpired           // the worker's lease ran out
	GangBroken             // another member of its gang ended
	GangIncomplete         // the other members of its gang did not come
)

var outcomeNames = [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the name of the outcome.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return outcomeNames[0]
}

// Run names one start of a task.
type Run struct {
	Task   string
	Number int // grows with each start of the task
}

// ActiveRun is a run that a worker lists as running.
type ActiveRun struct {
	Run
	Checkpoint string
	Progress   int // percent of the task's work
}

// EndedRun is a run that a worker lists as ended.
type EndedRun struct {
	Sequence int64 // grows by one for each end of an incarnation, from 1
	Run
	Outcome    Outcome
	Checkpoint string
}

// Target says which worker an order is for.
type Target struct {
	ID      string
	Address string
}

// StartOrder tells a worker to run a task.
type StartOrder struct {
	Target
	Run
	Spec       string
	Lease      time.Duration // time on the worker's clock until which everything on it may run
	Fence      int64
	Checkpoint string
	Timeout    time.Duration // for the answer
}

// StopOrder tells a worker to stop a run.
type StopOrder struct {
	Target
	Run
	Fence   int64
	Timeout time.Duration // for the answer
}

// PollOrder renews a worker's lease, acknowledges ends and asks what runs there.
type PollOrder struct {
	Target
	Fence        int64
	AckedThrough int64         // ends up to this sequence need not be listed again
	Lease        time.Duration // as in StartOrder; zero leaves the lease as it is
	Wait         time.Duration // the worker answers after it, or as soon as an end is listed
	Timeout      time.Duration // for the answer, with the wait
}

// Report is a worker's answer.
type Report struct {
	Clock       time.Duration // the worker's clock when it answered
	Incarnation int64         // start of the incarnation in Unix milliseconds, 0 when the answer does not say
	Running     []ActiveRun   // of a hold
	Ended       []EndedRun    // of a hold
}

// Reason says why a worker rejected an order.
type Reason string

// The reasons for which a worker rejects an order.
const (
	ReasonStaleFence       Reason = "fence"      // a holder with a higher fence has spoken to it
	ReasonStaleRun         Reason = "old"        // the run is not higher than one that ended there
	ReasonLeaseExpired     Reason = "late"       // the lease of the order had passed when it arrived
	ReasonNoCapacity       Reason = "room"       // the task does not fit
	ReasonBadTicket        Reason = "ticket"     // the policy's ticket is missing or out of date
	ReasonWrongIncarnation Reason = "reborn"     // the worker is another incarnation than the one addressed
	ReasonUnhealthy        Reason = "unhealthy"  // the worker is unhealthy and did nothing
	ReasonMalformed        Reason = "malformed"  // the worker could not read the order
	ReasonUnknown          Reason = "unknown"    // the worker gave a reason that is not known here
	ReasonDialFailed       Reason = "no-connect" // no connection could be opened, so that nothing was sent
	ReasonNotSent          Reason = "unsent"     // the VM that was to send the order has given the job up and sent nothing
)

// RejectedError means that the worker did not carry out the order.
type RejectedError struct {
	Reason Reason
	Report Report
}

// Error names the reason.
func (e *RejectedError) Error() string { return "worker rejected the order: " + string(e.Reason) }

// RejectionReason returns the reason for which the order was not carried out; false leaves open whether it was.
func RejectionReason(err error) (Reason, bool) {
	var rejected *RejectedError
	if errors.As(err, &rejected) {
		return rejected.Reason, true
	}
	return "", false
}

// Client sends orders to workers; an error that is no RejectedError leaves open whether the order is carried out,
// possibly later.
type Client interface {
	Start(ctx context.Context, order StartOrder) (Report, error)
	Stop(ctx context.Context, order StopOrder) (Report, error)
	Poll(ctx context.Context, order PollOrder) (Report, error)
}
