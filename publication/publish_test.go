package publication

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/store"
)

// testSet returns a valid set with the given queue limit.
func testSet(queue int) *contract.Set {
	return &contract.Set{
		Services:   []contract.Service{{Name: "sorting", Slots: 8, MaxConnections: 64, Guard: true, ProbePath: "/healthz", IdleTimeout: 30 * time.Second}},
		Priorities: []contract.Priority{{Name: "batch", Rank: 2, Share: 30, MaxQueued: queue}, {Name: "urgent", Rank: 1, Share: 70, MaxQueued: 500}},
		Teams:      []contract.Team{{Name: "counter", Weight: 1}},
	}
}

func testPublisher(kv store.Store, author string) *Publisher {
	return NewPublisher(Config{Store: kv, Author: author, CallTimeout: time.Second, PublishTimeout: 10 * time.Second})
}

// Guards against accepted publications that are lost or duplicated, and conflicts that do not name the winner, if
// operators publish at the same time and nearly a third of the store's responses are lost.
func TestRacingPublishes(t *testing.T) {
	tests := []struct {
		operators int
		faults    faults
	}{
		{100, faults{lost: 0.2, unwritten: 0.1, delay: 3 * time.Millisecond}},
		{10, faults{lost: 0.2, unwritten: 0.1, delay: 3 * time.Millisecond}},
		{10, faults{lost: 0.2, unwritten: 0.1, delay: 3 * time.Millisecond, stale: 0.1}},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d operators, stale %v", test.operators, test.faults.stale), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testRace(t, test.operators, test.faults) })
		})
	}
}

func testRace(t *testing.T, operators int, f faults) {
	is := is.New(t)
	store := newMemoryStore(1)
	store.set(f)
	type result struct {
		record Record
		err    error
	}
	results := make([]result, 100)
	var group errgroup.Group
	for operator := range operators {
		group.Go(func() error {
			for n := operator; n < len(results); n += operators {
				publisher := testPublisher(store, fmt.Sprintf("operator-%d", n))
				record, err := publisher.Publish(t.Context(), testSet(1000+n%70), "race")
				results[n] = result{record, err}
			}
			return nil
		})
	}
	is.NoErr(group.Wait())
	store.set(faults{})
	head, _, err := ReadHead(t.Context(), store)
	is.NoErr(err)
	accepted := 0
	for n, r := range results {
		found := 0
		for _, kept := range head.Records() {
			if kept.Author == fmt.Sprintf("operator-%d", n) {
				found++
			}
		}
		var race *ConflictError
		if r.err == nil {
			accepted++
			is.Equal(found, 1) // accepted exactly once
			continue
		}
		is.True(errors.As(r.err, &race)) // rejected only because of a conflict
		is.Equal(found, 0)
		is.True(race.Winner.Author != "" && race.Winner.Generation > 0)
	}
	is.Equal(uint64(accepted), head.Generation)
	t.Logf("%d of %d publishes accepted", accepted, len(results))
	checkSets(t, store, head)
	if f.stale == 0 { // a stale read may report an existing obsolete key as not found
		checkNoLeakedKeys(t, store, head)
	}
}

// checkSets checks that every set of the history can be read.
func checkSets(t *testing.T, store *memoryStore, head Head) {
	t.Helper()
	for _, r := range head.Records() {
		_, err := Fetch(t.Context(), store, nil, r)
		is.New(t).NoErr(err)
	}
}

// checkNoLeakedKeys checks that the head references or lists for deletion every key in the store.
func checkNoLeakedKeys(t *testing.T, store *memoryStore, head Head) {
	t.Helper()
	known := map[string]bool{HeadKey: true}
	for _, key := range append(head.referencedKeys(), head.PendingDeletes...) {
		known[key] = true
	}
	for key := range store.keys() {
		if !known[key] {
			t.Errorf("key %s leaked", key)
		}
	}
}

// Guards against unbounded growth of the history, and against deleting a set that is still referenced.
func TestHistoryIsBounded(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore(2)
	publisher := testPublisher(store, "mari")
	for n := range 3 * MaxHistory {
		_, err := publisher.Publish(t.Context(), testSet(1000+n%100), "next")
		is.NoErr(err)
	}
	head, _, err := ReadHead(t.Context(), store)
	is.NoErr(err)
	is.Equal(head.Generation, uint64(3*MaxHistory))
	is.Equal(len(head.History), MaxHistory)
	checkSets(t, store, head)
	checkNoLeakedKeys(t, store, head)
	is.True(len(store.keys()) <= 2*(MaxHistory+1)+3) // sets, patches, the head and the last pending deletes
	_, err = publisher.Restore(t.Context(), 1, "too old")
	var notKept *GenerationNotFoundError
	is.True(errors.As(err, &notKept))
	is.Equal(notKept.Oldest, head.Generation-MaxHistory)
}

// Guards against a restore that reuses an old generation or publishes another set.
func TestRestore(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore(3)
	publisher := testPublisher(store, "mari")
	first, err := publisher.Publish(t.Context(), testSet(1000), "first")
	is.NoErr(err)
	_, err = publisher.Publish(t.Context(), testSet(2000), "second")
	is.NoErr(err)
	restored, err := publisher.Restore(t.Context(), 1, "the second was too large")
	is.NoErr(err)
	is.Equal(restored.Generation, uint64(3))
	is.Equal(restored.Digest, first.Digest)
	records, err := publisher.History(t.Context())
	is.NoErr(err)
	is.Equal(len(records), 3)
	is.Equal(records[0], restored)
}

// Guards against reporting a publication as failed although it may be active.
func TestPublishWithoutAnswers(t *testing.T) { synctest.Test(t, testPublishWithoutAnswers) }

