package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"samphireplank.example/samphireplank/store"
)

// KVStoreFaults are the faults of a KVStore.
type KVStoreFaults struct {
	Down                    bool          // 503 to all calls
	Unresponsive            bool          // no call is answered
	Delay                   time.Duration // before each answer
	LostReplyProbability    float64       // share of writes that take effect and are not answered
	DelayedWriteProbability float64       // share of writes that take effect seconds later and are not answered
}

// KVStore is a stand-in of the key-value service of the users' platform.
type KVStore struct {
	// Translate changes the values of keys as they are written; nil for none.
	Translate func(value []byte) []byte

	mu       sync.Mutex
	items    map[string]keyspaceItem
	revision int64
	history  []keyspaceItem
	floor    int64 // changes up to this revision are forgotten
	changed  chan struct{}
	faults   KVStoreFaults
	writes   int
	reads    int
	server   *fasthttp.Server
	lag      time.Duration          // until a registration of a VM shows
	ends     func() <-chan struct{} // ends waiting watches, nil for never
}

type keyspaceItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// NewKVStore returns an empty KVStore.
func NewKVStore() *KVStore {
	k := &KVStore{items: map[string]keyspaceItem{}, revision: 1, changed: make(chan struct{})}
	k.server = &fasthttp.Server{Handler: k.handle, NoDefaultServerHeader: true, Logger: quietLogger{}}
	return k
}

type quietLogger struct{}

// Printf does nothing.
func (quietLogger) Printf(string, ...any) {}

// Serve answers on a listener until Close.
func (k *KVStore) Serve(listener net.Listener) error { return k.server.Serve(listener) }

// Close stops serving.
func (k *KVStore) Close() error { return k.server.Shutdown() }

// SetFaults switches faults.
func (k *KVStore) SetFaults(f KVStoreFaults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
}

// Put writes a key as the platform itself does and returns the revision.
func (k *KVStore) Put(key string, value any) (int64, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, fmt.Errorf("encode key %q: %w", key, err)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revision++
	k.set(key, data)
	return k.revision, nil
}

// Delete removes a key as the platform itself does.
func (k *KVStore) Delete(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.revision++
	k.remove(key)
}

// Compact drops the history of changes, so that watches have to read anew.
func (k *KVStore) Compact() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.history, k.floor = nil, k.revision
}

// Get returns the value of a key and whether it exists.
func (k *KVStore) Get(key string) ([]byte, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	item, ok := k.items[key]
	return item.Value, ok
}

// CallCounts returns the numbers of writing and reading calls.
func (k *KVStore) CallCounts() (writes, reads int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.writes, k.reads
}

func (k *KVStore) set(key string, value []byte) {
	if k.Translate != nil {
		value = k.Translate(value)
	}
	item := keyspaceItem{Key: key, Value: value, Revision: k.revision, Created: k.items[key].Created}
	if item.Created == 0 {
		item.Created = k.revision
	}
	k.items[key] = item
	k.record(item)
}

// setLater writes a key; the registration of a VM shows after the lag.
func (k *KVStore) setLater(key string, value []byte) {
	if k.lag == 0 || !strings.HasPrefix(key, store.VMPrefix) {
		k.set(key, value)
		return
	}
	time.AfterFunc(k.lag, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.revision++
		k.set(key, value)
	})
}

func (k *KVStore) remove(key string) {
	if _, ok := k.items[key]; !ok {
		return
	}
	delete(k.items, key)
	k.record(keyspaceItem{Key: key, Revision: k.revision, Removed: true})
}

