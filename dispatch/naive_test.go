package dispatch

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphireplank.example/samphireplank/endpoint"
	"samphireplank.example/samphireplank/job"
)

// naiveTask is a task with the results of its attempts and the time at which the current one ends.
type naiveTask struct {
	results  []endpoint.Result
	runTime  time.Duration
	made     int
	maybeRan bool // the last attempt that reached an endpoint gave no answer
	ends     time.Duration
}

// start starts the next attempt; a refusal takes only the round trip to the endpoint.
func (n *naiveTask) start(now time.Duration) {
	n.ends = now + 2*linkDelay
	if result := n.results[0]; result != endpoint.Refused && result != endpoint.NotSent {
		n.ends += n.runTime
	}
}

// naiveOutcome returns the outcome of a job that is alone on endpoints with enough slots, according to the design. It
// processes the ends of the attempts in order; a cancellation at 0 means none.
func naiveOutcome(idempotent bool, attempts int, tasks []*naiveTask, cancelled time.Duration) job.Outcome {
	outcome := job.Complete
	for _, task := range tasks {
		task.start(0)
	}
	for len(tasks) > 0 {
		next := slices.MinFunc(tasks, func(a, b *naiveTask) int { return int(a.ends - b.ends) })
		if cancelled > 0 && cancelled < next.ends {
			return job.Unknown // a task is in flight
		}
		result := next.results[0]
		if len(next.results) > 1 {
			next.results = next.results[1:]
		}
		again := result == endpoint.Refused || result == endpoint.NotSent
		if !again {
			next.made++
			next.maybeRan = result == endpoint.Unknown
			again = (result == endpoint.Failed || result == endpoint.Unknown) && idempotent && next.made < attempts
		}
		if again && outcome == job.Complete {
			next.start(next.ends)
			continue
		}
		switch {
		case next.maybeRan:
			outcome = job.Unknown
		case (result == endpoint.Failed || result == endpoint.Rejected) && outcome == job.Complete:
			outcome = job.Failed
		}
		tasks = slices.DeleteFunc(tasks, func(task *naiveTask) bool { return task == next })
	}
	return outcome
}

// Guards against outcomes that differ from the rules of the design, on a single core without link or VM faults.
func TestOutcomesMatchTheNaiveOnes(t *testing.T) {
	results := []endpoint.Result{
		endpoint.Succeeded, endpoint.Succeeded, endpoint.Succeeded, endpoint.Failed, endpoint.Rejected, endpoint.Refused,
		endpoint.NotSent, endpoint.Unknown,
	}
	rapid.Check(t, func(rt *rapid.T) {
		z := newTestZone(t, rapid.Uint64().Draw(rt, "seed"), 1, 8)
		kind := z.kind(rapid.SampledFrom([]string{"quote", "scan"}).Draw(rt, "kind"))
		var naive []*naiveTask
		var left [][]endpoint.Result
		// With four tasks the retries stay within the budget. The run times differ so that no two attempts end together.
		for i := range rapid.IntRange(1, 4).Draw(rt, "tasks") {
			drawn := rapid.SliceOfN(rapid.SampledFrom(results), 1, 4).Draw(rt, "results")
			drawn = append(drawn, endpoint.Succeeded)
			naive = append(naive, &naiveTask{results: drawn, runTime: 10*time.Millisecond + time.Duration(i)*130*time.Microsecond})
			left = append(left, drawn)
		}
		z.setAnswers(func(s *StartTask) answer {
			result := left[s.Task][0]
			left[s.Task] = left[s.Task][1:]
			return answer{result, naive[s.Task].runTime}
		})
		cancelled := time.Duration(rapid.SampledFrom([]int{0, 0, 1, 11, 23}).Draw(rt, "cancelled")) * 1003 * time.Microsecond
		id := z.submit(z.vms[0], kind.Name, "birch", len(naive), 4*time.Second)
		if cancelled > 0 {
			z.after(cancelled, func() { z.deliver(z.vms[0], Cancel{Job: id}) })
		}
		want := naiveOutcome(kind.Idempotent, kind.MaxAttempts, slices.Clone(naive), cancelled)
		z.run(2 * time.Second)
		z.checkEnd()
		if got := z.jobs[id]; got.outcome != want {
			rt.Errorf("%v (%s), want %v", got.outcome, got.reason, want)
		}
		for _, failure := range z.failures {
			rt.Errorf("%s", failure)
		}
	})
}
