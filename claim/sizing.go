package claim

import "slices"

// ZonePartition is the number of groups into which the workers of a zone are partitioned.
type ZonePartition struct {
	Groups int
	// HolderShare is the processor share that the holder of a group needs, 0 if any VM of the zone can hold one.
	HolderShare float64
}

const (
	// smallGroup is the number of workers of a group that any VM with a fifth of a core can hold at the peak of the users'
	// load, and that fits their widest jobs.
	smallGroup = 24
	// largeGroup is the largest number of workers of a group that was measured to be worth it: groups of 117 lowered the
	// score of the same deployments by 0.08 to 0.20, since the holder's decisions come later.
	largeGroup = 60

	// workerShare is the processor share that a worker costs the holder of its group: groups of 24 are held by VMs with 0.19
	// of a core without being late at the peak.
	workerShare = 0.0079
	// meanWorkerShare is the mean of that cost over a day: holders of 60 workers used 0.17 of a core, those of 117 used 0.33.
	meanWorkerShare = 0.0028
	// peakFactor is the part of the day's load above its mean that a VM must carry while it replaces the strongest one: bursts
	// of a single route reach 2.5 times its usual rate, of all routes together 1.7 times.
	peakFactor = 2
	// strongFactor separates strong VMs from the others: their share exceeds the median this many times.
	strongFactor = 2
)

// PartitionZone returns the partition of a zone with the given number of workers and the processor shares of its VMs. It has
// as few groups as the VMs can hold: at the usual cost; at a reduced reserve without the strongest VM; and at the mean cost
// without all strong VMs, so that the others bridge their absence. Otherwise it has groups of about smallGroup workers, which is
// also the result without VMs.
func PartitionZone(workers int, shares []float64) ZonePartition {
	most := groupsOfSize(workers, smallGroup)
	sorted := slices.Clone(shares)
	slices.Sort(sorted)
	for groups := groupsOfSize(workers, largeGroup); groups < most; groups++ {
		size := float64(workers) / float64(groups)
		if capacity(sorted, size*workerShare) >= groups &&
			capacity(withoutStrongest(sorted), size*meanWorkerShare*peakFactor) >= groups &&
			capacity(withoutStrong(sorted), size*meanWorkerShare) >= groups {
			return ZonePartition{Groups: groups, HolderShare: size * workerShare}
		}
	}
	return ZonePartition{Groups: most}
}

// groupsOfSize returns the number of groups of about the given size, at least one.
func groupsOfSize(workers, size int) int { return max((workers+size/2)/size, 1) }

// capacity returns how many groups the VMs can hold that need a processor share of cost each.
func capacity(shares []float64, cost float64) int {
	groups := 0
	for _, share := range shares {
		groups += int(max(share, 0) / cost)
	}
	return groups
}

// withoutStrongest returns the sorted shares without the largest.
func withoutStrongest(sorted []float64) []float64 { return sorted[:max(len(sorted)-1, 0)] }

// withoutStrong returns the sorted shares up to strongFactor times their median.
func withoutStrong(sorted []float64) []float64 {
	if len(sorted) == 0 {
		return nil
	}
	limit := strongFactor * sorted[(len(sorted)-1)/2]
	end, _ := slices.BinarySearchFunc(sorted, limit, func(share, limit float64) int {
		if share <= limit {
			return -1
		}
		return 1
	})
	return sorted[:end]
}
