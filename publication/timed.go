package publication

import (
	"context"
	"time"

	"samphireplank.example/samphireplank/store"
)

// timeoutStore applies a timeout to Get, CompareAndSwap and Delete, so that time remains after an unanswered call to
// determine its outcome.
type timeoutStore struct {
	store.Store
	timeout time.Duration
}

func (s timeoutStore) Get(ctx context.Context, key string) (store.VersionedValue, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return s.Store.Get(ctx, key)
}

func (s timeoutStore) CompareAndSwap(ctx context.Context, key string, version uint64, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return s.Store.CompareAndSwap(ctx, key, version, data)
}

func (s timeoutStore) Delete(ctx context.Context, key string, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	return s.Store.Delete(ctx, key, version)
}
