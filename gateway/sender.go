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
	// sendTime is the time on the VM's own link from which on the starts of a job are sent by the VM itself: the job's
	// spec then does not cross two links to its holder, for one more message between VMs, which takes 1 to 2 ms.
	sendTime = 5 * time.Millisecond
	// startBytes is the size of a start without its spec.
	startBytes = 450
	// sendRest is the time in which a VM leaves its starts to holders after one of its own had no answer.
	sendRest = 5 * time.Second
)

// handedStart is a start that the VM of a submission sends.
type handedStart struct {
	order worker.StartOrder
	by    placement.SubmissionKey
	sent  time.Time
}

// errLinkLost means that the VM that was to send a start is out of reach.
var errLinkLost = errors.New("the VM that sends the start is out of reach")

// handOut leaves starts to the VM of their submission.
func (d *driver) handOut(ctx context.Context, key placement.SubmissionKey, starts []worker.StartOrder) {
	now := time.Now()
	d.mu.Lock()
	for _, o := range starts {
		d.handed[o.Run] = handedStart{order: o, by: key, sent: now}
	}
	d.mu.Unlock()
	if d.hand(key, peer.Orders{Sequence: key.Sequence, Group: d.group, Starts: starts}) {
		return
	}
	for _, o := range starts {
		d.handedAnswered(ctx, key.Conn, peer.Ordered{Group: d.group, Run: o.Run, Open: errLinkLost.Error()})
	}
}

// handedAnswered takes in the answer to a start that another VM has sent.
func (d *driver) handedAnswered(ctx context.Context, link uint64, m peer.Ordered) {
	d.mu.Lock()
	h, ok := d.handed[m.Run]
	if ok = ok && h.by.Conn == link; ok {
		delete(d.handed, m.Run)
	}
	d.mu.Unlock()
	if !ok {
		return
	}
	answer := placement.StartResult{Order: h.order, SentAt: h.sent, Report: worker.Report{Clock: m.Clock, Incarnation: m.Born}, Spec: m.Spec, SpecKnown: m.SpecKnown}
	switch {
	case m.Reason != "":
		answer.Err = &worker.RejectedError{Reason: m.Reason, Report: answer.Report}
	case m.Open != "":
		answer.Err = errors.New(m.Open)
	}
	d.apply(ctx, answer)
}

// linkLost takes in that the VM of a connection sends no starts any more.
func (d *driver) linkLost(ctx context.Context, link uint64) {
	d.mu.Lock()
	for run, h := range d.handed {
		if h.by.Conn == link {
			delete(d.handed, run)
		}
	}
	d.mu.Unlock()
	d.apply(ctx, placement.SenderDisconnected{Conn: link})
}

// sendsItself says whether this VM sends the starts of a job itself.
func (g *Gateway) sendsItself(r *request, group string, h *holder) bool {
	if h.driver != nil || g.settings.LinkBytesPerSecond <= 0 {
		return false
	}
	if zone, _ := splitGroup(group); zone != g.settings.Zone {
		return false // keeps connections to workers within the zone
	}
	g.mu.Lock()
	resting := time.Since(g.unsent) < sendRest
	g.mu.Unlock()
	bytes := 0
	for _, s := range r.Work.Steps {
		bytes += s.Count * (startBytes + len(r.Work.Spec))
	}
	return !resting && time.Duration(float64(bytes)/g.settings.LinkBytesPerSecond*float64(time.Second)) >= sendTime
}

// sendStarts sends the starts of a job of this VM as its holder has decided, and tells the holder of the answers.
func (g *Gateway) sendStarts(c *peer.Conn, m peer.Orders) {
	g.mu.Lock()
	p := g.pending[m.Sequence]
	g.mu.Unlock()
	for _, o := range m.Starts {
		if p == nil {
			c.Send(peer.Ordered{Group: m.Group, Run: o.Run, Reason: worker.ReasonNotSent})
			continue
		}
		o.Spec = p.spec
		g.background(g.ctx, func(ctx context.Context) {
			g.meter.starts.Inc()
			report, err := g.config.Workers.Start(ctx, o)
			c.Send(g.ordered(m.Group, o, report, err))
		})
	}
}

// ordered returns the answer to a start for the holder.
func (g *Gateway) ordered(group string, o worker.StartOrder, report worker.Report, err error) peer.Ordered {
	answer := peer.Ordered{Group: group, Run: o.Run, Clock: report.Clock, Born: report.Incarnation}
	if err == nil {
		return answer
	}
	reason, rejected := worker.RejectionReason(err)
	if rejected {
		answer.Reason = reason
		return answer
	}
	answer.Open, answer.Spec, answer.SpecKnown = err.Error(), o.Spec, true
	g.mu.Lock()
	g.unsent = time.Now()
	g.mu.Unlock()
	return answer
}
