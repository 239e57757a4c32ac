package dispatch

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/endpoint"
	"samphireplank.example/samphireplank/job"
)

// setAnswers sets the behaviour of every endpoint of a zone.
func (z *testZone) setAnswers(answers func(*StartTask) answer) {
	for _, e := range z.endpoints {
		e.answers = answers
	}
}

func always(result endpoint.Result, runTime time.Duration) func(*StartTask) answer {
	return func(*StartTask) answer { return answer{result, runTime} }
}

// drainAndCheck lets all sends end and reports violated invariants.
func (z *testZone) drainAndCheck() {
	z.t.Helper()
	z.run(35 * time.Second)
	z.checkEnd()
	if len(z.failures) > 0 {
		z.t.Fatal(strings.Join(z.failures, "\n"))
	}
}

// executions counts the tasks of a job that endpoints have run.
func (z *testZone) executions(id job.ID) int {
	sum := 0
	for _, task := range z.jobs[id].tasks {
		sum += task.executed
	}
	return sum
}

// Guards against a failed job that continues to start its remaining tasks, and against an answer before its running
// tasks have ended.
func TestFailedJobStartsNoFurtherTask(t *testing.T) {
	for _, result := range []endpoint.Result{endpoint.Failed, endpoint.Rejected, endpoint.Unknown} {
		t.Run(result.String(), func(t *testing.T) {
			is := is.New(t)
			z := newTestZone(t, 1, 1, 1)
			z.setAnswers(func(s *StartTask) answer {
				if s.Task == 0 {
					return answer{result, 10 * time.Millisecond}
				}
				return answer{endpoint.Succeeded, 300 * time.Millisecond}
			})
			id := z.submit(z.vms[0], "scan", "birch", 150, 10*time.Second)
			z.run(150 * time.Millisecond)
			is.Equal(z.executions(id), 8)
			is.Equal(z.jobs[id].finished, false) // 7 tasks are running
			z.drainAndCheck()
			want := job.Failed
			if result == endpoint.Unknown {
				want = job.Unknown
			}
			is.Equal(z.jobs[id].outcome, want)
		})
	}
}

// Guards against a failed job that is answered only when its last running task ends, up to 15 s after its deadline.
func TestFailedJobIsAnsweredAtItsDeadline(t *testing.T) {
	is := is.New(t)
	z := newTestZone(t, 1, 1, 1)
	z.setAnswers(func(s *StartTask) answer {
		if s.Task == 0 {
			return answer{endpoint.Failed, 10 * time.Millisecond}
		}
		return answer{endpoint.Succeeded, 900 * time.Millisecond}
	})
	id := z.submit(z.vms[0], "scan", "birch", 8, 200*time.Millisecond)
	z.run(200*time.Millisecond + TickInterval)
	is.Equal(z.jobs[id].finished, true)
	is.Equal(z.jobs[id].outcome, job.Unknown)
	z.drainAndCheck()
}

// Guards against cancelled jobs that run, and against answers that depend on the number of cancellations.
func TestCancelledWaveIsNotRun(t *testing.T) {
	is := is.New(t)
	z := newTestZone(t, 1, 1, 16)
	running := z.submit(z.vms[0], "scan", "juniper", 128, 10*time.Second)
	var wave []job.ID
	for range 10_000 {
		wave = append(wave, z.submit(z.vms[0], "sort", "birch", 1, 30*time.Second))
	}
	for _, id := range wave {
		is.Equal(z.jobs[id].finished, false)
		z.deliver(z.vms[0], Cancel{Job: id})
		is.Equal(z.jobs[id].outcome, job.NotRun)
	}
	z.drainAndCheck()
	for _, id := range wave {
		is.Equal(z.executions(id), 0)
	}
	is.Equal(z.jobs[running].outcome, job.Complete)
}

