package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"samphireplank.example/samphireplank/peer"
	"samphireplank.example/samphireplank/store"
)

// applyWatch applies a watch of the workers that returns events up to a revision.
func applyWatch(t *testing.T, v *storeCache, part *watchedPrefix, revision int64, events ...store.Event) {
	t.Helper()
	keys := &scriptedStore{watches: []store.WatchResult{{Revision: revision, Events: events}}}
	if err := v.watchOnce(t.Context(), keys, part); err != nil {
		t.Fatal(err)
	}
}

func removal(id string, revision int64) store.Event {
	return store.Event{KeyValue: store.KeyValue{Key: "workers/" + id, Revision: revision}, Deleted: true}
}

// Guards against changes of the worker list that are lost, applied out of order or sent for each heartbeat.
func TestRelayOfWorkerChanges(t *testing.T) {
	is := is.New(t)
	watcher, part, _ := loadedCache(t, 100, workerEntry("a", 80), workerEntry("b", 81))
	follower := newStoreCache(fakeDecoder{}, zerolog.Nop())
	first := watcher.workerChanges(follower.workerRevision())
	is.True(first.Whole)
	is.True(follower.applyWorkerChanges(first))
	is.True(isListed(follower, "a") && isListed(follower, "b"))
	is.True(!follower.workerListIncomplete(0)) // the list is known

	applyWatch(t, watcher, part, 110, store.Event{KeyValue: workerEntry("a", 105)}, store.Event{KeyValue: workerEntry("c", 106)}, removal("b", 107))
	next := watcher.workerChanges(first.To)
	is.Equal(len(next.Changes), 2) // the heartbeat of a changes nothing
	is.True(follower.applyWorkerChanges(next))
	is.True(isListed(follower, "c") && !isListed(follower, "b"))
	is.Equal(follower.workerRevision(), int64(110))
	_, unlisted := follower.unlisted["workers/b"]
	is.True(unlisted) // its runs may still be running

	applyWatch(t, watcher, part, 120, store.Event{KeyValue: workerEntry("d", 115)})
	after := watcher.workerChanges(115)
	is.True(!follower.applyWorkerChanges(peer.WorkerChanges{From: 115, To: 130, Changes: after.Changes})) // 110 to 115 is missing
	is.Equal(follower.workerRevision(), int64(110))
	is.True(follower.applyWorkerChanges(watcher.workerChanges(110)))
	is.True(isListed(follower, "d"))
	is.True(follower.applyWorkerChanges(next)) // repeated and late
	is.True(isListed(follower, "d") && !isListed(follower, "b"))
}

// Guards against a follower that misses changes when it starts to read from the store.
func TestFollowerContinuesFromStore(t *testing.T) {
	is := is.New(t)
	watcher, watcherPart, _ := loadedCache(t, 100, workerEntry("a", 80))
	follower, part, _ := loadedCache(t, 90, workerEntry("a", 80))
	applyWatch(t, watcher, watcherPart, 120, store.Event{KeyValue: workerEntry("b", 95)})
	is.True(follower.applyWorkerChanges(watcher.workerChanges(90)))
	follower.confirmWorkerRevision(120)
	is.Equal(follower.knownRevision(part), int64(120)) // the watch continues from here
	applyWatch(t, follower, part, 130, removal("b", 125))
	is.True(!isListed(follower, "b"))
}

// Guards against a VM that waits for worker changes from VMs that are unreachable, stopping or without the store.
func TestStoreIsReadWhenRelayFails(t *testing.T) {
	is := is.New(t)
	g := New(Config{Log: zerolog.Nop(), Decoder: fakeDecoder{}, Settings: Settings{VM: "v3", Zone: "a"}})
	for _, name := range []string{"v1", "v2", "v3"} {
		g.cache.vms[name] = registration{Zone: "a", Weight: 1}
	}
	now := time.Now()
	l := &peerLink{vm: "v1", conn: &peer.Conn{}}
	g.links["v1"] = l
	is.True(!g.hasUpstream(now)) // v1 has not sent any changes
	l.followConfirmed, l.lastListHeartbeat = true, now
	is.True(g.hasUpstream(now))
	is.True(!g.hasUpstream(now.Add(watcherTimeout))) // v1 is unreachable or without the store
	l.stopping = true
	is.True(!g.hasUpstream(now))
	l.stopping, l.conn = false, nil
	is.True(!g.hasUpstream(now))

	g.settings.VM = "v1"
	is.Equal(g.watchers(), []string{"v1"})
	is.True(!g.hasUpstream(now)) // this VM is the watcher
}
