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

	mu            sync.Mutex
	groups        map[groupKey]*group
	jobs          map[string]jobRecord // by job id
	lateness      *hdrhistogram.Histogram
	partial       int
	crossed       int
	contradictory int
	floods        []float64 // utilisation in each flood
	cancels       int       // requests to cancel
	cancelErrors  int
	sinceCancel   *hdrhistogram.Histogram // from a cancellation to the answer of its job
	examples      map[string]string       // a reason for each outcome but complete
	breaks        []FailedCall
	breakCount    int
	failovers     int
	suspects      []string // ids of jobs with a wrong answer
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
		floods:  make([]float64, len(p.Floods)),
		profile: p, groups: map[groupKey]*group{}, jobs: map[string]jobRecord{}, examples: map[string]string{},
		lateness:    hdrhistogram.New(1, mostMicroseconds, histogramDigits),
		sinceCancel: hdrhistogram.New(1, mostMicroseconds, histogramDigits),
	}
}

func newGroup() *group {
	return &group{
		outcomes: map[string]int{}, response: hdrhistogram.New(1, mostMicroseconds, histogramDigits),
		slowdown: hdrhistogram.New(1, mostSlowdown, histogramDigits),
	}
}

// flood records the utilisation in a flood between two samples of the counts.
func (r *recorder) flood(i int, from, to standInCounts, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if to.Slots > 0 {
		r.floods[i] = (to.BusySeconds - from.BusySeconds) / (float64(to.Slots) * elapsed.Seconds())
	}
}

// late records how long after its time the tool began with a job.
func (r *recorder) late(a arrival, d time.Duration) {
	if a.at < r.profile.WarmUp {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.lateness, d.Microseconds(), mostMicroseconds)
}

func record(h *hdrhistogram.Histogram, value, most int64) {
	// Values are kept inside the range, so RecordValue has no error to return.
	_ = h.RecordValue(min(max(value, 1), most))
}

// cancel records a request to cancel and whether it was answered.
func (r *recorder) cancel(answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancels++
	if !answered {
		r.cancelErrors++
	}
}

// maxBreaks bounds the broken calls that a report lists.
const maxBreaks = 10_000

// broken records a call that was sent and got no answer.
func (r *recorder) broken(b FailedCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breakCount++
	if len(r.breaks) < maxBreaks {
		r.breaks = append(r.breaks, b)
	}
}

// failover records a call that could not be sent and goes to another entry VM.
func (r *recorder) failover() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failovers++
}

func (r *recorder) add(a arrival, got result, kind special) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if got.id != "" {
		r.jobs[got.id] = jobRecord{outcome: got.outcome, tasks: len(a.runTimes), idempotent: a.mix.Idempotent, cancelled: kind == cancelled}
	}
	if got.partial || got.crossed || got.contradictory {
		r.suspects = append(r.suspects, got.id)
	}
	if got.partial {
		r.partial++
	}
	if got.crossed {
		r.crossed++
	}
	if got.contradictory {
		r.contradictory++
	}
	if kind == cancelled {
		record(r.sinceCancel, got.sinceCancel.Microseconds(), mostMicroseconds)
	}
	if got.reason != "" && r.examples[got.outcome] == "" {
		r.examples[got.outcome] = got.reason
	}
	if a.at < r.profile.WarmUp {
		return
	}
	key := groupKey{class: a.mix.Priority, phase: r.phase(a.at)}
	if kind != plain {
		key.phase = string(kind)
	}
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
