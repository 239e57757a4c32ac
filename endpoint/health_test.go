package endpoint

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"samphireplank.example/samphireplank/job"
)

// healthFixture drives a HealthTracker with n endpoints.
type healthFixture struct {
	h    *HealthTracker
	now  time.Time
	n    int
	jobs uint64
}

func newHealthFixture(n int, owned bool) *healthFixture {
	c := &healthFixture{h: NewHealthTracker(HealthConfig{}), now: time.Unix(1000, 0), n: n}
	var members []Member
	for i := range n {
		members = append(members, Member{ID: name(i), Incarnation: 1, Owned: owned})
	}
	c.h.SetEndpoints(c.now, members)
	return c
}

func name(i int) string { return fmt.Sprintf("executor-%03d", i) }

// record reports one observation of a new job.
func (c *healthFixture) record(i int, v Observation) { c.repeat(1, i, v) }

// repeat reports the observation for several new jobs.
func (c *healthFixture) repeat(times, i int, v Observation) {
	for range times {
		c.jobs++
		c.repeatJob(1, i, v)
	}
}

// repeatJob reports the observation several times for the last job.
func (c *healthFixture) repeatJob(times, i int, v Observation) {
	for range times {
		c.h.Record(c.now, name(i), job.ID{Sequence: c.jobs}, v)
	}
}

func (c *healthFixture) tick(d time.Duration) []HealthEvent {
	c.now = c.now.Add(d)
	return c.h.Tick(c.now, nil)
}

func (c *healthFixture) ejected() int {
	count := 0
	for i := range c.n {
		if c.h.ConcurrencyLimit(name(i)) == 0 {
			count++
		}
	}
	return count
}

func TestHealthFaults(t *testing.T) {
	others := func(c *healthFixture, good, bad int) {
		for i := 1; i < c.n; i++ {
			c.repeat(good, i, ObservedSuccess)
			c.repeat(bad, i, ObservedError)
			c.record(i, ObservedSuccess)
		}
	}
	cases := []struct {
		name    string
		n       int
		do      func(c *healthFixture)
		ejected int
	}{
		{"two failures are too few", 16, func(c *healthFixture) { c.repeat(2, 0, ObservedError) }, 0},
		{"three failures of distinct jobs", 16, func(c *healthFixture) { c.repeat(3, 0, ObservedError) }, 1},
		{"a success breaks the run", 16, func(c *healthFixture) {
			c.repeat(2, 0, ObservedError)
			c.record(0, ObservedSuccess)
			c.repeat(2, 0, ObservedError)
		}, 0},
		{"one job that fails many times on one endpoint", 16, func(c *healthFixture) {
			c.repeatJob(100, 0, ObservedError)
		}, 0},
		{"one job that fails everywhere", 48, func(c *healthFixture) {
			for i := range 150 {
				c.repeatJob(1, i%48, ObservedError)
			}
		}, 0},
		{"one job that gets no answer anywhere", 48, func(c *healthFixture) {
			for i := range 48 * 8 {
				c.repeatJob(1, i/8, ObservedNoResponse)
			}
			c.tick(time.Second)
		}, 0},
		{"all work fails", 48, func(c *healthFixture) {
			for i := range 48 * 20 {
				c.record(i%48, ObservedError)
			}
		}, 0},
		{"all work fails in a zone of three", 3, func(c *healthFixture) {
			for i := range 60 {
				c.record(i%3, ObservedError)
			}
		}, 0},
		{"a fast failure before any other result", 16, func(c *healthFixture) { c.repeat(20, 0, ObservedError) }, 1},
		{"a third of the work fails everywhere", 48, func(c *healthFixture) {
			for range 4 {
				others(c, 2, 1)
			}
			c.repeat(6, 0, ObservedError)
		}, 0},
		{"an endpoint that fails more than the work does", 48, func(c *healthFixture) {
			for range 4 {
				others(c, 2, 1)
			}
			c.repeat(14, 0, ObservedError)
			c.tick(minEvaluationInterval)
		}, 1},
		{"four unanswered tasks are too few", 16, func(c *healthFixture) { c.repeat(4, 0, ObservedNoResponse) }, 0},
		{"five unanswered tasks", 16, func(c *healthFixture) { c.repeat(5, 0, ObservedNoResponse) }, 1},
		{"unanswered tasks of one job while others work", 16, func(c *healthFixture) {
			others(c, 3, 0)
			c.repeatJob(5, 0, ObservedNoResponse)
		}, 1},
		{"connections refused for a single job", 16, func(c *healthFixture) {
			c.repeatJob(3, 0, ObservedUnreachable)
		}, 1},
		{"at most a third", 16, func(c *healthFixture) {
			for range 20 {
				for i := range 16 {
					c.record(i, map[bool]Observation{true: ObservedError, false: ObservedSuccess}[i < 7])
				}
			}
			c.tick(minEvaluationInterval)
			c.tick(minEvaluationInterval)
		}, 5},
		{"a restarted endpoint starts anew", 16, func(c *healthFixture) {
			c.repeat(3, 0, ObservedError)
			members := []Member{{ID: name(0), Incarnation: 2}}
			for i := 1; i < 16; i++ {
				members = append(members, Member{ID: name(i), Incarnation: 1})
			}
			c.h.SetEndpoints(c.now, members)
		}, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := newHealthFixture(tc.n, true)
			tc.do(c)
			is.Equal(c.ejected(), tc.ejected)
		})
	}
}

