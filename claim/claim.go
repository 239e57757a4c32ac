package claim

import (
	"sort"
	"time"
)

// Record is the stored entry that names the holder of a group.
type Record struct {
	VM          string `json:"vm"`
	Incarnation int64  `json:"incarnation"`
	Address     string `json:"address"`
}

// VM is a VM that may hold groups.
type VM struct {
	Name        string
	Zone        string
	Incarnation int64
	CPUShare    float64       // processor share; candidates are sorted by it, largest first
	SilentFor   time.Duration // time since its connection was lost, 0 if it has one or never had
	Stopping    bool
}

// GroupState is the input to Decide: what this VM knows about a group.
type GroupState struct {
	Zone              string // of the group's workers
	Index             int    // of the group in its zone
	Self              VM
	Record            Record
	Revision          int64         // of the record, 0 if there is none
	KnownFor          time.Duration // time since this VM first saw the group
	HolderGoneFor     time.Duration // time since it first saw that the holder has restarted or is not registered
	VMs               []VM          // all registered VMs
	HandoverRequested bool          // the holder asked this VM to claim the group
	HolderShare       float64       // processor share that a holder of the group needs, 0 if any VM can hold it
}

// Rules are the delays before a VM claims a group.
type Rules struct {
	FailureTimeout time.Duration // how long the holder must be unreachable before another VM claims the group
	CandidateDelay time.Duration // delay between the claims of two successive candidates
	CrossZoneDelay time.Duration // extra delay for a VM of another zone; most network partitions are shorter
}

// DefaultRules returns the rules for worker leases of one second: a new holder must take over before the leases expire.
func DefaultRules() Rules {
	return Rules{FailureTimeout: 100 * time.Millisecond, CandidateDelay: 100 * time.Millisecond, CrossZoneDelay: 15 * time.Second}
}

// Action is the decision about a group: Keep, Acquire or Skip.
type Action interface{ action() }

// Keep means that this VM is the holder, and the record's revision is its fencing token.
type Keep struct{}

// Acquire means that this VM writes itself into the store as the holder.
type Acquire struct{ Reason string }

// Skip means that another VM holds the group or should claim it, or that this VM is stopping.
type Skip struct{}

func (Keep) action()    {}
func (Acquire) action() {}
func (Skip) action()    {}

// Decide returns what this VM should do about a group now.
func Decide(rules Rules, s GroupState) Action {
	if s.Revision > 0 && s.Record.VM == s.Self.Name {
		if s.Record.Incarnation == s.Self.Incarnation {
			return Keep{}
		}
		if s.Self.Stopping {
			return Skip{}
		}
		return Acquire{Reason: "held by an earlier incarnation of this VM"}
	}
	if s.Self.Stopping {
		return Skip{}
	}
	if s.HandoverRequested {
		return Acquire{Reason: "the holder requested a handover"}
	}
	after, reason := time.Duration(0), "no holder"
	silent := s.KnownFor
	if s.Revision > 0 {
		if HolderGone(s.Record, s.VMs) {
			reason, silent = "the holder has restarted or is not registered", s.HolderGoneFor
		} else {
			holder, _ := findVM(s.VMs, s.Record.VM)
			after, reason, silent = rules.FailureTimeout, "the holder is unreachable", holder.SilentFor
		}
	}
	rank, local := rankOf(s)
	if !local {
		after += rules.CrossZoneDelay
	}
	if silent >= after+time.Duration(rank)*rules.CandidateDelay && (after == 0 || silent > 0) {
		return Acquire{Reason: reason}
	}
	return Skip{}
}

// HolderGone reports whether the recorded holder has restarted or is not registered.
func HolderGone(r Record, vms []VM) bool {
	holder, registered := findVM(vms, r.VM)
	return !registered || holder.Incarnation > r.Incarnation
}

func findVM(vms []VM, name string) (VM, bool) {
	for _, v := range vms {
		if v.Name == name {
			return v, true
		}
	}
	return VM{}, false
}

// Candidates returns the VMs that may hold a group, in the order of preference: the VMs of the group's zone, or all VMs
// if that zone has none. They are sorted by processor share, largest first, and rotated by the group's index so that
// the groups of a zone spread over its VMs.
func Candidates(index int, zone string, vms []VM) []VM { return GroupCandidates(index, zone, 0, vms) }

// GroupCandidates is like Candidates for a group whose holder needs a processor share: the VMs that have it come first, and
// the rotation keeps them there.
func GroupCandidates(index int, zone string, holderShare float64, vms []VM) []VM {
	var list []VM
	for _, v := range vms {
		if v.Zone == zone {
			list = append(list, v)
		}
	}
	if len(list) == 0 {
		list = append(list, vms...)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].CPUShare != list[j].CPUShare {
			return list[i].CPUShare > list[j].CPUShare
		}
		return list[i].Name < list[j].Name
	})
	able := 0
	for able < len(list) && list[able].CPUShare >= holderShare {
		able++
	}
	return append(rotate(list[:able], index), rotate(list[able:], index)...)
}

// rotate returns a copy of the list that begins with the element at the index, modulo its length.
func rotate(list []VM, index int) []VM {
	if len(list) == 0 {
		return nil
	}
	first := index % len(list)
	return append(append([]VM(nil), list[first:]...), list[:first]...)
}

// Watchers returns the VMs of a zone that read the worker list from the store and relay it: the first reachable
// candidate, or the first two if vms has at least large entries.
func Watchers(zone string, vms []VM, large int) []string {
	count := 1
	if len(vms) >= large {
		count = 2
	}
	var names []string
	for _, v := range Candidates(0, zone, vms) {
		if v.SilentFor == 0 && !v.Stopping && len(names) < count {
			names = append(names, v.Name)
		}
	}
	return names
}

// maxRank limits the delay of a candidate, since VMs to which it never had a connection count as reachable.
const maxRank = 10

// rankOf returns the number of reachable candidates that precede this VM, at most maxRank, and whether this VM is in
// the group's zone.
func rankOf(s GroupState) (rank int, local bool) {
	for _, v := range GroupCandidates(s.Index, s.Zone, s.HolderShare, append(otherVMs(s), s.Self)) {
		if v.Name == s.Self.Name {
			break
		}
		if v.SilentFor == 0 && !v.Stopping {
			rank++
		}
	}
	return min(rank, maxRank), s.Self.Zone == s.Zone
}

// otherVMs returns the registered VMs except this one and the current holder.
func otherVMs(s GroupState) []VM {
	var list []VM
	for _, v := range s.VMs {
		if v.Name != s.Self.Name && v.Name != s.Record.VM {
			list = append(list, v)
		}
	}
	return list
}
