package placement

import (
	"slices"
	"time"

	"samphireplank.example/samphireplank/interference"
)

const (
	// interferenceCost weighs the run time that interference adds against unused cores: a task that takes twice as long costs as
	// much as twice a wholly idle worker. In simulated loads a weight of 1 was worse at the usual load, and 4 was no better on the whole.
	interferenceCost = 2
	// costUnits is the number of units of a cost of 1. Integers give the same sum in any order of a worker's runs.
	costUnits = 1 << 20
	// maxPastRuns limits the ended runs that a worker's state holds. Tasks of 60 ms fill it within 4 s beside a task of that length.
	maxPastRuns = 192
	// maxComparable limits the runs of a step that are kept, since a step may have 100,000 tasks.
	maxComparable = 64
	// interferenceExpiryInterval is the time between two looks for pairs that have been forgotten.
	interferenceExpiryInterval = 5 * time.Second
)

// pastRun is an ended run that others have run beside.
type pastRun struct {
	taskName string
	kind     interference.Kind
	from, to time.Time
}

// pastRuns are the ended runs of a worker that overlap with present ones.
type pastRuns struct {
	list          []pastRun
	completeSince time.Time // runs that ended before may be missing
}

func (s *Scheduler) kindOf(js *jobState, step int) interference.Kind {
	spec := &js.work.Steps[step]
	return interference.KindOf(spec.Image, js.policy.Route, spec.Need.MilliCores)
}

// rememberRun records that a run is no longer on its worker, for those that were beside it.
func (s *Scheduler) rememberRun(r *run) {
	if s.interference == nil {
		return
	}
	past := &r.worker.past
	earliest := r.sent // the run itself is needed until it is learned
	for _, o := range r.worker.runs {
		if o.sent.Before(earliest) && !o.longRunning() {
			earliest = o.sent
		}
	}
	past.list = slices.DeleteFunc(past.list, func(p pastRun) bool { return !p.to.After(earliest) })
	if len(past.list) >= maxPastRuns {
		past.completeSince = past.list[0].to
		past.list = slices.Delete(past.list, 0, 1)
	}
	past.list = append(past.list, pastRun{r.taskName, s.kindOf(r.job, r.step), r.sent, s.now})
}

// learnInterference learns from a completed run, once all tasks of its step are done or maxComparable of them.
func (s *Scheduler) learnInterference(r *run, took time.Duration) {
	if s.interference == nil {
		return
	}
	step := &r.job.steps[r.step]
	resumed := step.tasks[r.index].checkpoint != "" // the run may have done only a part of the task
	if !r.unmeasured && !resumed && r.worker.unknownRuns == 0 && !r.sent.Before(r.worker.past.completeSince) {
		step.comparable = append(step.comparable, interference.Run{Worker: r.worker.ID, Took: took, Neighbours: s.neighbours(r, took)})
	}
	if step.remaining > 1 && len(step.comparable) < maxComparable {
		return
	}
	s.logInterference(s.interference.Observe(s.now, s.kindOf(r.job, r.step), step.comparable))
	step.comparable = nil
}

// neighbours returns for which share of a completed run each kind ran beside it.
func (s *Scheduler) neighbours(r *run, took time.Duration) []interference.Exposure {
	var list []interference.Exposure
	add := func(kind interference.Kind, from, to time.Time) {
		if from.Before(r.sent) {
			from = r.sent
		}
		overlap := to.Sub(from)
		if overlap <= 0 {
			return
		}
		share := float64(overlap) / float64(max(took, 1))
		for i := range list {
			if list[i].Kind == kind {
				list[i].Share = min(list[i].Share+share, 1)
				return
			}
		}
		list = append(list, interference.Exposure{Kind: kind, Share: min(share, 1)})
	}
	for _, p := range r.worker.past.list {
		if p.taskName != r.taskName {
			add(p.kind, p.from, p.to)
		}
	}
	for _, o := range r.worker.runs {
		add(s.kindOf(o.job, o.step), o.sent, s.now)
	}
	return list
}

