package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// Guards against a run that outlives the permit of its job, because its worker's lease was renewed for another job before
// the run started: a stalled holder does not stop it, and the caller of a VM that is gone has sent the job elsewhere.
func TestLeaseOfAnotherJobOutlivesPermit(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 1)
	sg.run(20 * time.Millisecond)
	sg.submitOneTask("00000000000000bb", 3*time.Second, false)
	sg.run(650 * time.Millisecond) // the lease was renewed at about 0.6 s
	permits := Permits{7: sg.now.Add(100 * time.Millisecond)}
	sg.permits = func() Permits { return permits }
	w := job.Work{ID: "00000000000000aa", Steps: []job.Step{{Count: 1, Estimate: time.Second, Need: worker.Resources{MilliCores: 20000}}}}
	policy := job.Policy{Service: "cue", Stretch: 4, Target: time.Second}
	sg.knownJobs[w.ID] = &simJob{work: w, policy: policy, length: time.Second}
	sg.step(sg.scheduler, Submit{Key: SubmissionKey{Conn: 7, Sequence: 1}, Work: w, Policy: policy, Budget: 4 * time.Second, PermitUntil: permits[7]})
	sg.run(700 * time.Millisecond)
	is.Equal(sg.alive["00000000000000aa.0.0.0"], 0)
	permits = Permits{7: sg.now.Add(900 * time.Millisecond)}
	sg.run(800 * time.Millisecond)
	is.Equal(sg.alive["00000000000000aa.0.0.0"], 1)
}

// Guards against a holder that tries to start durable jobs again and again after its permit has ended: workers reject each
// start, since it has no lease.
func TestHolderStartsDurableTaskAfterItsPermit(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 1)
	sg.run(20 * time.Millisecond)
	sg.step(sg.scheduler, DurablePermit{Until: sg.now})
	id := sg.storeJob(quote, 1)
	sg.run(time.Second)
	is.Equal(sg.starts, 0)
	sg.step(sg.scheduler, DurablePermit{Until: sg.now.Add(time.Minute)})
	sg.run(2 * time.Second)
	is.Equal(sg.stored[id].state, DurableCompleted)
}

// Guards against leases that are renewed without an end for the runs of a long-running job that is not loaded yet.
func TestRunsOfUnloadedJobOutlivePermit(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 1)
	sg.run(20 * time.Millisecond)
	id := sg.storeLongRunning(1, 1)
	sg.run(time.Second)
	is.True(sg.runsOn(id, "w00"))
	sg.maxStoreDelay = 1 << 20 // the next holder can't load the job
	sg.replaceScheduler()
	sg.step(sg.scheduler, DurablePermit{Until: sg.now.Add(2 * time.Second)})
	sg.run(2900 * time.Millisecond)
	is.True(sg.runsOn(id, "w00"))
	sg.run(3500 * time.Millisecond)
	is.True(!sg.runsOn(id, "w00"))
}
