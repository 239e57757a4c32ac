package dispatch

import (
	"time"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/endpoint"
	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/store"
)

// Message is an event that Core reacts to.
type Message interface{ message() }

// Submit offers a job for admission.
type Submit struct {
	Job          job.ID
	Kind         string
	Team         string
	Tasks        int
	Deadline     time.Time
	Forwarded    bool // came from another zone and is not forwarded again
	IfIdle       bool // is refused unless slots are idle for all of its tasks
	ForwardTried bool // was offered to other zones before
}

// Cancel withdraws a job; tasks in flight are not interrupted.
type Cancel struct{ Job job.ID }

// TaskFinished reports the end of a StartTask.
type TaskFinished struct {
	Job      job.ID
	Task     int
	Endpoint string
	Slot     uint64 // the slot id of the StartTask
	Result   endpoint.Result
	RunTime  time.Duration
}

// Tick lets time pass; it is sent every TickInterval.
type Tick struct{}

// Endpoint is an endpoint of the own zone with the entry VM that owns its slots.
type Endpoint struct {
	store.VM
	Owner string
}

// MembershipChanged gives all live endpoints of the service and all other entry VMs of the zone that are not lost.
type MembershipChanged struct {
	Endpoints []Endpoint
	Peers     []string
}

// ConfigurationChanged puts a set of objects in force.
type ConfigurationChanged struct{ Set *contract.Set }

// ProbeFinished reports the end of a Probe.
type ProbeFinished struct {
	Endpoint string
	Healthy  bool
}

// PeerMessage delivers a message of another entry VM of the own zone.
type PeerMessage struct {
	From string
	Body PeerPayload
}

// Drain starts the graceful shutdown: borrowed slots are returned as they fall idle and owned endpoints are handed over.
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
