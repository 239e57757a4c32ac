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

// heartbeatInterval is the max time between two batches to an entry VM of the zone. It exceeds the interval of idle
// reports by several ticks, so that a heartbeat is sent only if no report was.
const heartbeatInterval = 300 * time.Millisecond

// batchDelay is the max delay of a deferrable message, so that other messages to the same peer share its batch. Without
// it nearly every message, mostly returns of loans, costs an exchange of its own.
const batchDelay = 20 * time.Millisecond

// introductionBatches is the number of first batches to a peer that carry this VM's own entry, for peers that don't
// have it from the platform's list.
const introductionBatches = 3

// peerSenders holds a peerSender for each other entry VM of the zone.
type peerSenders struct {
	entry   *Server
	mu      sync.Mutex
	senders map[string]*peerSender
}

// peerSender batches the messages to a peer and sends one batch at a time.
type peerSender struct {
	peer       store.VM
	urgent     chan struct{} // signals an urgent message; buffers one signal
	deferrable chan struct{} // signals a deferrable message; buffers one signal
	cancel     context.CancelFunc

	mu          sync.Mutex
	services    map[string]*linkpb.ServiceBatch
	batchesSent int
}

func newPeerSenders(e *Server) peerSenders {
	return peerSenders{entry: e, senders: make(map[string]*peerSender)}
}

// setPeers sets the entry VMs of the zone; it opens missing senders and closes those of other VMs.
func (o *peerSenders) setPeers(peers []store.VM) {
	o.mu.Lock()
	defer o.mu.Unlock()
	wanted := make(map[string]bool, len(peers))
	for _, peer := range peers {
		wanted[peer.ID] = true
		if box, ok := o.senders[peer.ID]; ok && box.peer.Incarnation == peer.Incarnation && box.peer.LinkAddress == peer.LinkAddress {
			continue
		}
		o.open(peer)
	}
	for id, box := range o.senders {
		if !wanted[id] {
			o.close(box)
		}
	}
}

// open starts the sender for a peer and replaces that of an earlier incarnation or address.
func (o *peerSenders) open(peer store.VM) {
	if earlier, ok := o.senders[peer.ID]; ok {
		o.close(earlier)
	}
	ctx, cancel := context.WithCancel(o.entry.ctx)
	box := newPeerSender(peer, cancel)
	o.senders[peer.ID] = box
	o.entry.group.Go(func() error {
		o.entry.sendBatches(ctx, box)
		return nil
	})
}

func newPeerSender(peer store.VM, cancel context.CancelFunc) *peerSender {
	return &peerSender{
		peer: peer, urgent: make(chan struct{}, 1), deferrable: make(chan struct{}, 1), cancel: cancel,
		services: make(map[string]*linkpb.ServiceBatch),
	}
}

// close stops the sender for a peer and closes the idle connections to it.
func (o *peerSenders) close(box *peerSender) {
	box.cancel()
	o.entry.linkClient.ClosePeer(box.peer.LinkAddress)
	delete(o.senders, box.peer.ID)
}

// add queues a message for a peer; messages to unknown peers are dropped.
func (o *peerSenders) add(peer, service string, body dispatch.PeerPayload) {
	o.mu.Lock()
	box, ok := o.senders[peer]
	o.mu.Unlock()
	if !ok {
		return
	}
	box.add(service, body, o.entry.flowIndex())
}

func (b *peerSender) add(service string, body dispatch.PeerPayload, index *flowIndex) {
	b.mu.Lock()
	batch, ok := b.services[service]
	if !ok {
		batch = &linkpb.ServiceBatch{Service: service}
		b.services[service] = batch
	}
	appendBody(batch, body, index)
	b.mu.Unlock()
	signal := b.urgent
	if canWait(body) {
		signal = b.deferrable
	}
	select {
	case signal <- struct{}{}:
	default:
	}
}

// canWait reports whether a message may be delayed by batchDelay: no task waits for reports, renewals, the return of
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
func (b *peerSender) wait(ctx context.Context, heartbeat <-chan time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-heartbeat:
			return true
		case <-b.urgent:
		case <-b.deferrable:
			b.delayBatch(ctx)
		}
		// A signal may remain of messages that were sent with an earlier batch.
		if !b.empty() {
			return true
		}
	}
}

// delayBatch waits for an urgent message, at most for batchDelay.
func (b *peerSender) delayBatch(ctx context.Context) {
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-b.urgent:
	case <-timer.C:
	}
}

func (b *peerSender) empty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.services) == 0
}

// takeBatches returns and clears the queued messages.
func (b *peerSender) takeBatches() []*linkpb.ServiceBatch {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.batchesSent++
	services := make([]*linkpb.ServiceBatch, 0, len(b.services))
	for _, batch := range b.services {
		services = append(services, batch)
	}
	clear(b.services)
	return services
}

// sendBatches exchanges batches with one peer, one at a time, until ctx ends.
func (e *Server) sendBatches(ctx context.Context, box *peerSender) {
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	for box.wait(ctx, heartbeat.C) {
		heartbeat.Reset(heartbeatInterval)
		e.exchange(ctx, box)
	}
}

// exchange sends one batch and handles the reply.
func (e *Server) exchange(ctx context.Context, box *peerSender) {
	services := box.takeBatches()
	batch := e.newBatch(box.peer.ID, services, carriesReport(services), box.batchesSent <= introductionBatches)
	reply, err := e.linkClient.Exchange(ctx, box.peer.LinkAddress, batch)
	if err != nil {
		e.metrics.exchangesFailed.Inc()
		e.config.Log.Debug().Str("event", "exchange-failed").Str("peer", box.peer.ID).Err(err).Msg("exchange with an entry VM failed")
		return
	}
	e.metrics.exchanges.Inc()
	e.receiveBatch(reply, box.peer.ID, nil)
}

// carriesReport reports whether a batch includes the report of this VM: batches with demand and heartbeats do, those
// with slot messages alone don't.
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
		TableHash: e.membership.HashFor(peer),
		Changes:   vmMessages(e.membership.TakeUpdates(now, peer)),
		Silent:    e.membership.UnreachablePeers(now),
		Leaving:   e.stopping.Load(),
	}
	if f := e.activeConfig.Load(); f != nil {
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
