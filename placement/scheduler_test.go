package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// oneJob hands a job of one task to the pool and returns its key.
func (f *fleet) oneJob(id string, length time.Duration, resumed bool) SubmissionKey {
	simSequence++
	key := SubmissionKey{Sequence: simSequence}
	w := job.Work{ID: id, Steps: []job.Step{{Count: 1, Estimate: length, Need: worker.Resources{MilliCores: 40000}}}}
	f.submitWork(key, w, grain, length, resumed, Progress{})
	return key
}

// Guards against a plain job that is not answered as soon as it has ended.
func TestJobCompletes(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 6)
	f.run(20 * time.Millisecond)
	key := f.oneJob("00000000000000aa", 100*time.Millisecond, false)
	f.run(time.Second)
	_, completed := f.verdicts[key].(Completed)
	is.True(completed)
	took := f.jobs[key].ended.Sub(f.jobs[key].sent)
	is.True(took < 130*time.Millisecond) // 100 ms at a pace of 1.25 at most, and three hops
}

// Guards against a second run of a task whose worker falls silent: it may run until its lease has lapsed.
func TestSilentWorkerKeepsItsTaskUntilItsLeaseLapses(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 2)
	f.run(20 * time.Millisecond)
	key := f.oneJob("00000000000000aa", 1500*time.Millisecond, false)
	f.run(400 * time.Millisecond)
	for _, w := range f.workers {
		if len(w.runs) > 0 {
			w.mute = true // it hears every order, so its runs live as long as its lease is renewed
		}
	}
	f.run(5 * time.Second) // the fleet fails the test on two runs at a time
	_, completed := f.verdicts[key].(Completed)
	is.True(completed)
}

// Guards against a repeated start elsewhere while the first order may still be carried out.
func TestStartWithoutAnswer(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 4)
	f.run(20 * time.Millisecond)
	for _, w := range f.workers {
		w.late = 0.5
	}
	var keys []SubmissionKey
	for i := range 40 {
		f.workers[f.ids[i%4]].mute = i%3 == 0 // orders are carried out, and their answers lost
		keys = append(keys, f.submit(quote))
		f.run(f.now.Sub(f.start) + 150*time.Millisecond)
		f.workers[f.ids[i%4]].mute = false
	}
	f.run(30 * time.Second)
	for _, key := range keys {
		is.True(f.verdicts[key] != nil)
	}
}

// Guards against jobs that wait a whole lease for a start whose order was lost, as in incident inc-ff53: a stop that the
// worker answers makes the outcome certain.
func TestLostStartIsReplacedSoon(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 2)
	f.run(20 * time.Millisecond)
	f.workers["w00"].late, f.workers["w01"].late = 1, 1
	key := f.oneJob("00000000000000aa", 100*time.Millisecond, false)
	f.run(130 * time.Millisecond) // both tries are lost
	f.workers["w00"].late, f.workers["w01"].late = 0, 0
	f.run(3 * time.Second)
	_, completed := f.verdicts[key].(Completed)
	is.True(completed)
	is.True(f.jobs[key].ended.Sub(f.jobs[key].sent) < 600*time.Millisecond)
}

// Guards against TWICE on clt-cues trouble-2: a job that is resumed after the adoption window must wait until its run
// under the earlier holder is gone.
func TestResumedAfterAdoptionWindow(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 4)
	f.run(20 * time.Millisecond)
	f.oneJob("00000000000000aa", 900*time.Millisecond, false)
	f.run(100 * time.Millisecond)
	f.newPool()
	// The window ends and the stop is on its way when the job comes.
	f.run(100*time.Millisecond + DefaultRules().AdoptionTimeout + 53*time.Millisecond)
	key := f.oneJob("00000000000000aa", 900*time.Millisecond, true)
	f.run(6 * time.Second)
	_, completed := f.verdicts[key].(Completed)
	is.True(completed)
}

