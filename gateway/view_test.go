package gateway

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/store"
	"samphireplank.example/samphireplank/worker"
)

// simCodec reads entries of the form that worker.Worker has in JSON.
type simCodec struct{}

func (simCodec) ConfigurationKey() string { return "configuration" }
func (simCodec) WorkerPrefix() string     { return "workers/" }

func (simCodec) DecodeConfiguration([]byte) (Configuration, error) { return Configuration{}, nil }

func (simCodec) DecodeWorker(key string, value []byte) (worker.Worker, error) {
	var w worker.Worker
	err := json.Unmarshal(value, &w)
	w.ID = strings.TrimPrefix(key, "workers/")
	return w, err
}

func (simCodec) DecodeWork(string, []byte) (job.Work, error) { return job.Work{}, nil }

// script is a store that answers each call with the next answer.
type script struct {
	store.KV
	ranges  []store.Snapshot
	watches []store.WatchResult
}

func (s *script) Range(context.Context, string) (store.Snapshot, error) {
	answer := s.ranges[0]
	s.ranges = s.ranges[1:]
	return answer, nil
}

func (s *script) Watch(context.Context, string, int64, time.Duration) (store.WatchResult, error) {
	answer := s.watches[0]
	s.watches = s.watches[1:]
	return answer, nil
}

func entry(id string, revision int64) store.KeyValue {
	return store.KeyValue{Key: "workers/" + id, Value: []byte(`{"Service":"s","Address":"` + id + `:1","Zone":"a"}`), Revision: revision}
}

// known returns a view that has read the workers, and what else the store has, up to a revision.
func known(t *testing.T, revision int64, items ...store.KeyValue) (*view, *prefix, *script) {
	t.Helper()
	v := newView(simCodec{}, zerolog.Nop())
	keys := &script{ranges: []store.Snapshot{{Revision: revision, Items: items}}}
	part := v.parts[2]
	if err := v.read(t.Context(), keys, part); err != nil {
		t.Fatal(err)
	}
	return v, part, keys
}

func listed(v *view, id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, ok := v.workers["workers/"+id]
	return ok
}

// Guards against a worker that has left and is in use again: another VM's copy was taken as newer by its newest key of any
// kind, although its list of workers was older.
func TestCopyBringsNoWorkerBack(t *testing.T) {
	is := is.New(t)
	theirs, _, _ := known(t, 90, entry("left", 80), entry("stays", 81))
	theirs.write(store.KeyValue{Key: groupPrefix + "a#0", Value: []byte(`{"vm":"v"}`), Revision: 100})
	others := theirs.parts[0]
	is.NoErr(theirs.read(t.Context(), &script{ranges: []store.Snapshot{{Revision: 100, Items: []store.KeyValue{{Key: groupPrefix + "a#0", Value: []byte(`{"vm":"v"}`), Revision: 100}}}}}, others))

	own, _, _ := known(t, 98, entry("stays", 81), entry("new", 97)) // "left" was removed at 95
	own.take(theirs.copyFor(true))
	is.True(!listed(own, "left"))
	is.True(listed(own, "new"))
	is.Equal(own.holders["a#0"].VM, "v") // what is newer in the copy is taken
}

// Guards against the same by the answer to a watch that was asked before a newer list was taken.
func TestLateWatchBringsNoWorkerBack(t *testing.T) {
	is := is.New(t)
	own, part, keys := known(t, 90, entry("stays", 81))
	theirs, _, _ := known(t, 100, entry("stays", 81)) // "left" came at 92 and was removed at 95
	keys.watches = []store.WatchResult{{Revision: 93, Events: []store.Event{{KeyValue: entry("left", 92)}}}}
	own.take(theirs.copyFor(true)) // while the watch is under way
	is.NoErr(own.watch(t.Context(), keys, part))
	is.True(!listed(own, "left"))
}

// Guards against a key of this VM that is lost to a list from before its writing.
func TestOlderListKeepsOwnWrite(t *testing.T) {
	is := is.New(t)
	v, _, _ := known(t, 50)
	v.write(store.KeyValue{Key: groupPrefix + "a#0", Value: []byte(`{"vm":"v"}`), Revision: 60})
	is.NoErr(v.read(t.Context(), &script{ranges: []store.Snapshot{{Revision: 55}}}, v.parts[0]))
	is.Equal(v.holders["a#0"].VM, "v")
}
