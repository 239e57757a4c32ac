package placement

import "time"

// rttEstimator is how long the pool waits for the answers of workers: longer while they come late, since a time-out that is
// shorter than the queue on a link repeats the order and makes the queue longer.
type rttEstimator struct {
	mean, deviation float64 // of the time to the answer to a start, in nanoseconds
}

const (
	// rttWeight is the weight of an answer in the moving averages, the one of TCP.
	rttWeight = 0.125
	// rttDeviations is the number of deviations above the mean that an answer may take, the one of TCP.
	rttDeviations = 4
	// unansweredFactor is the time that an order without an answer counts as, as a multiple of its time-out.
	unansweredFactor = 1.5
)

func (e *rttEstimator) observe(took time.Duration) {
	diff := float64(took) - e.mean
	e.mean += rttWeight * diff
	if diff < 0 {
		diff = -diff
	}
	e.deviation += rttWeight * (diff - e.deviation)
}

// orderTimeout returns how long to wait for the answer to an order that a worker answers at once.
func (s *Scheduler) orderTimeout() time.Duration {
	usual := time.Duration(s.startRTT.mean + rttDeviations*s.startRTT.deviation)
	return min(max(usual, s.rules.StartTimeout), s.rules.MaxStartTimeout)
}

// adaptivePollMargin returns how long to wait for the answer to a hold beyond its wait.
func (s *Scheduler) adaptivePollMargin() time.Duration {
	return s.rules.PollTimeoutMargin + s.orderTimeout() - s.rules.StartTimeout
}
