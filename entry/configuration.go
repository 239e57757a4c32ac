package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/dispatch"
	"samphireplank.example/samphireplank/link/linkpb"
	"samphireplank.example/samphireplank/publication"
	"samphireplank.example/samphireplank/store"
)

const (
	peerStateTimeout = 2 * time.Second
	watchRetryDelay  = 300 * time.Millisecond
	// platformGrace is the time that the platform has to deliver a generation before peers are asked for it.
	platformGrace = 300 * time.Millisecond
)

// force is the configuration in force with its objects by name.
type force struct {
	record         publication.Record
	set            *contract.Set
	index          *flowIndex
	kinds          map[string]contract.Kind
	teams          map[string]contract.Team
	services       map[string]contract.Service
	previous       *contract.Set // for peers that are one generation behind
	previousDigest contract.Digest
}

func newForce(record publication.Record, set *contract.Set, before *force) *force {
	f := &force{
		record:   record,
		set:      set,
		index:    newFlowIndex(record.Generation, set),
		kinds:    make(map[string]contract.Kind),
		teams:    make(map[string]contract.Team),
		services: make(map[string]contract.Service),
	}
	for _, kind := range set.Kinds {
		f.kinds[kind.Name] = kind
	}
	for _, team := range set.Teams {
		f.teams[team.Name] = team
	}
	for _, service := range set.Services {
		f.services[service.Name] = service
	}
	if before != nil {
		f.previous, f.previousDigest = before.set, before.record.Digest
	}
	return f
}

var noFlows = newFlowIndex(0, &contract.Set{})

func (e *Server) flowIndex() *flowIndex {
	if f := e.force.Load(); f != nil {
		return f.index
	}
	return noFlows
}

func (e *Server) generation() uint64 {
	if f := e.force.Load(); f != nil {
		return f.record.Generation
	}
	return 0
}

func (e *Server) setInForce() *contract.Set {
	if f := e.force.Load(); f != nil {
		return f.set
	}
	return nil
}

// offer brings a set into force if its generation is higher than the present one.
func (e *Server) offer(record publication.Record, set *contract.Set, source string) {
	e.configure.Lock()
	defer e.configure.Unlock()
	if !e.acceptor.Update(record, set) {
		return
	}
	f := newForce(record, set, e.force.Load())
	e.force.Store(f)
	e.setUpShards(f)
	e.applyMembership()
	e.config.Log.Info().Str("event", "configuration-in-force").Uint64("generation", record.Generation).
		Str("digest", string(record.Digest)).Str("author", record.Author).Str("source", source).Msg("configuration is in force")
}

// setUpShards gives every service of the set a shard; a service that left the set keeps its shard until its jobs end.
func (e *Server) setUpShards(f *force) {
	for name := range f.services {
		if s, ok := e.shardOf(name); ok {
			e.update(s, dispatch.ConfigurationChanged{Set: f.set})
			continue
		}
		core := dispatch.New(dispatch.Config{
			VM: e.config.VM, Incarnation: e.incarnation, Service: name, Set: f.set,
			ForwardJobs: true, SlotPolicy: e.config.SlotPolicy, QueuePolicy: e.config.QueuePolicy,
		})
		e.shardsMu.Lock()
		e.shards[name] = newShard(name, core)
		e.shardsMu.Unlock()
	}
}

// configurationLoop watches the head and brings each new set into force.
func (e *Server) configurationLoop() {
	var version uint64
	for {
		head, seen, err := publication.WatchHead(e.ctx, e.config.Store, version)
		if err == nil && seen != version && head.Generation > e.generation() {
			err = e.fetchFromPlatform(head.Record)
		}
		if err != nil {
			e.config.Log.Warn().Str("event", "configuration-watch-failed").Err(err).Msg("could not get the configuration from the platform")
			if !e.sleep(watchRetryDelay) {
				return
			}
			continue
		}
		version = seen
		if e.ctx.Err() != nil {
			return
		}
	}
}

