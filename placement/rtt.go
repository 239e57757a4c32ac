package placement

import "time"

// patience is how long the pool waits for the answers of workers: longer while they come late, since a time-out that is
// shorter than the queue on a link repeats the order and makes the queue longer.
type patience struct {
	mean, deviation float64 // of the time to the answer to a start, in nanoseconds
}

const (
	// patienceWeight is the weight of an answer in the moving averages, the one of TCP.
	patienceWeight = 0.125
	// patienceDeviations is the number of deviations above the mean that an answer may take, the one of TCP.
	patienceDeviations = 4
	// openFactor is the time that an order without an answer counts as, as a multiple of its time-out.
	openFactor = 1.5
)

func (w *patience) observe(took time.Duration) {
	off := float64(took) - w.mean
	w.mean += patienceWeight * off
	if off < 0 {
		off = -off
	}
	w.deviation += patienceWeight * (off - w.deviation)
}

// timeout returns how long to wait for the answer to an order that a worker answers at once.
func (p *Scheduler) timeout() time.Duration {
	usual := time.Duration(p.patience.mean + patienceDeviations*p.patience.deviation)
	return min(max(usual, p.rules.StartTimeout), p.rules.MaxStartTimeout)
}

// holdSlack returns how long to wait for the answer to a hold beyond its wait.
func (p *Scheduler) holdSlack() time.Duration {
	return p.rules.PollTimeoutMargin + p.timeout() - p.rules.StartTimeout
}
