package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeDelay   = 4 * time.Millisecond // of each answer
	maxPageItems = 500
)

// item is a key of the store with its value, or a removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// keyValues is a stand-in of the platform's store. Nothing here uses leases, so it has none.
type keyValues struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision int64
	changed  chan struct{}
	down     bool // 503 to all calls
	// translate changes the values that machines write; nil for none.
	translate func(value []byte) []byte
}

func newKeyValues() *keyValues {
	return &keyValues{items: map[string]item{}, revision: 1, changed: make(chan struct{})}
}

// setDown switches the store off and on; waiting watches are cut.
func (k *keyValues) setDown(down bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down = down
	k.signal()
}

func (k *keyValues) signal() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// put writes a key as the platform, the operator or an executor does; false means that the store is down.
func (k *keyValues) put(key string, value any) bool {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // only this program's own values
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		return false
	}
	k.revision++
	k.set(key, data)
	return true
}

// remove removes a key as the platform does; false means that the store is down.
func (k *keyValues) remove(key string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		return false
	}
	k.revision++
	k.unset(key)
	return true
}

func (k *keyValues) set(key string, value []byte) {
	i := item{Key: key, Value: value, Revision: k.revision, Created: k.items[key].Created}
	if i.Created == 0 {
		i.Created = k.revision
	}
	k.items[key] = i
	k.history = append(k.history, i)
	k.signal()
}

func (k *keyValues) unset(key string) {
	if _, ok := k.items[key]; !ok {
		return
	}
	delete(k.items, key)
	k.history = append(k.history, item{Key: key, Revision: k.revision, Removed: true})
	k.signal()
}

// ServeHTTP answers the calls of the store.
func (k *keyValues) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	k.mu.Lock()
	down := k.down
	k.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /v1/kv-key":
		k.mu.Lock()
		i, ok := k.items[r.URL.Query().Get("key")]
		revision := k.revision
		k.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, struct {
			item
			Revision2 int64 `json:"store_revision"`
		}{i, revision})
	case "GET /v1/kv-range":
		k.page(w, r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	case "GET /v1/kv-watch":
		k.watch(w, r)
	case "POST /v1/kv-txn":
		k.commit(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (k *keyValues) page(w http.ResponseWriter, prefix, after string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	items := []item{}
	for key, i := range k.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > maxPageItems
	reply(w, http.StatusOK, map[string]any{"items": items[:min(len(items), maxPageItems)], "has_more": more, "store_revision": k.revision})
}

func (k *keyValues) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err1 := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(query.Get("wait_ms"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		k.mu.Lock()
		events := []item{}
		for n := len(k.history) - 1; n >= 0 && k.history[n].Revision > after; n-- {
			if strings.HasPrefix(k.history[n].Key, query.Get("prefix")) {
				events = append([]item{k.history[n]}, events...)
			}
		}
		changed, revision, down := k.changed, k.revision, k.down
		k.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case len(events) > 0 || ctx.Err() != nil:
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (k *keyValues) commit(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected_rev"`
		Set []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"set_keys"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expect)+len(t.Set)+len(t.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	current, holds := []item{}, true
	for _, c := range t.Expect {
		i := k.items[c.Key]
		holds = holds && i.Revision == c.Revision
		current = append(current, item{Key: c.Key, Value: i.Value, Revision: i.Revision, Created: i.Created})
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	k.revision++
	for _, s := range t.Set {
		if k.translate != nil {
			s.Value = k.translate(s.Value)
		}
		k.set(s.Key, s.Value)
	}
	for _, key := range t.Remove {
		k.unset(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": k.revision})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller has left
}

// serve answers HTTP on an address until the process ends.
func serve(address string, handler http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	var group sync.WaitGroup
	group.Go(func() { _ = http.Serve(l, handler) })
	return nil
}
