package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"samphireplank.example/samphireplank/claim"
	"samphireplank.example/samphireplank/evacuation"
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
	// watchWait is the maximum duration of a watch. An unresponsive connection is detected after it, and a configuration
	// must be active within 2 s.
	watchWait = time.Second
	// ownWatchWait is the maximum duration of a watch of this product's keys, which show that a holder was not replaced.
	ownWatchWait = 950 * time.Millisecond
	// workerWatchInterval is the delay between two watches of the workers' entries.
	workerWatchInterval = 400 * time.Millisecond
	// unlistedMemory is how long removed workers are remembered, so that the next holder of a group waits for runs there.
	unlistedMemory = 30 * time.Second
	// maxListGap is the time without a confirmation of the worker list in which no worker can have registered, run a task and
	// been removed, so that a list read afterwards does not lack it: entries expire after some seconds of silence.
	maxListGap = 2 * time.Second
	// retryDelay is the delay after a failed call to the store.
	retryDelay = 100 * time.Millisecond
	// storeStaleTime is the time without a response of the store, beyond one watch, after which the cache is stale and
	// copies are requested from other VMs.
	storeStaleTime = 600 * time.Millisecond
)

// registration is the entry of a VM in the store.
type registration struct {
	Zone        string  `json:"zone"`
	Address     string  `json:"address"`
	Incarnation int64   `json:"incarnation"`
	Weight      float64 `json:"weight"`
}

// unlistedWorker is a worker whose entry has been removed.
type unlistedWorker struct {
	worker.Worker
	since time.Time
	added int64 // revision with which its entry was created
}

// relistedWorker is a worker whose entry has been back for a short time.
type relistedWorker struct {
	at          time.Time
	unlistedFor time.Duration
	added       int64 // revision with which its earlier entry was created
}

// holderRecord is the record of a group's holder with its revision.
type holderRecord struct {
	claim.Record
	revision int64
	since    time.Time
}

// storeCache is a VM's cache of the store's keys.
type storeCache struct {
	decoder Decoder
	log     zerolog.Logger
	clock   func() time.Duration // includes the time of suspension

	prefixes []*watchedPrefix // each is watched on its own

	mu              sync.Mutex
	items           map[string]store.KeyValue
	revision        int64         // highest seen
	lastContact     time.Time     // last response of the store
	confirmedAt     time.Duration // clock reading before the last call that read or watched the keys below ownPrefix
	configuration   *Configuration
	configRev       int64
	configRaw       []byte
	workers         map[string]worker.Worker
	unlisted        map[string]unlistedWorker // by key
	relisted        map[string]relistedWorker // by key
	malformed       map[string]bool           // keys whose entries name no usable worker
	newestWorker    int64                     // highest revision with which an entry of a worker may have been created
	workerLog       workerChangeLog
	vms             map[string]registration
	holders         map[string]holderRecord
	partitions      map[string]zonePartition         // by zone
	slots           map[string]string                // VM by key
	lastWorkerAdded time.Time                        // when the last worker was added
	lastVMAdded     time.Time                        // when the last VM was added
	coldUntil       map[string]time.Time             // when the cold times of workers end, by key
	evacuatedZones  map[string]bool                  // by the operators' keys that the store has shown
	evacuations     atomic.Pointer[evacuation.State] // newest known; replaced with mu held
	changed         chan struct{}                    // closed by the next change
	unavailable     bool                             // the last call of the store failed
	ownKeysRead     bool                             // the keys below ownPrefix, such as the holders, have been read
	workersReadAt   time.Time                        // when the workers were first read, or read again after a gap
	workersCurrent  time.Time                        // when the list of workers was last confirmed
}

func newStoreCache(codec Decoder, log zerolog.Logger) *storeCache {
	return &storeCache{
		decoder: codec, log: log, clock: bootClock, prefixes: watchedPrefixes(codec),
		items: map[string]store.KeyValue{}, workers: map[string]worker.Worker{}, unlisted: map[string]unlistedWorker{}, relisted: map[string]relistedWorker{}, malformed: map[string]bool{}, vms: map[string]registration{},
		holders: map[string]holderRecord{}, partitions: map[string]zonePartition{}, slots: map[string]string{}, evacuatedZones: map[string]bool{}, coldUntil: map[string]time.Time{}, changed: make(chan struct{}),
	}
}

// watchedPrefix is a key prefix that is watched on its own.
type watchedPrefix struct {
	name        string
	interval    time.Duration // between two watches, so that one watch returns several changes
	timeout     time.Duration // maximum duration of a watch
	revision    int64         // up to which the changes of the prefix are known
	lastContact time.Time     // last response of the store for the prefix
}

