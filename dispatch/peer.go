package dispatch

import (
	"time"

	"samphireplank.example/samphireplank/endpoint"
	"samphireplank.example/samphireplank/queue"
	"samphireplank.example/samphireplank/slot"
)

// PeerPayload is a message about one service between entry VMs of a zone.
type PeerPayload interface{ peerBody() }

// SlotMessage carries a message of the slot pool.
type SlotMessage struct{ Message slot.PeerMessage }

// DemandReport carries the queued and running tasks of each flow on the sender.
type DemandReport struct{ Demands []queue.Demand }

// EjectionReport carries the endpoints that the sender has ejected.
type EjectionReport struct{ Ejections []endpoint.HealthReport }

func (SlotMessage) peerBody()    {}
func (DemandReport) peerBody()   {}
func (EjectionReport) peerBody() {}

// Intervals of reports, and the age at which a report is ignored.
const (
	busyReportInterval = 100 * time.Millisecond
	idleReportInterval = 250 * time.Millisecond
	reportTTL          = time.Second
)

// peerReport is the latest demand report of a peer.
type peerReport struct {
	at      time.Time
	demands []queue.Demand
}

// receive handles a message from a peer.
func (c *Core) receive(now time.Time, m PeerMessage) {
	switch body := m.Body.(type) {
	case SlotMessage:
		c.outgoing = c.pool.Receive(now, m.From, body.Message, c.outgoing[:0])
		c.sendSlotMessages()
	case DemandReport:
		c.reports[m.From] = peerReport{at: now, demands: body.Demands}
	case EjectionReport:
		c.health.MergeReports(now, body.Ejections)
		c.applyHealth()
	}
}

// sendSlotMessages emits the messages that the slot pool has appended to c.outgoing.
func (c *Core) sendSlotMessages() {
	for _, o := range c.outgoing {
		c.emit(SendToPeer{Peer: o.Peer, Body: SlotMessage{Message: o.Message}})
	}
}

// report sends demand and ejections to every peer when a report is due.
func (c *Core) report(now time.Time) {
	c.demands = c.queue.AppendDemand(c.demands[:0])
	interval := idleReportInterval
	if len(c.demands) > 0 {
		interval = busyReportInterval
	}
	if now.Sub(c.reportedAt) < interval {
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
