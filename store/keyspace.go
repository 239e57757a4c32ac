package store

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted means that the changes after a revision are no longer kept; the keys have to be read anew.
var ErrCompacted = errors.New("history after the revision is gone")

// ErrConflict means that a key has another revision than expected and nothing was written.
var ErrConflict = errors.New("a key has another revision than expected")

// KeyValue is a key with its value.
type KeyValue struct {
	Key      string
	Value    []byte
	Revision int64 // of the last change
}

// Event is a change of a key.
type Event struct {
	KeyValue
	Deleted bool
}

// Snapshot is the content of a prefix.
type Snapshot struct {
	Items    []KeyValue
	Revision int64 // of the store, no later than the reading of the first item
}

// WatchResult are the events after a revision.
type WatchResult struct {
	Events   []Event
	Revision int64 // from which to go on
}

// Condition is the revision that a key must have; 0 stands for a missing key.
type Condition struct {
	Key      string
	Revision int64
}

// Transaction is a set of writes that take effect together if all conditions hold.
type Transaction struct {
	Conditions []Condition
	Puts       []KeyValue // Revision is not used
	Deletes    []string
}

// KV is a key-value service with a revision that counts all changes.
type KV interface {
	// Get returns a key; ErrNotFound means that it does not exist.
	Get(ctx context.Context, key string) (KeyValue, error)
	// GetStale is a cheap Get whose answer may be some seconds old.
	GetStale(ctx context.Context, key string) (KeyValue, error)
	// Range returns the keys with a prefix.
	Range(ctx context.Context, prefix string) (Snapshot, error)
	// Watch waits until a key with the prefix changes after a revision, at most for the given time.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (WatchResult, error)
	// Commit writes and returns the new revision; ErrConflict means that nothing was written, and any error that
	// is not ErrConflict or ErrNotApplied leaves open whether the write takes effect.
	Commit(ctx context.Context, t Transaction) (int64, error)
}