// Guards against an ejected endpoint that gets full load at once, and repeated ejections that don't grow longer.
func TestReadmission(t *testing.T) {
	is := is.New(t)
	c := newHealthFixture(16, true)
	c.repeat(3, 0, ObservedError)
	is.Equal(c.tick(0), []HealthEvent{Eject{name(0)}})
	for _, length := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		is.True(!slices.Contains(c.tick(length*time.Second-time.Millisecond), HealthEvent(ProbeDue{name(0)}))) // no probe before the end
		is.True(slices.Contains(c.tick(time.Millisecond), HealthEvent(ProbeDue{name(0)})))
		c.h.RecordProbe(c.now, name(0), true)
		is.Equal(c.h.ConcurrencyLimit(name(0)), 1)
		c.record(0, ObservedError)
		is.Equal(c.h.ConcurrencyLimit(name(0)), 0)
	}
	c.tick(30 * time.Second)
	c.h.RecordProbe(c.now, name(0), false)
	c.tick(time.Second)
	is.Equal(c.h.ConcurrencyLimit(name(0)), 0) // a failed probe ejects again
	c.tick(29 * time.Second)
	c.h.RecordProbe(c.now, name(0), true)
	for _, want := range []int{2, 2, NoLimit} {
		c.record(0, ObservedSuccess)
		is.Equal(c.h.ConcurrencyLimit(name(0)), want)
	}
	c.repeat(3, 0, ObservedError)
	c.tick(30 * time.Second)
	for _, want := range []int{1, 2, 2, NoLimit} { // probes end the half-open phase without tasks
		c.h.RecordProbe(c.now, name(0), true)
		is.Equal(c.h.ConcurrencyLimit(name(0)), want)
		is.True(slices.Contains(c.tick(5*time.Second), HealthEvent(ProbeDue{name(0)})))
	}
}

// Guards against an ejection that doesn't reach peers, that is prolonged by its own echo, or that outlasts the owner's
// answered probe.
func TestSharedEjection(t *testing.T) {
	is := is.New(t)
	owner, other := newHealthFixture(16, true), newHealthFixture(16, false)
	other.repeat(3, 0, ObservedError)
	exchange := func(d time.Duration) {
		fromOther, fromOwner := other.h.TakeReports(other.now), owner.h.TakeReports(owner.now)
		owner.tick(d)
		other.tick(d)
		owner.h.MergeReports(owner.now, fromOther)
		other.h.MergeReports(other.now, fromOwner)
	}
	for range 9 {
		exchange(100 * time.Millisecond)
		is.Equal(owner.ejected(), 1)
	}
	exchange(100 * time.Millisecond)
	is.Equal(other.ejected(), 1) // waits for the owner's probe
	exchange(100 * time.Millisecond)
	owner.h.RecordProbe(owner.now, name(0), true)
	exchange(100 * time.Millisecond)
	is.Equal(owner.h.ConcurrencyLimit(name(0)), 1)
	is.Equal(other.h.ConcurrencyLimit(name(0)), 1)
	exchange(100 * time.Millisecond)
	is.Equal(owner.h.ConcurrencyLimit(name(0)), 1) // the echo doesn't eject again
}

// Guards against a peer's ejection that overrides an own success since then; the network path of the peer may be the
// cause.
func TestSuccessOutweighsReport(t *testing.T) {
	is := is.New(t)
	c := newHealthFixture(16, false)
	c.now = c.now.Add(2 * time.Second)
	c.record(0, ObservedSuccess)
	learn := func(i int, incarnation uint64) int {
		c.h.MergeReports(c.now, []HealthReport{{name(i), incarnation, ReportedEjected, 1, time.Second, time.Second}})
		return c.ejected()
	}
	is.Equal(learn(0, 1), 0)
	is.Equal(learn(1, 1), 1)
	is.Equal(learn(2, 9), 1) // an ejection of another incarnation
}