// watchedPrefixes returns the key prefixes that a VM watches. Workers write a heartbeat every 1.5 s each; applying
// their changes twice a second is enough, since a draining worker gives notice of 2 s.
func watchedPrefixes(codec Decoder) []*watchedPrefix {
	return []*watchedPrefix{
		{name: ownPrefix, timeout: ownWatchWait},
		operatorPrefixIndex: {name: codec.OperatorPrefix(), timeout: watchWait},
		workerPrefixIndex:   {name: codec.WorkerPrefix(), interval: workerWatchInterval, timeout: workerWatchTimeout},
	}
}

// follow keeps a prefix up to date until ctx ends.
func (sc *storeCache) follow(ctx context.Context, keys store.KV, part *watchedPrefix) {
	for ctx.Err() == nil {
		sc.followOnce(ctx, keys, part, func() bool { return false })
	}
}

// followOnce reads a prefix and watches it until a call fails or done returns true. If the prefix is known up to a
// revision, the first watch continues from there.
func (sc *storeCache) followOnce(ctx context.Context, keys store.KV, part *watchedPrefix, done func() bool) {
	var err error
	if sc.knownRevision(part) == 0 {
		err = sc.readAll(ctx, keys, part)
	} else {
		err = sc.watchOnce(ctx, keys, part)
	}
	for err == nil && ctx.Err() == nil && !done() {
		pause(ctx, part.interval)
		err = sc.watchOnce(ctx, keys, part)
	}
	if errors.Is(err, store.ErrCompacted) {
		err = sc.readAll(ctx, keys, part)
	}
	if err != nil && ctx.Err() == nil {
		sc.markUnavailable(err)
		pause(ctx, retryDelay)
	}
}

func (sc *storeCache) knownRevision(part *watchedPrefix) int64 {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return part.revision
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (sc *storeCache) markUnavailable(err error) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if !sc.unavailable {
		sc.unavailable = true
		sc.log.Warn().Str("event", "store-lost").Err(err).Int64("revision", sc.revision).Msg("store is unavailable")
	}
}

func (sc *storeCache) markAvailable() {
	sc.lastContact = time.Now()
	if sc.unavailable {
		sc.unavailable = false
		sc.log.Info().Str("event", "store-back").Int64("revision", sc.revision).Msg("store is available again")
	}
}