func (s *Scheduler) logInterference(changes []interference.Change) {
	for _, c := range changes {
		event := "interference-forgotten"
		if c.Found {
			event = "interference-found"
		}
		s.logEvent(event, "", "", c.Kind.String()+" is slowed down by "+c.Neighbour.String(), map[string]int64{
			"factor-percent": int64(100 * c.Factor), "error-percent": int64(100 * c.Error), "runs": int64(c.Runs), "age-ms": ms(s.now.Sub(c.Updated)),
		})
	}
}

// expireInterference forgets pairs of which nothing is seen any more.
func (s *Scheduler) expireInterference() {
	if s.interference == nil || s.now.Sub(s.interferenceExpiredAt) < interferenceExpiryInterval {
		return
	}
	s.interferenceExpiredAt = s.now
	s.logInterference(s.interference.Expire(s.now))
}

// Interference returns the pairs that are known to interfere. The result must not be modified.
func (s *Scheduler) Interference() []interference.Estimate {
	if s.interference == nil {
		return nil
	}
	return s.interference.Found()
}

// neighbourEffect is how a task of one kind and one of a neighbour's kind slow each other down.
type neighbourEffect struct {
	neighbour interference.Kind
	suffered  float64 // share by which the run time of the task grows
	inflicted float64 // share by which that of the neighbour grows
}

// neighbourEffects returns the known effects between a task of the step and its neighbours.
func (s *Scheduler) neighbourEffects(js *jobState, step int) []neighbourEffect {
	if s.interference == nil || len(s.interference.Found()) == 0 {
		return nil
	}
	kind := s.kindOf(js, step)
	var list []neighbourEffect
	effectOf := func(neighbour interference.Kind) *neighbourEffect {
		for i := range list {
			if list[i].neighbour == neighbour {
				return &list[i]
			}
		}
		list = append(list, neighbourEffect{neighbour: neighbour})
		return &list[len(list)-1]
	}
	for _, p := range s.interference.Found() {
		if p.Kind == kind {
			effectOf(p.Neighbour).suffered = p.Factor - 1
		}
		if p.Neighbour == kind {
			effectOf(p.Kind).inflicted = p.Factor - 1
		}
	}
	return list
}

// neighbourCost returns the cost of the interference between a new task of the given length and the runs of a worker. What one task
// adds to the other counts for the time that they are expected to run together.
func (s *Scheduler) neighbourCost(w *workerState, length time.Duration, effects []neighbourEffect) float64 {
	if len(effects) == 0 {
		return 0
	}
	units := int64(0)
	for _, o := range w.runs {
		kind := s.kindOf(o.job, o.step)
		for i := range effects {
			if effects[i].neighbour != kind {
				continue
			}
			together := max(min(o.expectedEnd().Sub(s.now), length), o.expected/overdueShare)
			suffered := effects[i].suffered * min(float64(together)/float64(max(length, 1)), 1)
			inflicted := effects[i].inflicted * min(float64(together)/float64(max(o.expected, 1)), 1)
			units += int64(costUnits * (suffered + inflicted))
			break
		}
	}
	return interferenceCost * float64(units) / costUnits
}

// overdueShare is the reciprocal of the share of its expected run time that a run which should have ended is expected to go on.
const overdueShare = 4

// InterferenceEvidence returns what this scheduler and earlier ones of its group have learned, for other schedulers.
func (s *Scheduler) InterferenceEvidence(now time.Time, group string) interference.Evidence {
	if s.interference == nil {
		return interference.Evidence{}
	}
	return s.interference.Export(now, group)
}

// ImportInterference takes in what the scheduler of another group has learned.
func (s *Scheduler) ImportInterference(now time.Time, group string, evidence interference.Evidence) {
	if s.interference != nil {
		s.interference.Import(now, group, evidence)
	}
}