func (k *KVStore) record(item keyspaceItem) {
	k.history = append(k.history, item)
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *KVStore) handle(ctx *fasthttp.RequestCtx) {
	k.mu.Lock()
	f := k.faults
	k.mu.Unlock()
	time.Sleep(f.Delay)
	switch {
	case f.Unresponsive:
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { time.Sleep(silence); _ = c.Close() })
		return
	case f.Down:
		ctx.Error("down", fasthttp.StatusServiceUnavailable)
		return
	}
	switch string(ctx.Path()) {
	case "/v1/kv-key":
		k.getKey(ctx)
	case "/v1/kv-range":
		k.rangeKeys(ctx)
	case "/v1/kv-watch":
		k.watch(ctx)
	case "/v1/kv-txn":
		k.commit(ctx, f)
	default:
		ctx.Error("no such call", fasthttp.StatusNotFound)
	}
}

// silence is how long a connection is held open that gets no answer.
const silence = 3 * time.Second

func (k *KVStore) getKey(ctx *fasthttp.RequestCtx) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reads++
	item, ok := k.items[string(ctx.QueryArgs().Peek("key"))]
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	replyJSON(ctx, item)
}

func (k *KVStore) rangeKeys(ctx *fasthttp.RequestCtx) {
	prefix, after := string(ctx.QueryArgs().Peek("prefix")), string(ctx.QueryArgs().Peek("after"))
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reads++
	items := []keyspaceItem{}
	for key, item := range k.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	const page = 20 // small, so that tests turn pages
	more := len(items) > page
	replyJSON(ctx, map[string]any{"items": items[:min(len(items), page)], "has_more": more, "store_revision": k.revision})
}

func (k *KVStore) watch(ctx *fasthttp.RequestCtx) {
	prefix := string(ctx.QueryArgs().Peek("prefix"))
	after, err1 := strconv.ParseInt(string(ctx.QueryArgs().Peek("after")), 10, 64)
	wait, err2 := strconv.Atoi(string(ctx.QueryArgs().Peek("wait_ms")))
	if err1 != nil || err2 != nil {
		ctx.Error("malformed watch", fasthttp.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	var ends <-chan struct{}
	if k.ends != nil {
		ends = k.ends()
	}
	k.mu.Lock()
	k.reads++
	for {
		if after < k.floor {
			k.mu.Unlock()
			ctx.SetStatusCode(fasthttp.StatusGone)
			return
		}
		events := []keyspaceItem{}
		for _, item := range k.history {
			if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
				events = append(events, item)
			}
		}
		changed, revision, down := k.changed, k.revision, k.faults.Down || k.faults.Unresponsive
		k.mu.Unlock()
		if down {
			ctx.Error("down", fasthttp.StatusServiceUnavailable)
			return
		}
		if len(events) > 0 {
			replyJSON(ctx, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-ends:
			ctx.Error("faults have changed", fasthttp.StatusServiceUnavailable)
			return
		case <-timer.C:
			replyJSON(ctx, map[string]any{"events": events, "store_revision": revision})
			return
		}
		k.mu.Lock()
	}
}

func (k *KVStore) commit(ctx *fasthttp.RequestCtx, f KVStoreFaults) {
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
	if err := json.Unmarshal(ctx.PostBody(), &t); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	apply := func() (int64, bool) {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.writes++
		for _, c := range t.Expect {
			if k.items[c.Key].Revision != c.Revision {
				return 0, false
			}
		}
		k.revision++ // one for all keys of the transaction
		for _, s := range t.Set {
			k.setLater(s.Key, s.Value)
		}
		for _, key := range t.Remove {
			k.remove(key)
		}
		return k.revision, true
	}
	chance := rand.Float64()
	if chance < f.DelayedWriteProbability {
		time.AfterFunc(time.Duration(1+rand.IntN(4))*time.Second, func() { apply() })
	}
	if chance < f.DelayedWriteProbability+f.LostReplyProbability {
		if chance >= f.DelayedWriteProbability {
			apply()
		}
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { time.Sleep(silence); _ = c.Close() })
		return
	}
	revision, ok := apply()
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
		return
	}
	replyJSON(ctx, map[string]any{"revision": revision})
}

// replyJSON answers with a JSON body.
func replyJSON(ctx *fasthttp.RequestCtx, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
