package gateway

import "time"

// option is a group that may take a job.
type option struct {
	group string
	zone  string
	wait  time.Duration // until a task of the job's priority would start
	spare float64       // thousandths of a core that stay free beside the job, below 0 if it does not fit at once
}

const (
	// remoteCost is added to the wait of groups in other zones: two round trips and the hand-over.
	remoteCost = 10 * time.Millisecond
	// noWorkerCost puts groups without a worker that takes work behind all others.
	noWorkerCost = time.Second
	// nearlyEqual is the difference of waits below which groups count as equal; summaries are 150 ms old.
	nearlyEqual = 5 * time.Millisecond
	// narrowCost is added where the job does not fit at once.
	narrowCost = 20 * time.Millisecond
)

// choose returns the group for a job. Many VMs choose by the same summaries at the same time, so the choice between
// groups that are equal is left to chance, in proportion to their free room; otherwise all would load the same one.
func choose(options []option, zone string, chance float64) string {
	cost := func(o option) time.Duration {
		c := o.wait
		if o.zone != zone {
			c += remoteCost
		}
		if o.spare < 0 {
			c += narrowCost
		}
		return c
	}
	least := cost(options[0])
	for _, o := range options[1:] {
		least = min(least, cost(o))
	}
	var equal []option
	total := 0.0
	for _, o := range options {
		if cost(o) <= least+nearlyEqual {
			equal = append(equal, o)
			total += max(o.spare, 0) + 1
		}
	}
	left := chance * total
	for _, o := range equal {
		if left -= max(o.spare, 0) + 1; left < 0 {
			return o.group
		}
	}
	return equal[len(equal)-1].group
}
