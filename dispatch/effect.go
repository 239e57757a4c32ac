package dispatch

import (
	"time"

	"samphireplank.example/samphireplank/job"
)

// Effect is an action that the caller of Core executes.
type Effect interface{ effect() }

// StartTask sends one task to an endpoint; the caller responds with exactly one TaskFinished.
type StartTask struct {
	Job      job.ID
	Task     int
	Attempt  int
	Kind     string
	Path     string
	Endpoint string
	Address  string
	Slot     uint64
	Timeout  time.Duration
}

// FinishJob answers a job; it is emitted exactly once for each Submit.
type FinishJob struct {
	Job         job.ID
	Outcome     job.Outcome
	Reason      string
	RetryAfter  time.Duration
	Forwardable bool // not run here because no endpoint or slot is available in time; an entry VM of another zone may run it
}

// ForwardJob requests that an entry VM of another zone with idle slots runs a job that would wait here. If there is
// none or it does not run the job, the caller responds with a Submit that has ForwardTried set.
type ForwardJob struct{ Submit Submit }

// SendToPeer sends a message to an entry VM of the local zone; the message may be lost.
type SendToPeer struct {
	Peer string
	Body PeerPayload
}

// Probe sends a health probe to an endpoint; the caller responds with ProbeFinished.
type Probe struct {
	Endpoint string
	Address  string
	Path     string
}

func (StartTask) effect()  {}
func (FinishJob) effect()  {}
func (ForwardJob) effect() {}
func (SendToPeer) effect() {}
func (Probe) effect()      {}
