package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// submitWideJobs plays the usual load with two seconds of wide jobs, whose starts queue on a narrow link.
func submitWideJobs(sg *simGroup) {
	usualLoad(sg, 1)
	wide := knot
	wide.width = 24
	sg.submitAtRate(wide, 12, 3*time.Second, 5*time.Second)
	sg.run(loadDuration + 4*time.Second)
}

// Guards against timeouts that are shorter than the queueing delay of a link of 250 KB a second: each repeats an order,
// and the repeated orders keep the queue long after the load has ended.
func TestNarrowLink(t *testing.T) {
	is := is.New(t)
	runLoad := func(maxStartTimeout time.Duration, timeoutAfterSend bool) (repeated float64, o loadResult) {
		sg := newSimGroup(t, 1, 16)
		sg.link = simLink{rate: 250_000, timeoutAfterSend: timeoutAfterSend}
		sg.rules.MaxStartTimeout = maxStartTimeout
		sg.replaceScheduler()
		submitWideJobs(sg)
		started := 0
		for _, w := range sg.workers {
			started += int(w.sequence) + len(w.runs)
		}
		o, _ = sg.results()
		return float64(sg.starts-started) / float64(started), o
	}
	fixed, out := runLoad(DefaultRules().StartTimeout, false)
	t.Logf("with fixed timeouts: %.3f of the starts were repeated, %s", fixed, out)
	adapted, o := runLoad(DefaultRules().MaxStartTimeout, true)
	t.Logf("with adaptive timeouts: %.3f of the starts were repeated, %s", adapted, o)
	is.True(fixed > 0.1) // the load causes the fault that the test guards against
	is.True(adapted < 0.05)
	is.True(o.worthRatio() > out.worthRatio())
}

// Guards against healthy runs that are moved, and healthy workers that are ejected, because orders and lists are
// delayed on a saturated link.
func TestDelayedReportsMoveNoRun(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 16)
	sg.link = simLink{rate: 250_000, timeoutAfterSend: true}
	sg.replaceScheduler()
	submitWideJobs(sg)
	moved := 0
	for _, n := range sg.logs {
		if n.Event == "run-moved" || n.Event == "worker-barred" {
			moved++
			t.Logf("%v %+v", n.at, n.LogEvent)
		}
	}
	is.Equal(moved, 0)
}

// Guards against longer timeouts for all workers because one does not respond.
func TestUnreachableWorkerKeepsTimeoutsShort(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 16)
	sg.workers["w03"].unreachable = true
	usualLoad(sg, 1)
	sg.run(6 * time.Second)
	is.True(sg.scheduler.(*Scheduler).orderTimeout() < 2*DefaultRules().StartTimeout)
}

// Guards against polls that wait so long that the lease expires before a second try is answered.
func TestPollWaitLeavesTimeForTwoTries(t *testing.T) {
	is := is.New(t)
	p := New(Config{Fence: 1, Rules: DefaultRules()})
	for range 50 {
		p.startRTT.observe(400 * time.Millisecond)
	}
	is.Equal(p.orderTimeout(), p.rules.MaxStartTimeout)
	n := newWorkerState(newSimGroup(t, 1, 1).workers["w00"].Worker)
	is.True(p.pollWait(n)+2*p.adaptivePollMargin() < p.rules.LeaseDuration)
}

// Guards against moving tasks that take longer than declared and ejecting their healthy workers, as happened to all
// four tasks of a job on brunnvakt-sthlm quiet-1.
func TestLongJobIsNotMoved(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 12)
	sg.run(20 * time.Millisecond)
	simSequence++
	w := job.Work{ID: "00000000000000aa", Spec: "s", Steps: []job.Step{{Count: 4, Estimate: 100 * time.Millisecond, Need: worker.Resources{MilliCores: 60000}}}}
	key := SubmissionKey{Sequence: simSequence}
	sg.submitWork(key, w, grain, time.Second, false, Progress{})
	sg.run(4 * time.Second)
	_, completed := sg.verdicts[key].(Completed)
	is.True(completed)
	for _, n := range sg.logs {
		is.True(n.Event != "run-moved")
	}
}
