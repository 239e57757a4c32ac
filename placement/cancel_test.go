package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a cancelled best-effort job that goes on because its cancellation reached another VM than its submission, and against one
// that starts again when its VM submits it to the next holder.
func TestCancelledBestEffortJobStops(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 31, 2)
	sg.run(20 * time.Millisecond)
	const id = "00000000000000ab"
	first := sg.submitOneTask(id, 5*time.Second, false)
	sg.run(100 * time.Millisecond)
	is.True(sg.scheduler.(*Scheduler).HasStarted(id))
	sg.step(sg.scheduler, CancelBestEffort{Job: id})
	is.Equal(sg.verdicts[first], Cancelled{})
	sg.run(time.Second)
	n, _ := sg.runningTasks(id)
	is.Equal(n, 0)
	resumed := sg.submitOneTask(id, 5*time.Second, true)
	again := sg.submitOneTask(id, 5*time.Second, false)
	is.Equal(sg.verdicts[resumed], Cancelled{})
	is.Equal(sg.verdicts[again], Cancelled{}) // an earlier submission has run
	sg.run(2 * time.Second)
	n, _ = sg.runningTasks(id)
	is.Equal(n, 0)
	sg.run(3*time.Second + cancelMemory)
	is.Equal(len(sg.scheduler.(*Scheduler).cancelledJobs), 0)
}

// Guards against a cancelled best-effort job that waits for room and is said to have run.
func TestCancelledBestEffortJobThatWaitsHasNotRun(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 32, 1)
	sg.run(20 * time.Millisecond)
	sg.submitOver(1, 0, "00000000000000a1", false)
	const id = "00000000000000ab"
	key := sg.submitOver(1, 0, id, false)
	sg.run(100 * time.Millisecond)
	is.True(!sg.scheduler.(*Scheduler).HasStarted(id))
	sg.step(sg.scheduler, CancelBestEffort{Job: id})
	is.Equal(sg.verdicts[key], NotRun{Reason: ReasonCancelled, RetryAfter: sg.rules.MaxRetryAfter})
}
