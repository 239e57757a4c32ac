package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"samphireplank.example/samphireplank/contract"
)

var start = time.Unix(1_700_000_000, 0)

func newTestEstimates(declared time.Duration) *RunTimeEstimator {
	e := NewRunTimeEstimator()
	e.Configure([]contract.Kind{{Name: "scan", RunTime: declared}})
	return e
}

// Guards against averages that keep a wrong declared run time or follow a lasting change too slowly.
func TestEstimatesFollowLastingChanges(t *testing.T) {
	for _, factor := range []float64{0.05, 0.1, 0.5, 2, 10, 50} {
		is := is.New(t)
		e := newTestEstimates(200 * time.Millisecond)
		actual := time.Duration(factor * float64(200*time.Millisecond))
		for range 60 {
			e.Observe("scan", actual)
		}
		is.True(math.Abs(e.RunTime("scan").Seconds()/actual.Seconds()-1) < 0.25) // within a quarter after 60 tasks
		for range 500 {
			e.Observe("scan", actual)
		}
		back := 0
		for ; math.Abs(e.RunTime("scan").Seconds()/0.2-1) > 0.25; back++ {
			e.Observe("scan", 200*time.Millisecond)
		}
		is.True(back < 100) // and back to the declared time
	}
}

// Guards against single outliers that make admission refuse jobs.
func TestEstimatesCutOutliers(t *testing.T) {
	is := is.New(t)
	e := newTestEstimates(200 * time.Millisecond)
	for range 50 {
		e.Observe("scan", 200*time.Millisecond)
	}
	e.Observe("scan", time.Minute)
	is.True(e.RunTime("scan") <= 225*time.Millisecond)
	e.Observe("other", time.Second)
	is.Equal(e.RunTime("other"), time.Duration(0))
}

// Guards against an estimate that ignores the long tasks of a kind with one long task among twenty.
func TestEstimatesCountRecurringLongTasks(t *testing.T) {
	is := is.New(t)
	e := newTestEstimates(200 * time.Millisecond)
	random, sum := rand.New(rand.NewPCG(1, 2)), 0.0
	const tasks = 20_000
	for range tasks {
		observed := 100 * time.Millisecond
		if random.IntN(20) == 0 {
			observed = 3 * time.Second
		}
		e.Observe("scan", observed)
		sum += e.RunTime("scan").Seconds()
	}
	is.True(math.Abs(sum/tasks/0.245-1) < 0.2)
}

// Guards against a change of configuration that discards observations, or keeps them for a kind whose declared run time
// changed.
func TestEstimatesConfigure(t *testing.T) {
	is := is.New(t)
	e := newTestEstimates(200 * time.Millisecond)
	for range 50 {
		e.Observe("scan", 400*time.Millisecond)
	}
	learned := e.RunTime("scan")
	e.Configure([]contract.Kind{{Name: "scan", RunTime: 200 * time.Millisecond}})
	is.Equal(e.RunTime("scan"), learned)
	e.Configure([]contract.Kind{{Name: "scan", RunTime: 300 * time.Millisecond}})
	is.Equal(e.RunTime("scan"), 300*time.Millisecond)
}

// simulate runs equal tasks in order over busy slots, which become free evenly spread over one run time, and returns
// the start of the first and the end of the last task of the job.
func simulate(l QueueSnapshot) (first, last float64) {
	slots := make([]float64, int(l.FairShare))
	for i := range slots {
		slots[i] = l.RunTime.Seconds() * float64(i+1) / l.FairShare
		if l.IdleSlots > 0 {
			slots[i] = 0
		}
	}
	for i := range l.TasksAhead + l.Tasks {
		at := slices.Index(slots, slices.Min(slots))
		if i == l.TasksAhead {
			first = slots[at]
		}
		slots[at] += l.RunTime.Seconds()
		last = max(last, slots[at])
	}
	return first, last
}

// Guards against estimates that differ from the simulation of equal tasks by more than one run time.
func TestExpectMatchesSimulation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := time.Duration(rapid.IntRange(50, 2000).Draw(t, "ms")) * time.Millisecond
		l := QueueSnapshot{Tasks: rapid.IntRange(1, 150).Draw(t, "tasks"), RunTime: run, MeanRunTime: run}
		l.FairShare = float64(rapid.IntRange(1, 50).Draw(t, "slots"))
		if rapid.Bool().Draw(t, "idle") {
			l.IdleSlots = int(l.FairShare)
		} else {
			l.TasksAhead = rapid.IntRange(0, 500).Draw(t, "ahead")
		}
		first, last := simulate(l)
		got := l.Estimate()
		bound := run.Seconds() * 1.0001
		if math.Abs(got.Wait.Seconds()-first) > bound || math.Abs(got.Response.Seconds()-last) > bound {
			t.Fatalf("%+v: expected %+v, simulated start %v s, end %v s", l, got, first, last)
		}
	})
}

// Guards against divisions by zero slots and retry-after times outside of their limits.
func TestExpectWithoutSlots(t *testing.T) {
	is := is.New(t)
	l := QueueSnapshot{Tasks: 1, RunTime: time.Second, MeanRunTime: time.Second, TasksAhead: 3}
	is.Equal(l.Estimate().Response, maxEstimate)
	is.Equal(l.Estimate().RetryAfter(time.Second), maxRetryAfter)
	is.Equal(l.DrainTime(1), maxRetryAfter)
	l.FairShare = 0.5
	is.Equal(l.Estimate(), ResponseEstimate{Wait: 8 * time.Second, Response: 10 * time.Second})
	is.Equal(l.Estimate().RetryAfter(9*time.Second), time.Second)
	is.Equal(l.Estimate().RetryAfter(time.Minute), minRetryAfter)
	is.Equal(l.DrainTime(2), 4*time.Second)
}

// Guards against more retries than the budget, and against a budget that never recovers.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, starts, retries := start, 0, 0
		b := NewRetryBudget(now)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			case 1:
				starts++
				b.Deposit()
			default:
				if b.TryWithdraw(now) {
					retries++
				}
			}
		}
		most := initialRetryTokens + retryRatio*float64(starts) + minRetriesPerSecond*now.Sub(start).Seconds()
		if float64(retries) > most+1e-6 {
			t.Fatalf("%d retries of at most %v", retries, most)
		}
		if !b.TryWithdraw(now.Add(time.Second)) {
			t.Fatal("no retry is allowed after a second")
		}
	})
}
