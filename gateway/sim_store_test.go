package gateway

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"samphireplank.example/samphireplank/store"
)

// The timeouts of the platform's client of the store.
const (
	simStoreTimeout = 700 * time.Millisecond
	simWatchGrace   = 400 * time.Millisecond
)

// simStoreFault is what the store does with the calls of a VM.
type simStoreFault int

const (
	storeSound       simStoreFault = iota
	storeSilent                    // no call is answered; a write may be carried out, possibly late
	storeRefuses                   // all calls are refused at once
	storeSlow                      // calls take some hundred milliseconds
	storeLossy                     // some answers are lost
	storeReadOnly                  // writes are refused at once
	storeRateLimited               // most writes are refused at once
)

// simStore is the platform's store. The lock of the simulation protects it.
type simStore struct {
	sim       *simulation
	items     map[string]store.KeyValue
	events    []store.Event
	revision  int64
	compacted int64 // history up to this revision is discarded
	changed   chan struct{}
	faults    map[string]simStoreFaultPeriod // by VM
}

type simStoreFaultPeriod struct {
	fault simStoreFault
	until time.Time
}

func newSimStore(s *simulation) *simStore {
	return &simStore{sim: s, items: map[string]store.KeyValue{}, revision: 100, changed: make(chan struct{}), faults: map[string]simStoreFaultPeriod{}}
}

// put writes a key, or removes it if the value is nil.
func (st *simStore) put(key string, value []byte) {
	st.revision++
	st.record(store.Event{KeyValue: store.KeyValue{Key: key, Value: value, Revision: st.revision}, Deleted: value == nil})
}

func (st *simStore) record(e store.Event) {
	if e.Created = st.items[e.Key].Created; e.Created == 0 {
		e.Created = e.Revision
	}
	st.events = append(st.events, e)
	if e.Deleted {
		delete(st.items, e.Key)
	} else {
		st.items[e.Key] = e.KeyValue
	}
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *simStore) commit(t store.Transaction) (int64, error) {
	for _, c := range t.Conditions {
		if st.items[c.Key].Revision != c.Revision {
			return 0, store.ErrConflict
		}
	}
	st.revision++
	for _, p := range t.Puts {
		st.record(store.Event{KeyValue: store.KeyValue{Key: p.Key, Value: p.Value, Revision: st.revision}})
	}
	for _, key := range t.Deletes {
		if _, ok := st.items[key]; ok {
			st.record(store.Event{KeyValue: store.KeyValue{Key: key, Revision: st.revision}, Deleted: true})
		}
	}
	return st.revision, nil
}

// faultOf returns what the store does with the calls of a VM now.
func (st *simStore) faultOf(vm string) simStoreFault {
	if f := st.faults[vm]; time.Now().Before(f.until) {
		return f.fault
	}
	return storeSound
}

// simKV is a VM's client of the store.
type simKV struct{ process *simProcess }

var errSimNoAnswer = errors.New("the store does not answer")

// call lets a call reach the store and its answer return. The store executes it with the lock held.
func (c simKV) call(ctx context.Context, timeout time.Duration, write bool, execute func()) error {
	s := c.process.sim
	if !c.process.awake() {
		return c.await(ctx, nil, timeout)
	}
	s.mu.Lock()
	fault := s.store.faultOf(c.process.machine.name)
	delay := s.between(time.Millisecond, 4*time.Millisecond)
	executed, answered := true, true
	if fault == storeReadOnly || fault == storeRateLimited {
		refused := write && (fault == storeReadOnly || s.chance(0.8))
		if fault = storeSound; refused {
			fault = storeRefuses
		}
	}
	switch fault {
	case storeSound:
	case storeRefuses:
		s.mu.Unlock()
		pause(ctx, delay)
		return errors.Join(errors.New("the store is overloaded"), store.ErrNotApplied)
	case storeSlow:
		delay = s.between(50*time.Millisecond, 650*time.Millisecond)
	case storeSilent:
		answered = false
		if executed = write && s.chance(0.5); executed && s.chance(0.5) {
			delay = s.between(100*time.Millisecond, 3*time.Second)
		}
	case storeLossy:
		if s.chance(0.4) {
			answered, executed = false, s.chance(0.6)
			if executed && s.chance(0.3) {
				delay = s.between(100*time.Millisecond, 3*time.Second)
			}
		}
	}
	s.mu.Unlock()
	done := make(chan struct{})
	if executed {
		time.AfterFunc(delay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			execute()
			if answered {
				close(done)
			}
		})
	}
	return c.await(ctx, done, timeout)
}

