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

// turnStore blocks each call of the store until the test gives the publisher a turn.
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

// Guards against deleting a set because one publication makes it obsolete while others publish it again: for any order
// of their calls, the head references readable sets, and no key leaks.
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
			checkNoLeakedKeys(t, store, head)
		})
	}
	t.Logf("%d of %d publications accepted", accepted, 12*seeds)
}

// interleave runs publishers that each publish a list of sets, with their store calls in random order, and returns the
// number of accepted publications.
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
			publisher.maxHistory = 1 // almost every publication makes a set obsolete
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
		case <-time.After(time.Millisecond): // the publisher is in backoff
		}
	}
	is.New(t).NoErr(group.Wait())
	return accepted
}