// Guards against the use of a slot on which a task may still run.
func TestUnknownWithholdsTheSlotUntilAProbe(t *testing.T) {
	is := is.New(t)
	z := newTestZone(t, 1, 1, 1)
	z.setAnswers(always(endpoint.Unknown, time.Minute))
	z.submit(z.vms[0], "scan", "birch", 3, 100*time.Millisecond)
	z.run(100 * time.Millisecond)
	z.endpoints[0].stopped = true
	z.run(1400 * time.Millisecond) // beyond the deadline and the least time for late answers
	counts := z.vms[0].core.pool.Counts()
	is.Equal(counts.Withheld, 3)
	is.Equal(counts.Idle, 5)
	z.endpoints[0].stopped = false
	z.run(1100 * time.Millisecond) // the next probe
	counts = z.vms[0].core.pool.Counts()
	is.Equal(counts.Withheld, 0)
	is.Equal(counts.Idle, 8)
	z.drainAndCheck()
}

// Guards against withheld slots that are used after a time without an answered probe, or never again.
func TestWithheldSlotsStayWithoutAProbe(t *testing.T) {
	is := is.New(t)
	z := newTestZone(t, 1, 1, 1)
	z.setAnswers(always(endpoint.Unknown, time.Minute))
	z.submit(z.vms[0], "scan", "birch", 3, 100*time.Millisecond)
	z.run(100 * time.Millisecond)
	z.endpoints[0].stopped = true
	z.run(10 * time.Second)
	is.Equal(z.vms[0].core.pool.Counts().Withheld, 3)
	z.endpoints[0].stopped = false
	z.run(35 * time.Second)
	is.Equal(z.vms[0].core.pool.Counts().Withheld, 0)
}

// Guards against retries beyond the attempts of a kind.
func TestRetriesStayWithinAttempts(t *testing.T) {
	for kind, attempts := range map[string]int{"quote": 3, "scan": 1} {
		for _, result := range []endpoint.Result{endpoint.Failed, endpoint.Unknown} {
			t.Run(kind+" "+result.String(), func(t *testing.T) {
				is := is.New(t)
				z := newTestZone(t, 1, 1, 4)
				z.setAnswers(always(result, time.Millisecond))
				id := z.submit(z.vms[0], kind, "birch", 1, 5*time.Second)
				z.drainAndCheck()
				is.Equal(z.executions(id), attempts)
			})
		}
	}
}

// Guards against the outcome Failed for a job with a task that may have run and waits for its retry.
func TestJobWithAnUnclearTaskIsUnknown(t *testing.T) {
	for _, cancel := range []bool{false, true} {
		is := is.New(t)
		z := newTestZone(t, 1, 1, 1)
		z.setAnswers(always(endpoint.Unknown, 10*time.Millisecond))
		id := z.submit(z.vms[0], "quote", "birch", 1, 500*time.Millisecond)
		z.run(5 * time.Millisecond)
		z.setAnswers(always(endpoint.Refused, 0)) // the retry
		z.run(95 * time.Millisecond)
		if cancel {
			z.deliver(z.vms[0], Cancel{Job: id})
		}
		z.drainAndCheck()
		is.Equal(z.jobs[id].outcome, job.Unknown)
	}
}

// Guards against a second start of tasks whose id is submitted again while the job is running, queued or answered with
// tasks in flight.
func TestDuplicateSubmissionStartsNothing(t *testing.T) {
	for _, cancel := range []bool{false, true} {
		is := is.New(t)
		z := newTestZone(t, 1, 1, 1)
		id := z.submit(z.vms[0], "scan", "birch", 4, 5*time.Second)
		if cancel {
			z.deliver(z.vms[0], Cancel{Job: id})
		}
		first := z.first
		out := z.vms[0].core.Update(z.now, Submit{Job: id, Kind: "scan", Team: "birch", Tasks: 4, Deadline: z.now.Add(time.Second)}, nil)
		is.Equal(len(out), 1)
		is.Equal(out[0].(FinishJob).Outcome, job.Unknown)
		is.Equal(z.first, first)
		z.drainAndCheck()
	}
}

// Guards against a kind that is refused forever after its tasks have once run for longer than its deadline.
func TestSlowKindIsAdmittedAgain(t *testing.T) {
	is := is.New(t)
	z := newTestZone(t, 1, 1, 4)
	z.setAnswers(always(endpoint.Succeeded, 900*time.Millisecond))
	for range 40 {
		z.submit(z.vms[0], "scan", "birch", 1, 200*time.Millisecond)
		z.run(100 * time.Millisecond)
	}
	z.setAnswers(nil)
	admitted := 0
	for range 200 {
		id := z.submit(z.vms[0], "scan", "birch", 1, 200*time.Millisecond)
		z.run(100 * time.Millisecond)
		if z.jobs[id].outcome == job.Complete {
			admitted++
		}
	}
	t.Logf("%d of 200 jobs complete, expected run time %v", admitted, z.vms[0].core.estimates.RunTime("scan"))
	is.True(admitted >= 100)
	z.drainAndCheck()
}

