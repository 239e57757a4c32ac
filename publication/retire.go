package publication

import (
	"context"
	"errors"
	"slices"
	"time"

	"samphireplank.example/samphireplank/store"
)

const (
	// maxPendingDeletes limits the pending deletes in the head, of up to 160 bytes each. Keys beyond it stay in the store.
	maxPendingDeletes = 256
	// maxDeletesPerPublication limits the pending deletes of earlier publications that one publication processes.
	maxDeletesPerPublication = 16
	// handOverTimeout limits how long a publisher tries to hand over its keys before it reports a conflict.
	handOverTimeout = 5 * time.Second
)

// obsoleteKey is a key to delete after the publication, at the version that it had before.
type obsoleteKey struct {
	key     string
	version uint64
}

// findObsolete reads the versions of the keys that the publication makes obsolete and adds the keys to the pending
// deletes of the next head. It does so before the head is swapped: a publisher of one of these sets either reads the new
// head first and gives the key a newer version, or fails with a conflict.
func (p *Publisher) findObsolete(ctx context.Context, a *attempt) {
	var dropped []string
	needed := a.next.referencedKeys()
	for _, key := range a.head.referencedKeys() {
		if !slices.Contains(needed, key) {
			dropped = append(dropped, key)
		}
	}
	earlier := a.head.PendingDeletes
	later := earlier[min(len(earlier), maxDeletesPerPublication):]
	for _, key := range appendPendingDeletes(a.next, append(dropped, earlier[:len(earlier)-len(later)]...)) {
		value, err := p.store.Get(ctx, key)
		if errors.Is(err, store.ErrNotFound) {
			continue
		}
		a.next.PendingDeletes = append(a.next.PendingDeletes, key)
		if err == nil {
			a.obsolete = append(a.obsolete, obsoleteKey{key: key, version: value.Version})
		}
	}
	a.next.PendingDeletes = appendPendingDeletes(a.next, later)
}

// appendPendingDeletes returns the pending deletes of the head and, up to maxPendingDeletes, those of the given keys
// that the head does not reference.
func appendPendingDeletes(head Head, keys []string) []string {
	needed := head.referencedKeys()
	retired := slices.Clone(head.PendingDeletes)
	for _, key := range keys {
		if len(retired) < maxPendingDeletes && !slices.Contains(needed, key) && !slices.Contains(retired, key) {
			retired = append(retired, key)
		}
	}
	return retired
}

// deleteObsolete deletes the keys and ignores failures: the next publication finds the keys in the head and retries.
func (p *Publisher) deleteObsolete(ctx context.Context, stale []obsoleteKey) {
	for _, s := range stale {
		_ = p.store.Delete(ctx, s.key, s.version)
	}
}

// handOverKeys adds the keys written by a publication that failed with a conflict to the pending deletes of the head,
// and gives up after handOverTimeout. It does not delete them itself, as another publisher may be about to publish the
// same set.
func (p *Publisher) handOverKeys(ctx context.Context, keys []string, cause error) {
	var race *ConflictError
	if !errors.As(cause, &race) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	// The conflict is reported even if the keys could not be handed over; in the worst case a set stays in the store.
	_ = retry(ctx, func() error {
		head, version, err := ReadHead(ctx, p.store)
		if err != nil {
			return err
		}
		retired := appendPendingDeletes(head, keys)
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
