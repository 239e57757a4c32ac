package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"samphireplank.example/samphireplank/store"
)

// QueuedJobs returns the number of jobs of a route that have not begun: as the holders of the groups have told last, and as the
// store has it for groups whose holder is out of reach.
func (g *Gateway) QueuedJobs(ctx context.Context, route string) int {
	n := 0
	table := g.holders()
	for _, group := range g.groups() {
		switch h := table[group]; {
		case h == nil:
			n += g.unreached.count(ctx, g.config.Store, group, route)
		case h.driver != nil:
			n += h.driver.waitingJobs()[route]
		default:
			g.mu.Lock()
			n += g.waiting[group][route]
			g.mu.Unlock()
		}
	}
	return n
}

// unreached counts the stored jobs without progress, by group and route.
type unreached struct {
	mu     sync.Mutex
	at     time.Time
	counts map[[2]string]int
}

// unreachedAge is how long a count is used again; it may be 2 s old.
const unreachedAge = time.Second

func (u *unreached) count(ctx context.Context, keys store.KV, group, route string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	if time.Since(u.at) > unreachedAge {
		snapshot, err := keys.Range(ctx, openPrefix)
		if err != nil {
			return u.counts[[2]string{group, route}] // the last count is better than none
		}
		u.at, u.counts = time.Now(), map[[2]string]int{}
		for _, item := range snapshot.Items {
			var open openJob
			if err := json.Unmarshal(item.Value, &open); err != nil || open.Progress != nil || open.Cancelled || open.Work.Schedule.Count > 0 {
				continue
			}
			u.counts[[2]string{open.Group, open.Policy.Route}]++
		}
	}
	return u.counts[[2]string{group, route}]
}
