package zone

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"samphireplank.example/samphireplank/store"
)

// Config holds the settings of a Membership; zero durations select the defaults.
type Config struct {
	VM             string
	Zone           string
	Incarnation    uint64
	Address        string
	LinkAddress    string
	FailureTimeout time.Duration // time without a message after which a peer has failed; default 1 s
	GossipWindow   time.Duration // max age of changes in reports; default 10 s
	LoadTTL        time.Duration // max age of a summary; default 2 s
}

// Limits of reports, syncs and the removal of VMs.
const (
	maxUpdatesPerReport = 4                // further changes follow in the next reports
	missingTimeout      = 10 * time.Second // a VM missing from newer lists for this long is gone
	tombstoneTTL        = 24 * time.Hour   // keeps a gone VM, so that a stale list can't restore it
	hashMismatchGrace   = 2 * time.Second  // a peer's hash may differ for this long before a sync
	minSyncInterval     = 5 * time.Second  // between two syncs of the whole table with one peer
)

// MemberEvent reports that the entry or the reachability of a VM has changed.
type MemberEvent struct {
	VM        store.VM
	Failed    bool // an entry VM of the own zone has timed out
	Recovered bool // a message of a failed entry VM has arrived
}

// member holds what this entry VM knows of a VM.
type member struct {
	vm        store.VM
	changedAt time.Time
	changeSeq uint64 // number of its last change; 0 if peers needn't be told
	sentSeq   uint64 // highest changeSeq sent to this peer
	lastSeen  time.Time
	failed    bool

	listed       bool      // the platform's list has contained this incarnation
	missingSince time.Time // arrival of the first newer list without it

	unreachablePeers   []string // VMs unreachable for this peer, by its last report
	unreachablePeersAt time.Time
	hashMismatchSince  time.Time // zero while its hash matches
	lastSync           time.Time
	unreachableUntil   time.Time // set by MarkUnreachable
}

// Membership is one entry VM's view of the entry VMs of all zones and of the endpoints of its own zone.
type Membership struct {
	mu            sync.Mutex
	config        Config
	members       []*member // sorted by id
	byID          map[string]*member
	hash          uint64
	entryHash     uint64     // covers entry VMs only
	lastChangeSeq uint64     // highest changeSeq
	liveEntryVMs  []store.VM // live entry VMs of the own zone, sorted by id
	listVersion   uint64     // highest version of the platform's list

	summaries []summary // sorted by service, zone and VM
	backoffs  []backoff // sorted by zone
}

// NewMembership returns a Membership that contains only this VM.
func NewMembership(config Config) *Membership {
	config.FailureTimeout = cmp.Or(config.FailureTimeout, time.Second)
	config.GossipWindow = cmp.Or(config.GossipWindow, 10*time.Second)
	config.LoadTTL = cmp.Or(config.LoadTTL, 2*time.Second)
	t := &Membership{config: config, byID: map[string]*member{}}
	self := store.VM{
		ID: config.VM, Zone: config.Zone, Role: store.RoleEntry, Address: config.Address,
		LinkAddress: config.LinkAddress, Incarnation: config.Incarnation, State: store.StateLive,
	}
	t.add(&member{vm: self})
	t.markChanged(t.byID[self.ID])
	t.rebuildDerived()
	return t
}

func (t *Membership) add(r *member) {
	at, _ := slices.BinarySearchFunc(t.members, r.vm.ID, func(r *member, id string) int { return cmp.Compare(r.vm.ID, id) })
	t.members = slices.Insert(t.members, at, r)
	t.byID[r.vm.ID] = r
}

// markChanged schedules the member for the reports to all peers.
func (t *Membership) markChanged(r *member) {
	t.lastChangeSeq++
	r.changeSeq = t.lastChangeSeq
}

// Merge applies entries that a peer sent. An entry takes effect if its incarnation is higher, or if the incarnation is
// the same and its state comes later (live, leaving, gone).
func (t *Membership) Merge(now time.Time, vms []store.VM) []MemberEvent {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(now, vms, true)
}

