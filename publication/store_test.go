package publication

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"samphireplank.example/samphireplank/store"
)

var errStore = errors.New("no response")

// faults configures the faults that a memoryStore injects.
type faults struct {
	lost      float64                                // fraction of writes whose response is lost after they took effect
	unwritten float64                                // fraction of writes that are lost before they take effect
	stale     float64                                // fraction of reads that return the previous version
	delay     time.Duration                          // maximum delay of each call
	down      bool                                   // no call gets a response
	refused   bool                                   // no call reaches the store
	before    func(call, key string, version uint64) // runs before each call
}

// memoryStore is a store.Store in memory with fault injection; all keys share one version counter, so that a key that
// is created again never repeats a version.
type memoryStore struct {
	mutex    sync.Mutex
	random   *rand.Rand
	faults   faults
	revision uint64
	values   map[string]store.VersionedValue
	earlier  map[string]store.VersionedValue
}

func newMemoryStore(seed uint64) *memoryStore {
	return &memoryStore{
		random:  rand.New(rand.NewPCG(seed, 1)),
		values:  map[string]store.VersionedValue{},
		earlier: map[string]store.VersionedValue{},
	}
}

func (s *memoryStore) set(f faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = f
}

// beginCall applies the faults that affect all calls and returns with the lock held unless it returns an error.
func (s *memoryStore) beginCall(ctx context.Context, call, key string, version uint64) error {
	s.mutex.Lock()
	f, share := s.faults, s.random.Float64()
	s.mutex.Unlock()
	if f.before != nil {
		f.before(call, key, version)
		s.mutex.Lock()
		f = s.faults // the function may have enabled faults for this call
		s.mutex.Unlock()
	}
	if f.delay > 0 {
		time.Sleep(time.Duration(share * float64(f.delay)))
	}
	if f.refused {
		return store.ErrNotApplied
	}
	if f.down {
		return errStore
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	s.mutex.Lock()
	return nil
}

func (s *memoryStore) Get(ctx context.Context, key string) (store.VersionedValue, error) {
	if err := s.beginCall(ctx, "get", key, 0); err != nil {
		return store.VersionedValue{}, err
	}
	defer s.mutex.Unlock()
	value := s.values[key]
	if s.random.Float64() < s.faults.stale {
		value = s.earlier[key]
	}
	if value.Version == 0 {
		return store.VersionedValue{}, store.ErrNotFound
	}
	return value, nil
}

func (s *memoryStore) CompareAndSwap(ctx context.Context, key string, version uint64, data []byte) (uint64, error) {
	if err := s.beginCall(ctx, "swap", key, version); err != nil {
		return 0, err
	}
	defer s.mutex.Unlock()
	if s.random.Float64() < s.faults.unwritten {
		return 0, errStore
	}
	if s.values[key].Version != version {
		return 0, store.ErrVersionMismatch
	}
	if len(data) > store.MaxValueSize {
		return 0, store.ErrValueTooLarge
	}
	s.revision++
	s.earlier[key] = s.values[key]
	s.values[key] = store.VersionedValue{Data: append([]byte(nil), data...), Version: s.revision}
	if s.random.Float64() < s.faults.lost {
		return 0, errStore
	}
	return s.revision, nil
}

func (s *memoryStore) Delete(ctx context.Context, key string, version uint64) error {
	if err := s.beginCall(ctx, "delete", key, version); err != nil {
		return err
	}
	defer s.mutex.Unlock()
	if s.values[key].Version != version {
		return store.ErrVersionMismatch
	}
	delete(s.values, key)
	return nil
}

func (s *memoryStore) Watch(ctx context.Context, key string, version uint64) (store.VersionedValue, error) {
	for {
		value, err := s.Get(ctx, key)
		if err != nil || value.Version != version {
			return value, err
		}
		select {
		case <-ctx.Done():
			return store.VersionedValue{Version: version}, nil
		case <-time.After(time.Millisecond):
		}
	}
}

// keys returns the set of keys in the store.
func (s *memoryStore) keys() map[string]bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	keys := make(map[string]bool, len(s.values))
	for key := range s.values {
		keys[key] = true
	}
	return keys
}
