package gateway

import (
	"context"
	"errors"
	"time"

	"samphireplank.example/samphireplank/peer"
	"samphireplank.example/samphireplank/placement"
	"samphireplank.example/samphireplank/worker"
)

const (
	// minDelegationTime is the transfer time of a job's starts on the VM's link from which on the VM sends them itself.
	// The job's spec then does not cross two links to its holder, at the cost of one more message between VMs, which takes
	// 1 to 2 ms.
	minDelegationTime = 5 * time.Millisecond
	// startOrderBytes is the size of a start order without its spec.
	startOrderBytes = 450
	// delegationBackoff is how long a VM leaves its starts to the holders after one of its own starts got no response.
	delegationBackoff = 5 * time.Second
)

// delegatedStart is a start that the submitting VM sends for the holder.
type delegatedStart struct {
	order  worker.StartOrder
	sender placement.SubmissionKey
	sentAt time.Time
}

// errSenderUnreachable means that the VM that was to send a start is unreachable.
var errSenderUnreachable = errors.New("the VM that sends the start is unreachable")

// delegateStarts lets the submitting VM send the starts of its job.
func (d *groupDriver) delegateStarts(ctx context.Context, sender placement.SubmissionKey, starts []worker.StartOrder) {
	now := time.Now()
	d.mu.Lock()
	for _, o := range starts {
		d.delegated[o.Run] = delegatedStart{order: o, sender: sender, sentAt: now}
	}
	d.mu.Unlock()
	if d.delegate(sender, peer.Orders{Sequence: sender.Sequence, Group: d.group, Starts: starts}) {
		return
	}
	for _, o := range starts {
		d.handleDelegatedResult(ctx, sender.Conn, peer.Ordered{Group: d.group, Run: o.Run, Lease: o.Lease, Open: errSenderUnreachable.Error()})
	}
}

// handleDelegatedResult processes the result of a start that another VM has sent.
func (d *groupDriver) handleDelegatedResult(ctx context.Context, connID uint64, m peer.Ordered) {
	d.mu.Lock()
	h, ok := d.delegated[m.Run]
	// An earlier submission of the job may have had runs of the same numbers.
	if ok = ok && h.sender.Conn == connID && (m.Lease == 0 || m.Lease == h.order.Lease); ok {
		delete(d.delegated, m.Run)
	}
	d.mu.Unlock()
	if !ok {
		return
	}
	result := placement.StartResult{Order: h.order, SentAt: h.sentAt, Report: worker.Report{Clock: m.Clock, Incarnation: m.Born}, Spec: m.Spec, SpecKnown: m.SpecKnown}
	switch {
	case m.Reason != "":
		result.Err = &worker.RejectedError{Reason: m.Reason, Report: result.Report}
	case m.Open != "":
		result.Err = errors.New(m.Open)
	}
	d.apply(ctx, result)
}

// senderDisconnected handles the loss of a connection whose VM sends starts.
func (d *groupDriver) senderDisconnected(ctx context.Context, connID uint64) {
	d.mu.Lock()
	for run, h := range d.delegated {
		if h.sender.Conn == connID {
			delete(d.delegated, run)
		}
	}
	d.mu.Unlock()
	d.apply(ctx, placement.SenderDisconnected{Conn: connID})
}

// shouldSendStarts reports whether this VM sends the starts of a job itself.
func (g *Gateway) shouldSendStarts(r *request, group string, h *holder) bool {
	if h.driver != nil || g.settings.LinkBytesPerSecond <= 0 {
		return false
	}
	if zone, _ := splitGroup(group); zone != g.settings.Zone {
		return false // VMs connect only to workers of their own zone
	}
	if !g.cache.evacuationState().MayStart(g.settings.Zone) {
		return false
	}
	g.mu.Lock()
	backingOff := time.Since(g.lastUnansweredStart) < delegationBackoff
	g.mu.Unlock()
	bytes := 0
	for _, s := range r.Work.Steps {
		bytes += s.Count * (startOrderBytes + len(r.Work.Spec))
	}
	return !backingOff && time.Duration(float64(bytes)/g.settings.LinkBytesPerSecond*float64(time.Second)) >= minDelegationTime
}

// sendStarts sends the starts that the holder of a job of this VM has decided, and returns the results to the holder.
func (g *Gateway) sendStarts(c *peer.Conn, m peer.Orders) {
	g.mu.Lock()
	p := g.pending[m.Sequence]
	g.mu.Unlock()
	if p != nil {
		if refused := g.refusedStarts(m, p.spec); len(refused) > 0 {
			for _, response := range refused {
				c.Send(response)
			}
			return
		}
	}
	for _, o := range m.Starts {
		if p == nil {
			c.Send(peer.Ordered{Group: m.Group, Run: o.Run, Lease: o.Lease, Reason: worker.ReasonNotSent})
			continue
		}
		o.Spec = p.spec
		g.background(g.ctx, func(ctx context.Context) {
			g.meter.starts.Inc()
			report, err := g.config.Workers.Start(ctx, o)
			c.Send(g.startResponse(m.Group, o, report, err))
		})
	}
}

// startResponse returns the message to the holder with the result of a start.
func (g *Gateway) startResponse(group string, o worker.StartOrder, report worker.Report, err error) peer.Ordered {
	response := peer.Ordered{Group: group, Run: o.Run, Lease: o.Lease, Clock: report.Clock, Born: report.Incarnation}
	if err == nil {
		return response
	}
	reason, rejected := worker.RejectionReason(err)
	if rejected {
		response.Reason = reason
		return response
	}
	response.Open, response.Spec, response.SpecKnown = err.Error(), o.Spec, true
	g.mu.Lock()
	g.lastUnansweredStart = time.Now()
	g.mu.Unlock()
	return response
}
