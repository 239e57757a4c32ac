package claim

import (
	"sort"
	"time"
)

// Record names the holder of a group in the store.
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
	CPUShare    float64 // processor share; VMs with more of it come first
	SilentFor   time.Duration
	Stopping    bool
}

// GroupState is what a VM knows of a group.
type GroupState struct {
	Zone              string // of the group's workers
	Index             int    // of the group in its zone
	Self              VM
	Record            Record
	Revision          int64 // of the record, 0 if there is none
	KnownFor          time.Duration
	VMs               []VM // all that are registered, with the time since they were last heard
	HandoverRequested bool // the holder has asked this VM to take over
}

// Rules are the times of claims.
type Rules struct {
	FailureTimeout time.Duration // silence after which the holder is replaced
	CandidateDelay time.Duration // between the claims of two candidates
	CrossZoneDelay time.Duration // silence after which a VM of another zone replaces the holder; most cuts are shorter
}

// DefaultRules returns the rules for leases of one second: a take-over must end before the leases do.
func DefaultRules() Rules {
	return Rules{FailureTimeout: 100 * time.Millisecond, CandidateDelay: 100 * time.Millisecond, CrossZoneDelay: 15 * time.Second}
}

// Action is what a VM does about a group: one of Keep, Acquire and Skip.
type Action interface{ action() }

// Keep means that the VM is the holder, with the record's revision as its fence.
type Keep struct{}

// Acquire means that the VM writes itself as the holder.
type Acquire struct{ Reason string }

// Skip means that another VM holds the group or is to take it.
type Skip struct{}

func (Keep) action()    {}
func (Acquire) action() {}
func (Skip) action()    {}

// Decide returns what to do about a group now.
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
		return Acquire{Reason: "the holder stops"}
	}
	after, reason := time.Duration(0), "no holder"
	silent := s.KnownFor
	if s.Revision > 0 {
		holder, registered := find(s.VMs, s.Record.VM)
		if registered && holder.Incarnation <= s.Record.Incarnation {
			after, reason, silent = rules.FailureTimeout, "the holder is silent", holder.SilentFor
		} else {
			reason = "the holder has restarted"
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

func find(vms []VM, name string) (VM, bool) {
	for _, v := range vms {
		if v.Name == name {
			return v, true
		}
	}
	return VM{}, false
}

// Candidates returns the VMs that may hold a group, the best first: those of its zone if there are any. They are ordered
// by their processor share, and each group of a zone begins with another one, so that the groups spread over the VMs.
func Candidates(index int, zone string, vms []VM) []VM {
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
	if len(list) == 0 {
		return nil
	}
	first := index % len(list)
	return append(append([]VM(nil), list[first:]...), list[:first]...)
}

// Watchers returns the VMs of a zone that read the list of workers from the store: the first candidates that can be reached, two
// where the zone has a number of VMs or more.
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

// maxRank bounds the delay of a candidate whose connections to those before it are not known to be alive.
const maxRank = 10

// rankOf returns the number of candidates that are heard and come before this VM, and whether it is in the zone.
func rankOf(s GroupState) (rank int, local bool) {
	for _, v := range Candidates(s.Index, s.Zone, append(others(s), s.Self)) {
		if v.Name == s.Self.Name {
			break
		}
		if v.SilentFor == 0 && !v.Stopping {
			rank++
		}
	}
	return min(rank, maxRank), s.Self.Zone == s.Zone
}

func others(s GroupState) []VM {
	var list []VM
	for _, v := range s.VMs {
		if v.Name != s.Self.Name && v.Name != s.Record.VM {
			list = append(list, v)
		}
	}
	return list
}
