package dispatch

import (
	"time"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/endpoint"
	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/store"
)

// Message is an event that Core handles.
type Message interface{ message() }

// Submit submits a job for admission.
type Submit struct {
	Job          job.ID
	Kind         string
	Team         string
	Tasks        int
	Deadline     time.Time
	Forwarded    bool // came from another zone; it is not forwarded again
	IfIdle       bool // refuse the job unless slots are idle for all of its tasks
	ForwardTried bool // forwarding to other zones was tried before
}

// Cancel cancels a job; tasks in flight are not interrupted.
type Cancel struct{ Job job.ID }

// TaskFinished reports the end of a StartTask.
type TaskFinished struct {
	Job      job.ID
	Task     int
	Endpoint string
	Slot     uint64 // slot id of the StartTask
	Result   endpoint.Result
	RunTime  time.Duration
}

// Tick triggers the periodic work; it is sent every TickInterval.
type Tick struct{}

// Endpoint is an endpoint of the local zone with the entry VM that owns its slots.
type Endpoint struct {
	store.VM
	Owner string
}

// MembershipChanged lists all live endpoints of the service and all other reachable entry VMs of the zone.
type MembershipChanged struct {
	Endpoints []Endpoint
	Peers     []string
}

// ConfigurationChanged activates a set of objects.
type ConfigurationChanged struct{ Set *contract.Set }

// ProbeFinished reports the end of a Probe.
type ProbeFinished struct {
	Endpoint string
	Healthy  bool
}

// PeerMessage is a message from another entry VM of the local zone.
type PeerMessage struct {
	From string
	Body PeerPayload
}

// Drain starts the graceful shutdown: borrowed slots are returned as they become idle and owned endpoints are handed
// over.
type Drain struct{}

func (Submit) message()               {}
func (Cancel) message()               {}
func (TaskFinished) message()         {}
func (Tick) message()                 {}
func (MembershipChanged) message()    {}
func (ConfigurationChanged) message() {}
func (ProbeFinished) message()        {}
func (PeerMessage) message()          {}
func (Drain) message()                {}
