package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"samphireplank.example/samphireplank/store"
)

// sweepInterval is the interval at which the keys of expired ended jobs are removed.
const sweepInterval = time.Minute

// sweep removes the keys of jobs that ended before the retention period. The ended jobs of two minutes take some
// megabytes at the users' peak, so only the holder of one group reads them, for all groups.
func (p *jobPersister) sweep(ctx context.Context) {
	p.mu.Lock()
	for id, at := range p.ended {
		if time.Since(at) > endedIDRetention {
			delete(p.ended, id)
		}
	}
	for name, t := range p.transferred {
		if time.Since(t.at) > endedIDRetention {
			delete(p.transferred, name)
		}
	}
	tombstones := p.expiredTombstones()
	p.mu.Unlock()
	if groups := p.g.groups(); len(groups) == 0 || p.d.group != slices.Min(groups) {
		return // only the holder of the first group sweeps
	}
	p.removeTombstones(ctx, tombstones)
	snapshot, err := p.g.config.Store.Range(ctx, endedJobsPrefix)
	if err != nil {
		return // the next sweep retries
	}
	var expired store.Transaction
	flush := func() {
		if len(expired.Deletes) == 0 {
			return
		}
		if _, err := p.g.config.Store.Commit(ctx, expired); err != nil {
			p.g.log.Info().Str("event", "sweep").Str("group", p.d.group).Err(err).Msg("removal of expired jobs failed; the next sweep retries")
		}
		expired = store.Transaction{}
	}
	for _, item := range snapshot.Items {
		var ended endedJob
		if err := json.Unmarshal(item.Value, &ended); err != nil || time.Since(ended.Ended) < p.entryRetention() {
			continue // an entry that can't be read may be that of a later version
		}
		expired.Conditions = append(expired.Conditions, store.Condition{Key: item.Key, Revision: item.Revision})
		expired.Deletes = append(expired.Deletes, item.Key)
		if len(expired.Deletes) == maxJobsPerWrite {
			flush()
		}
	}
	flush()
}

// entryRetention is how long the entries of ended jobs and tombstones are kept.
func (p *jobPersister) entryRetention() time.Duration {
	return p.g.settings.EndedJobRetention + clockSkewMargin
}

// tombstone is a known tombstone, see isTombstone.
type tombstone struct {
	revision int64
	at       time.Time
}

// expiredTombstones returns the tombstones that the sweep has to remove, and forgets those that the sweep of another holder has removed long
// ago; the caller holds the lock.
func (p *jobPersister) expiredTombstones() []store.Condition {
	var expired []store.Condition
	for key, known := range p.tombstones {
		switch age := time.Since(known.at); {
		case age >= 2*p.entryRetention()+sweepInterval:
			delete(p.tombstones, key)
		case age >= p.entryRetention():
			expired = append(expired, store.Condition{Key: key, Revision: known.revision})
		}
	}
	return expired
}

// removeTombstones removes tombstones from the store.
func (p *jobPersister) removeTombstones(ctx context.Context, expired []store.Condition) {
	for batch := range slices.Chunk(expired, maxJobsPerWrite) {
		t := store.Transaction{Conditions: batch}
		for _, c := range batch {
			t.Deletes = append(t.Deletes, c.Key)
		}
		_, err := p.g.config.Store.Commit(ctx, t)
		switch {
		case errors.Is(err, store.ErrConflict) && len(batch) > 1:
			for i := range batch { // one was removed by another holder
				p.removeTombstones(ctx, batch[i:i+1])
			}
		case err == nil, errors.Is(err, store.ErrConflict):
			p.mu.Lock()
			for _, c := range batch {
				delete(p.tombstones, c.Key)
			}
			p.mu.Unlock()
		default:
			p.g.log.Info().Str("event", "sweep").Str("group", p.d.group).Err(err).Msg("removal of tombstones failed; the next sweep retries")
		}
	}
}

// clockSkewMargin allows for the difference between the VMs' clocks.
const clockSkewMargin = 30 * time.Second