// MergeList applies the platform's list; a VM that is missing from newer lists for 10 s is marked as gone.
func (t *Membership) MergeList(now time.Time, list store.VMList) []MemberEvent {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := t.merge(now, list.VMs, t.listVersion > 0) // peers read the first list themselves
	if list.Version <= t.listVersion || len(list.VMs) == 0 {
		return changes
	}
	t.listVersion = list.Version
	return append(changes, t.markMissing(now, list.VMs)...)
}

// merge applies entries; report says whether to report the changes to peers.
func (t *Membership) merge(now time.Time, vms []store.VM, report bool) []MemberEvent {
	var changes []MemberEvent
	for _, vm := range vms {
		if t.relevant(vm) && t.update(now, vm) {
			r := t.byID[vm.ID]
			if report || vm.ID == t.config.VM {
				t.markChanged(r)
			}
			changes = append(changes, MemberEvent{VM: r.vm})
		}
	}
	if len(changes) > 0 {
		t.rebuildDerived()
	}
	return changes
}

// relevant reports whether a VM belongs in the table: entry VMs of all zones and endpoints of the own zone do, unless
// their id is empty or their state unknown.
func (t *Membership) relevant(vm store.VM) bool {
	if vm.ID == "" || statePrecedence(vm.State) < 0 {
		return false
	}
	return vm.Role == store.RoleEntry || vm.Role == store.RoleEndpoint && vm.Zone == t.config.Zone
}

// update applies an entry and reports whether that changes anything that other packages see.
func (t *Membership) update(now time.Time, vm store.VM) bool {
	r := t.byID[vm.ID]
	if r == nil {
		t.add(&member{vm: vm, changedAt: now, lastSeen: now})
		return vm.State != store.StateGone
	}
	switch {
	case vm.Incarnation > r.vm.Incarnation:
		*r = member{vm: vm, changedAt: now, lastSeen: now, lastSync: r.lastSync}
		return true
	case vm.Incarnation < r.vm.Incarnation:
		return false
	}
	filled := r.fillAddresses(vm)
	if statePrecedence(vm.State) <= statePrecedence(r.vm.State) {
		return filled
	}
	r.vm.State = vm.State
	r.changedAt = now
	return true
}

// fillAddresses sets addresses that are still empty, because the VM was known only by its reports.
func (r *member) fillAddresses(vm store.VM) bool {
	before := r.vm
	r.vm.Address = cmp.Or(r.vm.Address, vm.Address)
	r.vm.LinkAddress = cmp.Or(r.vm.LinkAddress, vm.LinkAddress)
	return r.vm != before
}

// statePrecedence returns the position of a state in the order live, leaving, gone; it is negative for an unknown
// state.
func statePrecedence(s store.State) int {
	return slices.Index([]store.State{store.StateLive, store.StateLeaving, store.StateGone}, s)
}

// markMissing notes when VMs of earlier lists went missing from the list, and marks those as gone whose time is up.
func (t *Membership) markMissing(now time.Time, vms []store.VM) []MemberEvent {
	for _, r := range t.members {
		if r.listed && r.missingSince.IsZero() {
			r.missingSince = now
		}
	}
	for _, vm := range vms {
		if r := t.byID[vm.ID]; r != nil && r.vm.Incarnation == vm.Incarnation {
			r.listed, r.missingSince = true, time.Time{}
		}
	}
	return t.expireMissing(now)
}

func (t *Membership) expireMissing(now time.Time) []MemberEvent {
	var changes []MemberEvent
	for _, r := range t.members {
		if r.missingSince.IsZero() || now.Sub(r.missingSince) < missingTimeout || r.vm.ID == t.config.VM {
			continue
		}
		if r.vm.State != store.StateGone {
			r.vm.State = store.StateGone
			r.changedAt = now
			t.markChanged(r)
			changes = append(changes, MemberEvent{VM: r.vm})
		}
	}
	if len(changes) > 0 {
		t.rebuildDerived()
	}
	return changes
}

