package store

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone means that the changes after a revision are no longer kept; the keys have to be read anew.
var ErrHistoryGone = errors.New("history after the revision is gone")

// ErrConflict means that a key has another revision than expected and nothing was written.
var ErrConflict = errors.New("a key has another revision than expected")

// Item is a key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64 // of the last change
}

// Event is a change of a key.
type Event struct {
	Item
	Removed bool
}

// Snapshot is the content of a prefix.
type Snapshot struct {
	Items    []Item
	Revision int64 // of the store, no later than the reading of the first item
}

// Changes are the events after a revision.
type Changes struct {
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
	Expect []Condition
	Set    []Item // Revision is not used
	Remove []string
}

// Keyspace is a key-value service with a revision that counts all changes.
type Keyspace interface {
	// Get returns a key; ErrNotFound means that it does not exist.
	Get(ctx context.Context, key string) (Item, error)
	// Peek is a cheap Get whose answer may be some seconds old.
	Peek(ctx context.Context, key string) (Item, error)
	// Range returns the keys with a prefix.
	Range(ctx context.Context, prefix string) (Snapshot, error)
	// Watch waits until a key with the prefix changes after a revision, at most for the given time.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Changes, error)
	// Commit writes and returns the new revision; ErrConflict means that nothing was written, and any error that
	// is not ErrConflict or ErrNoEffect leaves open whether the write takes effect.
	Commit(ctx context.Context, t Transaction) (int64, error)
}
