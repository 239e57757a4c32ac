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
	withdrawn := p.expiredWithdrawn()
	p.mu.Unlock()
	if groups := p.g.groups(); len(groups) == 0 || p.d.group != slices.Min(groups) {
		return // only the holder of the first group sweeps
	}
	p.removeWithdrawn(ctx, withdrawn)
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

// entryRetention is how long the entries of ended and withdrawn jobs are kept.
func (p *jobPersister) entryRetention() time.Duration {
	return p.g.settings.EndedJobRetention + clockSkewMargin
}

// withdrawnEntry is the entry of a job that was cancelled before it was stored.
type withdrawnEntry struct {
	revision int64
	at       time.Time
}

// expiredWithdrawn returns the entries of withdrawn jobs that the sweep has to remove, and forgets those that the sweep of another holder
// has removed long ago; the caller holds the lock.
func (p *jobPersister) expiredWithdrawn() []store.Condition {
	var expired []store.Condition
	for key, w := range p.withdrawn {
		switch age := time.Since(w.at); {
		case age >= 2*p.entryRetention()+sweepInterval:
			delete(p.withdrawn, key)
		case age >= p.entryRetention():
			expired = append(expired, store.Condition{Key: key, Revision: w.revision})
		}
	}
	return expired
}

// removeWithdrawn removes the entries of withdrawn jobs.
func (p *jobPersister) removeWithdrawn(ctx context.Context, expired []store.Condition) {
	for batch := range slices.Chunk(expired, maxJobsPerWrite) {
		t := store.Transaction{Conditions: batch}
		for _, c := range batch {
			t.Deletes = append(t.Deletes, c.Key)
		}
		_, err := p.g.config.Store.Commit(ctx, t)
		switch {
		case errors.Is(err, store.ErrConflict) && len(batch) > 1:
			for i := range batch { // one was removed by another holder
				p.removeWithdrawn(ctx, batch[i:i+1])
			}
		case err == nil, errors.Is(err, store.ErrConflict):
			p.mu.Lock()
			for _, c := range batch {
				delete(p.withdrawn, c.Key)
			}
			p.mu.Unlock()
		default:
			p.g.log.Info().Str("event", "sweep").Str("group", p.d.group).Err(err).Msg("removal of withdrawn jobs failed; the next sweep retries")
		}
	}
}

// clockSkewMargin allows for the difference between the VMs' clocks.
const clockSkewMargin = 30 * time.Second
