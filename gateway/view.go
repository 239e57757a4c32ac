package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphireplank.example/samphireplank/claim"
	"samphireplank.example/samphireplank/peer"
	"samphireplank.example/samphireplank/placement"
	"samphireplank.example/samphireplank/store"
	"samphireplank.example/samphireplank/worker"
)

const (
	// ownPrefix is the prefix of the keys that this product writes.
	ownPrefix   = "samphireplank/"
	vmPrefix    = ownPrefix + "vms/"
	groupPrefix = ownPrefix + "groups/"
	// watchWait is the longest wait of a watch. A silent connection is found after it, and a configuration must be in
	// force within 2 s.
	watchWait = time.Second
	// workerRest is the pause between two watches of the workers' entries.
	workerRest = 400 * time.Millisecond
	// retryDelay is the pause after a failed call to the store.
	retryDelay = 100 * time.Millisecond
	// staleTime is the time without an answer of the store after which other VMs are asked.
	staleTime = 600 * time.Millisecond
)

// registration is what a VM writes of itself to the store.
type registration struct {
	Zone        string  `json:"zone"`
	Address     string  `json:"address"`
	Incarnation int64   `json:"incarnation"`
	Weight      float64 `json:"weight"`
}

// unlisted is a worker whose entry has disappeared.
type unlisted struct {
	worker.Worker
	at time.Time
}

// holderRecord is a record of a holder with its revision.
type holderRecord struct {
	claim.Record
	revision int64
	since    time.Time
}

// view is what a VM knows of the store's keys.
type view struct {
	codec Decoder
	log   zerolog.Logger

	parts []*prefix // the watched parts of the store's keys

	mu            sync.Mutex
	items         map[string]store.KeyValue
	revision      int64     // newest of the store that was seen
	contact       time.Time // last answer of the store
	configuration *Configuration
	configRev     int64
	configRaw     []byte
	workers       map[string]worker.Worker
	unlisted      map[string]unlisted // workers whose entries have disappeared
	roster        roster
	vms           map[string]registration
	holders       map[string]holderRecord
	shapes        map[string]shape // by zone
	lastWorker    time.Time        // when a worker was last added
	changed       chan struct{}    // closed by the next change
	lost          bool             // the store does not answer
	ownRead       bool             // the holders of groups are known
	workersRead   time.Time        // when the workers were first known
}

func newView(codec Decoder, log zerolog.Logger) *view {
	return &view{
		codec: codec, log: log, parts: prefixes(codec),
		items: map[string]store.KeyValue{}, workers: map[string]worker.Worker{}, unlisted: map[string]unlisted{}, vms: map[string]registration{},
		holders: map[string]holderRecord{}, shapes: map[string]shape{}, changed: make(chan struct{}),
	}
}

// prefix is a part of the store's keys that is watched on its own.
type prefix struct {
	name     string
	rest     time.Duration // between two watches, to take in several changes at once
	wait     time.Duration // longest wait of a watch
	revision int64         // up to which the keys of the prefix are known
	contact  time.Time     // last answer of the store about the prefix
}

// prefixes returns the parts of the store that a VM watches. Workers write a heartbeat every 1.5 s each; taking in
// their changes twice a second is enough, since a draining worker gives notice of 2 s.
func prefixes(codec Decoder) []*prefix {
	return []*prefix{
		{name: ownPrefix, wait: watchWait},
		{name: codec.ConfigurationKey(), wait: watchWait},
		workerPart: {name: codec.WorkerPrefix(), rest: workerRest, wait: workerWait},
	}
}

// follow keeps a part of the view up to date until ctx ends.
func (v *view) follow(ctx context.Context, keys store.KV, part *prefix) {
	for ctx.Err() == nil {
		v.followOnce(ctx, keys, part, func() bool { return false })
	}
}

// followOnce reads a part and watches it until that fails or is no longer needed. Where the part is known up to a revision,
// the first watch goes on from there.
func (v *view) followOnce(ctx context.Context, keys store.KV, part *prefix, needless func() bool) {
	var err error
	if v.knownUpTo(part) == 0 {
		err = v.read(ctx, keys, part)
	} else {
		err = v.watch(ctx, keys, part)
	}
	for err == nil && ctx.Err() == nil && !needless() {
		pause(ctx, part.rest)
		err = v.watch(ctx, keys, part)
	}
	if errors.Is(err, store.ErrCompacted) {
		err = v.read(ctx, keys, part)
	}
	if err != nil && ctx.Err() == nil {
		v.lose(err)
		pause(ctx, retryDelay)
	}
}

func (v *view) knownUpTo(part *prefix) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return part.revision
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (v *view) lose(err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.lost {
		v.lost = true
		v.log.Warn().Str("event", "store-lost").Err(err).Int64("revision", v.revision).Msg("store does not answer")
	}
}

