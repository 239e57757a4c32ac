package standin

import (
	"context"
	"sort"
	"strings"
	"time"

	"samphireplank.example/samphireplank/store"
)

// direct is a store.KV that reaches the content of a stand-in without its faults.
type direct struct{ *KVStore }

func (d direct) Get(_ context.Context, key string) (store.KeyValue, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	item, ok := d.items[key]
	if !ok {
		return store.KeyValue{}, store.ErrNotFound
	}
	return store.KeyValue{Key: key, Value: item.Value, Revision: item.Revision}, nil
}

func (d direct) GetStale(ctx context.Context, key string) (store.KeyValue, error) {
	return d.Get(ctx, key)
}

func (d direct) Range(_ context.Context, prefix string) (store.Snapshot, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	snapshot := store.Snapshot{Revision: d.revision}
	for key, item := range d.items {
		if strings.HasPrefix(key, prefix) {
			snapshot.Items = append(snapshot.Items, store.KeyValue{Key: key, Value: item.Value, Revision: item.Revision})
		}
	}
	sort.Slice(snapshot.Items, func(i, j int) bool { return snapshot.Items[i].Key < snapshot.Items[j].Key })
	return snapshot, nil
}

func (d direct) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (store.WatchResult, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		d.mu.Lock()
		changes := store.WatchResult{Revision: d.revision}
		for _, item := range d.history {
			if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
				changes.Events = append(changes.Events, store.Event{
					KeyValue: store.KeyValue{Key: item.Key, Value: item.Value, Revision: item.Revision}, Deleted: item.Removed,
				})
			}
		}
		changed := d.changed
		d.mu.Unlock()
		if len(changes.Events) > 0 {
			return changes, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return changes, nil
		case <-ctx.Done():
			return changes, ctx.Err()
		}
	}
}

func (d direct) Commit(_ context.Context, t store.Transaction) (int64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range t.Conditions {
		if d.items[c.Key].Revision != c.Revision {
			return 0, store.ErrConflict
		}
	}
	d.revision++
	for _, s := range t.Puts {
		d.setLater(s.Key, s.Value)
	}
	for _, key := range t.Deletes {
		d.remove(key)
	}
	return d.revision, nil
}
