package store

import (
	"context"
	"errors"
)

// MaxValueSize is the maximum size of a value in bytes.
const MaxValueSize = 1 << 20

// Errors of a Store. After an error for which NotApplied is false, the outcome of a write is unknown.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key not found")
	// ErrVersionMismatch means that the key has another version and the write had no effect.
	ErrVersionMismatch = errors.New("version mismatch")
	// ErrValueTooLarge means that the value exceeds MaxValueSize and the write had no effect.
	ErrValueTooLarge = errors.New("value too large")
)

// VersionedValue is the value of a key with its version, which grows with each write; version 0 means that the key does
// not exist.
type VersionedValue struct {
	Data    []byte
	Version uint64
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns the value of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (VersionedValue, error)
	// CompareAndSwap writes data if the key still has the version; version 0 creates the key. It returns the new
	// version. After ErrVersionMismatch and ErrValueTooLarge nothing was written.
	CompareAndSwap(ctx context.Context, key string, version uint64, data []byte) (uint64, error)
	// Delete removes a key if it still has the version.
	Delete(ctx context.Context, key string, version uint64) error
	// Watch waits until the key has a version other than the given one and returns its value.
	// It returns the unchanged value without an error if ctx or the service ends the wait first.
	Watch(ctx context.Context, key string, version uint64) (VersionedValue, error)
}

// Role is the function of a VM.
type Role string

// The roles of VMs.
const (
	RoleEntry    Role = "entry"
	RoleEndpoint Role = "endpoint"
)

// State is the state of a VM in the platform's VM list.
type State string

// The states of VMs; a VM passes through them in this order only.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
	StateGone    State = "gone"
)

// VM is an entry of the platform's VM list.
type VM struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	Role        Role   `json:"role"`
	Service     string `json:"service,omitempty"`      // of endpoints
	Address     string `json:"address"`                // host:port for HTTP requests
	LinkAddress string `json:"link-address,omitempty"` // host:port of an entry VM's peer link
	Incarnation uint64 `json:"incarnation"`            // increases with each start of the VM
	State       State  `json:"state"`
}

// VMList is the platform's list of VMs at a version.
type VMList struct {
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}

// Directory is the platform's eventually consistent list of VMs.
type Directory interface {
	// VMs waits until the list has a version other than the given one and returns it.
	// If the wait ends first, it returns the given version without VMs.
	VMs(ctx context.Context, version uint64) (VMList, error)
}
