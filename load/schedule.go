package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// arrival is one job of the schedule.
type arrival struct {
	at       time.Duration // since the start of the load
	index    uint64
	mix      *Workload
	team     string
	runTimes []time.Duration
	target   int // index of the entry VM
	second   int // entry VM of a resubmission
	flood    bool
	cancel   bool
	resubmit bool
}

// ideal returns the run time of the job on an idle fleet.
func (a arrival) ideal(slots int) time.Duration {
	var longest, sum time.Duration
	for _, d := range a.runTimes {
		longest = max(longest, d)
		sum += d
	}
	if slots > 0 && len(a.runTimes) > slots {
		return max(longest, sum/time.Duration(slots))
	}
	return longest
}

// schedule yields the arrivals of a profile in order; it depends on the profile and the number of targets only.
type schedule struct {
	profile *Profile
	streams []*stream
	weights []float64
	random  *rand.Rand
	index   uint64
}

// stream is a Poisson process of the jobs of one mix.
type stream struct {
	mix      *Workload
	flood    bool
	interval float64 // mean nanoseconds between jobs
	next, to time.Duration
	random   *rand.Rand
}

// newSchedule returns the schedule of a profile for a number of target entry VMs.
func newSchedule(p *Profile, targets int) (*schedule, error) {
	s := &schedule{profile: p, random: rand.New(rand.NewPCG(p.Seed, 0))}
	for i := range targets {
		weight := 1.0
		if len(p.Weights) > 0 {
			weight = p.Weights[i%len(p.Weights)]
		}
		s.weights = append(s.weights, weight)
	}
	if p.TargetUtilization > 0 && p.Slots <= 0 {
		return nil, fmt.Errorf("profile %s: load needs the number of slots", p.Name)
	}
	s.addMixes()
	s.addFloods()
	return s, nil
}

// capacity returns the task starts per second that the slots can carry.
func capacity(slots int, mixes []Workload) float64 {
	var shares, seconds float64
	for _, m := range mixes {
		_, runTime := m.means()
		shares += m.Share
		seconds += m.Share * runTime.Seconds()
	}
	return float64(slots) * shares / seconds
}

// taskRate returns the task starts per second of a profile without its floods.
func (p *Profile) taskRate() float64 {
	if p.Rate > 0 {
		return p.Rate
	}
	return p.TargetUtilization * capacity(p.Slots, p.Workloads)
}

func (s *schedule) addMixes() {
	var shares float64
	for _, m := range s.profile.Workloads {
		shares += m.Share
	}
	for i := range s.profile.Workloads {
		m := &s.profile.Workloads[i]
		s.add(m, s.profile.taskRate()*m.Share/shares, 0, s.profile.Duration, false)
	}
}

func (s *schedule) addFloods() {
	for _, f := range s.profile.Floods {
		var flooded []*Workload
		for i := range s.profile.Workloads {
			if f.matches(s.profile.Workloads[i]) {
				flooded = append(flooded, &s.profile.Workloads[i])
			}
		}
		for _, m := range flooded {
			rate := f.Factor * s.profile.taskRate()
			if s.profile.Slots > 0 {
				rate = f.Factor * capacity(s.profile.Slots, []Workload{*m})
			}
			s.add(m, rate/float64(len(flooded)), f.From, min(f.To, s.profile.Duration), true)
		}
	}
}

func (s *schedule) add(m *Workload, taskRate float64, from, to time.Duration, flood bool) {
	if taskRate <= 0 {
		return
	}
	tasks, _ := m.means()
	st := &stream{mix: m, flood: flood, interval: tasks / taskRate * float64(time.Second), next: from, to: to}
	st.random = rand.New(rand.NewPCG(s.profile.Seed, uint64(len(s.streams)+1)))
	st.advance()
	s.streams = append(s.streams, st)
}

func (st *stream) advance() {
	st.next += time.Duration(st.random.ExpFloat64() * st.interval)
}

// take returns the next arrival, or false at the end.
func (s *schedule) take() (arrival, bool) {
	var first *stream
	for _, st := range s.streams {
		if st.next < st.to && (first == nil || st.next < first.next) {
			first = st
		}
	}
	if first == nil {
		return arrival{}, false
	}
	a := arrival{at: first.next, index: s.index, mix: first.mix, flood: first.flood}
	s.index++
	for range first.mix.Tasks.draw(first.random) {
		a.runTimes = append(a.runTimes, first.mix.RunTime.draw(first.random))
	}
	a.team = first.mix.Teams[first.random.IntN(len(first.mix.Teams))]
	first.advance()
	a.target, a.second = s.pick(), s.pick()
	a.cancel = s.random.Float64() < s.profile.Cancel.Fraction
	a.resubmit = s.random.Float64() < s.profile.Resubmit.Fraction
	return a, true
}

func (s *schedule) pick() int {
	var sum float64
	for _, w := range s.weights {
		sum += w
	}
	draw := s.random.Float64() * sum
	for i, w := range s.weights {
		if draw -= w; draw < 0 {
			return i
		}
	}
	return len(s.weights) - 1
}