// await waits for the answer to a call.
func (c simKV) await(ctx context.Context, done <-chan struct{}, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	var err error
	select {
	case <-done:
	case <-timer.C:
		err = errSimNoAnswer
	case <-ctx.Done():
		err = ctx.Err()
	}
	c.process.awake()
	return err
}

// Get returns a key.
func (c simKV) Get(ctx context.Context, key string) (store.KeyValue, error) {
	var item store.KeyValue
	var found bool
	st := c.process.sim.store
	if err := c.call(ctx, simStoreTimeout, false, func() { item, found = st.items[key] }); err != nil {
		return store.KeyValue{}, err
	}
	if !found {
		return store.KeyValue{}, store.ErrNotFound
	}
	return item, nil
}

// GetStale returns a key.
func (c simKV) GetStale(ctx context.Context, key string) (store.KeyValue, error) {
	return c.Get(ctx, key)
}

// Range returns the keys with a prefix.
func (c simKV) Range(ctx context.Context, prefix string) (store.Snapshot, error) {
	var snapshot store.Snapshot
	st := c.process.sim.store
	err := c.call(ctx, simStoreTimeout, false, func() {
		snapshot.Revision = st.revision
		for key, item := range st.items {
			if strings.HasPrefix(key, prefix) {
				snapshot.Items = append(snapshot.Items, item)
			}
		}
		slices.SortFunc(snapshot.Items, func(a, b store.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	})
	if err != nil {
		return store.Snapshot{}, err
	}
	return snapshot, nil
}

// Watch waits for changes of keys with a prefix.
func (c simKV) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (store.WatchResult, error) {
	s, st := c.process.sim, c.process.sim.store
	end := time.Now().Add(wait)
	for {
		var result store.WatchResult
		var changed <-chan struct{}
		var compacted bool
		err := c.call(ctx, time.Until(end)+simWatchGrace, false, func() {
			result.Revision, changed, compacted = max(st.revision, after), st.changed, after < st.compacted
			for i := len(st.events) - 1; i >= 0 && st.events[i].Revision > after; i-- {
				if strings.HasPrefix(st.events[i].Key, prefix) {
					result.Events = append(result.Events, st.events[i])
				}
			}
			slices.Reverse(result.Events)
		})
		if err != nil {
			return store.WatchResult{}, err
		}
		if compacted {
			return store.WatchResult{}, store.ErrCompacted
		}
		if len(result.Events) > 0 || !time.Now().Before(end) {
			return result, nil
		}
		timer := time.NewTimer(time.Until(end))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return store.WatchResult{}, ctx.Err()
		}
		s.mu.Lock()
		silent := st.faultOf(c.process.machine.name) == storeSilent
		s.mu.Unlock()
		if silent {
			return store.WatchResult{}, c.await(ctx, nil, time.Until(end)+simWatchGrace)
		}
	}
}

// Commit applies a transaction.
func (c simKV) Commit(ctx context.Context, t store.Transaction) (int64, error) {
	var revision int64
	var failed error
	st := c.process.sim.store
	if err := c.call(ctx, simStoreTimeout, true, func() { revision, failed = st.commit(t) }); err != nil {
		return 0, err
	}
	return revision, failed
}
