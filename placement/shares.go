package placement

import (
	"slices"
	"strings"
	"time"

	"samphireplank.example/samphireplank/share"
)

// routeShares keeps routes from being starved by more urgent ones. It lasts as long as its scheduler.
type routeShares struct {
	demanded       *share.Meter // core-seconds of all jobs that were submitted, whether accepted or not
	started        *share.Meter // core-seconds of the runs that were started
	overloadedTill time.Time
	deprived       map[string]bool // routes that get less than their share, as of the last placement
}

func newRouteShares() routeShares {
	return routeShares{
		demanded: share.NewMeter(share.MeterConfig{Memory: demandMemory, Warmup: demandWarmup}),
		started:  share.NewMeter(share.MeterConfig{Memory: servedMemory, Warmup: demandWarmup}),
	}
}

const (
	// demandMemory exceeds the bursts of the replayed loads, of up to 6 s, several times.
	demandMemory = 30 * time.Second
	// demandWarmup is the time after which a new holder knows the usual demand: about 15 jobs of the rarest route.
	demandWarmup = 3 * time.Second
	// servedMemory is the time over which it is measured what a route gets: ten jobs of the rarest route.
	servedMemory = 2 * time.Second
	// overloadHold is the time for which a group counts as overloaded after a job had to wait.
	overloadHold = 500 * time.Millisecond
	// deprivedPart is the part of its share below which a route is placed first. The replayed loads gave less worth at 0.7 and 1,
	// where bursts of the most urgent route lose more than the others gain; see docs/design/capacity-shares.md.
	deprivedPart = 0.5
)

// observeDemand counts a submitted job towards the usual demand of its route.
func (s *Scheduler) observeDemand(js *jobState) {
	total := 0.0
	for i, step := range js.work.Steps {
		total += float64(step.Count) * float64(step.Need.MilliCores) / 1000 * s.expectedDuration(js, i).Seconds()
	}
	s.shares.demanded.Add(s.now, js.policy.Route, total)
}

// observeStart counts a started run towards what its route gets.
func (s *Scheduler) observeStart(r *run) {
	s.shares.started.Add(s.now, r.job.policy.Route, float64(r.need.MilliCores)/1000*r.sound.Seconds())
}

// updateShares determines which routes get less than their share. While every job starts at once, none does.
func (s *Scheduler) updateShares() {
	earlier := s.shares.deprived
	s.shares.deprived = nil
	if !s.rules.IgnoreShares && s.now.Before(s.shares.overloadedTill) {
		s.shares.deprived = share.Deprived(s.shares.demanded.Rates(s.now), s.shares.started.Rates(s.now), deprivedPart)
	}
	var routes []string
	for route := range s.shares.deprived {
		if !earlier[route] {
			routes = append(routes, route)
		}
	}
	slices.Sort(routes)
	for _, route := range routes {
		values := map[string]int64{"queued": 0} // without queued jobs, the route only sends less than usual
		for _, js := range s.queue {
			if js.policy.Route == route {
				values["queued"]++
			}
		}
		s.addShareValues(route, values)
		s.emit(LogEvent{Event: "route-deprived", Route: route, Reason: "the route gets less than its share", Values: values})
	}
}

// addShareValues adds the demand, the share and the use of a route to a log line, in thousandths of a core.
func (s *Scheduler) addShareValues(route string, values map[string]int64) {
	demands, served := s.shares.demanded.Rates(s.now), s.shares.started.Rates(s.now)
	total := 0.0
	for _, rate := range served {
		total += rate
	}
	values["demand"] = int64(1000 * demands[route])
	values["share"] = int64(1000 * share.Divide(total, demands)[route])
	values["use"] = int64(1000 * served[route])
}

// refuseForCapacity refuses a job until capacity is expected. The time is spread, since the callers refused in one overload
// would otherwise return together. While a route is placed first, the log line tells what the job's route gets.
func (s *Scheduler) refuseForCapacity(js *jobState, reason string, wait time.Duration, values map[string]int64) NotRun {
	logged := strings.TrimPrefix(reason, "the job ")
	if len(s.shares.deprived) > 0 {
		s.addShareValues(js.policy.Route, values)
		if !s.shares.deprived[js.policy.Route] {
			logged += ", share exhausted"
		}
	}
	s.logRefusal(js, logged, values)
	refusal := s.refusal(reason, wait)
	refusal.RetryAfter = min(share.Jitter(refusal.RetryAfter, js.work.ID), 2*s.rules.MaxRetryAfter)
	return refusal
}

// noteOverload records whether jobs are left in the queue after a placement.
func (s *Scheduler) noteOverload() {
	if len(s.queue) > 0 {
		s.shares.overloadedTill = s.now.Add(overloadHold)
	}
}

// precedes reports whether a queued job is placed before another one: jobs of deprived routes first, then by rank.
func (s *Scheduler) precedes(q, js *jobState) bool {
	if a, b := s.shares.deprived[q.policy.Route], s.shares.deprived[js.policy.Route]; a != b {
		return a
	}
	return q.rank <= js.rank
}

// placementOrder returns the queue with the jobs of deprived routes first.
func (s *Scheduler) placementOrder() []*jobState {
	if len(s.shares.deprived) == 0 {
		return s.queue
	}
	first := make([]*jobState, 0, len(s.queue))
	var others []*jobState
	for _, js := range s.queue {
		if s.shares.deprived[js.policy.Route] {
			first = append(first, js)
		} else {
			others = append(others, js)
		}
	}
	return append(first, others...)
}
