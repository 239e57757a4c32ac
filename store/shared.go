package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

// VMPrefix is the prefix of the keys under which VMs register.
const VMPrefix = "samphireplank/vms-by-id/"

// DefaultWatchTimeout is the default for the maximum duration of a watch.
const DefaultWatchTimeout = 20 * time.Second

// KVStore implements Store and Directory on a KV.
//
//	shared := store.NewKVStore(keys, 0)
//	version, err := shared.CompareAndSwap(ctx, "key", 0, []byte("value"))
type KVStore struct {
	kv           KV
	watchTimeout time.Duration
	watches      errgroup.Group // calls of KV.Watch, which may outlive the caller's context; they return no errors
}

// NewKVStore returns a KVStore whose watches end after the given time, or after DefaultWatchTimeout if it is 0 or less.
func NewKVStore(keys KV, wait time.Duration) *KVStore {
	if wait <= 0 {
		wait = DefaultWatchTimeout
	}
	return &KVStore{kv: keys, watchTimeout: wait}
}

// Get returns the value of a key, or ErrNotFound.
func (s *KVStore) Get(ctx context.Context, key string) (VersionedValue, error) {
	item, err := s.kv.Get(ctx, key)
	if err != nil {
		return VersionedValue{}, err
	}
	return valueOf(item), nil
}

func valueOf(item KeyValue) VersionedValue {
	return VersionedValue{Data: item.Value, Version: uint64(item.Revision)}
}

// CompareAndSwap writes data if the key still has the version and returns the new version.
// After an error for which NotApplied is false, the outcome is unknown.
func (s *KVStore) CompareAndSwap(ctx context.Context, key string, version uint64, data []byte) (uint64, error) {
	if len(data) > MaxValueSize {
		return 0, fmt.Errorf("write key %q of %d bytes: %w", key, len(data), ErrValueTooLarge)
	}
	revision, err := s.commit(ctx, Transaction{
		Conditions: []Condition{{Key: key, Revision: int64(version)}}, Puts: []KeyValue{{Key: key, Value: data}},
	})
	if err != nil {
		return 0, fmt.Errorf("write key %q: %w", key, err)
	}
	return uint64(revision), nil
}

// Delete removes a key if it still has the version; it returns ErrNotFound or ErrVersionMismatch.
func (s *KVStore) Delete(ctx context.Context, key string, version uint64) error {
	_, err := s.commit(ctx, Transaction{Conditions: []Condition{{Key: key, Revision: int64(version)}}, Deletes: []string{key}})
	if errors.Is(err, ErrVersionMismatch) {
		if _, missing := s.kv.Get(ctx, key); errors.Is(missing, ErrNotFound) {
			err = ErrNotFound
		}
	}
	if err != nil {
		return fmt.Errorf("delete key %q: %w", key, err)
	}
	return nil
}

// commit applies a transaction and translates the errors of a KV to those of a Store.
func (s *KVStore) commit(ctx context.Context, t Transaction) (int64, error) {
	revision, err := s.kv.Commit(ctx, t)
	switch {
	case err == nil || errors.Is(err, ErrNotApplied):
		return revision, err
	case errors.Is(err, ErrConflict):
		return 0, ErrVersionMismatch
	}
	return 0, errors.Join(err, ErrOutcomeUnknown)
}

// Watch waits until the key has another version; if the watch timeout or ctx ends first, it returns the unchanged
// value.
func (s *KVStore) Watch(ctx context.Context, key string, version uint64) (VersionedValue, error) {
	snapshot, err := s.kv.Range(ctx, key)
	if ctx.Err() != nil {
		return VersionedValue{Version: version}, nil
	}
	if err != nil {
		return VersionedValue{}, fmt.Errorf("watch key %q: %w", key, err)
	}
	var value VersionedValue
	for _, item := range snapshot.Items {
		if item.Key == key {
			value = valueOf(item)
		}
	}
	for until := time.Now().Add(s.watchTimeout); value.Version == version && time.Now().Before(until); {
		changes, err := s.watchChanges(ctx, key, snapshot.Revision, time.Until(until))
		switch {
		case ctx.Err() != nil:
			return value, nil
		case errors.Is(err, ErrCompacted):
			return value, nil // the caller's next Watch reads the key again
		case err != nil:
			return VersionedValue{}, fmt.Errorf("watch key %q: %w", key, err)
		}
		snapshot.Revision = changes.Revision
		for _, e := range changes.Events {
			switch {
			case e.Key != key:
			case e.Deleted:
				value = VersionedValue{}
			default:
				value = valueOf(e.KeyValue)
			}
		}
	}
	return value, nil
}

