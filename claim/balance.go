package claim

import "time"

// ZoneLoad is what a VM knows of the groups that the VMs of its zone hold.
type ZoneLoad struct {
	Self        VM
	OwnGroups   []string       // groups that this VM holds
	Peers       []VM           // of the zone, that can be reached
	GroupCounts map[string]int // numbers of groups by VM
}

const (
	// RebalanceInterval is the time between two groups that a VM gives away; the next look sees the effect of the last one.
	RebalanceInterval = 2 * time.Second
	// MinConnectedTime is the time for which a VM must have been in touch before it is given a group.
	MinConnectedTime = 3 * time.Second
)

// PickRebalance returns a group that this VM should give to another one, which holds less for its processor share even with the
// group: after VMs have been cut off or restarted, the groups of a zone may all be held by one. The group is empty if there is
// nothing to give.
func PickRebalance(b ZoneLoad) (group, to string) {
	if len(b.OwnGroups) < 2 {
		return "", ""
	}
	load := func(groups int, v VM) float64 { return float64(groups) / max(v.CPUShare, minWeight) }
	var best VM
	for _, v := range b.Peers {
		if v.Stopping || v.SilentFor > 0 {
			continue
		}
		mine, theirs := load(b.GroupCounts[v.Name]+1, v), load(b.GroupCounts[best.Name]+1, best)
		if best.Name == "" || mine < theirs || mine == theirs && v.Name < best.Name {
			best = v
		}
	}
	if best.Name == "" || load(b.GroupCounts[best.Name]+1, best) >= load(len(b.OwnGroups), b.Self) {
		return "", ""
	}
	return b.OwnGroups[len(b.OwnGroups)-1], best.Name
}

// minWeight stands for the processor share of a VM that does not tell one.
const minWeight = 0.01
