package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// burstOfWideJobs plays a calm load with two seconds of wide jobs, whose starts queue on a narrow link.
func burstOfWideJobs(f *fleet) {
	calm(f, 1)
	wide := knot
	wide.width = 24
	f.load(wide, 12, 3*time.Second, 5*time.Second)
	f.run(loadTime + 4*time.Second)
}

// Guards against time-outs that are shorter than the queue on a link of 250 KB a second: each repeats an order, and the
// repeated orders keep the queue long after the load has gone.
func TestNarrowLink(t *testing.T) {
	is := is.New(t)
	play := func(longest time.Duration, known bool) (repeated float64, o outcome) {
		f := newFleet(t, 1, 16)
		f.link = simLink{rate: 250_000, known: known}
		f.rules.MaxStartTimeout = longest
		f.newPool()
		burstOfWideJobs(f)
		began := 0
		for _, w := range f.workers {
			began += int(w.sequence) + len(w.runs)
		}
		o, _ = f.score()
		return float64(f.starts-began) / float64(began), o
	}
	fixed, out := play(DefaultRules().StartTimeout, false)
	t.Logf("without patience: %.3f of the starts were repeated, %s", fixed, out)
	adapted, o := play(DefaultRules().MaxStartTimeout, true)
	t.Logf("with patience: %.3f of the starts were repeated, %s", adapted, o)
	is.True(fixed > 0.1) // the load shows the failure
	is.True(adapted < 0.05)
	is.True(o.worth() > out.worth())
}

// Guards against sound runs that are started again elsewhere, and sound workers that are barred, since orders and lists are
// slow to cross a full link.
func TestSlowListsMoveNoRun(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 16)
	f.link = simLink{rate: 250_000, known: true}
	f.newPool()
	burstOfWideJobs(f)
	moved := 0
	for _, n := range f.notes {
		if n.Event == "run-moved" || n.Event == "worker-barred" {
			moved++
			t.Logf("%v %+v", n.at, n.LogEvent)
		}
	}
	is.Equal(moved, 0)
}

// Guards against a pool that waits long for the workers that answer since one worker does not.
func TestSilentWorkerKeepsTimeoutsShort(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 16)
	f.workers["w03"].dark = true
	calm(f, 1)
	f.run(6 * time.Second)
	is.True(f.pool.(*Scheduler).timeout() < 2*DefaultRules().StartTimeout)
}

// Guards against holds that wait so long for an end that the lease lapses before a second try is answered.
func TestHoldWaitLeavesTimeForTwoTries(t *testing.T) {
	is := is.New(t)
	p := New(Config{Fence: 1, Rules: DefaultRules()})
	for range 50 {
		p.patience.observe(400 * time.Millisecond)
	}
	is.Equal(p.timeout(), p.rules.MaxStartTimeout)
	n := newNode(newFleet(t, 1, 1).workers["w00"].Worker)
	is.True(p.holdWait(n)+2*p.holdSlack() < p.rules.LeaseDuration)
}

// Guards against jobs that are longer than declared: their tasks were started again and their sound workers barred, as all
// four of one job on brunnvakt-sthlm quiet-1.
func TestLongJobIsNotMoved(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 12)
	f.run(20 * time.Millisecond)
	simSequence++
	w := job.Work{ID: "00000000000000aa", Spec: "s", Steps: []job.Step{{Count: 4, Estimate: 100 * time.Millisecond, Need: worker.Resources{MilliCores: 60000}}}}
	key := SubmissionKey{Sequence: simSequence}
	f.submitWork(key, w, grain, time.Second, false, Progress{})
	f.run(4 * time.Second)
	_, completed := f.verdicts[key].(Completed)
	is.True(completed)
	for _, n := range f.notes {
		is.True(n.Event != "run-moved")
	}
}
