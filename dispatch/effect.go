package dispatch

import (
	"time"

	"samphireplank.example/samphireplank/job"
)

// Effect is an action that the caller of Core executes.
type Effect interface{ effect() }

// Start sends one task to an endpoint; the caller answers with exactly one TaskFinished.
type Start struct {
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

// Finish answers a job; it is emitted exactly once for each Submit.
type Finish struct {
	Job        job.ID
	Outcome    job.Outcome
	Reason     string
	RetryAfter time.Duration
	Overflow   bool // not run here for lack of slots; an entry VM of another zone may run it
}

// Offer asks for an entry VM of another zone with idle slots for a job that would wait here. The caller answers with a
// Submit that is marked as Offered if there is none or if it does not run the job.
type Offer struct{ Submit Submit }

// SendPeer delivers a message to an entry VM of the own zone; the message may get lost.
type SendPeer struct {
	Peer string
	Body PeerBody
}

// Probe sends a health probe to an endpoint; the caller answers with ProbeFinished.
type Probe struct {
	Endpoint string
	Address  string
	Path     string
}

func (Start) effect()    {}
func (Finish) effect()   {}
func (Offer) effect()    {}
func (SendPeer) effect() {}
func (Probe) effect()    {}
