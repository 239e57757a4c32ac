package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"samphireplank.example/samphireplank/claim"
	"samphireplank.example/samphireplank/evacuation"
	"samphireplank.example/samphireplank/placement"
	"samphireplank.example/samphireplank/store"
	"samphireplank.example/samphireplank/worker"
)

// manualStore is a store whose faults a test sets call by call, so that it forces an order of events.
type manualStore struct {
	store.KV
	fault     simStoreFault // storeSound, storeSilent or storeRefuses
	noReads   bool          // reads are not answered
	afterRead func()        // called between a read by prefix and its answer, once; may be nil
	afterGet  func()        // likewise for a read of one key
	afterSave func()        // likewise for a write that was carried out
	mu        sync.Mutex    // protects what follows
	revision  int64
	items     map[string]store.KeyValue
}

func newManualStore() *manualStore {
	return &manualStore{revision: 100, items: map[string]store.KeyValue{}}
}

// put writes a key as another VM does, and returns it as a watch does.
func (s *manualStore) put(t *testing.T, key string, value any) store.KeyValue {
	t.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = store.KeyValue{Key: key, Value: encoded, Revision: s.revision}
	return s.items[key]
}

// job returns an open job, false if there is none.
func (s *manualStore) job(t *testing.T, name string) (openJob, bool) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	item, found := s.items[openJobsPrefix+name]
	var j openJob
	if found {
		if err := json.Unmarshal(item.Value, &j); err != nil {
			t.Fatal(err)
		}
	}
	return j, found
}

// openItems returns the open jobs in the order in which a watch returns them.
func (s *manualStore) openItems() []store.KeyValue {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []store.KeyValue
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, openJobsPrefix) {
			list = append(list, s.items[key])
		}
	}
	slices.SortStableFunc(list, func(a, b store.KeyValue) int { return cmp.Compare(a.Revision, b.Revision) })
	return list
}

var errManualNoAnswer = errors.New("no answer")

func (s *manualStore) answer() error {
	switch s.fault {
	case storeSilent:
		return errManualNoAnswer
	case storeRefuses:
		return store.ErrNotApplied
	}
	return nil
}

func (s *manualStore) answerRead() error {
	if s.noReads {
		return errManualNoAnswer
	}
	return s.answer()
}

// GetStale returns a key, as Get does.
func (s *manualStore) GetStale(ctx context.Context, key string) (store.KeyValue, error) {
	return s.Get(ctx, key)
}

func (s *manualStore) Get(_ context.Context, key string) (store.KeyValue, error) {
	s.mu.Lock()
	err := s.answerRead()
	item, found := s.items[key]
	s.mu.Unlock()
	if err != nil {
		return store.KeyValue{}, err
	}
	runOnce(&s.afterGet)
	if !found {
		return store.KeyValue{}, store.ErrNotFound
	}
	return item, nil
}

func (s *manualStore) Range(_ context.Context, prefix string) (store.Snapshot, error) {
	if err := s.answerRead(); err != nil {
		return store.Snapshot{}, err
	}
	s.mu.Lock()
	snapshot := store.Snapshot{Revision: s.revision}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, prefix) {
			snapshot.Items = append(snapshot.Items, s.items[key])
		}
	}
	s.mu.Unlock()
	runOnce(&s.afterRead)
	return snapshot, nil
}

// Watch returns the changes at once; ends are not among them.
func (s *manualStore) Watch(_ context.Context, prefix string, after int64, _ time.Duration) (store.WatchResult, error) {
	if err := s.answerRead(); err != nil {
		return store.WatchResult{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	result := store.WatchResult{Revision: s.revision}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if item := s.items[key]; strings.HasPrefix(key, prefix) && item.Revision > after {
			result.Events = append(result.Events, store.Event{KeyValue: item})
		}
	}
	return result, nil
}

func runOnce(hook *func()) {
	if f := *hook; f != nil {
		*hook = nil
		f()
	}
}

func (s *manualStore) Commit(_ context.Context, t store.Transaction) (int64, error) {
	revision, err := s.save(t)
	if err == nil || errors.Is(err, errManualNoAnswer) {
		runOnce(&s.afterSave)
	}
	return revision, err
}

func (s *manualStore) save(t store.Transaction) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault == storeRefuses {
		return 0, store.ErrNotApplied
	}
	for _, c := range t.Conditions {
		if s.items[c.Key].Revision != c.Revision {
			if err := s.answer(); err != nil {
				return 0, err
			}
			return 0, store.ErrConflict
		}
	}
	s.revision++
	for _, p := range t.Puts {
		p.Revision = s.revision
		s.items[p.Key] = p
	}
	for _, key := range t.Deletes {
		delete(s.items, key)
	}
	return s.revision, s.answer()
}

// newManualHolder returns the persister of a group that this VM holds. Nothing of it runs by itself.
func newManualHolder(t *testing.T, keys *manualStore) *jobPersister {
	t.Helper()
	p := newUnrestoredHolder(t, keys, unresponsiveWorkers{})
	p.restore(t.Context(), store.Snapshot{Revision: keys.revision}, time.Now())
	return p
}

// newUnrestoredHolder is like newManualHolder, but the jobs have not been read.
func newUnrestoredHolder(t *testing.T, keys *manualStore, workers worker.Client) *jobPersister {
	t.Helper()
	g := New(Config{Log: zerolog.Nop(), Decoder: fakeDecoder{}, PlacementRules: placement.DefaultRules(), ClaimRules: claim.DefaultRules(), Store: keys, Workers: workers, Settings: Settings{VM: "v", Zone: "a", LeaseDuration: time.Second}})
	g.cache.learnEvacuations(evacuation.NewState(nil, 1))
	g.ctx = t.Context()
	g.cache.workersReadAt = time.Now().Add(-time.Hour) // no worker is missing in the list
	record := claim.Record{VM: "v", Incarnation: g.self.Incarnation}
	revision := keys.put(t, groupPrefix+"a#0", record).Revision
	g.cache.holders["a#0"] = holderRecord{Record: record, revision: revision}
	return g.newDriver("a#0", revision*fencesPerRevision, false).persister
}

// newHolderOfIdleWorker is like newUnrestoredHolder with one worker that would start tasks at once.
func newHolderOfIdleWorker(t *testing.T, keys *manualStore) *jobPersister {
	t.Helper()
	p := newUnrestoredHolder(t, keys, &countingWorkers{})
	capacity := worker.Resources{MilliCores: 64000, MemoryMiB: 1000}
	p.d.apply(t.Context(), placement.WorkerList{Workers: []worker.Worker{{ID: "w", Service: "s", Address: "w:1", Zone: "a", Capacity: capacity}}, Revision: 1 << 40})
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		p.d.mu.Lock()
		accepting := p.d.scheduler.Load("s", capacity).Workers
		p.d.mu.Unlock()
		if accepting == 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the worker does not accept work")
		}
	}
	p.g.cache.mu.Lock()
	defer p.g.cache.mu.Unlock()
	p.g.cache.confirmedAt = bootClock() // the permit for durable jobs
	return p
}

// runs returns the number of runs that the scheduler has started.
func (p *jobPersister) runs() int {
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	_, _, runs := p.d.scheduler.Stats()
	return runs
}

// write lets the persister send its next batch.
func (p *jobPersister) write(ctx context.Context) { p.writeBatch(ctx, p.nextBatch()) }
