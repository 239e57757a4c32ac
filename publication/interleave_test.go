package publication

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/store"
)

// turnStore lets a publisher make one call of the store at a time, whenever the test gives it a turn.
type turnStore struct {
	*memoryStore
	turn chan struct{}
}

func (s turnStore) Get(ctx context.Context, key string) (store.VersionedValue, error) {
	<-s.turn
	return s.memoryStore.Get(ctx, key)
}

func (s turnStore) CompareAndSwap(ctx context.Context, key string, version uint64, data []byte) (uint64, error) {
	<-s.turn
	return s.memoryStore.CompareAndSwap(ctx, key, version, data)
}

func (s turnStore) Delete(ctx context.Context, key string, version uint64) error {
	<-s.turn
	return s.memoryStore.Delete(ctx, key, version)
}

// Guards against a set that is deleted because one publication retires it while others publish it again: whatever the
// order of their calls, the head names a set that can be read, and nothing is left over.
func TestRetiredSetPublishedAgain(t *testing.T) {
	accepted := 0
	const seeds = 400
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			store := newMemoryStore(seed)
			store.set(faults{lost: 0.05})
			random := rand.New(rand.NewPCG(seed, 2))
			accepted += interleave(t, store, random, [][]int{{1, 2, 3, 1}, {2, 1, 2, 3}, {3, 1, 3, 2}})
			head, _, err := ReadHead(t.Context(), store)
			is.New(t).NoErr(err)
			checkSets(t, store, head)
			checkNothingLeft(t, store, head)
		})
	}
	t.Logf("%d of %d publications accepted", accepted, 12*seeds)
}

// interleave runs publishers that each publish a list of sets, in a random order of their calls.
func interleave(t *testing.T, store *memoryStore, random *rand.Rand, lists [][]int) int {
	t.Helper()
	var group errgroup.Group
	accepted := 0
	turns := make([]chan struct{}, len(lists))
	for n, sets := range lists {
		turns[n] = make(chan struct{})
		group.Go(func() error {
			defer func() { turns[n] = nil }()
			publisher := testPublisher(turnStore{store, turns[n]}, fmt.Sprint("operator-", n))
			publisher.history = 1 // sets are retired by almost every publication
			for _, queue := range sets {
				_, err := publisher.Publish(t.Context(), testSet(queue), "interleaved")
				var race *ConflictError
				if err == nil {
					accepted++
				} else if !errors.As(err, &race) {
					return err
				}
			}
			return nil
		})
	}
	for {
		synctest.Wait()
		var waiting []chan struct{}
		for _, turn := range turns {
			if turn != nil {
				waiting = append(waiting, turn)
			}
		}
		if len(waiting) == 0 {
			break
		}
		select {
		case waiting[random.IntN(len(waiting))] <- struct{}{}:
		case <-time.After(time.Millisecond): // the publisher pauses before another attempt
		}
	}
	is.New(t).NoErr(group.Wait())
	return accepted
}