func (v *view) answered() {
	v.contact = time.Now()
	if v.lost {
		v.lost = false
		v.log.Info().Str("event", "store-back").Int64("revision", v.revision).Msg("store answers again")
	}
}

// read takes in all keys of a prefix.
func (v *view) read(ctx context.Context, keys store.KV, part *prefix) error {
	snapshot, err := keys.Range(ctx, part.name)
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.answered()
	part.contact = v.contact
	v.replace(part, snapshot.Revision, snapshot.Items)
	v.signal()
	return nil
}

// replace takes in all keys of a part as of a revision, unless a newer state of the part is known.
func (v *view) replace(part *prefix, revision int64, items []store.KeyValue) {
	if revision < part.revision {
		return
	}
	present := map[string]bool{}
	for _, item := range items {
		present[item.Key] = true
		v.put(item)
	}
	for key, item := range v.items {
		if strings.HasPrefix(key, part.name) && !present[key] && item.Revision <= revision {
			v.removeAt(key, revision)
		}
	}
	if part == v.workerPart() {
		v.roster = roster{floor: revision} // the order of these changes is not known
	}
	part.revision = revision
	switch {
	case part.name == ownPrefix:
		v.ownRead = true
	case part.name == v.codec.WorkerPrefix() && v.workersRead.IsZero():
		v.workersRead = time.Now()
	}
	v.revision = max(v.revision, revision)
}

func (v *view) watch(ctx context.Context, keys store.KV, part *prefix) error {
	changes, err := keys.Watch(ctx, part.name, v.knownUpTo(part), part.wait)
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.answered()
	part.contact = v.contact
	for _, e := range changes.Events {
		v.change(part, e)
	}
	part.revision = max(part.revision, changes.Revision)
	v.revision = max(v.revision, changes.Revision)
	if len(changes.Events) > 0 {
		v.signal()
	}
	return nil
}

// change takes in a change of a key, unless the part is known up to a later revision, as after a copy that was taken while a
// watch was under way.
func (v *view) change(part *prefix, e store.Event) {
	if known, ok := v.items[e.Key]; e.Revision <= part.revision || ok && known.Revision >= e.Revision {
		return
	}
	if e.Deleted {
		v.removeAt(e.Key, e.Revision)
		return
	}
	v.put(e.KeyValue)
}

func (v *view) signal() {
	close(v.changed)
	v.changed = make(chan struct{})
}

func (v *view) put(item store.KeyValue) {
	if known, ok := v.items[item.Key]; ok && known.Revision >= item.Revision {
		return
	}
	v.items[item.Key] = item
	switch key := item.Key; {
	case key == v.codec.ConfigurationKey():
		v.putConfiguration(item.Value, item.Revision)
	case strings.HasPrefix(key, v.codec.WorkerPrefix()):
		w, err := v.codec.DecodeWorker(key, item.Value)
		if err != nil {
			v.log.Warn().Str("event", "worker-malformed").Str("key", key).Err(err).Msg("entry names no worker to use")
			v.roster.add(peer.WorkerChange{Key: key, Value: item.Value, Revision: item.Revision})
			v.unlist(key)
			return
		}
		before, known := v.workers[key]
		if !known {
			v.lastWorker = time.Now()
		}
		if !known || !sameWorker(before, w) {
			v.roster.add(peer.WorkerChange{Key: key, Value: item.Value, Revision: item.Revision})
		}
		v.workers[key] = w
		delete(v.unlisted, key)
	case strings.HasPrefix(key, vmPrefix):
		var r registration
		if err := json.Unmarshal(item.Value, &r); err != nil {
			v.log.Warn().Str("event", "registration-malformed").Str("key", key).Err(err).Msg("registration cannot be read")
			return
		}
		v.vms[strings.TrimPrefix(key, vmPrefix)] = r
	case strings.HasPrefix(key, shapePrefix):
		var s shape
		if err := json.Unmarshal(item.Value, &s); err != nil {
			v.log.Warn().Str("event", "shape-malformed").Str("key", key).Err(err).Msg("shape cannot be read")
			return
		}
		v.shapes[strings.TrimPrefix(key, shapePrefix)] = s
	case strings.HasPrefix(key, groupPrefix):
		var r claim.Record
		if err := json.Unmarshal(item.Value, &r); err != nil {
			v.log.Warn().Str("event", "claim-malformed").Str("key", key).Err(err).Msg("claim cannot be read")
			return
		}
		group := strings.TrimPrefix(key, groupPrefix)
		v.holders[group] = holderRecord{Record: r, revision: item.Revision, since: time.Now()}
		v.log.Info().Str("event", "holder-changed").Str("group", group).Str("vm", r.VM).Int64("revision", item.Revision).Msg("group has a new holder")
	}
}