// readAll reads and applies all keys of a prefix.
func (sc *storeCache) readAll(ctx context.Context, keys store.KV, part *watchedPrefix) error {
	sent := sc.clock()
	snapshot, err := keys.Range(ctx, part.name)
	if err != nil {
		return err
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.markAvailable()
	sc.confirmRecords(part, sent)
	part.lastContact = sc.lastContact
	sc.replaceAll(part, snapshot.Revision, snapshot.Items)
	sc.notifyLocked()
	return nil
}

// replaceAll applies all keys of a prefix at a revision, unless a newer revision of the prefix is known.
func (sc *storeCache) replaceAll(part *watchedPrefix, revision int64, items []store.KeyValue) {
	if revision < part.revision {
		return
	}
	present := map[string]bool{}
	for _, item := range items {
		present[item.Key] = true
		sc.applyItem(item)
	}
	for key, item := range sc.items {
		if strings.HasPrefix(key, part.name) && !present[key] && item.Revision <= revision {
			sc.removeItem(key, revision)
		}
	}
	if part == sc.workerPrefix() {
		sc.workerLog = workerChangeLog{compactedRevision: revision} // the order of these changes is not known
	}
	part.revision = revision
	sc.updateEvacuations(part)
	switch {
	case part.name == ownPrefix:
		sc.ownKeysRead = true
	case part == sc.workerPrefix():
		if now := time.Now(); now.Sub(sc.workersCurrent) > maxListGap {
			sc.workersReadAt = now
		}
		sc.workersCurrent = time.Now()
	}
	sc.revision = max(sc.revision, revision)
}

func (sc *storeCache) watchOnce(ctx context.Context, keys store.KV, part *watchedPrefix) error {
	sent := sc.clock()
	changes, err := keys.Watch(ctx, part.name, sc.knownRevision(part), part.timeout)
	if err != nil {
		return err
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.markAvailable()
	sc.confirmRecords(part, sent)
	part.lastContact = sc.lastContact
	for _, e := range changes.Events {
		sc.applyEvent(part, e)
	}
	part.revision = max(part.revision, changes.Revision)
	sc.updateEvacuations(part)
	sc.revision = max(sc.revision, changes.Revision)
	if part == sc.workerPrefix() {
		sc.workersCurrent = sc.lastContact
	}
	if len(changes.Events) > 0 {
		sc.notifyLocked()
	}
	return nil
}

// applyEvent applies a change of a key, unless the prefix is known up to a later revision, for example from a copy that
// was applied during a watch.
func (sc *storeCache) applyEvent(part *watchedPrefix, e store.Event) {
	if known, ok := sc.items[e.Key]; e.Revision <= part.revision || ok && known.Revision >= e.Revision {
		return
	}
	if e.Deleted {
		sc.removeItem(e.Key, e.Revision)
		return
	}
	sc.applyItem(e.KeyValue)
}

func (sc *storeCache) notifyLocked() {
	close(sc.changed)
	sc.changed = make(chan struct{})
}

func (sc *storeCache) applyItem(item store.KeyValue) {
	if known, ok := sc.items[item.Key]; ok && known.Revision >= item.Revision {
		return
	}
	sc.items[item.Key] = item
	switch key := item.Key; {
	case key == sc.decoder.ConfigurationKey():
		sc.applyConfiguration(item.Value, item.Revision)
	case strings.HasPrefix(key, sc.decoder.OperatorPrefix()):
		if zone, ok := sc.decoder.EvacuatedZone(key); ok {
			sc.evacuatedZones[zone] = true
		}
	case strings.HasPrefix(key, sc.decoder.WorkerPrefix()):
		w, err := sc.decoder.DecodeWorker(key, item.Value)
		if err != nil {
			if !sc.malformed[key] {
				sc.malformed[key] = true
				sc.log.Warn().Str("event", "worker-malformed").Str("key", key).Err(err).Int("malformed", len(sc.malformed)).Msg("worker entry ignored: it names no usable worker")
			}
			sc.workerLog.add(peer.WorkerChange{Key: key, Value: item.Value, Revision: item.Revision, Created: item.Created})
			sc.unlistWorker(key, item.Created)
			return
		}
		delete(sc.malformed, key)
		before, known := sc.workers[key]
		if !known {
			sc.lastWorkerAdded = time.Now()
		}
		if !known || !sameWorker(before, w) {
			sc.workerLog.add(peer.WorkerChange{Key: key, Value: item.Value, Revision: item.Revision, Created: item.Created})
		}
		sc.workers[key] = w
		sc.recordCold(key, w.ColdFor)
		sc.newestWorker = max(sc.newestWorker, cmp.Or(item.Created, item.Revision))
		if u, ok := sc.unlisted[key]; ok {
			sc.relisted[key] = relistedWorker{time.Now(), time.Since(u.since), u.added}
			delete(sc.unlisted, key)
		}
	case strings.HasPrefix(key, vmPrefix):
		var r registration
		if err := json.Unmarshal(item.Value, &r); err != nil {
			sc.log.Warn().Str("event", "registration-malformed").Str("key", key).Err(err).Msg("registration cannot be decoded")
			return
		}
		name := strings.TrimPrefix(key, vmPrefix)
		if _, known := sc.vms[name]; !known {
			sc.lastVMAdded = time.Now()
		}
		sc.vms[name] = r
	case strings.HasPrefix(key, slotPrefix):
		sc.slots[key] = string(item.Value)
	case strings.HasPrefix(key, partitionPrefix):
		var s zonePartition
		if err := json.Unmarshal(item.Value, &s); err != nil {
			sc.log.Warn().Str("event", "shape-malformed").Str("key", key).Err(err).Msg("zone partition cannot be decoded")
			return
		}
		if s.Groups < 1 || s.Groups > maxGroupsPerZone {
			sc.log.Warn().Str("event", "shape-malformed").Str("key", key).Int("groups", s.Groups).Msg("zone partition ignored: its number of groups is out of range")
			return
		}
		sc.partitions[strings.TrimPrefix(key, partitionPrefix)] = s
	case strings.HasPrefix(key, groupPrefix):
		var r claim.Record
		if err := json.Unmarshal(item.Value, &r); err != nil {
			sc.log.Warn().Str("event", "claim-malformed").Str("key", key).Err(err).Msg("claim record cannot be decoded")
			return
		}
		group := strings.TrimPrefix(key, groupPrefix)
		sc.holders[group] = holderRecord{Record: r, revision: item.Revision, since: time.Now()}
		sc.log.Info().Str("event", "holder-changed").Str("group", group).Str("vm", r.VM).Int64("revision", item.Revision).Msg("group has a new holder")
	}
}

// applyConfiguration activates a configuration unless a later one is known.
func (sc *storeCache) applyConfiguration(value []byte, revision int64) {
	if revision <= sc.configRev {
		return
	}
	c, err := sc.decoder.DecodeConfiguration(value)
	if err != nil {
		sc.log.Error().Str("event", "configuration-malformed").Int64("revision", revision).Err(err).Msg("configuration cannot be decoded")
		return
	}
	sc.configuration, sc.configRev, sc.configRaw = &c, revision, value
	sc.log.Info().Str("event", "configuration").Int64("version", c.Version).Int64("revision", revision).Int("routes", len(c.Routes)).Msg("configuration is active")
}

// removeItem applies the removal of a key at a revision.
func (sc *storeCache) removeItem(key string, revision int64) {
	added := sc.items[key].Created
	delete(sc.items, key)
	switch {
	case strings.HasPrefix(key, sc.decoder.OperatorPrefix()):
		if zone, ok := sc.decoder.EvacuatedZone(key); ok {
			delete(sc.evacuatedZones, zone)
		}
	case strings.HasPrefix(key, sc.decoder.WorkerPrefix()):
		delete(sc.malformed, key)
		sc.workerLog.add(peer.WorkerChange{Key: key, Revision: revision, Removed: true})
		sc.unlistWorker(key, added)
	case strings.HasPrefix(key, vmPrefix):
		delete(sc.vms, strings.TrimPrefix(key, vmPrefix))
	case strings.HasPrefix(key, slotPrefix):
		delete(sc.slots, key)
	case strings.HasPrefix(key, groupPrefix):
		delete(sc.holders, strings.TrimPrefix(key, groupPrefix))
	}
}

// unlistWorker moves a worker that is no longer listed to the unlisted ones, which are kept for unlistedMemory.
func (sc *storeCache) unlistWorker(key string, added int64) {
	if w, ok := sc.workers[key]; ok {
		sc.unlisted[key] = unlistedWorker{w, time.Now(), added}
		delete(sc.workers, key)
	}
}

func (sc *storeCache) currentConfig() (*Configuration, int64) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.configuration, sc.configRev
}

// nextChange returns a channel that is closed at the next change.
func (sc *storeCache) nextChange() <-chan struct{} {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.changed
}

func (sc *storeCache) stale() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return time.Since(sc.lastContact) > storeStaleTime+watchWait || sc.unavailable
}

