package publication

import (
	"context"
	"time"

	"samphireplank.example/samphireplank/store"
)

// timedStore bounds each call of a store, so that one call without an answer leaves time to find out what became of it.
type timedStore struct {
	store.Store
	timeout time.Duration
}

func (s timedStore) Get(ctx context.Context, key string) (store.VersionedValue, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return s.Store.Get(ctx, key)
}

func (s timedStore) CompareAndSwap(ctx context.Context, key string, version uint64, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return s.Store.CompareAndSwap(ctx, key, version, data)
}

func (s timedStore) Delete(ctx context.Context, key string, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return s.Store.Delete(ctx, key, version)
}
