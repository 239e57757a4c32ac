package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/peer"
	"samphireplank.example/samphireplank/placement"
	"samphireplank.example/samphireplank/store"
	"samphireplank.example/samphireplank/worker"
)

// capableEntry is the entry of a worker that was created at an earlier revision.
func capableEntry(id string, created, revision int64) store.KeyValue {
	value := `{"Service":"s","Address":"` + id + `:1","Zone":"a","Capacity":{"milli-cores":64000,"memory-mib":1000}}`
	return store.KeyValue{Key: "workers/" + id, Value: []byte(value), Revision: revision, Created: created}
}

// cacheWithGroup returns a cache that has read workers of the group a#0 up to a revision.
func cacheWithGroup(t *testing.T, revision int64, items ...store.KeyValue) (*storeCache, *watchedPrefix) {
	t.Helper()
	sc, part, _ := loadedCache(t, revision, items...)
	sc.partitions["a"] = zonePartition{Groups: 1}
	sc.workersReadAt = time.Now().Add(-time.Hour)
	return sc, part
}

func workersOf(t *testing.T, sc *storeCache) placement.WorkerList {
	t.Helper()
	list, known := sc.workerList("a#0", placement.DefaultRules().RemovalGrace)
	if !known {
		t.Fatal("the list is not known")
	}
	return list
}

// polledScheduler is a scheduler whose workers answer at once.
type polledScheduler struct {
	*placement.Scheduler
	now     time.Time
	running map[string][]worker.ActiveRun // by worker
	starts  []worker.StartOrder
	events  map[string]int
}

func newPolledScheduler(fence int64) *polledScheduler {
	return &polledScheduler{
		Scheduler: placement.New(placement.Config{Fence: fence, Rules: placement.DefaultRules()}), now: time.Now(),
		running: map[string][]worker.ActiveRun{}, events: map[string]int{},
	}
}

func (s *polledScheduler) handle(m placement.Message) {
	for _, e := range s.Update(s.now, m) {
		switch e := e.(type) {
		case placement.StartRun:
			s.starts = append(s.starts, e.Order)
			s.running[e.Order.ID] = append(s.running[e.Order.ID], worker.ActiveRun{Run: e.Order.Run})
			s.handle(placement.StartResult{Order: e.Order, SentAt: s.now, Report: worker.Report{Clock: time.Hour, Incarnation: 1}})
		case placement.PollWorker:
			if e.Order.Wait == 0 {
				s.handle(placement.PollResult{Order: e.Order, SentAt: s.now, Report: worker.Report{Clock: time.Hour, Incarnation: 1, Running: s.running[e.Order.ID]}})
			}
		case placement.LogEvent:
			s.events[e.Event]++
		}
	}
}

// submit submits a job over a connection of a VM, as the VM and the holder do.
func (s *polledScheduler) submit(conn uint64, vm *storeCache, id string, resumed bool) {
	work := job.Work{ID: id, BestEffort: true, Steps: []job.Step{{Count: 1, Estimate: time.Second, Need: worker.Resources{MilliCores: 40000}}}}
	policy := job.Policy{Service: "s", MaxAttempts: 3, Stretch: 2, Target: 10 * time.Second}
	m := peer.Submit{Work: work, Policy: policy, Age: 300 * time.Millisecond, Budget: 10 * time.Second, Resumed: resumed, Known: vm.knownWorkers()}
	s.handle(newSubmit(placement.SubmissionKey{Conn: conn, Sequence: uint64(len(s.events)) + conn}, m))
}

// Guards against a second run of a task on the way of a new worker through all lists: the holder has its entry, the VM of the
// job receives it by a relay, and the next holder does not have it when it takes over.
func TestNewWorkerReachesNextHolderLast(t *testing.T) {
	is := is.New(t)
	old := capableEntry("a", 80, 90)
	first, firstPart := cacheWithGroup(t, 100, old)
	vm, _ := cacheWithGroup(t, 100, old)
	next, nextPart := cacheWithGroup(t, 100, old)

	holder := newPolledScheduler(256)
	holder.handle(workersOf(t, first))
	holder.submit(1, vm, "00000000000000bb", false)
	is.Equal(holder.starts[0].ID, "a") // which is full now
	applyWatch(t, first, firstPart, 110, store.Event{KeyValue: capableEntry("b", 105, 105)})
	holder.handle(workersOf(t, first))
	holder.submit(1, vm, "00000000000000aa", false)
	is.Equal(len(holder.starts), 1) // neither the VM nor, maybe, the next holder knows the worker
	is.True(vm.applyWorkerChanges(first.workerChanges(100)))
	holder.handle(placement.Tick{Known: map[uint64]int64{1: vm.knownWorkers()}}) // by a heartbeat
	is.Equal(len(holder.starts), 2)
	is.Equal(holder.starts[1].ID, "b")

	successor := newPolledScheduler(512)
	successor.running["b"] = holder.running["b"]
	successor.handle(workersOf(t, next))
	successor.submit(2, vm, "00000000000000aa", true)
	is.Equal(len(successor.starts), 0) // the worker a is idle, but the task runs
	applyWatch(t, next, nextPart, 110, store.Event{KeyValue: capableEntry("b", 105, 105)})
	successor.handle(workersOf(t, next))
	is.Equal(successor.events["run-adopted"], 1)
	is.Equal(len(successor.starts), 0)
}

