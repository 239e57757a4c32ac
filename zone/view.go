package zone

import (
	"cmp"
	"slices"
	"time"

	"samphireplank.example/samphireplank/store"
)

// Endpoints returns the live endpoints of a service in the own zone, sorted by id.
func (t *Membership) Endpoints(service string) []store.VM {
	return t.find(func(r *record) bool {
		return r.vm.Role == store.RoleEndpoint && r.vm.Service == service && r.vm.State == store.StateLive
	})
}

// LiveEntryVMs returns the live entry VMs of the own zone without lost ones, sorted by id.
func (t *Membership) LiveEntryVMs() []store.VM {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.entries)
}

// ReachablePeers returns the other entry VMs of the own zone, live or leaving, without lost ones, sorted by id.
func (t *Membership) ReachablePeers() []store.VM {
	return t.find(func(r *record) bool { return t.isPeer(r) && !r.lost })
}

// AllPeers returns the other entry VMs of the own zone that aren't gone, with lost ones, to which reports are sent.
func (t *Membership) AllPeers() []store.VM { return t.find(t.isPeer) }

// Snapshot returns the whole table with VMs that are gone, for an exchange, sorted by id.
func (t *Membership) Snapshot() []store.VM { return t.find(func(*record) bool { return true }) }

// Get returns the entry of a VM.
func (t *Membership) Get(id string) (store.VM, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.byID[id]; r != nil {
		return r.vm, true
	}
	return store.VM{}, false
}

func (t *Membership) find(match func(*record) bool) []store.VM {
	t.mu.Lock()
	defer t.mu.Unlock()
	var vms []store.VM
	for _, r := range t.records {
		if match(r) {
			vms = append(vms, r.vm)
		}
	}
	return vms
}

// Owner returns the id of the entry VM that owns an endpoint, by rendezvous hash over LiveEntryVMs, or "" without any.
func (t *Membership) Owner(endpoint string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	owner, best := "", uint64(0)
	for _, vm := range t.entries {
		if weight := mix(fnv(fnv(offset, endpoint), vm.ID)); owner == "" || weight > best {
			owner, best = vm.ID, weight
		}
	}
	return owner
}

// TakeUpdates returns the changes of the last 10 s for a report to a peer, at most four and each once; a peer that misses one
// finds another hash.
func (t *Membership) TakeUpdates(now time.Time, peer string) []store.VM {
	t.mu.Lock()
	defer t.mu.Unlock()
	to := t.byID[peer]
	if to == nil {
		return nil
	}
	var due []*record
	for _, r := range t.records {
		old := !r.changed.IsZero() && now.Sub(r.changed) >= t.config.GossipWindow
		useful := r.vm.Role == store.RoleEntry || to.vm.Zone == t.config.Zone
		if r.number > to.told && r != to && !old && useful {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(a, b *record) int { return cmp.Compare(a.number, b.number) })
	var vms []store.VM
	for _, r := range due[:min(len(due), recentLimit)] {
		to.told = r.number
		vms = append(vms, r.vm)
	}
	return vms
}

// Hash returns a hash of all VMs that aren't gone, to compare with that of a peer.
func (t *Membership) Hash() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hash
}

// HashFor returns the hash for a report to a peer; for a peer of another zone it covers entry VMs only, because its table
// holds other endpoints and would always differ.
func (t *Membership) HashFor(peer string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hashFor(t.byID[peer])
}

func (t *Membership) hashFor(r *record) uint64 {
	if r != nil && r.vm.Zone != t.config.Zone {
		return t.entryHash
	}
	return t.hash
}

// NeedsSync records the hash of a peer and reports whether the whole table should be exchanged with it.
func (t *Membership) NeedsSync(now time.Time, from string, hash uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byID[from]
	if r == nil {
		return true
	}
	if hash == t.hashFor(r) {
		r.differs = time.Time{}
		return false
	}
	if r.differs.IsZero() {
		r.differs = now
	}
	if now.Sub(r.differs) < divergeAfter || now.Sub(r.exchanged) < divergeEvery {
		return false
	}
	r.exchanged = now
	return true
}

// Constants of the 64-bit FNV-1a hash.
const (
	offset = 14695981039346656037
	prime  = 1099511628211
)

func fnv(hash uint64, text string) uint64 {
	for i := range len(text) {
		hash = (hash ^ uint64(text[i])) * prime
	}
	return (hash ^ 0xff) * prime // separates this text from the next one
}

// mix spreads a hash over all bits, because FNV alone leaves similar names with similar weights.
func mix(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// digest is the part of a VM in the hash of the table.
func (r *record) digest() uint64 {
	hash := fnv(fnv(offset, r.vm.ID), string(r.vm.State))
	return mix(hash ^ mix(r.vm.Incarnation))
}
