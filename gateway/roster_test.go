package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"samphireplank.example/samphireplank/peer"
	"samphireplank.example/samphireplank/store"
)

// changed plays a watch of the workers that returns events up to a revision.
func changed(t *testing.T, v *view, part *prefix, revision int64, events ...store.Event) {
	t.Helper()
	keys := &script{watches: []store.WatchResult{{Revision: revision, Events: events}}}
	if err := v.watch(t.Context(), keys, part); err != nil {
		t.Fatal(err)
	}
}

func removed(id string, revision int64) store.Event {
	return store.Event{KeyValue: store.KeyValue{Key: "workers/" + id, Revision: revision}, Deleted: true}
}

// Guards against changes of the list of workers that are lost, repeated out of order or sent for each heartbeat.
func TestRelayOfWorkers(t *testing.T) {
	is := is.New(t)
	reader, part, _ := known(t, 100, entry("a", 80), entry("b", 81))
	follower := newView(simCodec{}, zerolog.Nop())
	first := reader.workerChanges(follower.workerRevision())
	is.True(first.Whole)
	is.True(follower.takeWorkers(first))
	is.True(listed(follower, "a") && listed(follower, "b"))
	is.True(!follower.partial(0)) // the list is known

	changed(t, reader, part, 110, store.Event{KeyValue: entry("a", 105)}, store.Event{KeyValue: entry("c", 106)}, removed("b", 107))
	next := reader.workerChanges(first.To)
	is.Equal(len(next.Changes), 2) // the heartbeat of a tells nothing new
	is.True(follower.takeWorkers(next))
	is.True(listed(follower, "c") && !listed(follower, "b"))
	is.Equal(follower.workerRevision(), int64(110))
	_, unlisted := follower.unlisted["workers/b"]
	is.True(unlisted) // its runs may be alive

	changed(t, reader, part, 120, store.Event{KeyValue: entry("d", 115)})
	after := reader.workerChanges(115)
	is.True(!follower.takeWorkers(peer.WorkerChanges{From: 115, To: 130, Changes: after.Changes})) // 110 to 115 is missing
	is.Equal(follower.workerRevision(), int64(110))
	is.True(follower.takeWorkers(reader.workerChanges(110)))
	is.True(listed(follower, "d"))
	is.True(follower.takeWorkers(next)) // again and late
	is.True(listed(follower, "d") && !listed(follower, "b"))
}

// Guards against a follower that starts to read by itself and misses what came between.
func TestFollowerGoesOnByItself(t *testing.T) {
	is := is.New(t)
	reader, readerPart, _ := known(t, 100, entry("a", 80))
	follower, part, _ := known(t, 90, entry("a", 80))
	changed(t, reader, readerPart, 120, store.Event{KeyValue: entry("b", 95)})
	is.True(follower.takeWorkers(reader.workerChanges(90)))
	follower.confirmWorkers(120)
	is.Equal(follower.knownUpTo(part), int64(120)) // the watch goes on from here
	changed(t, follower, part, 130, removed("b", 125))
	is.True(!listed(follower, "b"))
}

// Guards against a VM that waits for news of workers from VMs that are silent, stopping or cut off from the store.
func TestRelayIsGivenUp(t *testing.T) {
	is := is.New(t)
	g := New(Config{Log: zerolog.Nop(), Decoder: simCodec{}, Settings: Settings{VM: "v3", Zone: "a"}})
	for _, name := range []string{"v1", "v2", "v3"} {
		g.view.vms[name] = registration{Zone: "a", Weight: 1}
	}
	now := time.Now()
	l := &link{vm: "v1", conn: &peer.Conn{}}
	g.links["v1"] = l
	is.True(!g.relayed(now)) // v1 has not told anything
	l.followed, l.listedAt = true, now
	is.True(g.relayed(now))
	is.True(!g.relayed(now.Add(relayTime))) // silent, or without the store
	l.stopping = true
	is.True(!g.relayed(now))
	l.stopping, l.conn = false, nil
	is.True(!g.relayed(now))

	g.settings.VM = "v1"
	is.Equal(g.readers(), []string{"v1"})
	is.True(!g.relayed(now)) // it is the one that reads
}
