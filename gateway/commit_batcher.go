package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"samphireplank.example/samphireplank/store"
)

// commitBatcher collects the new jobs that arrive during a write and commits them together in the next write. While the
// store does not accept writes, only one job at a time is tried; the others are refused at once, so that their callers
// do not wait.
type commitBatcher struct {
	keys    store.KV
	spacing time.Duration // minimum time between two writes, of which one is sent at a time; 0 if they are not limited

	mu          sync.Mutex
	writers     int
	lastWriteAt time.Time // start of the last write
	queue       []*pendingCommit
	failures    int // writes that failed since the last one that did not
	retryAt     time.Time
}

// pendingCommit is a transaction that stores a job, with its result.
type pendingCommit struct {
	store.Transaction
	done chan struct{}
	rev  int64
	err  error
}

// errStoreUnavailable means that recent writes to the store failed and that this one was not sent.
var errStoreUnavailable = errors.Join(ErrStoreUnavailable, store.ErrNotApplied)

const (
	// unavailableRetryInterval is the interval between two attempts while the store does not accept writes.
	unavailableRetryInterval = 100 * time.Millisecond
	// maxConsecutiveFailures is the number of consecutive failed writes after which jobs are refused. One failure
	// is not enough, since a single response of the store may be lost.
	maxConsecutiveFailures = 2
	// slowWriteTime exceeds the usual duration of a write on a busy store. The response to a slower write may be lost, so
	// the jobs queued behind it are written concurrently.
	slowWriteTime = 40 * time.Millisecond
	// maxConcurrentWrites is the maximum number of concurrent writes.
	maxConcurrentWrites = 4
)

// commit stores a job, possibly in one write with others. The result depends only on the job's own conditions.
func (b *commitBatcher) commit(ctx context.Context, t store.Transaction) (int64, error) {
	pending := &pendingCommit{Transaction: t, done: make(chan struct{})}
	b.mu.Lock()
	now := time.Now()
	if b.failures >= maxConsecutiveFailures && (b.writers > 0 || now.Before(b.retryAt)) {
		b.mu.Unlock()
		return 0, errStoreUnavailable
	}
	b.queue = append(b.queue, pending)
	isWriter := b.writers == 0 || b.spacing == 0 && b.writers < maxConcurrentWrites && now.Sub(b.lastWriteAt) > slowWriteTime
	if isWriter {
		b.writers++
	}
	b.mu.Unlock()
	if isWriter {
		b.writeLoop(ctx)
	}
	<-pending.done
	return pending.rev, pending.err
}

// writeLoop writes batches until the queue is empty; each call of the store has its own timeout.
func (b *commitBatcher) writeLoop(ctx context.Context) {
	ctx = context.WithoutCancel(ctx) // other callers also wait for these writes
	for {
		b.mu.Lock()
		if wait := time.Until(b.lastWriteAt.Add(b.spacing)); b.spacing > 0 && wait > 0 && len(b.queue) > 0 {
			b.mu.Unlock()
			pause(ctx, wait)
			b.mu.Lock()
		}
		var batch []*pendingCommit
		batch, b.queue = nextBatch(b.queue)
		if len(batch) == 0 {
			b.writers--
			b.mu.Unlock()
			return
		}
		b.lastWriteAt = time.Now()
		b.mu.Unlock()
		b.recordResult(b.write(ctx, batch))
	}
}

// nextBatch returns the transactions for the next write and those that remain. A write contains each job once, since the
// conditions of two transactions that create the same key do not conflict within one write.
func nextBatch(queue []*pendingCommit) (batch, rest []*pendingCommit) {
	keys := map[string]bool{}
	for _, x := range queue {
		key := x.Puts[0].Key
		if len(batch) == maxJobsPerWrite || keys[key] {
			rest = append(rest, x)
			continue
		}
		keys[key] = true
		batch = append(batch, x)
	}
	return batch, rest
}

// write stores a batch and returns the store's error if it was unavailable or did not apply the write; a conflict is
// not returned.
func (b *commitBatcher) write(ctx context.Context, batch []*pendingCommit) error {
	var all store.Transaction
	for _, x := range batch {
		all.Conditions, all.Puts = append(all.Conditions, x.Conditions...), append(all.Puts, x.Puts...)
	}
	rev, err := b.keys.Commit(ctx, all)
	for _, x := range batch {
		if errors.Is(err, store.ErrConflict) && len(batch) > 1 {
			// A job that is already stored must not prevent the others from being stored.
			x.rev, x.err = b.keys.Commit(ctx, x.Transaction)
		} else {
			x.rev, x.err = rev, err
		}
		close(x.done)
	}
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}

// recordResult records the result of a write. After maxConsecutiveFailures all queued jobs fail with
// errStoreUnavailable.
func (b *commitBatcher) recordResult(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		b.failures = 0
		return
	}
	b.failures++
	if b.failures < maxConsecutiveFailures {
		return
	}
	b.retryAt = time.Now().Add(unavailableRetryInterval)
	for _, x := range b.queue {
		x.err = errStoreUnavailable
		close(x.done)
	}
	b.queue = nil
}
