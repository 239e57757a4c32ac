package claim

import "time"

// ZoneLoad describes how the groups of a zone are spread over its VMs, as one VM knows it.
type ZoneLoad struct {
	Self        VM
	OwnGroups   []string       // groups that this VM holds
	Peers       []VM           // other reachable VMs of the zone
	GroupCounts map[string]int // number of held groups by VM name
	HolderShare float64        // processor share that a holder of a group of the zone needs, 0 if any VM can hold one
}

const (
	// RebalanceInterval is the time between two handovers by a VM, so that each decision sees the effect of the
	// previous one.
	RebalanceInterval = 2 * time.Second
	// MinConnectedTime is how long a VM must have been connected before a group is handed over to it.
	MinConnectedTime = 3 * time.Second
)

// PickRebalance returns a group that this VM should hand over and the VM that should receive it. The receiver still
// holds fewer groups per processor share after the handover than this VM does now. Rebalancing is needed because one VM
// may hold all groups of a zone after others were partitioned or restarted. A single group is handed over only by a VM
// that is too weak for it, to one that is not. Both results are empty if no handover helps.
func PickRebalance(zone ZoneLoad) (group, to string) {
	tooWeak := zone.Self.CPUShare < zone.HolderShare
	if len(zone.OwnGroups) == 0 || len(zone.OwnGroups) == 1 && !tooWeak {
		return "", ""
	}
	load := func(groups int, v VM) float64 { return float64(groups) / max(v.CPUShare, minCPUShare) }
	var best VM
	for _, v := range zone.Peers {
		if v.Stopping || v.SilentFor > 0 {
			continue
		}
		mine, theirs := load(zone.GroupCounts[v.Name]+1, v), load(zone.GroupCounts[best.Name]+1, best)
		if best.Name == "" || mine < theirs || mine == theirs && v.Name < best.Name {
			best = v
		}
	}
	if best.Name == "" || load(zone.GroupCounts[best.Name]+1, best) >= load(len(zone.OwnGroups), zone.Self) {
		return "", ""
	}
	if len(zone.OwnGroups) == 1 && best.CPUShare < zone.HolderShare {
		return "", ""
	}
	return zone.OwnGroups[len(zone.OwnGroups)-1], best.Name
}

// PickReturn returns a group of another zone that this VM holds and a VM of that zone to which to hand it over: the candidate for it
// that was connected long enough. The index is -1 if there is none.
func PickReturn(self VM, held []GroupState, connectedFor map[string]time.Duration) (index int, to string) {
	for i, s := range held {
		if s.Zone == self.Zone {
			continue
		}
		var ready []VM
		for _, v := range s.VMs {
			if v.Zone == s.Zone && !v.Stopping && connectedFor[v.Name] >= MinConnectedTime {
				ready = append(ready, v)
			}
		}
		if len(ready) > 0 {
			return i, GroupCandidates(s.Index, s.Zone, s.HolderShare, ready)[0].Name
		}
	}
	return -1, ""
}

// minCPUShare replaces the processor share of a VM that reports none.
const minCPUShare = 0.01