// Guards against withheld slots on a VM that doesn't own the endpoint which stay unusable after the owner's probe.
func TestRestoreThroughOwner(t *testing.T) {
	is := is.New(t)
	owner, other := newHealthFixture(16, true), newHealthFixture(16, false)
	other.record(0, ObservedNoResponse)
	owner.tick(5 * time.Second)
	other.tick(5 * time.Second)
	owner.h.MergeReports(owner.now, other.h.TakeReports(other.now))
	is.True(slices.Contains(owner.tick(time.Second), HealthEvent(ProbeDue{name(0)})))
	owner.h.RecordProbe(owner.now, name(0), true)
	other.tick(time.Second)
	other.h.MergeReports(other.now, owner.h.TakeReports(owner.now))
	is.True(slices.Contains(other.tick(time.Millisecond), HealthEvent(ProbeAnswered{name(0)})))
	is.Equal(len(other.h.TakeReports(other.now)), 0)
}

// Checks for any sequence of inputs that at most a third of the endpoints is ejected and that the state is
// deterministic.
func TestHealthProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(rt, "endpoints")
		a, b := newHealthFixture(n, true), newHealthFixture(n, true)
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			i := rapid.IntRange(0, n-1).Draw(rt, "endpoint")
			step := rapid.IntRange(0, 7).Draw(rt, "step")
			for _, c := range []*healthFixture{a, b} {
				switch step {
				case 0, 1, 2, 3:
					c.record(i, Observation(step))
				case 4:
					c.tick(time.Duration(i) * 300 * time.Millisecond)
				case 5, 6:
					c.h.RecordProbe(c.now, name(i), step == 5)
				case 7:
					c.h.MergeReports(c.now, []HealthReport{{Endpoint: name(i), Incarnation: 1, Phase: ReportedEjected, Level: i, Remaining: time.Second}})
				}
			}
			if a.ejected() > n/3 {
				rt.Fatalf("%d of %d endpoints are ejected", a.ejected(), n)
			}
			for j := range n {
				if a.h.ConcurrencyLimit(name(j)) != b.h.ConcurrencyLimit(name(j)) {
					rt.Fatalf("two runs over the same inputs differ at %s", name(j))
				}
			}
		}
	})
}

// Guards against reports that grow without limit when a rack of endpoints fails.
func TestReportIsBounded(t *testing.T) {
	is := is.New(t)
	c, entries := newHealthFixture(220, false), 0
	for i := range 70 {
		c.repeat(3, i, ObservedUnreachable)
	}
	is.Equal(c.ejected(), 70)
	for range 100 {
		report := c.h.TakeReports(c.now)
		is.True(len(report) <= maxReportEntries)
		entries += len(report)
		c.tick(100 * time.Millisecond)
	}
	is.True(entries >= 70*reportRepeats)
	t.Logf("%d entries in 100 reports about 70 ejected endpoints", entries)
}

func BenchmarkRecord(b *testing.B) {
	c := newHealthFixture(220, true)
	id := job.ID{Sequence: 1}
	b.ReportAllocs()
	for n := range b.N {
		c.h.Record(c.now, "executor-100", id, Observation(n%2))
	}
}

func BenchmarkHealthTick(b *testing.B) {
	c := newHealthFixture(220, true)
	for range b.N {
		c.h.Tick(c.now, nil)
	}
}

// cost simulates 16 endpoints of 8 slots under full load, the first of which fails each task after 1 ms or never
// answers. It returns the tasks lost there in the first second and in the following minute.
func cost(verdict Observation, probe bool) (lost [2]int) {
	const endpoints, slots = 16, 8
	c := newHealthFixture(endpoints, true)
	var due [endpoints][]int // end of each task in ms
	begin := c.now
	for ms := range 61_000 {
		c.now = begin.Add(time.Duration(ms) * time.Millisecond)
		for i := range due {
			for len(due[i]) > 0 && due[i][0] <= ms {
				due[i] = due[i][1:]
				if i > 0 {
					c.record(i, ObservedSuccess)
				} else {
					c.record(0, verdict)
					lost[min(ms/1000, 1)]++
				}
			}
			length := 100
			if i == 0 {
				length = map[Observation]int{ObservedError: 1, ObservedNoResponse: 1000}[verdict]
			}
			for len(due[i]) < slots && len(due[i]) < c.h.ConcurrencyLimit(name(i)) {
				due[i] = append(due[i], ms+length)
			}
		}
		if ms%10 == 0 {
			for _, action := range c.h.Tick(c.now, nil) {
				if p, ok := action.(ProbeDue); ok {
					c.h.RecordProbe(c.now, p.Endpoint, p.Endpoint != name(0) || probe)
				}
			}
		}
	}
	return lost
}

// Guards against an endpoint that fails fast and costs more than 20 tasks, or later more than 1% of its former traffic
// of 80 tasks/s.
func TestCostOfFailingEndpoint(t *testing.T) {
	is := is.New(t)
	for _, probe := range []bool{true, false} {
		bad, silent := cost(ObservedError, probe), cost(ObservedNoResponse, probe)
		t.Logf("tasks lost in the first second and in the next minute, probes answered %v: %v if it fails, %v if silent",
			probe, bad, silent)
		is.True(bad[0] <= 20 && bad[1] <= 48)
		is.True(silent[0]+silent[1] <= 20)
	}
}
