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
	// platformGrace is the time to wait for a generation from the platform before it is fetched from a peer.
	platformGrace = 300 * time.Millisecond
)

// activeConfig is the active configuration with its objects by name.
type activeConfig struct {
	record         publication.Record
	set            *contract.Set
	index          *flowIndex
	kinds          map[string]contract.Kind
	teams          map[string]contract.Team
	services       map[string]contract.Service
	previous       *contract.Set // for peers that are one generation behind
	previousDigest contract.Digest
}

func newActiveConfig(record publication.Record, set *contract.Set, before *activeConfig) *activeConfig {
	f := &activeConfig{
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
	if f := e.activeConfig.Load(); f != nil {
		return f.index
	}
	return noFlows
}

func (e *Server) generation() uint64 {
	if f := e.activeConfig.Load(); f != nil {
		return f.record.Generation
	}
	return 0
}

func (e *Server) currentSet() *contract.Set {
	if f := e.activeConfig.Load(); f != nil {
		return f.set
	}
	return nil
}

// activateConfig activates a set if its generation is higher than that of the active one.
func (e *Server) activateConfig(record publication.Record, set *contract.Set, source string) {
	e.configMu.Lock()
	defer e.configMu.Unlock()
	if !e.activeSet.Update(record, set) {
		return
	}
	f := newActiveConfig(record, set, e.activeConfig.Load())
	e.activeConfig.Store(f)
	e.setUpCores(f)
	e.applyMembership()
	e.config.Log.Info().Str("event", "configuration-in-force").Uint64("generation", record.Generation).
		Str("digest", string(record.Digest)).Str("author", record.Author).Str("source", source).Msg("configuration is active")
}

// setUpCores creates a core for each new service of the set and passes the set to the others; cores are never removed.
func (e *Server) setUpCores(f *activeConfig) {
	for name := range f.services {
		if s, ok := e.coreOf(name); ok {
			e.update(s, dispatch.ConfigurationChanged{Set: f.set})
			continue
		}
		core := dispatch.New(dispatch.Config{
			VM: e.config.VM, Incarnation: e.incarnation, Service: name, Set: f.set,
			ForwardJobs: true, SlotPolicy: e.config.SlotPolicy, QueuePolicy: e.config.QueuePolicy,
		})
		e.serviceCoresMu.Lock()
		e.serviceCores[name] = newServiceCore(name, core)
		e.serviceCoresMu.Unlock()
	}
}

// configurationLoop watches the head of the publications and activates each new set.
func (e *Server) configurationLoop() {
	var version uint64
	for {
		head, seen, err := publication.WatchHead(e.ctx, e.config.Store, version)
		if err == nil && seen != version && head.Generation > e.generation() {
			err = e.fetchFromPlatform(head.Record)
		}
		if err != nil {
			e.config.Log.Warn().Str("event", "configuration-watch-failed").Err(err).Msg("could not fetch the configuration from the platform")
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
	set, err := publication.Fetch(e.ctx, e.config.Store, e.currentSet(), record)
	if err != nil {
		return err
	}
	e.activateConfig(record, set, "platform")
	return nil
}

// fetchFromPeer fetches a higher generation from a peer unless the platform delivers it first.
func (e *Server) fetchFromPeer(peer string, generation uint64) {
	vm, ok := e.membership.Get(peer)
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

// fetchConfiguration fetches the record and a patch, or else the whole set, from a peer and activates it.
func (e *Server) fetchConfiguration(address, source string) {
	ctx, cancel := context.WithTimeout(e.ctx, peerStateTimeout)
	defer cancel()
	record, set, err := e.peerConfiguration(ctx, address)
	if err != nil {
		e.config.Log.Warn().Str("event", "configuration-fetch-failed").Str("peer", source).Err(err).
			Msg("could not fetch the configuration from an entry VM")
		return
	}
	if set != nil {
		e.activateConfig(record, set, source)
	}
}

func (e *Server) peerConfiguration(ctx context.Context, address string) (publication.Record, *contract.Set, error) {
	request := &linkpb.StateRequest{Record: true}
	state, err := e.linkClient.State(ctx, address, request)
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
	state, err = e.linkClient.State(ctx, address, &linkpb.StateRequest{Set: string(record.Digest)})
	if err != nil {
		return record, nil, err
	}
	set, err := contract.Decode(state.Set)
	return record, set, err
}

// peerChange fetches a patch from the active set to the set of a record, and returns the patched set.
func (e *Server) peerChange(ctx context.Context, address string, record publication.Record) (*contract.Set, bool) {
	f := e.activeConfig.Load()
	if f == nil {
		return nil, false
	}
	state, err := e.linkClient.State(ctx, address, &linkpb.StateRequest{
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

// maxRecordSize is the max size of a publication record's JSON in bytes.
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

// directoryLoop merges the platform's list of VMs into the membership.
func (e *Server) directoryLoop() {
	var version uint64
	for e.ctx.Err() == nil {
		list, err := e.config.Directory.VMs(e.ctx, version)
		if err != nil {
			e.config.Log.Warn().Str("event", "list-failed").Err(err).Msg("could not fetch the list of VMs from the platform")
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
	if len(e.membership.MergeList(time.Now(), list)) > 0 {
		e.membershipDirty.Store(true)
	}
}
