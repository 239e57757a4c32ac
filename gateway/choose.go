package gateway

import (
	"time"

	"samphireplank.example/samphireplank/placement"
)

// candidateGroup is a group that may take a job.
type candidateGroup struct {
	group           string
	zone            string
	expectedWait    time.Duration // expected time until a task of the job's priority starts
	spareMilliCores float64       // free thousandths of a core after placing the job, below 0 if it does not fit now
}

const (
	// crossZonePenalty is added to the wait of groups in other zones: two round trips and the submission.
	crossZonePenalty = 10 * time.Millisecond
	// noWorkerPenalty ranks groups without a worker that accepts work behind all others.
	noWorkerPenalty = time.Second
	// waitTolerance is the difference of waits up to which groups count as equal, since load summaries are up to 150 ms
	// old.
	waitTolerance = 5 * time.Millisecond
	// noRoomPenalty is added for groups in which the job does not fit now.
	noRoomPenalty = 20 * time.Millisecond
)

// chooseGroup returns the group for a job. Many VMs choose by the same summaries at the same time, so the choice
// between equal groups is random, weighted by their free capacity; otherwise all VMs would load the same group. The
// random number chance is in [0, 1).
func chooseGroup(candidates []candidateGroup, zone string, chance float64) string {
	cost := func(o candidateGroup) time.Duration {
		c := o.expectedWait
		if o.zone != zone {
			c += crossZonePenalty
		}
		if o.spareMilliCores < 0 {
			c += noRoomPenalty
		}
		return c
	}
	minCost := cost(candidates[0])
	for _, o := range candidates[1:] {
		minCost = min(minCost, cost(o))
	}
	var equal []candidateGroup
	total := 0.0
	for _, o := range candidates {
		if cost(o) <= minCost+waitTolerance {
			equal = append(equal, o)
			total += max(o.spareMilliCores, 0) + 1
		}
	}
	remaining := chance * total
	for _, o := range equal {
		if remaining -= max(o.spareMilliCores, 0) + 1; remaining < 0 {
			return o.group
		}
	}
	return equal[len(equal)-1].group
}

func waitForPriority(l placement.Load, priority int) time.Duration {
	if len(l.Wait) == 0 {
		return 0
	}
	return l.Wait[min(max(priority, 0), len(l.Wait)-1)]
}
