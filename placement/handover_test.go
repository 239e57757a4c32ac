package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// Guards against a second run of a task when a group changes its holder twice in quick succession: the second holder
// had not yet learned of the run and reported to its successor that the task had never started (TWICE in a hunt on
// kuusepuu-blanks-grown, stops-under-load, seed 352990831846).
func TestTwoHolderChangesInQuickSuccession(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 2)
	sg.run(20 * time.Millisecond)
	first := sg.submitOneTask("00000000000000aa", 1500*time.Millisecond, false)
	sg.run(300 * time.Millisecond)
	for _, w := range sg.workers {
		w.unreachable = len(w.runs) > 0 // the run continues until its lease expires
	}
	j := sg.jobs[first]
	delete(sg.jobs, first)
	h := &history{simGroup: sg}
	sg.replaceScheduler()
	h.resubmit(j, Progress{})
	second := h.withoutVerdict()[0]
	sg.run(310 * time.Millisecond)
	sg.step(sg.scheduler, HandOver{})
	handedOver, ok := sg.verdicts[second].(HandedOver)
	is.True(ok)
	delete(sg.jobs, second)
	sg.replaceScheduler()
	h.resubmit(j, handedOver.Progress)
	sg.run(5 * time.Second) // simGroup fails the test if a task runs twice at a time
	last := sg.jobs[SubmissionKey{Sequence: simSequence}]
	is.True(!last.ended.IsZero())
}

// Guards against a task that the third holder starts beside the run of the second one, which was lost: the first holder
// had reported that the task was queued.
func TestThirdHolderStartsATaskOfTheLostSecond(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 3) // room for four tasks
	h := &history{simGroup: sg}
	sg.run(20 * time.Millisecond)
	for _, id := range []string{"00000000000000b1", "00000000000000b2", "00000000000000b3"} {
		sg.submitOneTask(id, 300*time.Millisecond, false)
	}
	simSequence++
	w := job.Work{ID: "00000000000000aa", Steps: []job.Step{{Count: 2, Estimate: time.Second, Need: worker.Resources{MilliCores: 40000}}}}
	key := SubmissionKey{Sequence: simSequence}
	sg.submitWork(key, w, grain, 1500*time.Millisecond, false, Progress{})
	j := sg.jobs[key]
	sg.run(100 * time.Millisecond)
	sg.step(sg.scheduler, HandOver{})
	progress := sg.verdicts[key].(HandedOver).Progress // the first task runs, the second one is queued
	sg.replaceScheduler()                              // it stops the runs of the other jobs, which are not resumed
	h.resubmit(j, progress)
	sg.run(600 * time.Millisecond)
	for _, w := range sg.workers {
		w.unreachable = w.runs["00000000000000aa.0.0.1"] != nil
	}
	is.Equal(sg.alive["00000000000000aa.0.0.1"], 1)
	sg.replaceScheduler()
	h.resubmit(j, progress.WithUnknownRuns())
	sg.run(5 * time.Second) // simGroup fails the test if a task runs twice at a time
	is.True(!sg.jobs[SubmissionKey{Sequence: simSequence}].ended.IsZero())
}

// Guards against a second run of a task of a later step: when the next holder learns that the earlier step is done, the
// worker of that task may still be unreachable.
func TestNextHolderStartsALaterStepAgain(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 2)
	h := &history{simGroup: sg}
	sg.run(20 * time.Millisecond)
	simSequence++
	w := job.Work{ID: "00000000000000aa", Steps: []job.Step{
		{Count: 1, Estimate: 100 * time.Millisecond, Need: worker.Resources{MilliCores: 40000}},
		{Count: 1, Estimate: 100 * time.Millisecond, Need: worker.Resources{MilliCores: 40000}, After: []int{0}},
	}}
	key := SubmissionKey{Sequence: simSequence}
	sg.submitWork(key, w, grain, 100*time.Millisecond, false, Progress{})
	sg.run(100 * time.Millisecond)
	setProgress := func(none bool) {
		for _, w := range sg.workers {
			w.noProgress = none
		}
	}
	setProgress(true) // the run of the second step lasts until the lease expires
	sg.run(200 * time.Millisecond)
	is.Equal(sg.alive["00000000000000aa.0.1.0"], 1)
	setProgress(false)
	for _, w := range sg.workers {
		w.unreachable = len(w.runs) > 0
	}
	j := sg.jobs[key]
	delete(sg.jobs, key)
	sg.replaceScheduler()
	h.resubmit(j, Progress{})
	sg.run(5 * time.Second) // simGroup fails the test if a task runs twice at a time
	is.True(!sg.jobs[SubmissionKey{Sequence: simSequence}].ended.IsZero())
}

// Guards against a task that the next holder starts while the lost one, which may still act for other VMs' jobs, keeps the
// lease of a worker that only it can reach.
func TestNextHolderStartsWhileLostHolderMayAct(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 2)
	h := &history{simGroup: sg}
	sg.workers["w00"].unreachable = true
	w := job.Work{ID: "00000000000000aa", Steps: []job.Step{{Count: 1, Estimate: time.Second, Need: worker.Resources{MilliCores: 40000}}}}
	j := &simJob{work: w, policy: job.Policy{Route: "caller", Service: "cue", Stretch: 4, Target: time.Second}, length: time.Second}
	sg.knownJobs[w.ID] = j
	h.resubmit(j, Progress{})
	sg.run(1250 * time.Millisecond) // the permit of the lost holder and the lease that outlasts it: 1.15 s and their errors
	is.Equal(sg.alive["00000000000000aa.0.0.0"], 0)
	sg.run(1400 * time.Millisecond)
	is.Equal(sg.alive["00000000000000aa.0.0.0"], 1)
}

// Guards against a job that is answered as failed too early: its former holder has counted a failed run that the next one has read as
// running.
func TestFailureIsCountedOnceAcrossHandOver(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 40, 1)
	sg.run(20 * time.Millisecond)
	once := quote
	once.attempts, once.width, once.length = 2, 1, 300*time.Millisecond
	key := sg.submit(once)
	j := sg.jobs[key]
	task := job.TaskName(j.work.ID, 0, 0)
	w := sg.workers["w00"]
	sg.run(100 * time.Millisecond)
	is.True(w.runs[task] != nil)
	sg.replaceScheduler()
	sg.run(102 * time.Millisecond) // the next holder has read the worker
	sg.endRun(w, task, worker.Failed)
	delete(sg.jobs, key)
	again := SubmissionKey{Sequence: key.Sequence + 1_000_000}
	sg.submitWork(again, j.work, once, 50*time.Millisecond, true, Progress{
		Done: [][]bool{{false}}, Failed: [][]int{{1}}, Counted: [][]int{{1}}, FailedRuns: [][][]int{{{1}}}, Runs: [][]int{{1}}, On: [][]string{{""}}, Checkpoints: [][]string{{""}},
	})
	sg.run(3 * time.Second)
	_, completed := sg.verdicts[again].(Completed)
	is.True(completed)
}
