package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/store"
)

// fakeStore is a store whose writes take 4 ms, conflict, fail or lose their response.
type fakeStore struct {
	store.KV
	mu          sync.Mutex
	keys        map[string]bool
	writes      int
	lostReplies int // writes whose response is lost
	down        bool
}

func (s *fakeStore) Commit(_ context.Context, t store.Transaction) (int64, error) {
	s.mu.Lock()
	s.writes++
	stuck := s.lostReplies > 0
	if stuck {
		s.lostReplies--
	}
	down := s.down
	s.mu.Unlock()
	time.Sleep(4 * time.Millisecond)
	switch {
	case down:
		return 0, store.ErrNotApplied
	case stuck:
		time.Sleep(300 * time.Millisecond)
		return 0, errors.New("no response")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Conditions {
		if s.keys[c.Key] {
			return 0, store.ErrConflict
		}
	}
	for _, i := range t.Puts {
		s.keys[i.Key] = true
	}
	return int64(s.writes), nil
}

func createKey(key string) store.Transaction {
	return store.Transaction{Conditions: []store.Condition{{Key: key}}, Puts: []store.KeyValue{{Key: key}}}
}

// Guards against a job that two groups run: two requests for it arrive at a VM within one write, and each stores it for another
// group.
func TestJobIsStoredTwiceInOneWrite(t *testing.T) {
	is := is.New(t)
	a := &commitBatcher{keys: &fakeStore{keys: map[string]bool{}}, writers: 1}
	for _, key := range []string{"a", "b", "a"} {
		a.queue = append(a.queue, &pendingCommit{Transaction: createKey(key), done: make(chan struct{})})
	}
	queued := a.queue
	a.writeLoop(t.Context())
	is.NoErr(queued[0].err)
	is.NoErr(queued[1].err)
	is.True(errors.Is(queued[2].err, store.ErrConflict))
}

// Guards against one write per job at a peak, and against a conflict of one job that fails the other jobs of its write.
func TestCommitBatcherSharesWrites(t *testing.T) {
	is := is.New(t)
	keys := &fakeStore{keys: map[string]bool{"a": true}}
	a := &commitBatcher{keys: keys}
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	errs := make([]error, len(names))
	var group errgroup.Group
	for i, name := range names {
		group.Go(func() error {
			_, errs[i] = a.commit(context.Background(), createKey(name))
			return nil
		})
	}
	is.NoErr(group.Wait())
	is.True(errors.Is(errs[0], store.ErrConflict))
	for _, err := range errs[1:] {
		is.NoErr(err)
	}
	is.True(keys.writes <= 1+1+len(names)) // the first alone, the others together, each again after the conflict
}

// Guards against jobs blocked behind a write whose response is lost.
func TestCommitBatcherDoesNotWaitForLostReply(t *testing.T) {
	is := is.New(t)
	a := &commitBatcher{keys: &fakeStore{keys: map[string]bool{}, lostReplies: 1}}
	var group errgroup.Group
	group.Go(func() error {
		_, err := a.commit(context.Background(), createKey("a"))
		if err == nil || errors.Is(err, store.ErrNotApplied) {
			t.Error("the outcome of the lost write must be unknown:", err)
		}
		return nil
	})
	time.Sleep(2 * slowWriteTime)
	began := time.Now()
	_, err := a.commit(context.Background(), createKey("b"))
	is.NoErr(err)
	is.True(time.Since(began) < 150*time.Millisecond)
	is.NoErr(group.Wait())
}

// Guards against callers that wait while the store accepts no writes, and against refusals after it has recovered.
func TestCommitBatcherRefusesWhileStoreUnavailable(t *testing.T) {
	is := is.New(t)
	keys := &fakeStore{keys: map[string]bool{}, down: true}
	a := &commitBatcher{keys: keys}
	for range maxConsecutiveFailures {
		_, err := a.commit(context.Background(), createKey("a"))
		is.True(errors.Is(err, store.ErrNotApplied))
	}
	before := keys.writes
	_, err := a.commit(context.Background(), createKey("a"))
	is.True(errors.Is(err, ErrStoreUnavailable) && errors.Is(err, store.ErrNotApplied)) // refused, and truly not sent
	is.Equal(keys.writes, before)
	keys.mu.Lock()
	keys.down = false
	keys.mu.Unlock()
	time.Sleep(unavailableRetryInterval + 10*time.Millisecond)
	_, err = a.commit(context.Background(), createKey("a"))
	is.NoErr(err)
	_, err = a.commit(context.Background(), createKey("b"))
	is.NoErr(err)
}

// Guards against clients that use up the store's rate of writes with cancellations of ids that do not exist.
func TestSpacedWritesStayBelowTheirRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		keys := &fakeStore{keys: map[string]bool{}}
		b := &commitBatcher{keys: keys, spacing: tombstoneSpacing}
		began := time.Now()
		_, err := b.commit(t.Context(), createKey("first"))
		is.NoErr(err)
		is.True(time.Since(began) < tombstoneSpacing) // a single one does not wait
		var clients errgroup.Group
		for i := range 30 * maxJobsPerWrite {
			clients.Go(func() error {
				_, err := b.commit(t.Context(), createKey(fmt.Sprint(i)))
				return err
			})
		}
		is.NoErr(clients.Wait())
		is.Equal(keys.writes, 31)
		is.True(time.Since(began) >= 30*tombstoneSpacing)
	})
}