// applyOwnWrite applies a key that this VM has written.
func (sc *storeCache) applyOwnWrite(item store.KeyValue) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.applyItem(item)
	sc.notifyLocked()
}

// notify wakes all that wait for a change.
func (sc *storeCache) notify() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.notifyLocked()
}

// workerList returns the workers of a group, and the removed ones of the last unlistedMemory; older ones are deleted. The
// entries of workers that are back within the grace period count as the earlier ones for placement.RelistTime.
func (sc *storeCache) workerList(group string, grace time.Duration) (list placement.WorkerList, known bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := time.Now()
	list.Added, list.Revision, list.RemovalsSince = map[string]int64{}, sc.workerPrefix().revision, sc.workersReadAt
	if oldest := now.Add(-unlistedMemory); list.RemovalsSince.Before(oldest) {
		list.RemovalsSince = oldest
	}
	for key, w := range sc.workers {
		if of, ok := sc.groupOf(w); ok && of == group {
			list.Workers = append(list.Workers, w)
			list.Added[w.ID] = sc.items[key].Created
			sc.addCold(&list, key, w.ID, now)
			if r, ok := sc.relisted[key]; ok && r.unlistedFor < grace && now.Sub(r.at) < placement.RelistTime {
				list.Added[w.ID] = min(r.added, list.Added[w.ID])
			}
		}
	}
	for key, w := range sc.unlisted {
		since := now.Sub(w.since)
		if since > unlistedMemory {
			delete(sc.unlisted, key)
			delete(sc.coldUntil, key)
			continue
		}
		if of, ok := sc.groupOf(w.Worker); ok && of == group {
			list.Removed = append(list.Removed, placement.RemovedWorker{Worker: w.Worker, Elapsed: since})
			list.Added[w.ID] = w.added
			sc.addCold(&list, key, w.ID, now)
		}
	}
	for key, r := range sc.relisted {
		if now.Sub(r.at) >= placement.RelistTime {
			delete(sc.relisted, key)
		}
	}
	return list, len(sc.items) > 0
}

// peersInZone returns the first maxZonePeers candidates for holding groups of a zone; the caller holds the lock.
func (sc *storeCache) peersInZone(zone string) []string {
	var vms []claim.VM
	for name, r := range sc.vms {
		if r.Zone == zone {
			vms = append(vms, claim.VM{Name: name, Zone: zone, CPUShare: r.Weight})
		}
	}
	list := claim.Candidates(0, zone, vms)
	names := make([]string, 0, maxZonePeers)
	for _, c := range list[:min(len(list), maxZonePeers)] {
		names = append(names, c.Name)
	}
	return names
}