// MarkAlive records a message of an entry VM; an incarnation higher than the known one means that the VM has restarted.
func (t *Membership) MarkAlive(now time.Time, vm string, incarnation uint64) []MemberEvent {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byID[vm]
	if r == nil || incarnation < r.vm.Incarnation {
		return nil
	}
	r.lastSeen, r.unreachableUntil = now, time.Time{}
	if incarnation > r.vm.Incarnation {
		restarted := r.vm
		restarted.Incarnation, restarted.State = incarnation, store.StateLive
		t.update(now, restarted)
		t.markChanged(r)
		t.rebuildDerived()
		return []MemberEvent{{VM: restarted}}
	}
	if !r.failed {
		return nil
	}
	r.failed = false
	t.rebuildDerived()
	return []MemberEvent{{VM: r.vm, Recovered: true}}
}

// Tick marks peers that have timed out as failed and removes VMs that have been gone for 24 h. Call it several times a
// second.
func (t *Membership) Tick(now time.Time) []MemberEvent {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := t.expireMissing(now)
	for _, r := range t.members {
		if r.failed || !t.isPeer(r) || !t.timedOut(now, r) || t.reachableByPeer(now, r) {
			continue
		}
		r.failed = true
		changes = append(changes, MemberEvent{VM: r.vm, Failed: true})
	}
	t.pruneGone(now)
	if len(changes) > 0 {
		t.rebuildDerived()
	}
	return changes
}

// isPeer reports whether a member is another entry VM of the own zone that isn't gone.
func (t *Membership) isPeer(r *member) bool {
	return r.vm.ID != t.config.VM && r.vm.Zone == t.config.Zone && r.vm.Role == store.RoleEntry &&
		r.vm.State != store.StateGone
}

func (t *Membership) timedOut(now time.Time, r *member) bool {
	return now.Sub(r.lastSeen) >= t.config.FailureTimeout
}

// reachableByPeer reports whether a peer that is reachable from here still reaches the VM. Without this check, a broken
// link between two VMs would let one take over slots that the other still uses.
func (t *Membership) reachableByPeer(now time.Time, suspect *member) bool {
	for _, r := range t.members {
		if r == suspect || !t.isPeer(r) || t.timedOut(now, r) || now.Sub(r.unreachablePeersAt) >= t.config.FailureTimeout {
			continue
		}
		if !slices.Contains(r.unreachablePeers, suspect.vm.ID) {
			return true
		}
	}
	return false
}

// UnreachablePeers returns the ids of the peers whose messages have timed out, to be sent in reports.
func (t *Membership) UnreachablePeers(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for _, r := range t.members {
		if t.isPeer(r) && t.timedOut(now, r) {
			ids = append(ids, r.vm.ID)
		}
	}
	return ids
}

// RecordUnreachablePeers records which peers are unreachable from another one; call it for each report of that peer.
func (t *Membership) RecordUnreachablePeers(now time.Time, from string, ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.byID[from]; r != nil {
		r.unreachablePeers, r.unreachablePeersAt = ids, now
	}
}

func (t *Membership) pruneGone(now time.Time) {
	t.members = slices.DeleteFunc(t.members, func(r *member) bool {
		old := r.vm.State == store.StateGone && now.Sub(r.changedAt) >= tombstoneTTL
		if old {
			delete(t.byID, r.vm.ID)
		}
		return old
	})
}

// rebuildDerived recomputes the hashes and the list of live entry VMs from the members.
func (t *Membership) rebuildDerived() {
	t.liveEntryVMs = nil
	t.hash, t.entryHash = 0, 0
	for _, r := range t.members {
		if r.vm.State == store.StateGone {
			continue
		}
		t.hash ^= r.digest()
		if r.vm.Role == store.RoleEntry {
			t.entryHash ^= r.digest()
		}
		self := r.vm.ID == t.config.VM
		if (self || t.isPeer(r) && !r.failed) && r.vm.State == store.StateLive {
			t.liveEntryVMs = append(t.liveEntryVMs, r.vm)
		}
	}
}
