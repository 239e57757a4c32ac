package claim

import "time"

// Balance is what a VM knows of the groups that the VMs of its zone hold.
type Balance struct {
	Self   VM
	Own    []string       // groups that this VM holds
	Others []VM           // of the zone, that can be reached
	Holds  map[string]int // numbers of groups by VM
}

const (
	// BalanceInterval is the time between two groups that a VM gives away; the next look sees the effect of the last one.
	BalanceInterval = 2 * time.Second
	// SettledTime is the time for which a VM must have been in touch before it is given a group.
	SettledTime = 3 * time.Second
)

// Relieve returns a group that this VM should give to another one, which holds less for its processor share even with the
// group: after VMs have been cut off or restarted, the groups of a zone may all be held by one. The group is empty if there is
// nothing to give.
func Relieve(b Balance) (group, to string) {
	if len(b.Own) < 2 {
		return "", ""
	}
	load := func(groups int, v VM) float64 { return float64(groups) / max(v.Weight, minWeight) }
	var best VM
	for _, v := range b.Others {
		if v.Stopping || v.Silent > 0 {
			continue
		}
		mine, theirs := load(b.Holds[v.Name]+1, v), load(b.Holds[best.Name]+1, best)
		if best.Name == "" || mine < theirs || mine == theirs && v.Name < best.Name {
			best = v
		}
	}
	if best.Name == "" || load(b.Holds[best.Name]+1, best) >= load(len(b.Own), b.Self) {
		return "", ""
	}
	return b.Own[len(b.Own)-1], best.Name
}

// minWeight stands for the processor share of a VM that does not tell one.
const minWeight = 0.01
