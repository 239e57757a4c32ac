package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"samphireplank.example/samphireplank/store"
)

// commitBatcher puts the new jobs that arrive while a write is under way into the next write. While the store does not take
// writes, it lets one job at a time try and refuses the others at once: their callers learn soon that they are not stored.
type commitBatcher struct {
	keys store.KV

	mu          sync.Mutex
	writers     int
	lastWriteAt time.Time // start of the last write
	queue       []*pendingCommit
	failures    int // writes that failed since the last one that did not
	retryAt     time.Time
}

// pendingCommit is a job to store.
type pendingCommit struct {
	store.Transaction
	done chan struct{}
	rev  int64
	err  error
}

// errStoreUnavailable means that the store did not take the last write, and that this one was not sent.
var errStoreUnavailable = errors.Join(ErrStoreUnavailable, store.ErrNotApplied)

const (
	// unavailableRetryInterval is the pause between two tries to store a job while the store does not take writes.
	unavailableRetryInterval = 100 * time.Millisecond
	// maxConsecutiveFailures is the number of failed writes in a row after which jobs are refused; single answers get lost.
	maxConsecutiveFailures = 2
	// slowWriteTime is the usual time of a write with room for a busy store. A write that takes longer may have lost its answer,
	// and the jobs behind it do not wait for that.
	slowWriteTime = 40 * time.Millisecond
	// maxConcurrentWrites bounds the writes at a time.
	maxConcurrentWrites = 4
)

// commit stores a job, possibly together with others; its outcome is that of its own conditions.
func (b *commitBatcher) commit(ctx context.Context, t store.Transaction) (int64, error) {
	pending := &pendingCommit{Transaction: t, done: make(chan struct{})}
	b.mu.Lock()
	now := time.Now()
	if b.failures >= maxConsecutiveFailures && (b.writers > 0 || now.Before(b.retryAt)) {
		b.mu.Unlock()
		return 0, errStoreUnavailable
	}
	b.queue = append(b.queue, pending)
	isWriter := b.writers == 0 || b.writers < maxConcurrentWrites && now.Sub(b.lastWriteAt) > slowWriteTime
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

// writeLoop writes until nothing waits; each call of the store is bounded in time.
func (b *commitBatcher) writeLoop(ctx context.Context) {
	ctx = context.WithoutCancel(ctx) // other callers wait for these writes as well
	for {
		b.mu.Lock()
		batch := b.queue[:min(len(b.queue), maxJobsPerWrite)]
		b.queue = b.queue[len(batch):]
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

// write stores a batch and returns the error of the store, if it did not answer or refused to write.
func (b *commitBatcher) write(ctx context.Context, batch []*pendingCommit) error {
	var all store.Transaction
	for _, x := range batch {
		all.Conditions, all.Puts = append(all.Conditions, x.Conditions...), append(all.Puts, x.Puts...)
	}
	rev, err := b.keys.Commit(ctx, all)
	for _, x := range batch {
		if errors.Is(err, store.ErrConflict) && len(batch) > 1 {
			// One job that is there already must not keep the others out.
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

// recordResult takes in the outcome of a write; after some failures the jobs that wait are told that they were not sent.
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
