package publication

import (
	"context"
	"errors"
	"slices"
	"time"

	"samphireplank.example/samphireplank/store"
)

const (
	// maxRetired bounds the retired keys in the head; each takes up to 160 bytes. Keys beyond it stay in the store.
	maxRetired = 256
	// retiredPerPublication bounds the calls that a publication spends on keys that earlier ones left behind.
	retiredPerPublication = 16
	// abandonTimeout bounds how long the loser of a race tries to hand over its keys before it reports the winner.
	abandonTimeout = 5 * time.Second
)

// staleKey is a key to delete after the publication, at the version it had before.
type staleKey struct {
	key     string
	version uint64
}

// findStale finds the versions of the keys that the publication retires. It does so before the head is swapped: who
// publishes one of these sets again either reads the new head first and gives the key a newer version, or loses.
func (p *Publisher) findStale(ctx context.Context, a *attempt) {
	var dropped []string
	needed := a.next.keys()
	for _, key := range a.head.keys() {
		if !slices.Contains(needed, key) {
			dropped = append(dropped, key)
		}
	}
	earlier := a.head.PendingDeletes
	later := earlier[min(len(earlier), retiredPerPublication):]
	for _, key := range appendRetired(a.next, append(dropped, earlier[:len(earlier)-len(later)]...)) {
		value, err := p.store.Get(ctx, key)
		if errors.Is(err, store.ErrNotFound) {
			continue
		}
		a.next.PendingDeletes = append(a.next.PendingDeletes, key)
		if err == nil {
			a.stale = append(a.stale, staleKey{key: key, version: value.Version})
		}
	}
	a.next.PendingDeletes = appendRetired(a.next, later)
}

// appendRetired returns the retired keys of the head and those of the given ones that the head doesn't need.
func appendRetired(head Head, keys []string) []string {
	needed := head.keys()
	retired := slices.Clone(head.PendingDeletes)
	for _, key := range keys {
		if len(retired) < maxRetired && !slices.Contains(needed, key) && !slices.Contains(retired, key) {
			retired = append(retired, key)
		}
	}
	return retired
}

// deleteStale leaves failures to the next publication, which finds the keys in the head.
func (p *Publisher) deleteStale(ctx context.Context, stale []staleKey) {
	for _, s := range stale {
		_ = p.store.Delete(ctx, s.key, s.version)
	}
}

// abandon adds the keys that the loser of a race has written to the retired ones, and gives up after abandonTimeout.
// The loser must not delete them itself, as another publisher may be about to publish the same set.
func (p *Publisher) abandon(ctx context.Context, keys []string, cause error) {
	var race *ConflictError
	if !errors.As(cause, &race) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, abandonTimeout)
	defer cancel()
	// The refusal stands whether or not the keys could be handed over; in the worst case a set stays in the store.
	_ = retry(ctx, func() error {
		head, version, err := ReadHead(ctx, p.store)
		if err != nil {
			return err
		}
		retired := appendRetired(head, keys)
		if len(retired) == len(head.PendingDeletes) {
			return nil
		}
		head.PendingDeletes = retired
		data, err := head.Encode()
		if err != nil {
			return err
		}
		_, err = p.store.CompareAndSwap(ctx, HeadKey, version, data)
		return err
	})
}
