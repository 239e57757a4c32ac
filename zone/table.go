package zone

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"samphireplank.example/samphireplank/store"
)

// Config sets up a Membership; zero durations have the defaults of the design.
type Config struct {
	VM             string
	Zone           string
	Incarnation    uint64
	Address        string
	LinkAddress    string
	FailureTimeout time.Duration // silence after which a peer is lost; default 1 s
	GossipWindow   time.Duration // age up to which changes are reported; default 10 s
	LoadTTL        time.Duration // age from which a summary isn't used; default 2 s
}

// The limits of reports and of forgetting.
const (
	recentLimit  = 4                // changes in one report; more follow in the next ones
	absentFor    = 10 * time.Second // a VM that newer lists lack for this long is gone
	goneFor      = 24 * time.Hour   // a gone VM is remembered so that a stale list doesn't bring it back
	divergeAfter = 2 * time.Second  // the hash of a peer may differ for this long
	divergeEvery = 5 * time.Second  // shortest time between two exchanges of the table with one peer
)

// MemberEvent is a VM whose entry or reachability has changed.
type MemberEvent struct {
	VM        store.VM
	Failed    bool // an entry VM of the own zone has fallen silent
	Recovered bool // a lost one was heard again
}

// record is what the table knows of a VM.
type record struct {
	vm      store.VM
	changed time.Time
	number  uint64 // of the change; 0 if peers needn't be told
	told    uint64 // number of the last change that this peer was told
	heard   time.Time
	lost    bool

	listed bool      // the platform's list has named this incarnation
	absent time.Time // first newer list without it

	silent      []string // VMs that this peer doesn't hear, by its last report
	silentAt    time.Time
	differs     time.Time // since when its hash differs
	exchanged   time.Time
	unreachable time.Time // until then it isn't asked for summaries
}

// Membership is the membership as one entry VM sees it.
type Membership struct {
	mu        sync.Mutex
	config    Config
	records   []*record // sorted by id
	byID      map[string]*record
	hash      uint64
	entryHash uint64     // of the entry VMs alone
	changes   uint64     // number of the last change
	entries   []store.VM // live entry VMs of the own zone, sorted by id
	version   uint64     // highest version of the platform's list

	summaries []summary // sorted by service, zone and VM
	backoffs  []backoff // sorted by zone
}

// NewMembership returns a membership that contains this VM only.
func NewMembership(config Config) *Membership {
	config.FailureTimeout = cmp.Or(config.FailureTimeout, time.Second)
	config.GossipWindow = cmp.Or(config.GossipWindow, 10*time.Second)
	config.LoadTTL = cmp.Or(config.LoadTTL, 2*time.Second)
	t := &Membership{config: config, byID: map[string]*record{}}
	self := store.VM{
		ID: config.VM, Zone: config.Zone, Role: store.RoleEntry, Address: config.Address,
		LinkAddress: config.LinkAddress, Incarnation: config.Incarnation, State: store.StateLive,
	}
	t.add(&record{vm: self})
	t.number(t.byID[self.ID])
	t.refresh()
	return t
}

func (t *Membership) add(r *record) {
	at, _ := slices.BinarySearchFunc(t.records, r.vm.ID, func(r *record, id string) int { return cmp.Compare(r.vm.ID, id) })
	t.records = slices.Insert(t.records, at, r)
	t.byID[r.vm.ID] = r
}

// number marks a change for the reports to all peers.
func (t *Membership) number(r *record) {
	t.changes++
	r.number = t.changes
}

// Merge takes over entries from peers; an entry is used if its incarnation is higher or its state is further on.
func (t *Membership) Merge(now time.Time, vms []store.VM) []MemberEvent {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(now, vms, true)
}

// MergeList takes over the platform's list; a VM that newer lists lack for 10 s is gone.
func (t *Membership) MergeList(now time.Time, list store.VMList) []MemberEvent {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := t.merge(now, list.VMs, t.version > 0) // peers have the first list as well
	if list.Version <= t.version || len(list.VMs) == 0 {
		return changes
	}
	t.version = list.Version
	return append(changes, t.absences(now, list.VMs)...)
}

// merge takes over entries; report says whether peers may not know the changes.
func (t *Membership) merge(now time.Time, vms []store.VM, report bool) []MemberEvent {
	var changes []MemberEvent
	for _, vm := range vms {
		if t.relevant(vm) && t.accept(now, vm) {
			r := t.byID[vm.ID]
			if report || vm.ID == t.config.VM {
				t.number(r)
			}
			changes = append(changes, MemberEvent{VM: r.vm})
		}
	}
	if len(changes) > 0 {
		t.refresh()
	}
	return changes
}

// relevant keeps entry VMs of all zones and endpoints of the own zone.
func (t *Membership) relevant(vm store.VM) bool {
	if vm.ID == "" || rank(vm.State) < 0 {
		return false
	}
	return vm.Role == store.RoleEntry || vm.Role == store.RoleEndpoint && vm.Zone == t.config.Zone
}

// accept takes over an entry and reports whether that changes anything that other packages see.
func (t *Membership) accept(now time.Time, vm store.VM) bool {
	r := t.byID[vm.ID]
	if r == nil {
		t.add(&record{vm: vm, changed: now, heard: now})
		return vm.State != store.StateGone
	}
	switch {
	case vm.Incarnation > r.vm.Incarnation:
		*r = record{vm: vm, changed: now, heard: now, exchanged: r.exchanged}
		return true
	case vm.Incarnation < r.vm.Incarnation:
		return false
	}
	filled := r.fill(vm)
	if rank(vm.State) <= rank(r.vm.State) {
		return filled
	}
	r.vm.State = vm.State
	r.changed = now
	return true
}

