package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// Guards against a job that has finished some of its tasks and, once late, waits behind a continuous flow of jobs that
// can be on time, until its finished tasks are wasted.
func TestStartedJobKeepsItsTurn(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 1)
	sg.workers["w00"].slowdown = 1
	class := jobClass{route: "flow", cores: 27000, attempts: 2}
	submit := func(tasks int, estimate, length time.Duration) SubmissionKey {
		simSequence++
		key := SubmissionKey{Sequence: simSequence}
		w := job.Work{ID: fmt.Sprintf("%016x", simSequence), Spec: "s", BestEffort: true}
		w.Steps = []job.Step{{Count: tasks, Estimate: estimate, Need: worker.Resources{MilliCores: class.cores, MemoryMiB: 64}}}
		sg.submitWork(key, w, class, length, false, Progress{})
		return key
	}
	sg.run(100 * time.Millisecond)
	wide := submit(6, 60*time.Millisecond, 100*time.Millisecond) // two tasks at a time, and longer than declared
	for at := 20 * time.Millisecond; at < 3*time.Second; at += 10 * time.Millisecond {
		sg.after(at, func() { submit(1, 300*time.Millisecond, 300*time.Millisecond) })
	}
	sg.run(4 * time.Second)
	j := sg.jobs[wide]
	is.Equal(sg.verdicts[wide], Completed{})
	is.True(j.ended.Sub(j.sent) <= maxLateFactor*j.targetEnd.Sub(j.sent))
}