// Guards against work thrown away when a group changes its holder: runs that the entry VMs resume in time go on.
func TestHandOverAdoptsRuns(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 4)
	f.run(20 * time.Millisecond)
	f.oneJob("00000000000000aa", 900*time.Millisecond, false)
	f.run(300 * time.Millisecond)
	f.newPool()
	f.run(330 * time.Millisecond)
	key := f.oneJob("00000000000000aa", 900*time.Millisecond, true)
	f.run(3 * time.Second)
	_, completed := f.verdicts[key].(Completed)
	is.True(completed)
	is.Equal(f.wasted, time.Duration(0))
}

// Guards against TWICE on kuusepuu-blanks fresh-c301: a worker whose entry has lapsed may still run tasks of the
// earlier holder, so it is surveyed like the others.
func TestUnlistedWorkerIsSurveyed(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 2)
	f.run(20 * time.Millisecond)
	f.oneJob("00000000000000aa", 900*time.Millisecond, false)
	f.run(100 * time.Millisecond)
	var busy, other worker.Worker
	for _, w := range f.workers {
		if len(w.runs) > 0 {
			busy = w.Worker
		} else {
			other = w.Worker
		}
	}
	f.pools++
	f.pool = New(Config{Fence: f.fence(), Rules: DefaultRules()})
	f.listed, f.listedAt = WorkerList{Workers: []worker.Worker{other}, Removed: []RemovedWorker{{Worker: busy, Elapsed: time.Second}}}, f.now.Add(time.Hour)
	f.step(f.pool, f.list())
	f.tick(f.pool)
	f.run(150 * time.Millisecond)
	key := f.oneJob("00000000000000aa", 900*time.Millisecond, true)
	f.run(4 * time.Second)
	_, completed := f.verdicts[key].(Completed)
	is.True(completed)
	is.Equal(f.wasted, time.Duration(0))
}

// Guards against TWICE on kuusepuu-blanks-grown trouble-2: a VM that has just started took a group over after a zone cut
// and did not know the workers whose entries had lapsed.
func TestHolderDoesNotKnowAWorker(t *testing.T) {
	is := is.New(t)
	for _, planned := range []bool{true, false} {
		f := newFleet(t, 1, 2)
		f.run(20 * time.Millisecond)
		first := f.oneJob("00000000000000aa", 900*time.Millisecond, false)
		f.run(100 * time.Millisecond)
		var other worker.Worker
		for _, w := range f.workers {
			if len(w.runs) == 0 {
				other = w.Worker
			}
		}
		progress := Progress{}
		if planned {
			f.step(f.pool, HandOver{})
			progress = f.verdicts[first].(HandedOver).Progress
		}
		f.pools++
		f.pool = New(Config{Fence: f.fence(), Rules: DefaultRules(), IncompleteList: !planned})
		f.listed, f.listedAt = WorkerList{Workers: []worker.Worker{other}}, f.now.Add(time.Hour)
		f.step(f.pool, f.list())
		f.tick(f.pool)
		f.run(150 * time.Millisecond)
		simSequence++
		key := SubmissionKey{Sequence: simSequence}
		j := f.jobs[first]
		delete(f.jobs, first)
		f.submitWork(key, j.work, grain, j.length, true, progress)
		f.run(4 * time.Second)
		_, completed := f.verdicts[key].(Completed)
		is.True(completed)
	}
}

// Guards against a resumed task that starts again while a worker out of reach may still run it.
func TestResumedWhileWorkerIsOutOfReach(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 2)
	f.run(20 * time.Millisecond)
	f.oneJob("00000000000000aa", 1400*time.Millisecond, false)
	f.run(500 * time.Millisecond)
	for _, w := range f.workers {
		if len(w.runs) > 0 {
			w.dark = true
		}
	}
	f.newPool()
	f.run(520 * time.Millisecond)
	key := f.oneJob("00000000000000aa", 1400*time.Millisecond, true)
	f.run(5 * time.Second)
	_, completed := f.verdicts[key].(Completed)
	is.True(completed)
}

