package entry

import (
	"context"
	"sync"
	"time"

	"samphireplank.example/samphireplank/dispatch"
	"samphireplank.example/samphireplank/link/linkpb"
	"samphireplank.example/samphireplank/slot"
	"samphireplank.example/samphireplank/store"
)

// heartbeatPeriod is the longest time between two batches to an entry VM of the zone. It exceeds the period of idle
// reports by several ticks, so that a heartbeat is sent only where no report is.
const heartbeatPeriod = 300 * time.Millisecond

// collectPeriod is the longest time for which a message that can wait is held back, so that other messages to the same
// peer go along with it. Without it nearly every message costs an exchange of its own, most of them returns of loans.
const collectPeriod = 20 * time.Millisecond

// introductions is the number of batches to a peer that carry this VM's own entry, so that a peer that does not
// know it from the platform's list learns it.
const introductions = 3

// outboxes holds one outbox for each entry VM of the zone.
type outboxes struct {
	entry *Server
	mu    sync.Mutex
	boxes map[string]*outbox
}

// outbox collects messages for a peer while an exchange with it is in progress.
type outbox struct {
	peer   store.VM
	wake   chan struct{} // a message can't wait; has room for one signal
	later  chan struct{} // a message can wait; has room for one signal
	cancel context.CancelFunc

	mu       sync.Mutex
	services map[string]*linkpb.ServiceBatch
	sent     int
}

func newOutboxes(e *Server) outboxes {
	return outboxes{entry: e, boxes: make(map[string]*outbox)}
}

// set gives the entry VMs of the zone; outboxes of others are closed.
func (o *outboxes) set(peers []store.VM) {
	o.mu.Lock()
	defer o.mu.Unlock()
	wanted := make(map[string]bool, len(peers))
	for _, peer := range peers {
		wanted[peer.ID] = true
		if box, ok := o.boxes[peer.ID]; ok && box.peer.Incarnation == peer.Incarnation && box.peer.LinkAddress == peer.LinkAddress {
			continue
		}
		o.open(peer)
	}
	for id, box := range o.boxes {
		if !wanted[id] {
			o.close(box)
		}
	}
}

// open starts the sender for a peer in place of an earlier incarnation's.
func (o *outboxes) open(peer store.VM) {
	if earlier, ok := o.boxes[peer.ID]; ok {
		o.close(earlier)
	}
	ctx, cancel := context.WithCancel(o.entry.ctx)
	box := newOutbox(peer, cancel)
	o.boxes[peer.ID] = box
	o.entry.group.Go(func() error {
		o.entry.sendBatches(ctx, box)
		return nil
	})
}

func newOutbox(peer store.VM, cancel context.CancelFunc) *outbox {
	return &outbox{
		peer: peer, wake: make(chan struct{}, 1), later: make(chan struct{}, 1), cancel: cancel,
		services: make(map[string]*linkpb.ServiceBatch),
	}
}

// close ends the sender for a peer and drops the connections to it.
func (o *outboxes) close(box *outbox) {
	box.cancel()
	o.entry.links.ClosePeer(box.peer.LinkAddress)
	delete(o.boxes, box.peer.ID)
}

// add queues a message for a peer.
func (o *outboxes) add(peer, service string, body dispatch.PeerPayload) {
	o.mu.Lock()
	box, ok := o.boxes[peer]
	o.mu.Unlock()
	if !ok {
		return
	}
	box.add(service, body, o.entry.flowIndex())
}

func (b *outbox) add(service string, body dispatch.PeerPayload, index *flowIndex) {
	b.mu.Lock()
	batch, ok := b.services[service]
	if !ok {
		batch = &linkpb.ServiceBatch{Service: service}
		b.services[service] = batch
	}
	appendBody(batch, body, index)
	b.mu.Unlock()
	signal := b.wake
	if canWait(body) {
		signal = b.later
	}
	select {
	case signal <- struct{}{}:
	default:
	}
}

