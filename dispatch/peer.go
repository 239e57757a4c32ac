package dispatch

import (
	"time"

	"samphireplank.example/samphireplank/endpoint"
	"samphireplank.example/samphireplank/queue"
	"samphireplank.example/samphireplank/slot"
)

// PeerPayload is what entry VMs of a zone tell each other about one service.
type PeerPayload interface{ peerBody() }

// SlotMessage carries a message of the slot ledger.
type SlotMessage struct{ Message slot.PeerMessage }

// DemandReport carries the queued and running tasks of each flow on the sender.
type DemandReport struct{ Demands []queue.Demand }

// EjectionReport carries the endpoints that the sender has ejected.
type EjectionReport struct{ Ejections []endpoint.HealthReport }

func (SlotMessage) peerBody()    {}
func (DemandReport) peerBody()   {}
func (EjectionReport) peerBody() {}

// Report periods and the age at which a report no longer counts.
const (
	busyReportPeriod = 100 * time.Millisecond
	idleReportPeriod = 250 * time.Millisecond
	reportLifetime   = time.Second
)

// peerReport is the latest demand report of a peer.
type peerReport struct {
	at      time.Time
	demands []queue.Demand
}

// receive handles a message of a peer.
func (c *Core) receive(now time.Time, m PeerMessage) {
	switch body := m.Body.(type) {
	case SlotMessage:
		c.outgoing = c.ledger.Receive(now, m.From, body.Message, c.outgoing[:0])
		c.sendSlotMessages()
	case DemandReport:
		c.reports[m.From] = peerReport{at: now, demands: body.Demands}
	case EjectionReport:
		c.health.MergeReports(now, body.Ejections)
		c.applyHealth()
	}
}

// sendSlotMessages emits the messages that the ledger has left in c.outgoing.
func (c *Core) sendSlotMessages() {
	for _, o := range c.outgoing {
		c.emit(SendToPeer{Peer: o.Peer, Body: SlotMessage{Message: o.Message}})
	}
}

// report sends demand and ejections to every peer when a report is due.
func (c *Core) report(now time.Time) {
	c.demands = c.queue.AppendDemand(c.demands[:0])
	period := idleReportPeriod
	if len(c.demands) > 0 {
		period = busyReportPeriod
	}
	if now.Sub(c.reportedAt) < period {
		return
	}
	c.reportedAt = now
	demands := append([]queue.Demand(nil), c.demands...)
	ejections := c.health.TakeReports(now)
	for _, peer := range c.peers {
		c.emit(SendToPeer{Peer: peer, Body: DemandReport{Demands: demands}})
		if len(ejections) > 0 {
			c.emit(SendToPeer{Peer: peer, Body: EjectionReport{Ejections: ejections}})
		}
	}
}