// Guards against orders of a holder that another one has replaced.
func TestFencedPoolStops(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 3)
	old := f.pool
	f.run(20 * time.Millisecond)
	first := f.oneJob("00000000000000aa", 900*time.Millisecond, false)
	f.run(50 * time.Millisecond)
	f.newPool()
	f.run(900 * time.Millisecond)
	is.True(f.fenced)
	_, moved := f.verdicts[first].(HandedOver)
	is.True(moved)
	effects := old.Update(f.now, Submit{Key: SubmissionKey{Sequence: 1 << 40}, Budget: time.Second})
	is.Equal(len(effects), 1)
	is.Equal(effects[0].(Reply).Verdict.(NotRun).Reason, ReasonHandedOver)
}

// Guards against runs that go on after their caller has left, and against a worker whose room is lost by it.
func TestWithdrawnJobIsStopped(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 3)
	f.run(20 * time.Millisecond)
	key := f.oneJob("00000000000000aa", 3*time.Second, false)
	f.run(300 * time.Millisecond)
	f.step(f.pool, Withdraw{Key: key, Reason: "test"})
	f.run(500 * time.Millisecond)
	is.Equal(f.alive["00000000000000aa.0.0.0"], 0)
	is.True(f.pool.(*Scheduler).Idle())
}

// Guards against a second run when a client sends a job again while the first submission is still being stopped.
func TestSameJobAgain(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		f := newFleet(t, seed, 3)
		f.run(20 * time.Millisecond)
		first := f.oneJob("00000000000000aa", 800*time.Millisecond, false)
		f.run(300 * time.Millisecond)
		f.step(f.pool, Withdraw{Key: first, Reason: "test"})
		f.run(305 * time.Millisecond)
		second := f.oneJob("00000000000000aa", 800*time.Millisecond, false)
		f.run(4 * time.Second)
		_, completed := f.verdicts[second].(Completed)
		is.True(completed)
	}
}

// Guards against a job that is answered as failed for any reason but failed runs, and against more runs than allowed.
func TestMaxAttempts(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 6)
	for _, w := range f.workers {
		w.failing = true
	}
	f.run(20 * time.Millisecond)
	key := f.oneJob("00000000000000aa", 50*time.Millisecond, false)
	f.run(8 * time.Second)
	_, failed := f.verdicts[key].(Failed)
	is.True(failed)
	runs := 0
	for _, w := range f.workers {
		runs += int(w.sequence)
	}
	is.Equal(runs, grain.attempts)
}

// Guards against a worker that makes no progress and holds its jobs to the end.
func TestStuckWorkerLosesItsTasks(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 6)
	f.workers["w02"].stuck = true
	f.run(20 * time.Millisecond)
	for range 60 {
		f.submit(grain)
		f.run(f.now.Sub(f.start) + 400*time.Millisecond)
	}
	f.run(40 * time.Second)
	for _, v := range f.verdicts {
		_, expired := v.(DeadlineExceeded)
		is.True(!expired) // no job of this load is held to the end
	}
}

// Guards against a worker that restarts under the same id: its runs are gone and its counts begin anew.
func TestWorkerRestartsUnderSameID(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 5, 3)
	f.run(20 * time.Millisecond)
	for range 20 {
		f.submit(quote) // raises the counts of ends
	}
	f.run(4 * time.Second)
	key := f.oneJob("00000000000000aa", 900*time.Millisecond, false)
	f.run(4200 * time.Millisecond)
	for _, id := range f.ids {
		f.crash(f.workers[id])
	}
	f.run(4300 * time.Millisecond)
	after := f.oneJob("00000000000000bb", 100*time.Millisecond, false)
	f.run(9 * time.Second)
	for _, k := range []SubmissionKey{key, after} {
		_, completed := f.verdicts[k].(Completed)
		is.True(completed)
	}
	is.True(f.jobs[after].ended.Sub(f.jobs[after].sent) < 250*time.Millisecond)
}