func (e *Server) fetchFromPlatform(record publication.Record) error {
	set, err := publication.Fetch(e.ctx, e.config.Store, e.setInForce(), record)
	if err != nil {
		return err
	}
	e.offer(record, set, "platform")
	return nil
}

// fetchFromPeer gets a higher generation from a peer unless the platform delivers it first.
func (e *Server) fetchFromPeer(peer string, generation uint64) {
	vm, ok := e.table.Get(peer)
	if !ok || !e.fetching.CompareAndSwap(false, true) {
		return
	}
	e.group.Go(func() error {
		defer e.fetching.Store(false)
		if e.generation() > 0 && !e.sleep(platformGrace) {
			return nil
		}
		if generation > e.generation() {
			e.fetchConfiguration(vm.LinkAddress, vm.ID)
		}
		return nil
	})
}

// fetchConfiguration gets the record and the change, or the whole set, from a peer.
func (e *Server) fetchConfiguration(address, source string) {
	ctx, cancel := context.WithTimeout(e.ctx, peerStateTimeout)
	defer cancel()
	record, set, err := e.peerConfiguration(ctx, address)
	if err != nil {
		e.config.Log.Warn().Str("event", "configuration-fetch-failed").Str("peer", source).Err(err).
			Msg("could not get the configuration from an entry VM")
		return
	}
	if set != nil {
		e.offer(record, set, source)
	}
}

func (e *Server) peerConfiguration(ctx context.Context, address string) (publication.Record, *contract.Set, error) {
	request := &linkpb.StateRequest{Record: true}
	state, err := e.links.State(ctx, address, request)
	if err != nil || len(state.Record) == 0 {
		return publication.Record{}, nil, err
	}
	record, err := decodeRecord(state.Record)
	if err != nil || record.Generation <= e.generation() {
		return record, nil, err
	}
	if set, ok := e.peerChange(ctx, address, record); ok {
		return record, set, nil
	}
	state, err = e.links.State(ctx, address, &linkpb.StateRequest{Set: string(record.Digest)})
	if err != nil {
		return record, nil, err
	}
	set, err := contract.Decode(state.Set)
	return record, set, err
}

// peerChange gets the set of a record as a change of the set in force.
func (e *Server) peerChange(ctx context.Context, address string, record publication.Record) (*contract.Set, bool) {
	f := e.force.Load()
	if f == nil {
		return nil, false
	}
	state, err := e.links.State(ctx, address, &linkpb.StateRequest{
		ChangeFrom: string(f.record.Digest), ChangeTo: string(record.Digest),
	})
	if err != nil || len(state.Change) == 0 {
		return nil, false
	}
	change, err := contract.DecodePatch(state.Change)
	if err != nil {
		return nil, false
	}
	set, err := change.Apply(f.set)
	return set, err == nil
}

func encodeRecord(record publication.Record) ([]byte, error) {
	return json.Marshal(record)
}

// maxRecordSize bounds the JSON of a publication record in bytes.
const maxRecordSize = 4 << 10

func decodeRecord(data []byte) (publication.Record, error) {
	var record publication.Record
	if len(data) > maxRecordSize {
		return record, fmt.Errorf("publication record has %d bytes, at most %d are allowed", len(data), maxRecordSize)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&record); err != nil {
		return record, fmt.Errorf("publication record: %w", err)
	}
	return record, nil
}

// directoryLoop merges the platform's list of VMs into the table.
func (e *Server) directoryLoop() {
	var version uint64
	for e.ctx.Err() == nil {
		list, err := e.config.Directory.VMs(e.ctx, version)
		if err != nil {
			e.config.Log.Warn().Str("event", "list-failed").Err(err).Msg("could not get the list of VMs from the platform")
			if !e.sleep(watchRetryDelay) {
				return
			}
			continue
		}
		if list.Version != version {
			version = list.Version
			e.mergeList(list)
		}
	}
}

func (e *Server) mergeList(list store.VMList) {
	if len(e.table.MergeList(time.Now(), list)) > 0 {
		e.membershipOut.Store(true)
	}
}
