package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"samphireplank.example/samphireplank/job"
)

// Profile describes a load; its file form is YAML.
type Profile struct {
	Name              string          `yaml:"name"`
	Seed              uint64          `yaml:"seed"`
	Duration          time.Duration   `yaml:"duration"`
	WarmUp            time.Duration   `yaml:"warm-up"` // jobs that arrive earlier are checked and not measured
	Rate              float64         `yaml:"rate"`    // task starts per second
	TargetUtilization float64         `yaml:"load"`    // or this fraction of the capacity of the slots
	Slots             int             `yaml:"slots"`   // of the whole fleet
	Weights           []float64       `yaml:"weights"` // of the target entry VMs in their order, equal if missing
	Workloads         []Workload      `yaml:"mixes"`
	Floods            []Flood         `yaml:"floods"`
	Cancel            DelayedFraction `yaml:"cancel"`   // jobs that are cancelled some time after their submission
	Resubmit          DelayedFraction `yaml:"resubmit"` // jobs that are abandoned and submitted again under their ticket
	CancelWaves       []CancelWave    `yaml:"cancel-waves"`
}

// Workload is one kind of work in a Profile.
type Workload struct {
	Kind       string           `yaml:"kind"`
	Priority   string           `yaml:"class"` // priority of the kind
	Teams      []string         `yaml:"teams"` // drawn with equal weights
	Share      float64          `yaml:"share"` // of the task starts, relative to the other mixes
	Deadline   time.Duration    `yaml:"deadline"`
	Idempotent bool             `yaml:"idempotent"`
	Tasks      SizeDistribution `yaml:"tasks"`
	RunTime    TimeDistribution `yaml:"run-time"`
}

// SizeDistribution is a log-normal distribution of tasks per job.
type SizeDistribution struct {
	Median float64 `yaml:"median"`
	Sigma  float64 `yaml:"sigma"`
	Max    int     `yaml:"max"`
}

// TimeDistribution is a log-normal distribution of run times.
type TimeDistribution struct {
	Median time.Duration `yaml:"median"`
	Sigma  float64       `yaml:"sigma"`
	Min    time.Duration `yaml:"min"`
	Max    time.Duration `yaml:"max"`
}

// Flood is additional load of the mixes of a class or of one kind.
type Flood struct {
	From     time.Duration `yaml:"from"`
	To       time.Duration `yaml:"to"`
	Priority string        `yaml:"class"`
	Kind     string        `yaml:"kind"`
	Factor   float64       `yaml:"factor"` // multiple of the fleet's capacity, or of the rate if no slots are given
}

// DelayedFraction is a part of the jobs to which something happens after a delay.
type DelayedFraction struct {
	Fraction float64       `yaml:"share"`
	After    time.Duration `yaml:"after"`
}

// CancelWave cancels all unanswered jobs of a class at once.
type CancelWave struct {
	At       time.Duration `yaml:"at"`
	Priority string        `yaml:"class"`
}

// ReadProfile reads a profile file.
func ReadProfile(path string) (*Profile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read profile: %w", err)
	}
	p, err := ParseProfile(data)
	if err != nil {
		return nil, fmt.Errorf("profile %s: %w", path, err)
	}
	return p, nil
}

// ParseProfile reads and checks a profile; unknown fields are errors.
func ParseProfile(data []byte) (*Profile, error) {
	var p Profile
	if err := yaml.UnmarshalWithOptions(data, &p, yaml.Strict()); err != nil {
		return nil, err
	}
	for i := range p.Workloads {
		p.Workloads[i].setDefaults()
	}
	if err := p.check(); err != nil {
		return nil, err
	}
	return &p, nil
}

func (m *Workload) setDefaults() {
	if m.Tasks.Median == 0 {
		m.Tasks.Median = 1
	}
	if m.Tasks.Max == 0 {
		m.Tasks.Max = job.MaxTasks
	}
	if m.RunTime.Min == 0 {
		m.RunTime.Min = 50 * time.Millisecond
	}
	if m.RunTime.Max == 0 {
		m.RunTime.Max = 10 * time.Second
	}
	if m.Share == 0 {
		m.Share = 1
	}
}

