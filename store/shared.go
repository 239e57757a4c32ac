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

// DefaultWatchTimeout is the longest wait of a watch.
const DefaultWatchTimeout = 20 * time.Second

// KVStore is a Store and a Directory in a KV.
//
//	shared := store.NewKVStore(keys, 0)
//	version, err := shared.CompareAndSwap(ctx, "key", 0, []byte("value"))
type KVStore struct {
	keys  KV
	wait  time.Duration
	group errgroup.Group // of watches whose callers no longer wait; none returns an error
}

// NewKVStore returns a KVStore whose watches wait at most for the given time, DefaultWatchTimeout if it is 0.
func NewKVStore(keys KV, wait time.Duration) *KVStore {
	if wait <= 0 {
		wait = DefaultWatchTimeout
	}
	return &KVStore{keys: keys, wait: wait}
}

// Get returns the value of a key, or ErrNotFound.
func (s *KVStore) Get(ctx context.Context, key string) (VersionedValue, error) {
	item, err := s.keys.Get(ctx, key)
	if err != nil {
		return VersionedValue{}, err
	}
	return valueOf(item), nil
}

func valueOf(item KeyValue) VersionedValue {
	return VersionedValue{Data: item.Value, Version: uint64(item.Revision)}
}

// CompareAndSwap writes data if the key still has the version and returns the new version.
// Errors for which NotApplied is false leave open whether the write took effect.
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
		if _, missing := s.keys.Get(ctx, key); errors.Is(missing, ErrNotFound) {
			err = ErrNotFound
		}
	}
	if err != nil {
		return fmt.Errorf("delete key %q: %w", key, err)
	}
	return nil
}

// commit translates the outcomes of a KV.
func (s *KVStore) commit(ctx context.Context, t Transaction) (int64, error) {
	revision, err := s.keys.Commit(ctx, t)
	switch {
	case err == nil || errors.Is(err, ErrNotApplied):
		return revision, err
	case errors.Is(err, ErrConflict):
		return 0, ErrVersionMismatch
	}
	return 0, errors.Join(err, ErrOutcomeUnknown)
}

// Watch waits until the key has another version; when the wait or ctx ends first it returns the unchanged value.
func (s *KVStore) Watch(ctx context.Context, key string, version uint64) (VersionedValue, error) {
	snapshot, err := s.keys.Range(ctx, key)
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
	for until := time.Now().Add(s.wait); value.Version == version && time.Now().Before(until); {
		changes, err := s.changes(ctx, key, snapshot.Revision, time.Until(until))
		switch {
		case ctx.Err() != nil:
			return value, nil
		case errors.Is(err, ErrCompacted):
			return value, nil // the next watch reads the key again
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

// changes is a Watch of the KV that ends with ctx; the call goes on in the background then.
func (s *KVStore) changes(ctx context.Context, prefix string, after int64, wait time.Duration) (WatchResult, error) {
	type outcome struct {
		changes WatchResult
		err     error
	}
	done := make(chan outcome, 1)
	s.group.Go(func() error {
		changes, err := s.keys.Watch(context.WithoutCancel(ctx), prefix, after, wait)
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

// VMs waits until the list has another version; it returns the given version without VMs when the wait ends first.
func (s *KVStore) VMs(ctx context.Context, version uint64) (VMList, error) {
	if version > 0 {
		changes, err := s.changes(ctx, VMPrefix, int64(version), s.wait)
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
	snapshot, err := s.keys.Range(ctx, VMPrefix)
	if err != nil {
		return VMList{}, fmt.Errorf("list VMs: %w", err)
	}
	list := VMList{Version: uint64(snapshot.Revision)}
	for _, item := range snapshot.Items {
		var vm VM
		if err := json.Unmarshal(item.Value, &vm); err != nil || vm.ID != strings.TrimPrefix(item.Key, VMPrefix) || vm.Address == "" {
			continue // names no VM to use
		}
		list.VMs = append(list.VMs, vm)
	}
	sort.Slice(list.VMs, func(i, j int) bool { return list.VMs[i].ID < list.VMs[j].ID })
	return list, nil
}

// Register puts a VM into the list; it returns ErrStaleRegistration for a step backwards.
func (s *KVStore) Register(ctx context.Context, vm VM) error {
	item, err := s.keys.Get(ctx, VMPrefix+vm.ID)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return fmt.Errorf("register VM %q: %w", vm.ID, err)
	}
	var old VM
	if err == nil && json.Unmarshal(item.Value, &old) == nil {
		switch {
		case older(vm, old):
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

// Failover is a KV behind several addresses: a call goes to the next one while it certainly had no effect.
type Failover []KV

// next calls the keyspaces in turn until one of them may have done something or has answered.
func next[T any](all Failover, call func(KV) (T, error), goOn func(error) bool) (T, error) {
	var answer T
	var errs error
	for _, k := range all {
		var err error
		if answer, err = call(k); err == nil {
			return answer, nil
		}
		errs = errors.Join(errs, err)
		if !goOn(err) {
			break
		}
	}
	return answer, errs
}

// unanswered says whether a reading call may be repeated elsewhere: all but those with an answer.
func unanswered(err error) bool {
	return !errors.Is(err, ErrNotFound) && !errors.Is(err, ErrCompacted)
}

// Get returns a key.
func (s Failover) Get(ctx context.Context, key string) (KeyValue, error) {
	return next(s, func(k KV) (KeyValue, error) { return k.Get(ctx, key) }, unanswered)
}

// GetStale returns a key as it was a short time ago.
func (s Failover) GetStale(ctx context.Context, key string) (KeyValue, error) {
	return next(s, func(k KV) (KeyValue, error) { return k.GetStale(ctx, key) }, unanswered)
}

// Range returns the keys with a prefix.
func (s Failover) Range(ctx context.Context, prefix string) (Snapshot, error) {
	return next(s, func(k KV) (Snapshot, error) { return k.Range(ctx, prefix) }, unanswered)
}

// Watch waits for changes.
func (s Failover) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (WatchResult, error) {
	return next(s, func(k KV) (WatchResult, error) { return k.Watch(ctx, prefix, after, wait) }, unanswered)
}

// Commit writes under conditions.
func (s Failover) Commit(ctx context.Context, t Transaction) (int64, error) {
	return next(s, func(k KV) (int64, error) { return k.Commit(ctx, t) }, func(err error) bool { return errors.Is(err, ErrNotApplied) })
}
