package zone

import (
	"cmp"
	"slices"
	"time"

	"samphireplank.example/samphireplank/store"
)

// Endpoints returns the live endpoints of a service in the own zone, sorted by id.
func (t *Membership) Endpoints(service string) []store.VM {
	return t.filter(func(r *member) bool {
		return r.vm.Role == store.RoleEndpoint && r.vm.Service == service && r.vm.State == store.StateLive
	})
}

// LiveEntryVMs returns the live entry VMs of the own zone, including this one, without failed ones, sorted by id.
func (t *Membership) LiveEntryVMs() []store.VM {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.liveEntryVMs)
}

// ReachablePeers returns the other entry VMs of the own zone, live or leaving, without failed ones, sorted by
// id.
func (t *Membership) ReachablePeers() []store.VM {
	return t.filter(func(r *member) bool { return t.isPeer(r) && !r.failed })
}

// AllPeers returns the other entry VMs of the own zone that aren't gone, including failed ones; all of them get
// reports.
func (t *Membership) AllPeers() []store.VM { return t.filter(t.isPeer) }

// Snapshot returns all VMs including those that are gone, sorted by id, for a sync with a peer.
func (t *Membership) Snapshot() []store.VM { return t.filter(func(*member) bool { return true }) }

// Get returns the entry of a VM.
func (t *Membership) Get(id string) (store.VM, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.byID[id]; r != nil {
		return r.vm, true
	}
	return store.VM{}, false
}

func (t *Membership) filter(match func(*member) bool) []store.VM {
	t.mu.Lock()
	defer t.mu.Unlock()
	var vms []store.VM
	for _, r := range t.members {
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
	for _, vm := range t.liveEntryVMs {
		if weight := mixBits(addFNV(addFNV(fnvOffset, endpoint), vm.ID)); owner == "" || weight > best {
			owner, best = vm.ID, weight
		}
	}
	return owner
}

// TakeUpdates returns up to four changes of the last 10 s (GossipWindow) for a report to a peer. It returns each change
// once; a peer that misses one notices it by the hash.
func (t *Membership) TakeUpdates(now time.Time, peer string) []store.VM {
	t.mu.Lock()
	defer t.mu.Unlock()
	to := t.byID[peer]
	if to == nil {
		return nil
	}
	var due []*member
	for _, r := range t.members {
		old := !r.changedAt.IsZero() && now.Sub(r.changedAt) >= t.config.GossipWindow
		useful := r.vm.Role == store.RoleEntry || to.vm.Zone == t.config.Zone
		if r.changeSeq > to.sentSeq && r != to && !old && useful {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(a, b *member) int { return cmp.Compare(a.changeSeq, b.changeSeq) })
	var vms []store.VM
	for _, r := range due[:min(len(due), maxUpdatesPerReport)] {
		to.sentSeq = r.changeSeq
		vms = append(vms, r.vm)
	}
	return vms
}

// Hash returns a hash of all VMs that aren't gone, which peers of the zone compare with their own.
func (t *Membership) Hash() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hash
}

// HashFor returns the hash for a report to a peer. For a peer of another zone it covers entry VMs only, because that
// peer knows other endpoints and a hash over them would always differ.
func (t *Membership) HashFor(peer string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hashFor(t.byID[peer])
}

func (t *Membership) hashFor(r *member) uint64 {
	if r != nil && r.vm.Zone != t.config.Zone {
		return t.entryHash
	}
	return t.hash
}

// NeedsSync compares the hash of a peer and reports whether to exchange the whole table with it: for an unknown peer,
// or after 2 s of mismatch, at most every 5 s.
func (t *Membership) NeedsSync(now time.Time, from string, hash uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byID[from]
	if r == nil {
		return true
	}
	if hash == t.hashFor(r) {
		r.hashMismatchSince = time.Time{}
		return false
	}
	if r.hashMismatchSince.IsZero() {
		r.hashMismatchSince = now
	}
	if now.Sub(r.hashMismatchSince) < hashMismatchGrace || now.Sub(r.lastSync) < minSyncInterval {
		return false
	}
	r.lastSync = now
	return true
}

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

func addFNV(hash uint64, text string) uint64 {
	for i := range len(text) {
		hash = (hash ^ uint64(text[i])) * fnvPrime
	}
	return (hash ^ 0xff) * fnvPrime // separates this text from the next one
}

// mixBits spreads a hash over all bits, because FNV alone gives similar names similar weights.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// digest returns the contribution of a member to the hash of the table.
func (r *member) digest() uint64 {
	hash := addFNV(addFNV(fnvOffset, r.vm.ID), string(r.vm.State))
	return mixBits(hash ^ mixBits(r.vm.Incarnation))
}