// canWait reports whether a message may arrive collectPeriod later: no task waits for reports, renewals, the return of
// loans or the end of a want.
func canWait(body dispatch.PeerPayload) bool {
	switch body := body.(type) {
	case dispatch.DemandReport, dispatch.EjectionReport:
		return true
	case dispatch.SlotMessage:
		switch m := body.Message.(type) {
		case slot.Renew, slot.Return:
			return true
		case slot.Want:
			return m.Count == 0
		}
	}
	return false
}

// wait returns when a batch is due, or false when ctx has ended.
func (b *outbox) wait(ctx context.Context, heartbeat <-chan time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-heartbeat:
			return true
		case <-b.wake:
		case <-b.later:
			b.collect(ctx)
		}
		// A signal may be left of messages that went along with an earlier batch.
		if !b.empty() {
			return true
		}
	}
}

// collect waits for a message that can't wait, at most for collectPeriod.
func (b *outbox) collect(ctx context.Context) {
	timer := time.NewTimer(collectPeriod)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-b.wake:
	case <-timer.C:
	}
}

func (b *outbox) empty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.services) == 0
}

// take returns the messages that have been added.
func (b *outbox) take() []*linkpb.ServiceBatch {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent++
	services := make([]*linkpb.ServiceBatch, 0, len(b.services))
	for _, batch := range b.services {
		services = append(services, batch)
	}
	clear(b.services)
	return services
}

// sendBatches exchanges batches with one peer, one at a time, until ctx ends.
func (e *Server) sendBatches(ctx context.Context, box *outbox) {
	heartbeat := time.NewTimer(heartbeatPeriod)
	defer heartbeat.Stop()
	for box.wait(ctx, heartbeat.C) {
		heartbeat.Reset(heartbeatPeriod)
		e.exchange(ctx, box)
	}
}

// exchange sends one batch and handles the reply.
func (e *Server) exchange(ctx context.Context, box *outbox) {
	services := box.take()
	batch := e.newBatch(box.peer.ID, services, carriesReport(services), box.sent <= introductions)
	reply, err := e.links.Exchange(ctx, box.peer.LinkAddress, batch)
	if err != nil {
		e.metrics.exchangesFailed.Inc()
		e.config.Log.Debug().Str("event", "exchange-failed").Str("peer", box.peer.ID).Err(err).Msg("exchange with an entry VM failed")
		return
	}
	e.metrics.exchanges.Inc()
	e.receiveBatch(reply, box.peer.ID, nil)
}

// carriesReport reports whether a batch is due to carry the report of this VM: it goes along with demand reports
// and heartbeats, and not with each slot message.
func carriesReport(services []*linkpb.ServiceBatch) bool {
	for _, batch := range services {
		if batch.Demand != nil {
			return true
		}
	}
	return len(services) == 0
}

// newBatch builds a batch of this VM for a peer.
func (e *Server) newBatch(peer string, services []*linkpb.ServiceBatch, report, introduce bool) *linkpb.Batch {
	batch := &linkpb.Batch{From: e.config.VM, Incarnation: e.incarnation, Services: services}
	if !report && !introduce {
		return batch
	}
	now := time.Now()
	r := &linkpb.Report{
		TableHash: e.table.HashFor(peer),
		Changes:   vmMessages(e.table.TakeUpdates(now, peer)),
		Silent:    e.table.UnreachablePeers(now),
		Leaving:   e.stopping.Load(),
	}
	if f := e.force.Load(); f != nil {
		r.Generation = f.record.Generation
	}
	if introduce {
		r.Sender = vmMessage(e.selfState())
	}
	batch.Report = r
	return batch
}

// selfState returns the list entry of this VM with its present state.
func (e *Server) selfState() store.VM {
	vm := e.self
	if e.stopping.Load() {
		vm.State = store.StateLeaving
	}
	return vm
}
