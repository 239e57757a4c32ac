package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"samphireplank.example/samphireplank/store"
)

// QueuedJobs returns the number of jobs of a route that have not started: as last reported by the holders of the
// groups, and as counted in the store for groups whose holder is unreachable.
func (g *Gateway) QueuedJobs(ctx context.Context, route string) int {
	n := 0
	table := g.holders()
	for _, group := range g.groups() {
		switch h := table[group]; {
		case h == nil:
			n += g.queuedCounts.count(ctx, g.config.Store, group, route)
		case h.driver != nil:
			n += h.driver.queuedJobs()[route]
		default:
			g.mu.Lock()
			n += g.queued[group][route]
			g.mu.Unlock()
		}
	}
	return n
}

// queuedCounter counts the durable jobs without progress in the store, by group and route.
type queuedCounter struct {
	mu        sync.Mutex
	countedAt time.Time
	counts    map[[2]string]int
}

// queuedCountMaxAge is how long a count is reused; counts may be up to 2 s old.
const queuedCountMaxAge = time.Second

func (q *queuedCounter) count(ctx context.Context, keys store.KV, group, route string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if time.Since(q.countedAt) > queuedCountMaxAge {
		snapshot, err := keys.Range(ctx, openJobsPrefix)
		if err != nil {
			return q.counts[[2]string{group, route}] // the last count, since the store is unavailable
		}
		q.countedAt, q.counts = time.Now(), map[[2]string]int{}
		for _, item := range snapshot.Items {
			var open openJob
			if err := json.Unmarshal(item.Value, &open); err != nil || open.Progress != nil || open.Cancelled || open.Work.Schedule.Count > 0 {
				continue
			}
			q.counts[[2]string{open.Group, open.Policy.Route}]++
		}
	}
	return q.counts[[2]string{group, route}]
}