// Guards against refusals that add to the retry budget: a refused start is not an attempt.
func TestRefusalsDoNotPayForRetries(t *testing.T) {
	is := is.New(t)
	z := newTestZone(t, 1, 1, 4)
	z.setAnswers(func(*StartTask) answer {
		if z.now.Sub(start) < 2*time.Second {
			return answer{endpoint.Refused, 0}
		}
		return answer{endpoint.Failed, time.Millisecond}
	})
	for range 40 {
		z.submit(z.vms[0], "quote", "birch", 1, 20*time.Second)
	}
	z.drainAndCheck()
	is.True(z.first == 40)
	is.True(z.retries <= 10+4+35)
}

// Guards against jobs that are queued although they can't run in time, and against refusals without a reason or a
// retry-after time.
func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name, kind, team string
		tasks            int
		deadline         time.Duration
		prepare          func(z *testZone)
		reason           string
		retry            bool
	}{
		{name: "kind", kind: "saw", team: "birch", tasks: 1, reason: `kind "saw" does not exist`},
		{name: "team", kind: "scan", team: "elm", tasks: 1, reason: `team "elm" does not exist`},
		{name: "none", kind: "scan", team: "birch", tasks: 0, reason: "takes 1 to 150 tasks, not 0"},
		{name: "tasks", kind: "scan", team: "birch", tasks: 151, reason: "takes 1 to 150 tasks, not 151"},
		{name: "endpoints", kind: "scan", team: "birch", tasks: 1, reason: "no endpoint of service", retry: true, prepare: func(z *testZone) {
			z.endpoints[0].listed = false
			z.inform(0)
		}},
		{name: "queue", kind: "scan", team: "birch", tasks: 150, reason: "is full", retry: true, prepare: func(z *testZone) {
			z.set.Priorities[1].MaxQueued = 100
			z.deliver(z.vms[0], ConfigurationChanged{Set: z.set})
		}},
		{
			name: "run time", kind: "scan", team: "birch", tasks: 1, deadline: 10 * time.Millisecond, retry: true,
			reason: "the expected response time of up to 50ms exceeds the 10ms left",
		},
		{name: "wait", kind: "scan", team: "birch", tasks: 1, deadline: time.Second, reason: "exceeds", retry: true, prepare: func(z *testZone) {
			for range 10 {
				z.submit(z.vms[0], "scan", "birch", 100, 20*time.Second)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			z := newTestZone(t, 1, 1, 1)
			if c.prepare != nil {
				c.prepare(z)
			}
			if c.deadline == 0 {
				c.deadline = 10 * time.Second
			}
			id := z.submit(z.vms[0], c.kind, c.team, c.tasks, c.deadline)
			is.Equal(z.jobs[id].finished, true) // without a message or a tick in between
			is.Equal(z.jobs[id].outcome, job.NotRun)
			is.True(strings.Contains(z.jobs[id].reason, c.reason))
			is.Equal(z.jobs[id].wait > 0, c.retry)
			z.drainAndCheck()
		})
	}
}

// Guards against a large job that is refused, or dropped from the queue, on a VM that had no demand before: the VM's
// fair share is then one slot, and the job would seem to need 150 run times.
func TestLargeJobOnAVMWithoutDemand(t *testing.T) {
	is := is.New(t)
	z := newTestZone(t, 1, 3, 16)
	for range 60 {
		z.submit(z.vms[0], "scan", "birch", 1, 20*time.Second)
	}
	z.run(200 * time.Millisecond)
	id := z.submit(z.vms[2], "scan", "birch", 150, 2*time.Second)
	z.run(2 * time.Second)
	is.Equal(z.jobs[id].outcome, job.Complete)
	z.drainAndCheck()
}
