package store

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"
)

// ErrStaleRegistration means that the list holds a later incarnation or state of the VM and nothing was changed.
var ErrStaleRegistration = errors.New("the list holds a later incarnation or state of the VM")

// Memory is a Store and a Directory in the memory of one process.
//
//	memory := store.NewMemory()
//	version, err := memory.CompareAndSwap(ctx, "key", 0, []byte("value"))
type Memory struct {
	mu       sync.Mutex
	changed  chan struct{} // closed by the next change
	revision uint64        // last version given to a value
	values   map[string]VersionedValue

	vms     map[string]VM // registered
	pending []vmChange    // registered and not yet visible
	list    VMList        // visible
	lag     time.Duration
}

type vmChange struct {
	vm VM
	at time.Time
}

// NewMemory returns an empty Memory.
func NewMemory() *Memory {
	return &Memory{changed: make(chan struct{}), values: map[string]VersionedValue{}, vms: map[string]VM{}, list: VMList{Version: 1}}
}

// Get returns the value of a key, or ErrNotFound.
func (m *Memory) Get(_ context.Context, key string) (VersionedValue, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	value, found := m.values[key]
	if !found {
		return VersionedValue{}, ErrNotFound
	}
	return value, nil
}

// CompareAndSwap writes a copy of data if the key still has the version and returns the new version.
func (m *Memory) CompareAndSwap(_ context.Context, key string, version uint64, data []byte) (uint64, error) {
	if len(data) > MaxValueSize {
		return 0, ErrValueTooLarge
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.values[key].Version != version {
		return 0, ErrVersionMismatch
	}
	// Versions come from one counter, so a key that is deleted and created again gets no version a second time.
	m.revision++
	m.values[key] = VersionedValue{Data: append([]byte{}, data...), Version: m.revision}
	m.wake()
	return m.revision, nil
}

// Delete removes a key if it still has the version; it returns ErrNotFound or ErrVersionMismatch.
func (m *Memory) Delete(_ context.Context, key string, version uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	value, found := m.values[key]
	if !found {
		return ErrNotFound
	}
	if value.Version != version {
		return ErrVersionMismatch
	}
	delete(m.values, key)
	m.wake()
	return nil
}

// Watch waits until the key has another version; at the end of ctx it returns the unchanged value.
func (m *Memory) Watch(ctx context.Context, key string, version uint64) (VersionedValue, error) {
	for {
		m.mu.Lock()
		value, changed := m.values[key], m.changed
		m.mu.Unlock()
		if value.Version != version {
			return value, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return value, nil
		}
	}
}

// Register puts a VM into the list, where it shows after the lag; it returns ErrStaleRegistration for a step backwards.
func (m *Memory) Register(_ context.Context, vm VM) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	old, found := m.vms[vm.ID]
	if found && older(vm, old) {
		return ErrStaleRegistration
	}
	if found && vm == old {
		return nil
	}
	m.vms[vm.ID] = vm
	m.pending = append(m.pending, vmChange{vm: vm, at: time.Now()})
	m.wake()
	return nil
}

// SetLag sets the time after which a registration shows in the list.
func (m *Memory) SetLag(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lag = lag
	m.wake()
}

// VMs waits until the list has another version; at the end of ctx it returns the given version without VMs.
func (m *Memory) VMs(ctx context.Context, version uint64) (VMList, error) {
	for {
		m.mu.Lock()
		due := m.show(time.Now())
		list, changed := m.list, m.changed
		m.mu.Unlock()
		if list.Version != version {
			return list, nil
		}
		if !wait(ctx, changed, due) {
			return VMList{Version: version}, nil
		}
	}
}

// wait returns false when ctx ends before the change or the due time; a due time of 0 never comes.
func wait(ctx context.Context, changed <-chan struct{}, due time.Duration) bool {
	var timer <-chan time.Time
	if due > 0 {
		t := time.NewTimer(due)
		defer t.Stop()
		timer = t.C
	}
	select {
	case <-changed:
	case <-timer:
	case <-ctx.Done():
		return false
	}
	return true
}

// show makes pending changes visible and returns the time until the next one is due, or 0 when none is pending.
func (m *Memory) show(now time.Time) time.Duration {
	shown := 0
	for shown < len(m.pending) && now.Sub(m.pending[shown].at) >= m.lag {
		shown++
	}
	if shown > 0 {
		m.list = VMList{Version: m.list.Version + uint64(shown), VMs: merge(m.list.VMs, m.pending[:shown])}
		m.pending = m.pending[shown:]
	}
	if len(m.pending) == 0 {
		return 0
	}
	return m.lag - now.Sub(m.pending[0].at)
}

// merge returns a new list, because callers may still read the old one.
func merge(vms []VM, changes []vmChange) []VM {
	byID := make(map[string]VM, len(vms)+len(changes))
	for _, vm := range vms {
		byID[vm.ID] = vm
	}
	for _, change := range changes {
		byID[change.vm.ID] = change.vm
	}
	merged := make([]VM, 0, len(byID))
	for _, vm := range byID {
		merged = append(merged, vm)
	}
	sort.Slice(merged, func(i, j int) bool { return merged[i].ID < merged[j].ID })
	return merged
}

func older(vm, than VM) bool {
	if vm.Incarnation != than.Incarnation {
		return vm.Incarnation < than.Incarnation
	}
	return stateOrder(vm.State) < stateOrder(than.State)
}

func stateOrder(state State) int {
	switch state {
	case StateLeaving:
		return 1
	case StateGone:
		return 2
	default:
		return 0
	}
}

// wake ends the waits on the present state; the lock is held.
func (m *Memory) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}
