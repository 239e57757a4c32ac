package main

import (
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
	storeDelay  = 4 * time.Millisecond // an answer, as on the pages
	historyTime = 20 * time.Second
	valueBytes  = 1 << 20
	pageItems   = 500
	pageBytes   = 1 << 20
	maxTxnRows  = 32
	unanswered  = 3 * time.Second // a channel without an answer is held open for so long
)

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`

	at time.Time
}

// txn is the body of a kv-txn call.
type txn struct {
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

func (t txn) sets(key string) bool {
	for _, s := range t.Set {
		if s.Key == key {
			return true
		}
	}
	return false
}

// store is a stand-in of the platform's store.
type store struct {
	rec *record
	// late returns how long after its arrival a write is carried out that gets no answer, 0 for a usual one.
	late func(t txn) time.Duration

	mu       sync.Mutex
	items    map[string]storeItem
	revision int64
	history  []storeItem
	floor    int64
	changed  chan struct{}
	rejected int // writes with a value over the limit
}

func newStore(rec *record) *store {
	return &store{rec: rec, items: map[string]storeItem{}, revision: 1, changed: make(chan struct{})}
}

func (s *store) serve(l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.getKey)
	mux.HandleFunc("GET /v1/kv-range", s.getRange)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.commit)
	return (&http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}).Serve(l)
}

// put writes a key as the operator or an executor does.
func (s *store) put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, data)
	s.signal()
	return nil
}

// drop removes a key as the platform does.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.signal()
}

// value returns the value of a key.
func (s *store) value(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[key]
	return item.Value, ok
}

func (s *store) set(key string, value []byte) {
	item := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.items[key].Created, at: time.Now()}
	if item.Created == 0 {
		item.Created = s.revision
	}
	s.items[key] = item
	s.history = append(s.history, item)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Removed: true, at: time.Now()})
	}
}

func (s *store) signal() {
	old := 0
	for old < len(s.history) && time.Since(s.history[old].at) > historyTime {
		s.floor = s.history[old].Revision
		old++
	}
	s.history = s.history[old:]
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, item)
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size := []storeItem{}, 0
	for _, key := range keys {
		item := s.items[key]
		if len(items) == pageItems || len(items) > 0 && size+len(item.Value) > pageBytes {
			break
		}
		items, size = append(items, item), size+len(item.Value)
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": len(items) < len(keys), "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, err1 := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err1 != nil || err2 != nil {
		http.Error(w, "malformed watch", http.StatusBadRequest)
		return
	}
	time.Sleep(storeDelay)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		if after < s.floor {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		events := []storeItem{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, item := range s.history[first:] {
			if strings.HasPrefix(item.Key, prefix) {
				events = append(events, item)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(storeDelay)
	if len(t.Expect)+len(t.Set)+len(t.Remove) > maxTxnRows {
		http.Error(w, "too many entries", http.StatusBadRequest)
		return
	}
	for _, x := range t.Set {
		if len(x.Value) > valueBytes {
			s.mu.Lock()
			s.rejected++
			if s.rejected <= 3 {
				s.rec.note("store: write of %s refused with 400, its value has %d bytes", x.Key, len(x.Value))
			}
			s.mu.Unlock()
			http.Error(w, "value too large", http.StatusBadRequest)
			return
		}
	}
	if s.late != nil {
		if delay := s.late(t); delay > 0 {
			time.AfterFunc(delay, func() {
				_, _, ok := s.apply(t)
				s.rec.note("store: late write of %s carried out: %v", t.Set[0].Key, ok)
			})
			select {
			case <-r.Context().Done():
			case <-time.After(unanswered):
			}
			panic(http.ErrAbortHandler) // the channel ends without an answer
		}
	}
	revision, items, ok := s.apply(t)
	if !ok {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": items})
		return
	}
	reply(w, http.StatusOK, map[string]any{"revision": revision})
}

// apply carries out a write if its condition holds.
func (s *store) apply(t txn) (revision int64, items []storeItem, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = true
	items = []storeItem{}
	for _, c := range t.Expect {
		item, found := s.items[c.Key]
		if found {
			items = append(items, item)
		}
		ok = ok && item.Revision == c.Revision
	}
	if !ok {
		return 0, items, false
	}
	s.revision++
	for _, x := range t.Set {
		s.set(x.Key, x.Value)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.signal()
	return s.revision, nil, true
}
