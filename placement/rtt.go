package placement

import "time"

// rttEstimator estimates the response time of workers for an adaptive timeout. A timeout shorter than the queueing
// delay of a link would repeat the order and lengthen the queue.
type rttEstimator struct {
	mean, deviation float64 // response time of start orders, in nanoseconds
}

const (
	// rttWeight is the weight of one response in the moving averages, as in TCP.
	rttWeight = 0.125
	// rttDeviations is the number of deviations above the mean allowed before an order times out, as in TCP.
	rttDeviations = 4
	// unansweredFactor is the response time assumed for an unanswered order, as a multiple of its timeout.
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

// orderTimeout returns the timeout of an order that a worker answers at once.
func (s *Scheduler) orderTimeout() time.Duration {
	usual := time.Duration(s.startRTT.mean + rttDeviations*s.startRTT.deviation)
	return min(max(usual, s.rules.StartTimeout), s.rules.MaxStartTimeout)
}

// adaptivePollMargin returns how long to wait for the response to a poll beyond its wait.
func (s *Scheduler) adaptivePollMargin() time.Duration {
	return s.rules.PollTimeoutMargin + s.orderTimeout() - s.rules.StartTimeout
}
