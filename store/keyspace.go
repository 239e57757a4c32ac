package store

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted means that the changes after a revision were compacted; the keys must be read again.
var ErrCompacted = errors.New("changes after the revision were compacted")

// ErrConflict means that a key does not have the expected revision and nothing was written.
var ErrConflict = errors.New("a key has another revision than expected")

// KeyValue is a key with its value and revision.
type KeyValue struct {
	Key      string
	Value    []byte
	Revision int64 // of the last change
	Created  int64 // revision with which the key was created, 0 if unknown
}

// Event is a change of a key.
type Event struct {
	KeyValue
	Deleted bool
}

// Snapshot is the content of a prefix.
type Snapshot struct {
	Items    []KeyValue
	Revision int64 // revision of the store when the first item was read, or an earlier one
}

// WatchResult contains the events after a revision.
type WatchResult struct {
	Events   []Event
	Revision int64 // after which the next watch continues
}

// Condition requires that a key has a revision; 0 means that the key must not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Transaction is a set of writes that take effect together if all conditions hold.
type Transaction struct {
	Conditions []Condition
	Puts       []KeyValue // their revisions are ignored
	Deletes    []string
}

// KV is a key-value service whose revision increases with every change.
type KV interface {
	// Get returns a key, or ErrNotFound if it does not exist.
	Get(ctx context.Context, key string) (KeyValue, error)
	// GetStale is a cheaper Get whose result may be some seconds old.
	GetStale(ctx context.Context, key string) (KeyValue, error)
	// Range returns the keys with a prefix.
	Range(ctx context.Context, prefix string) (Snapshot, error)
	// Watch waits at most the given time until a key with the prefix changes after a revision.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (WatchResult, error)
	// Commit applies a transaction and returns the new revision. After ErrConflict and ErrNotApplied nothing was
	// written; after any other error the outcome is unknown.
	Commit(ctx context.Context, t Transaction) (int64, error)
}