func testPublishWithoutAnswers(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore(4)
	publisher := NewPublisher(Config{Store: store, Author: "mari", CallTimeout: 50 * time.Millisecond, PublishTimeout: 300 * time.Millisecond})
	_, err := publisher.Publish(t.Context(), testSet(1000), "first")
	is.NoErr(err)
	store.set(faults{before: func(call, key string, _ uint64) {
		if call == "swap" && key == HeadKey {
			store.set(faults{down: true}) // becomes unavailable while the head is written
		}
	}})
	_, err = publisher.Publish(t.Context(), testSet(2000), "second")
	var outOfReach *UncertainError
	is.True(errors.As(err, &outOfReach))
	is.Equal(outOfReach.Record.Generation, uint64(2))
	_, err = publisher.Publish(t.Context(), testSet(3000), "third")
	is.True(err != nil)
	is.True(!errors.As(err, &outOfReach)) // the head was never written, so the outcome is known
}

// Guards against a slow store leaving no time to determine the outcome of a call whose response was lost.
func TestPublishToSlowStore(t *testing.T) { synctest.Test(t, publishToSlowStore) }

func publishToSlowStore(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore(4)
	store.set(faults{lost: 0.5, before: func(string, string, uint64) { time.Sleep(700 * time.Millisecond) }})
	publisher := NewPublisher(Config{Store: store, Author: "mari", CallTimeout: time.Second, PublishTimeout: time.Minute})
	for generation := range uint64(10) {
		record, err := publisher.Publish(t.Context(), testSet(1000), "slow")
		is.NoErr(err)
		is.Equal(record.Generation, generation+1)
	}
}

// Guards against reporting an uncertain outcome for a publication that certainly did not take effect.
func TestPublishWithoutEffect(t *testing.T) { synctest.Test(t, testPublishWithoutEffect) }

func testPublishWithoutEffect(t *testing.T) {
	is := is.New(t)
	kv := newMemoryStore(4)
	publisher := NewPublisher(Config{Store: kv, Author: "mari", PublishTimeout: 300 * time.Millisecond})
	kv.set(faults{before: func(call, key string, _ uint64) {
		if call == "swap" && key == HeadKey {
			kv.set(faults{refused: true})
		}
	}})
	_, err := publisher.Publish(t.Context(), testSet(1000), "first")
	var outOfReach *UncertainError
	is.True(errors.Is(err, store.ErrNotApplied))
	is.True(!errors.As(err, &outOfReach))
}

// Guards against publishing on top of a generation other than the expected one.
func TestPublishOnExpectedGeneration(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore(5)
	_, err := testPublisher(store, "mari").Publish(t.Context(), testSet(1000), "first")
	is.NoErr(err)
	_, err = testPublisher(store, "jaan").Publish(t.Context(), testSet(2000), "second")
	is.NoErr(err)
	publisher := NewPublisher(Config{Store: store, Author: "mari", ExpectedGeneration: 1})
	_, err = publisher.Publish(t.Context(), testSet(3000), "third")
	var race *ConflictError
	is.True(errors.As(err, &race))
	is.Equal(race.Winner.Author, "jaan")
	is.Equal(race.Winner.Generation, uint64(2))
}

// Guards against an entry VM that reverts to an earlier set or activates one whose digest differs from the record's.
func TestActiveSetGenerationIncreases(t *testing.T) {
	is := is.New(t)
	var acceptor ActiveSet
	record := func(generation uint64, set *contract.Set) Record {
		return Record{Generation: generation, Digest: set.Digest(), Author: "mari", Reason: "test", PublishID: "id"}
	}
	one, two := testSet(1000), testSet(2000)
	is.True(acceptor.Update(record(2, one), one))
	is.True(!acceptor.Update(record(1, two), two)) // lower
	is.True(!acceptor.Update(record(2, two), two)) // equal
	is.True(!acceptor.Update(record(3, one), two)) // wrong digest
	is.True(!acceptor.Update(record(3, one), nil))
	is.True(acceptor.Update(record(3, two), two))
	inForce, set := acceptor.Current()
	is.Equal(inForce.Generation, uint64(3))
	is.Equal(set, two)
}

// Guards against entry VMs that stay outdated or revert while sets are published and the store loses responses.
func TestActiveSetsFollowTheHead(t *testing.T) { synctest.Test(t, testActiveSetsFollowTheHead) }

func testActiveSetsFollowTheHead(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore(6)
	store.set(faults{lost: 0.2, stale: 0.2, delay: time.Millisecond})
	ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
	defer cancel()
	const publications = 40
	var group errgroup.Group
	for range 5 {
		group.Go(func() error { return follow(ctx, store, publications) })
	}
	publisher := testPublisher(store, "mari")
	for n := range publications {
		for {
			_, err := publisher.Publish(ctx, testSet(1000+n), "next")
			var race *ConflictError
			if !errors.As(err, &race) { // a stale read of the head looks like a conflict
				is.NoErr(err)
				break
			}
		}
	}
	is.NoErr(group.Wait())
}

// follow activates the set of each new head until the generation is active, and fails if the generation decreases.
func follow(ctx context.Context, kv store.Store, last uint64) error {
	var acceptor ActiveSet
	var version uint64
	for {
		before, set := acceptor.Current()
		if before.Generation >= last {
			return nil
		}
		head, seen, err := WatchHead(ctx, kv, version)
		if err != nil {
			return err
		}
		version = seen
		if head.Generation == 0 {
			continue
		}
		fetched, err := Fetch(ctx, kv, set, head.Record)
		if err != nil {
			version = 0 // a stale read; the head is read again
			continue
		}
		acceptor.Update(head.Record, fetched)
		if after, _ := acceptor.Current(); after.Generation < before.Generation {
			return fmt.Errorf("generation decreased from %d to %d", before.Generation, after.Generation)
		}
	}
}