func (p *Profile) check() error {
	if p.Duration <= 0 || p.Duration > time.Hour {
		return fmt.Errorf("duration %v is not between 0 and 1h", p.Duration)
	}
	if (p.Rate > 0) == (p.TargetUtilization > 0) || !finite(p.Rate, p.TargetUtilization) {
		return fmt.Errorf("rate %v, load %v: exactly one of them must be positive", p.Rate, p.TargetUtilization)
	}
	if len(p.Workloads) == 0 {
		return fmt.Errorf("mixes are missing")
	}
	for _, m := range p.Workloads {
		if err := m.check(); err != nil {
			return err
		}
	}
	for _, f := range p.Floods {
		if err := p.checkFlood(f); err != nil {
			return err
		}
	}
	for _, s := range []DelayedFraction{p.Cancel, p.Resubmit} {
		if !finite(s.Fraction) || s.Fraction < 0 || s.Fraction > 1 || s.After < 0 {
			return fmt.Errorf("share %v after %v: allowed are 0 to 1 and no negative time", s.Fraction, s.After)
		}
	}
	for _, w := range p.CancelWaves {
		if w.At < 0 || w.Priority == "" {
			return fmt.Errorf("cancel wave of class %q at %v: needs a class and no negative time", w.Priority, w.At)
		}
	}
	return p.checkWeights()
}

// waved reports whether a wave cancels jobs of the class.
func (p *Profile) waved(class string) bool {
	for _, w := range p.CancelWaves {
		if w.Priority == class {
			return true
		}
	}
	return false
}

func (p *Profile) checkWeights() error {
	sum := 0.0
	for _, w := range p.Weights {
		if !finite(w) || w < 0 {
			return fmt.Errorf("weight %v is negative or not a number", w)
		}
		sum += w
	}
	if len(p.Weights) > 0 && sum == 0 {
		return fmt.Errorf("all weights are 0")
	}
	return nil
}

func (m Workload) check() error {
	switch {
	case m.Kind == "" || m.Priority == "" || len(m.Teams) == 0:
		return fmt.Errorf("mix %q: kind, class or teams are missing", m.Kind)
	case m.Deadline <= 0:
		return fmt.Errorf("mix %q: deadline %v is not positive", m.Kind, m.Deadline)
	case m.RunTime.Median <= 0 || m.RunTime.Min > m.RunTime.Max:
		return fmt.Errorf("mix %q: run time needs a positive median and min up to max", m.Kind)
	case m.Tasks.Max < 1 || m.Tasks.Max > job.MaxTasks:
		return fmt.Errorf("mix %q: max of %d tasks is not between 1 and %d", m.Kind, m.Tasks.Max, job.MaxTasks)
	case !finite(m.Share, m.Tasks.Median, m.Tasks.Sigma, m.RunTime.Sigma) || m.Share < 0 || m.Tasks.Median < 0:
		return fmt.Errorf("mix %q: share, median or sigma is negative or not a number", m.Kind)
	}
	return nil
}

func (p *Profile) checkFlood(f Flood) error {
	if f.From < 0 || f.To <= f.From || !finite(f.Factor) || f.Factor <= 0 {
		return fmt.Errorf("flood of %q: needs from before to and a positive factor", f.Priority+f.Kind)
	}
	for _, m := range p.Workloads {
		if f.matches(m) {
			return nil
		}
	}
	return fmt.Errorf("flood of class %q, kind %q: no mix matches", f.Priority, f.Kind)
}

func (f Flood) matches(m Workload) bool {
	return (f.Priority != "" || f.Kind != "") && (f.Priority == "" || f.Priority == m.Priority) && (f.Kind == "" || f.Kind == m.Kind)
}

func finite(numbers ...float64) bool {
	for _, n := range numbers {
		if math.IsNaN(n) || math.IsInf(n, 0) {
			return false
		}
	}
	return true
}

func (s SizeDistribution) draw(r *rand.Rand) int {
	n := int(math.Round(s.Median * math.Exp(s.Sigma*r.NormFloat64())))
	return min(max(n, 1), s.Max)
}

func (t TimeDistribution) draw(r *rand.Rand) time.Duration {
	d := time.Duration(float64(t.Median) * math.Exp(t.Sigma*r.NormFloat64()))
	return min(max(d, t.Min), t.Max)
}

// meanSamples gives the means of the bounded distributions to about 1%.
const meanSamples = 50_000

// means returns the mean number of tasks of a job and the mean run time of a task.
func (m Workload) means() (tasks float64, runTime time.Duration) {
	r := rand.New(rand.NewPCG(1, 2))
	var sizes int
	var times time.Duration
	for range meanSamples {
		sizes += m.Tasks.draw(r)
		times += m.RunTime.draw(r)
	}
	return float64(sizes) / meanSamples, times / meanSamples
}