// watchChanges calls KV.Watch and returns early when ctx ends; the call continues in the background then.
func (s *KVStore) watchChanges(ctx context.Context, prefix string, after int64, wait time.Duration) (WatchResult, error) {
	type outcome struct {
		changes WatchResult
		err     error
	}
	done := make(chan outcome, 1)
	s.watches.Go(func() error {
		changes, err := s.kv.Watch(context.WithoutCancel(ctx), prefix, after, wait)
		done <- outcome{changes, err}
		return nil
	})
	select {
	case o := <-done:
		return o.changes, o.err
	case <-ctx.Done():
		return WatchResult{}, ctx.Err()
	}
}

// VMs waits until the list has another version; if the wait ends first, it returns the given version without VMs.
func (s *KVStore) VMs(ctx context.Context, version uint64) (VMList, error) {
	if version > 0 {
		changes, err := s.watchChanges(ctx, VMPrefix, int64(version), s.watchTimeout)
		switch {
		case ctx.Err() != nil:
			return VMList{Version: version}, nil
		case errors.Is(err, ErrCompacted):
		case err != nil:
			return VMList{}, fmt.Errorf("watch VMs: %w", err)
		case len(changes.Events) == 0:
			return VMList{Version: version}, nil
		}
	}
	snapshot, err := s.kv.Range(ctx, VMPrefix)
	if err != nil {
		return VMList{}, fmt.Errorf("list VMs: %w", err)
	}
	list := VMList{Version: uint64(snapshot.Revision)}
	for _, item := range snapshot.Items {
		var vm VM
		if err := json.Unmarshal(item.Value, &vm); err != nil || vm.ID != strings.TrimPrefix(item.Key, VMPrefix) || vm.Address == "" {
			continue // the entry is malformed or unusable
		}
		list.VMs = append(list.VMs, vm)
	}
	sort.Slice(list.VMs, func(i, j int) bool { return list.VMs[i].ID < list.VMs[j].ID })
	return list, nil
}

// Register adds or updates a VM in the list. It returns ErrStaleRegistration for an earlier incarnation or state than
// the registered one.
func (s *KVStore) Register(ctx context.Context, vm VM) error {
	item, err := s.kv.Get(ctx, VMPrefix+vm.ID)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return fmt.Errorf("register VM %q: %w", vm.ID, err)
	}
	var old VM
	if err == nil && json.Unmarshal(item.Value, &old) == nil {
		switch {
		case isOlder(vm, old):
			return fmt.Errorf("register VM %q: %w", vm.ID, ErrStaleRegistration)
		case vm == old:
			return nil
		}
	}
	value, err := json.Marshal(vm)
	if err != nil {
		return fmt.Errorf("register VM %q: %w", vm.ID, err)
	}
	if _, err := s.CompareAndSwap(ctx, VMPrefix+vm.ID, uint64(item.Revision), value); err != nil {
		return fmt.Errorf("register VM %q: %w", vm.ID, err)
	}
	return nil
}

// Failover is a KV over several servers. A read is retried on the next server unless it got a definite result, a write
// only if it certainly had no effect.
type Failover []KV

// tryEach calls the servers in order until a call succeeds or fails with an error that must not be retried.
func tryEach[T any](all Failover, call func(KV) (T, error), shouldRetry func(error) bool) (T, error) {
	var result T
	var errs error
	for _, k := range all {
		var err error
		if result, err = call(k); err == nil {
			return result, nil
		}
		errs = errors.Join(errs, err)
		if !shouldRetry(err) {
			break
		}
	}
	return result, errs
}

// retryableRead reports whether a failed read may be retried on another server: ErrNotFound and ErrCompacted are
// definite.
func retryableRead(err error) bool {
	return !errors.Is(err, ErrNotFound) && !errors.Is(err, ErrCompacted)
}

// Get returns a key, or ErrNotFound.
func (s Failover) Get(ctx context.Context, key string) (KeyValue, error) {
	return tryEach(s, func(k KV) (KeyValue, error) { return k.Get(ctx, key) }, retryableRead)
}

// GetStale returns a key in a state that may be some seconds old.
func (s Failover) GetStale(ctx context.Context, key string) (KeyValue, error) {
	return tryEach(s, func(k KV) (KeyValue, error) { return k.GetStale(ctx, key) }, retryableRead)
}

// Range returns the keys with a prefix.
func (s Failover) Range(ctx context.Context, prefix string) (Snapshot, error) {
	return tryEach(s, func(k KV) (Snapshot, error) { return k.Range(ctx, prefix) }, retryableRead)
}

// Watch waits at most the given time for changes after a revision.
func (s Failover) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (WatchResult, error) {
	return tryEach(s, func(k KV) (WatchResult, error) { return k.Watch(ctx, prefix, after, wait) }, retryableRead)
}

// Commit applies a transaction; it tries the next server only after ErrNotApplied.
func (s Failover) Commit(ctx context.Context, t Transaction) (int64, error) {
	return tryEach(s, func(k KV) (int64, error) { return k.Commit(ctx, t) }, func(err error) bool { return errors.Is(err, ErrNotApplied) })
}