// Guards against relays, copies and whole lists that lose with which revision an entry was created, so that a new worker counts
// as known to all VMs.
func TestRelayLosesCreationOfEntry(t *testing.T) {
	is := is.New(t)
	watcher, part := cacheWithGroup(t, 100, capableEntry("a", 80, 90))
	applyWatch(t, watcher, part, 110, store.Event{KeyValue: capableEntry("b", 105, 107)})
	for name, apply := range map[string]func(*storeCache){
		"changes": func(sc *storeCache) { is.True(sc.applyWorkerChanges(watcher.workerChanges(100))) },
		"whole":   func(sc *storeCache) { is.True(sc.applyWorkerChanges(watcher.workerChanges(50))) },
		"copy":    func(sc *storeCache) { sc.applyCopy(watcher.copyFor(true)) },
	} {
		t.Log(name)
		follower, _ := cacheWithGroup(t, 100, capableEntry("a", 80, 90))
		apply(follower)
		list := workersOf(t, follower)
		is.Equal(list.Added, map[string]int64{"a": 80, "b": 105})
		is.Equal(list.Revision, int64(110))
		is.Equal(follower.knownWorkers(), int64(105))
	}
	is.Equal(newStoreCache(fakeDecoder{}, zerolog.Nop()).knownWorkers(), int64(1)) // 0 would mean that any worker is known
}

// Guards against a VM for whose jobs no worker is used, since a watcher of an earlier version relays no revisions of creation.
func TestWatcherOfEarlierVersionRelaysNoCreation(t *testing.T) {
	is := is.New(t)
	vm, _ := cacheWithGroup(t, 100, capableEntry("a", 0, 90))
	reader, _ := cacheWithGroup(t, 100, capableEntry("a", 80, 95))
	is.True(vm.knownWorkers() >= workersOf(t, reader).Added["a"])
	is.Equal(workersOf(t, vm).Added["a"], int64(0)) // any VM may have its job there
}

// Guards against a removed worker that is forgotten while its runs may go on, against a new entry of it that no VM may use
// at first after an outage of the store, and against a list that counts as complete although removals were missed.
func TestRemovedWorkerIsRemembered(t *testing.T) {
	is := is.New(t)
	sc, part := cacheWithGroup(t, 100, capableEntry("a", 80, 90), capableEntry("c", 81, 91))
	applyWatch(t, sc, part, 110, removal("a", 105))
	removed := sc.unlisted["workers/a"]
	removed.since = time.Now().Add(-10 * time.Second)
	sc.unlisted["workers/a"] = removed
	list := workersOf(t, sc)
	is.Equal(len(list.Removed), 1)
	is.Equal(list.Added["a"], int64(80))
	is.True(time.Since(list.RemovalsSince) > unlistedMemory-time.Second)
	applyWatch(t, sc, part, 120, store.Event{KeyValue: capableEntry("a", 115, 115)})
	is.Equal(workersOf(t, sc).Added["a"], int64(115)) // away for longer than the grace period

	applyWatch(t, sc, part, 130, removal("a", 125))
	applyWatch(t, sc, part, 140, store.Event{KeyValue: capableEntry("a", 135, 135)})
	is.Equal(workersOf(t, sc).Added["a"], int64(115))
	back := sc.relisted["workers/a"]
	back.at = back.at.Add(-placement.RelistTime)
	sc.relisted["workers/a"] = back
	is.Equal(workersOf(t, sc).Added["a"], int64(135))

	sc.workersCurrent = time.Now().Add(-maxListGap)
	other, _ := cacheWithGroup(t, 150, capableEntry("a", 135, 145), capableEntry("c", 81, 91))
	sc.applyCopy(other.copyFor(true))
	is.True(time.Since(workersOf(t, sc).RemovalsSince) < time.Second)
}
