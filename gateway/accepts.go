package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"samphireplank.example/samphireplank/store"
)

// accepts puts the new jobs that arrive while a write is under way into the next write. While the store does not take
// writes, it lets one job at a time try and refuses the others at once: their callers learn soon that they are not stored.
type accepts struct {
	keys store.KV

	mu       sync.Mutex
	writers  int
	began    time.Time // start of the last write
	waiting  []*accept
	failures int // writes that failed since the last one that did not
	retryAt  time.Time
}

// accept is a job to store.
type accept struct {
	store.Transaction
	done chan struct{}
	rev  int64
	err  error
}

// errAway means that the store did not take the last write, and that this one was not sent.
var errAway = errors.Join(ErrStoreUnavailable, store.ErrNotApplied)

const (
	// acceptRest is the pause between two tries to store a job while the store does not take writes.
	acceptRest = 100 * time.Millisecond
	// failuresAway is the number of failed writes in a row after which jobs are refused; single answers get lost.
	failuresAway = 2
	// writeTime is the usual time of a write with room for a busy store. A write that takes longer may have lost its answer,
	// and the jobs behind it do not wait for that.
	writeTime = 40 * time.Millisecond
	// maxWriters bounds the writes at a time.
	maxWriters = 4
)

// commit stores a job, possibly together with others; its outcome is that of its own conditions.
func (a *accepts) commit(ctx context.Context, t store.Transaction) (int64, error) {
	mine := &accept{Transaction: t, done: make(chan struct{})}
	a.mu.Lock()
	now := time.Now()
	if a.failures >= failuresAway && (a.writers > 0 || now.Before(a.retryAt)) {
		a.mu.Unlock()
		return 0, errAway
	}
	a.waiting = append(a.waiting, mine)
	leads := a.writers == 0 || a.writers < maxWriters && now.Sub(a.began) > writeTime
	if leads {
		a.writers++
	}
	a.mu.Unlock()
	if leads {
		a.lead(ctx)
	}
	<-mine.done
	return mine.rev, mine.err
}

// lead writes until nothing waits; each call of the store is bounded in time.
func (a *accepts) lead(ctx context.Context) {
	ctx = context.WithoutCancel(ctx) // other callers wait for these writes as well
	for {
		a.mu.Lock()
		batch := a.waiting[:min(len(a.waiting), jobsPerWrite)]
		a.waiting = a.waiting[len(batch):]
		if len(batch) == 0 {
			a.writers--
			a.mu.Unlock()
			return
		}
		a.began = time.Now()
		a.mu.Unlock()
		a.finish(a.write(ctx, batch))
	}
}

// write stores a batch and returns the error of the store, if it did not answer or refused to write.
func (a *accepts) write(ctx context.Context, batch []*accept) error {
	var all store.Transaction
	for _, x := range batch {
		all.Conditions, all.Puts = append(all.Conditions, x.Conditions...), append(all.Puts, x.Puts...)
	}
	rev, err := a.keys.Commit(ctx, all)
	for _, x := range batch {
		if errors.Is(err, store.ErrConflict) && len(batch) > 1 {
			// One job that is there already must not keep the others out.
			x.rev, x.err = a.keys.Commit(ctx, x.Transaction)
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

// finish takes in the outcome of a write; after some failures the jobs that wait are told that they were not sent.
func (a *accepts) finish(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil {
		a.failures = 0
		return
	}
	a.failures++
	if a.failures < failuresAway {
		return
	}
	a.retryAt = time.Now().Add(acceptRest)
	for _, x := range a.waiting {
		x.err = errAway
		close(x.done)
	}
	a.waiting = nil
}