// fill adds the fields that a VM known only by its reports lacks.
func (r *record) fill(vm store.VM) bool {
	before := r.vm
	r.vm.Address = cmp.Or(r.vm.Address, vm.Address)
	r.vm.LinkAddress = cmp.Or(r.vm.LinkAddress, vm.LinkAddress)
	return r.vm != before
}

// rank orders the states; it is negative for an unknown one.
func rank(s store.State) int {
	return slices.Index([]store.State{store.StateLive, store.StateLeaving, store.StateGone}, s)
}

// absences marks VMs as gone that earlier lists named and newer ones lack.
func (t *Membership) absences(now time.Time, vms []store.VM) []MemberEvent {
	for _, r := range t.records {
		if r.listed && r.absent.IsZero() {
			r.absent = now
		}
	}
	for _, vm := range vms {
		if r := t.byID[vm.ID]; r != nil && r.vm.Incarnation == vm.Incarnation {
			r.listed, r.absent = true, time.Time{}
		}
	}
	return t.dropAbsent(now)
}

func (t *Membership) dropAbsent(now time.Time) []MemberEvent {
	var changes []MemberEvent
	for _, r := range t.records {
		if r.absent.IsZero() || now.Sub(r.absent) < absentFor || r.vm.ID == t.config.VM {
			continue
		}
		if r.vm.State != store.StateGone {
			r.vm.State = store.StateGone
			r.changed = now
			t.number(r)
			changes = append(changes, MemberEvent{VM: r.vm})
		}
	}
	if len(changes) > 0 {
		t.refresh()
	}
	return changes
}

// MarkAlive records a message of an entry VM; a higher incarnation than known is a restart.
func (t *Membership) MarkAlive(now time.Time, vm string, incarnation uint64) []MemberEvent {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byID[vm]
	if r == nil || incarnation < r.vm.Incarnation {
		return nil
	}
	r.heard, r.unreachable = now, time.Time{}
	if incarnation > r.vm.Incarnation {
		restarted := r.vm
		restarted.Incarnation, restarted.State = incarnation, store.StateLive
		t.accept(now, restarted)
		t.number(r)
		t.refresh()
		return []MemberEvent{{VM: restarted}}
	}
	if !r.lost {
		return nil
	}
	r.lost = false
	t.refresh()
	return []MemberEvent{{VM: r.vm, Recovered: true}}
}

// Tick finds peers lost after silence and forgets VMs that are gone for long; it is due several times a second.
func (t *Membership) Tick(now time.Time) []MemberEvent {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := t.dropAbsent(now)
	for _, r := range t.records {
		if r.lost || !t.isPeer(r) || !t.silentTo(now, r) || t.heardByOthers(now, r) {
			continue
		}
		r.lost = true
		changes = append(changes, MemberEvent{VM: r.vm, Failed: true})
	}
	t.forget(now)
	if len(changes) > 0 {
		t.refresh()
	}
	return changes
}

// isPeer reports whether a VM is another entry VM of the own zone that isn't gone.
func (t *Membership) isPeer(r *record) bool {
	return r.vm.ID != t.config.VM && r.vm.Zone == t.config.Zone && r.vm.Role == store.RoleEntry &&
		r.vm.State != store.StateGone
}

func (t *Membership) silentTo(now time.Time, r *record) bool {
	return now.Sub(r.heard) >= t.config.FailureTimeout
}

// heardByOthers reports whether a peer that this VM hears still hears the VM. A broken link between two VMs would
// otherwise let one take over the slots that the other goes on using.
func (t *Membership) heardByOthers(now time.Time, lost *record) bool {
	for _, r := range t.records {
		if r == lost || !t.isPeer(r) || t.silentTo(now, r) || now.Sub(r.silentAt) >= t.config.FailureTimeout {
			continue
		}
		if !slices.Contains(r.silent, lost.vm.ID) {
			return true
		}
	}
	return false
}

// UnreachablePeers returns the ids of the peers that this VM doesn't hear, for its reports.
func (t *Membership) UnreachablePeers(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for _, r := range t.records {
		if t.isPeer(r) && t.silentTo(now, r) {
			ids = append(ids, r.vm.ID)
		}
	}
	return ids
}

// RecordUnreachablePeers records which peers another one doesn't hear; it is due with each of its reports.
func (t *Membership) RecordUnreachablePeers(now time.Time, from string, ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.byID[from]; r != nil {
		r.silent, r.silentAt = ids, now
	}
}

func (t *Membership) forget(now time.Time) {
	t.records = slices.DeleteFunc(t.records, func(r *record) bool {
		old := r.vm.State == store.StateGone && now.Sub(r.changed) >= goneFor
		if old {
			delete(t.byID, r.vm.ID)
		}
		return old
	})
}

// refresh recomputes what is derived from the records.
func (t *Membership) refresh() {
	t.entries = nil
	t.hash, t.entryHash = 0, 0
	for _, r := range t.records {
		if r.vm.State == store.StateGone {
			continue
		}
		t.hash ^= r.digest()
		if r.vm.Role == store.RoleEntry {
			t.entryHash ^= r.digest()
		}
		self := r.vm.ID == t.config.VM
		if (self || t.isPeer(r) && !r.lost) && r.vm.State == store.StateLive {
			t.entries = append(t.entries, r.vm)
		}
	}
}
