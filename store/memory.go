package store

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"
)

// ErrStaleRegistration means that the list contains a later incarnation or state of the VM and nothing was changed.
var ErrStaleRegistration = errors.New("the list contains a later incarnation or state of the VM")

// Memory is an in-memory Store and Directory of one process.
//
//	memory := store.NewMemory()
//	version, err := memory.CompareAndSwap(ctx, "key", 0, []byte("value"))
type Memory struct {
	mu       sync.Mutex
	changed  chan struct{} // closed by the next change
	revision uint64        // version of the last write
	values   map[string]VersionedValue

	vms     map[string]VM // registered VMs by id
	pending []pendingVM   // registrations that are not visible yet
	list    VMList        // visible list
	lag     time.Duration
}

type pendingVM struct {
	vm           VM
	registeredAt time.Time
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
	// All keys share one version counter, so a key that is deleted and created again never reuses a version.
	m.revision++
	m.values[key] = VersionedValue{Data: append([]byte{}, data...), Version: m.revision}
	m.notifyWatchers()
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
	m.notifyWatchers()
	return nil
}

// Watch waits until the key has another version; if ctx ends first, it returns the unchanged value.
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

// Register adds or updates a VM, which becomes visible in the list after the lag. It returns ErrStaleRegistration for
// an earlier incarnation or state than the registered one.
func (m *Memory) Register(_ context.Context, vm VM) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	old, found := m.vms[vm.ID]
	if found && isOlder(vm, old) {
		return ErrStaleRegistration
	}
	if found && vm == old {
		return nil
	}
	m.vms[vm.ID] = vm
	m.pending = append(m.pending, pendingVM{vm: vm, registeredAt: time.Now()})
	m.notifyWatchers()
	return nil
}

// SetLag sets the time after which a registration becomes visible in the list.
func (m *Memory) SetLag(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lag = lag
	m.notifyWatchers()
}

// VMs waits until the list has another version; if ctx ends first, it returns the given version without VMs.
func (m *Memory) VMs(ctx context.Context, version uint64) (VMList, error) {
	for {
		m.mu.Lock()
		due := m.publishPending(time.Now())
		list, changed := m.list, m.changed
		m.mu.Unlock()
		if list.Version != version {
			return list, nil
		}
		if !waitForChange(ctx, changed, due) {
			return VMList{Version: version}, nil
		}
	}
}

// waitForChange waits for a change or, if due is not 0, until due has elapsed; it returns false if ctx ends first.
func waitForChange(ctx context.Context, changed <-chan struct{}, due time.Duration) bool {
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

// publishPending makes due registrations visible and returns the time until the next one is due, or 0 if none is
// pending.
func (m *Memory) publishPending(now time.Time) time.Duration {
	shown := 0
	for shown < len(m.pending) && now.Sub(m.pending[shown].registeredAt) >= m.lag {
		shown++
	}
	if shown > 0 {
		m.list = VMList{Version: m.list.Version + uint64(shown), VMs: merge(m.list.VMs, m.pending[:shown])}
		m.pending = m.pending[shown:]
	}
	if len(m.pending) == 0 {
		return 0
	}
	return m.lag - now.Sub(m.pending[0].registeredAt)
}

// merge returns a new list with the changes applied; callers may still read the old list.
func merge(vms []VM, changes []pendingVM) []VM {
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

func isOlder(vm, than VM) bool {
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

// notifyWatchers wakes all calls that wait for a change; the caller holds the lock.
func (m *Memory) notifyWatchers() {
	close(m.changed)
	m.changed = make(chan struct{})
}
