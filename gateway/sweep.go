package gateway

import (
	"context"
	"encoding/json"
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
	p.mu.Unlock()
	if groups := p.g.groups(); len(groups) == 0 || p.d.group != slices.Min(groups) {
		return // only the holder of the first group sweeps
	}
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
		if err := json.Unmarshal(item.Value, &ended); err != nil || time.Since(ended.Ended) < p.g.settings.EndedJobRetention+clockSkewMargin {
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

// clockSkewMargin allows for the difference between the VMs' clocks.
const clockSkewMargin = 30 * time.Second
