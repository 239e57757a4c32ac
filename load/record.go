package load

import (
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms hold microseconds up to a minute, and thousandths of a slowdown up to 10,000, with 3 digits.
const (
	mostMicroseconds = 60_000_000
	mostSlowdown     = 10_000_000
	slowdownScale    = 1000
	histogramDigits  = 3
)

// recorder collects the results of a run.
type recorder struct {
	profile *Profile

	mu       sync.Mutex
	groups   map[groupKey]*group
	jobs     map[string]jobRecord // by job id
	lateness *hdrhistogram.Histogram
	partial  int
	crossed  int
	examples map[string]string // a reason for each outcome but complete
}

// groupKey names the jobs that are measured together.
type groupKey struct {
	class string
	phase string
}

// group holds the measures of one class in one phase.
type group struct {
	outcomes   map[string]int
	tasks      int
	onTime     int
	retryAfter int // refusals with a retry-after time
	response   *hdrhistogram.Histogram
	slowdown   *hdrhistogram.Histogram
}

// jobRecord is what the caller of a job was told.
type jobRecord struct {
	outcome    string
	tasks      int
	idempotent bool
	cancelled  bool
}

func newRecorder(p *Profile) *recorder {
	return &recorder{
		profile: p, groups: map[groupKey]*group{}, jobs: map[string]jobRecord{}, examples: map[string]string{},
		lateness: hdrhistogram.New(1, mostMicroseconds, histogramDigits),
	}
}

func newGroup() *group {
	return &group{
		outcomes: map[string]int{}, response: hdrhistogram.New(1, mostMicroseconds, histogramDigits),
		slowdown: hdrhistogram.New(1, mostSlowdown, histogramDigits),
	}
}

// late records how long after its time the tool began with a job.
func (r *recorder) late(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.lateness, d.Microseconds(), mostMicroseconds)
}

func record(h *hdrhistogram.Histogram, value, most int64) {
	// Values are kept inside the range, so RecordValue has no error to return.
	_ = h.RecordValue(min(max(value, 1), most))
}

func (r *recorder) add(a arrival, got result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if got.id != "" {
		r.jobs[got.id] = jobRecord{outcome: got.outcome, tasks: len(a.runTimes), idempotent: a.mix.Idempotent, cancelled: a.cancel}
	}
	if got.partial {
		r.partial++
	}
	if got.crossed {
		r.crossed++
	}
	if got.reason != "" && r.examples[got.outcome] == "" {
		r.examples[got.outcome] = got.reason
	}
	if a.at < r.profile.WarmUp {
		return
	}
	key := groupKey{class: a.mix.Class, phase: r.phase(a.at)}
	if r.groups[key] == nil {
		r.groups[key] = newGroup()
	}
	r.groups[key].add(a, got, r.profile.Slots)
}

func (g *group) add(a arrival, got result, slots int) {
	g.outcomes[got.outcome]++
	g.tasks += len(a.runTimes)
	if got.retryAfter > 0 {
		g.retryAfter++
	}
	if got.outcome != "complete" || got.partial || got.crossed {
		return
	}
	if got.elapsed <= a.mix.Deadline {
		g.onTime++
	}
	record(g.response, got.elapsed.Microseconds(), mostMicroseconds)
	record(g.slowdown, int64(float64(got.elapsed)/float64(a.ideal(slots))*slowdownScale), mostSlowdown)
}

// phase tells the jobs that arrive during a flood from the others.
func (r *recorder) phase(at time.Duration) string {
	for _, f := range r.profile.Floods {
		if at >= f.From && at < f.To {
			return "flood"
		}
	}
	return "calm"
}

func (r *recorder) keys() []groupKey {
	keys := make([]groupKey, 0, len(r.groups))
	for key := range r.groups {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].class != keys[j].class {
			return keys[i].class < keys[j].class
		}
		return keys[i].phase < keys[j].phase
	})
	return keys
}
