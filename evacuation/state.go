package evacuation

import "slices"

// State is what a VM knows of the evacuated zones. The zero State says nothing, not even that no zone is evacuated.
type State struct {
	Zones    []string // evacuated zones, sorted
	Revision int64    // revision of the store up to which they are known, 0 if nothing is known
}

// NewState returns the state of the given zones at a revision.
func NewState(zones []string, revision int64) State {
	zones = slices.Clone(zones)
	slices.Sort(zones)
	return State{Zones: slices.Compact(zones), Revision: revision}
}

// Known reports whether anything is known.
func (s State) Known() bool { return s.Revision > 0 }

// Evacuated reports whether a zone is known to be evacuated.
func (s State) Evacuated(zone string) bool {
	_, found := slices.BinarySearch(s.Zones, zone)
	return found
}

// MayStart reports whether tasks may be started in a zone: it is known, not merely assumed, that the zone is not evacuated.
func (s State) MayStart(zone string) bool { return s.Known() && !s.Evacuated(zone) }

// AllEvacuated reports whether all of the given zones are known to be evacuated. It returns false if there are none.
func (s State) AllEvacuated(zones []string) bool {
	return len(zones) > 0 && !slices.ContainsFunc(zones, func(zone string) bool { return !s.Evacuated(zone) })
}

// Merge returns the newer of two states, and s if both are of the same revision. A state without a revision, such as that in a message
// of a VM of an earlier version, is never newer.
func (s State) Merge(other State) State {
	if other.Revision > s.Revision {
		return other
	}
	return s
}

// SameZones reports whether two states are equal but for their revisions.
func (s State) SameZones(other State) bool {
	return s.Known() == other.Known() && slices.Equal(s.Zones, other.Zones)
}
