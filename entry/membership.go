package entry

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/dispatch"
	"samphireplank.example/samphireplank/link/linkpb"
	"samphireplank.example/samphireplank/store"
)

const (
	membershipInterval   = 50 * time.Millisecond
	summaryInterval      = 500 * time.Millisecond
	housekeepingInterval = time.Second
)

// membershipLoop detects failed peers and applies changes of the membership to the cores.
func (e *Server) membershipLoop() {
	e.group.Go(func() error {
		e.querySeedPeers()
		return nil
	})
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case now := <-ticker.C:
			for _, change := range e.membership.Tick(now) {
				e.membershipDirty.Store(true)
				e.config.Log.Info().Str("event", "membership-changed").Str("vm", change.VM.ID).
					Bool("lost", change.Failed).Bool("found", change.Recovered).Msg("membership changed")
			}
			if e.membershipDirty.CompareAndSwap(true, false) {
				e.configMu.Lock()
				e.applyMembership()
				e.configMu.Unlock()
			}
		}
	}
}

// querySeedPeers fetches membership and configuration from the seed peers, which works without the platform. It queries
// them concurrently, since those behind a partition take their whole timeout.
func (e *Server) querySeedPeers() {
	var group errgroup.Group
	var fetching sync.Mutex // serializes fetches: one configuration is enough
	for _, address := range e.config.SeedPeers {
		if address == e.self.LinkAddress {
			continue
		}
		group.Go(func() error {
			if !e.fetchTableFrom(address) {
				return nil
			}
			fetching.Lock()
			defer fetching.Unlock()
			if e.activeConfig.Load() == nil {
				e.fetchConfiguration(address, address)
			}
			return nil
		})
	}
	_ = group.Wait() // no function returns an error
}

// applyMembership passes endpoints, owners and peers to the cores; the caller holds configMu.
func (e *Server) applyMembership() {
	peers := e.membership.ReachablePeers()
	e.peerSenders.setPeers(e.membership.AllPeers())
	ids := make([]string, 0, len(peers))
	for _, peer := range peers {
		ids = append(ids, peer.ID)
	}
	for _, s := range e.allCores() {
		var endpoints []dispatch.Endpoint
		for _, vm := range e.membership.Endpoints(s.service) {
			endpoints = append(endpoints, dispatch.Endpoint{VM: vm, Owner: e.membership.Owner(vm.ID)})
		}
		e.update(s, dispatch.MembershipChanged{Endpoints: endpoints, Peers: ids})
	}
}

// summaryLoop exchanges summaries, reports and the generation with entry VMs of other zones.
func (e *Server) summaryLoop() {
	for e.sleep(summaryInterval) {
		peers := e.membership.LoadExchangePeers(time.Now())
		var group errgroup.Group
		for _, peer := range peers {
			group.Go(func() error {
				e.exchangeSummary(peer)
				return nil
			})
		}
		_ = group.Wait() // no function returns an error
	}
}

func (e *Server) exchangeSummary(peer store.VM) {
	ctx, cancel := context.WithTimeout(e.ctx, summaryInterval/2)
	defer cancel()
	reply, err := e.linkClient.Exchange(ctx, peer.LinkAddress, e.newBatch(peer.ID, e.summaryBatches(), true, true))
	if err != nil {
		e.membership.MarkUnreachable(time.Now(), peer.ID)
		return
	}
	e.receiveBatch(reply, peer.ID, nil)
}

// summaryBatches returns the load of this zone for each service.
func (e *Server) summaryBatches() []*linkpb.ServiceBatch {
	var batches []*linkpb.ServiceBatch
	for _, s := range e.allCores() {
		s.mu.Lock()
		load := s.core.ZoneLoad(time.Now())
		s.mu.Unlock()
		batches = append(batches, &linkpb.ServiceBatch{Service: s.service, Summary: &linkpb.Summary{
			Slots: uint32(load.Slots), Idle: uint32(max(load.Slots-load.Running, 0)), Queued: uint32(load.Queued),
		}})
	}
	return batches
}

// housekeepingLoop removes expired answers and tickets and closes idle connections.
func (e *Server) housekeepingLoop() {
	for e.sleep(housekeepingInterval) {
		e.registry.expire(time.Now())
		e.delegated.expire(time.Now())
		e.endpointClient.CloseIdleConnections()
	}
}
