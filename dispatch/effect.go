package dispatch

import (
	"time"

	"samphireplank.example/samphireplank/job"
)

// Effect is an action that the caller of Core executes.
type Effect interface{ effect() }

// StartTask sends one task to an endpoint; the caller answers with exactly one TaskFinished.
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
	Forwardable bool // not run here for lack of slots; an entry VM of another zone may run it
}

// ForwardJob asks for an entry VM of another zone with idle slots for a job that would wait here. The caller answers with a
// Submit that is marked as ForwardTried if there is none or if it does not run the job.
type ForwardJob struct{ Submit Submit }

// SendToPeer delivers a message to an entry VM of the own zone; the message may get lost.
type SendToPeer struct {
	Peer string
	Body PeerPayload
}

// Probe sends a health probe to an endpoint; the caller answers with ProbeFinished.
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
