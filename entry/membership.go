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
	membershipPeriod   = 50 * time.Millisecond
	summaryPeriod      = 500 * time.Millisecond
	housekeepingPeriod = time.Second
)

// membershipLoop finds lost peers and tells the cores of changes.
func (e *Server) membershipLoop() {
	e.group.Go(func() error {
		e.askSeeds()
		return nil
	})
	ticker := time.NewTicker(membershipPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case now := <-ticker.C:
			for _, change := range e.table.Tick(now) {
				e.membershipOut.Store(true)
				e.config.Log.Info().Str("event", "membership-changed").Str("vm", change.VM.ID).
					Bool("lost", change.Failed).Bool("found", change.Recovered).Msg("membership changed")
			}
			if e.membershipOut.CompareAndSwap(true, false) {
				e.configure.Lock()
				e.applyMembership()
				e.configure.Unlock()
			}
		}
	}
}

// askSeeds gets membership and configuration from the peers of the settings, which works without the platform. Peers
// are asked at the same time, since those behind a partition take their whole time limit.
func (e *Server) askSeeds() {
	var group errgroup.Group
	var fetching sync.Mutex // one peer is enough to fetch the configuration from
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
			if e.force.Load() == nil {
				e.fetchConfiguration(address, address)
			}
			return nil
		})
	}
	_ = group.Wait() // no function returns an error
}

// applyMembership gives the cores their endpoints, owners and peers; the caller holds configure.
func (e *Server) applyMembership() {
	peers := e.table.ReachablePeers()
	e.outboxes.set(e.table.AllPeers())
	ids := make([]string, 0, len(peers))
	for _, peer := range peers {
		ids = append(ids, peer.ID)
	}
	for _, s := range e.allShards() {
		var endpoints []dispatch.Endpoint
		for _, vm := range e.table.Endpoints(s.service) {
			endpoints = append(endpoints, dispatch.Endpoint{VM: vm, Owner: e.table.Owner(vm.ID)})
		}
		e.update(s, dispatch.MembershipChanged{Endpoints: endpoints, Peers: ids})
	}
}

// summaryLoop exchanges summaries, reports and the generation with entry VMs of other zones.
func (e *Server) summaryLoop() {
	for e.sleep(summaryPeriod) {
		peers := e.table.LoadExchangePeers(time.Now())
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
	ctx, cancel := context.WithTimeout(e.ctx, summaryPeriod/2)
	defer cancel()
	reply, err := e.links.Exchange(ctx, peer.LinkAddress, e.newBatch(peer.ID, e.summaryBatches(), true, true))
	if err != nil {
		e.table.MarkUnreachable(time.Now(), peer.ID)
		return
	}
	e.receiveBatch(reply, peer.ID, nil)
}

// summaryBatches describes the load of this zone for each service.
func (e *Server) summaryBatches() []*linkpb.ServiceBatch {
	var batches []*linkpb.ServiceBatch
	for _, s := range e.allShards() {
		s.mu.Lock()
		load := s.core.ZoneLoad(time.Now())
		s.mu.Unlock()
		batches = append(batches, &linkpb.ServiceBatch{Service: s.service, Summary: &linkpb.Summary{
			Slots: uint32(load.Slots), Idle: uint32(max(load.Slots-load.Running, 0)), Queued: uint32(load.Queued),
		}})
	}
	return batches
}

// housekeepingLoop forgets old answers and closes idle connections.
func (e *Server) housekeepingLoop() {
	for e.sleep(housekeepingPeriod) {
		e.registry.expire(time.Now())
		e.delegated.expire(time.Now())
		e.endpoints.CloseIdleConnections()
	}
}