// putConfiguration takes a configuration unless a later one is known.
func (v *view) putConfiguration(value []byte, revision int64) {
	if revision <= v.configRev {
		return
	}
	c, err := v.codec.DecodeConfiguration(value)
	if err != nil {
		v.log.Error().Str("event", "configuration-malformed").Int64("revision", revision).Err(err).Msg("configuration cannot be read")
		return
	}
	v.configuration, v.configRev, v.configRaw = &c, revision, value
	v.log.Info().Str("event", "configuration").Int64("version", c.Version).Int64("revision", revision).Int("routes", len(c.Routes)).Msg("configuration in force")
}

// removeAt takes in that a key was removed at a revision.
func (v *view) removeAt(key string, revision int64) {
	delete(v.items, key)
	switch {
	case strings.HasPrefix(key, v.codec.WorkerPrefix()):
		v.roster.add(peer.WorkerChange{Key: key, Revision: revision, Removed: true})
		v.unlist(key)
	case strings.HasPrefix(key, vmPrefix):
		delete(v.vms, strings.TrimPrefix(key, vmPrefix))
	case strings.HasPrefix(key, groupPrefix):
		delete(v.holders, strings.TrimPrefix(key, groupPrefix))
	}
}

// partial says whether entries of workers may have lapsed that this VM has never seen.
func (v *view) partial(grace time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.workersRead.IsZero() || time.Since(v.workersRead) < grace
}

// unlist remembers a worker that is no longer listed for a while.
func (v *view) unlist(key string) {
	if w, ok := v.workers[key]; ok {
		v.unlisted[key] = unlisted{w, time.Now()}
		delete(v.workers, key)
	}
}

// copyFor returns the configuration, and all other keys for a VM without the store.
func (v *view) copyFor(all bool) peer.Copy {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := peer.Copy{Configuration: v.configRaw, Revision: v.configRev}
	if !all {
		return c
	}
	c.Parts, c.Keys, c.Revisions = map[string]int64{}, map[string][]byte{}, map[string]int64{}
	for _, part := range v.parts {
		c.Parts[part.name] = part.revision
	}
	for key, item := range v.items {
		if key != v.codec.ConfigurationKey() {
			c.Keys[key], c.Revisions[key] = item.Value, item.Revision
		}
	}
	return c
}

// take takes in the copy of another VM in those parts in which it is newer: its newest key says nothing about the others.
func (v *view) take(c peer.Copy) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(c.Configuration) > 0 {
		v.putConfiguration(c.Configuration, c.Revision)
	}
	for _, part := range v.parts {
		if c.Parts[part.name] <= part.revision || part.name == v.codec.ConfigurationKey() {
			continue
		}
		var items []store.KeyValue
		for key, value := range c.Keys {
			if strings.HasPrefix(key, part.name) {
				items = append(items, store.KeyValue{Key: key, Value: value, Revision: c.Revisions[key]})
			}
		}
		v.replace(part, c.Parts[part.name], items)
	}
	v.signal()
}

func (v *view) current() (*Configuration, int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.configuration, v.configRev
}

// wait returns a channel that is closed by the next change.
func (v *view) wait() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *view) stale() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Since(v.contact) > staleTime+watchWait || v.lost
}

// write takes in a key that this VM has written.
func (v *view) write(item store.KeyValue) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.put(item)
	v.signal()
}

// poke wakes those who wait for a change.
func (v *view) poke() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.signal()
}

// fleet returns the workers of a group and drops the unlisted ones that are of no use any more.
func (v *view) fleet(group string, grace time.Duration) (fleet placement.WorkerList, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, w := range v.workers {
		if of, ok := v.groupOf(w); ok && of == group {
			fleet.Workers = append(fleet.Workers, w)
		}
	}
	for key, w := range v.unlisted {
		since := time.Since(w.at)
		if since > grace {
			delete(v.unlisted, key)
			continue
		}
		if of, ok := v.groupOf(w.Worker); ok && of == group {
			fleet.Removed = append(fleet.Removed, placement.RemovedWorker{Worker: w.Worker, Elapsed: since})
		}
	}
	return fleet, len(v.items) > 0
}

// neighbours returns the first candidates of a zone for holding groups; the caller holds the lock.
func (v *view) neighbours(zone string) []string {
	var vms []claim.VM
	for name, r := range v.vms {
		if r.Zone == zone {
			vms = append(vms, claim.VM{Name: name, Zone: zone, CPUShare: r.Weight})
		}
	}
	list := claim.Candidates(0, zone, vms)
	names := make([]string, 0, neighbourCount)
	for _, c := range list[:min(len(list), neighbourCount)] {
		names = append(names, c.Name)
	}
	return names
}
