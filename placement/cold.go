package placement

import (
	"time"
)

// After an evacuation workers may be cold: slow for some time, as their entries say or as their first runs show. A cold worker gets one
// run at a time, of a job that would still be on time if the run took as long as runs on cold workers of the group lately did, and only
// where no warm worker has room. It is warm again after a run at usual speed, and at the latest when its cold time is over.

// coldState is what a scheduler knows of a worker that may be cold.
type coldState struct {
	until       time.Time // end of the cold time, zero if the worker is warm
	reported    time.Time // latest end that its entry has reported, zero if the entry reports none
	onTrial     time.Time // until when a slow run shows that the worker is cold
	incarnation int64     // of the entry
}

const (
	// coldTrialTime is how long after an evacuation a slow run shows that a worker is cold.
	coldTrialTime = 10 * time.Second
	// assumedColdTime is the cold time of a worker whose runs are slow and whose entry reports no cold time. Each slow run begins it anew
	// until coldTrialTime is over.
	assumedColdTime = 2 * time.Second
	// coldReportTolerance is the difference of two reported ends of a cold time up to which they count as the same: entries are read up
	// to 0.4 s after they were written, and relayed.
	coldReportTolerance = time.Second
	// initialColdSlowdown is the run time on cold workers as a multiple of that on warm ones until it is known. With 1.5, jobs that start
	// at once have enough slack, so that each cold worker gets a run that shows how slow it is.
	initialColdSlowdown = 1.5
	// coldSlowdownWeight is the weight of one run in the moving average of that multiple.
	coldSlowdownWeight = 0.3
	// minColdSlowdown and maxColdSlowdown limit what one run adds to the average.
	minColdSlowdown, maxColdSlowdown = 1, 8
	// coldCost ranks cold workers behind warm ones, and before half-open ones, on which a run may be lost.
	coldCost = 40
)

// isCold reports whether a worker is taken to be cold.
func (s *Scheduler) isCold(w *workerState) bool { return s.now.Before(w.cold.until) }

// updateCold applies the remaining cold times that the entries of workers report.
func (s *Scheduler) updateCold(remaining map[string]time.Duration) {
	for _, w := range s.sortedWorkers {
		c := &w.cold
		if c.incarnation != w.Incarnation {
			*c = coldState{incarnation: w.Incarnation, onTrial: c.onTrial}
		}
		left, ok := remaining[w.ID]
		switch until := s.now.Add(left); {
		case !ok || left <= 0:
			if !c.reported.IsZero() { // its entry reports no cold time any more
				c.until, c.reported = time.Time{}, time.Time{}
			}
		case until.After(c.reported.Add(coldReportTolerance)):
			if c.reported.IsZero() {
				s.logEvent("worker-cold", "", w.ID, "reported by the worker", map[string]int64{"for-ms": ms(left)})
			}
			c.until, c.reported = until, until
		case s.isCold(w) && until.Before(c.until):
			c.until = until
		}
	}
}

// expectColdWorkers begins the time in which slow runs show that workers are cold.
func (s *Scheduler) expectColdWorkers() {
	for _, w := range s.sortedWorkers {
		w.cold.onTrial = s.now.Add(coldTrialTime)
	}
}

// markCold marks a run that starts on a cold worker. Its run time says nothing about its job, nor about the health of its worker.
func (s *Scheduler) markCold(r *run) {
	if s.isCold(r.worker) {
		r.cold, r.unmeasured = true, true
		r.expected = time.Duration(float64(r.expected) * s.coldSlowdown)
	}
}

// suitsColdWorker reports whether a task may start on a worker although that may be cold: its job has slack, or
// is a durable one that is late anyway.
func (s *Scheduler) suitsColdWorker(js *jobState, i int, w *workerState) bool {
	if !s.isCold(w) || js.durable && js.lateness > 0 {
		return true
	}
	length := time.Duration(s.coldSlowdown * float64(s.expectedDuration(js, i)))
	return !s.now.Add(length).After(js.targetEnd)
}

// observeColdRun learns from a run that is done whether its worker is cold, and how slow cold workers are.
func (s *Scheduler) observeColdRun(r *run, took time.Duration) {
	w := r.worker
	if !r.cold && !s.now.Before(w.cold.onTrial) || r.sound <= 0 {
		return
	}
	others, _ := s.siblingMedianDuration(r)
	p := s.slowPValue(r, took, others)
	if r.cold {
		ratio := min(max(float64(took)/float64(r.sound), minColdSlowdown), maxColdSlowdown)
		s.coldSlowdown += coldSlowdownWeight * (ratio - s.coldSlowdown)
	}
	switch {
	case p >= usualPValue:
		if s.isCold(w) {
			s.logEvent("worker-warm", "", w.ID, "a run was of usual speed", map[string]int64{"took-ms": ms(took)})
		}
		w.cold.until, w.cold.onTrial = time.Time{}, time.Time{}
	case p < trialSignificance && s.now.Before(w.cold.onTrial) && !s.isCold(w):
		w.cold.until = s.now.Add(assumedColdTime)
		s.logEvent("worker-cold", "", w.ID, "a run after the evacuation was slow", map[string]int64{"took-ms": ms(took), "for-ms": ms(assumedColdTime)})
	}
}
