package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// newManualEntry returns a VM that holds the group a#0, and the submission of a durable job that a worker of this group can run.
func newManualEntry(t *testing.T, keys *manualStore) (*Gateway, Submission) {
	t.Helper()
	g := newManualHolder(t, keys).g
	g.cache.partitions["a"] = zonePartition{Groups: 1}
	g.cache.workers["w"] = worker.Worker{ID: "w", Service: "s", Zone: "a", Capacity: worker.Resources{MilliCores: 1000}}
	return g, Submission{
		Work:   job.Work{ID: storedID, Steps: []job.Step{{Count: 1, Estimate: 100 * time.Millisecond, Need: worker.Resources{MilliCores: 500}}}},
		Policy: job.Policy{Service: "s", Stretch: 2, Target: time.Minute}, Budget: time.Second,
	}
}

// Guards against a job that is refused, and so said never to run, although an earlier request has stored it: the store shows the conflict,
// and the read of the job's state fails.
func TestStoredJobIsNotRefused(t *testing.T) {
	for _, prefix := range []string{openJobsPrefix, endedJobsPrefix} {
		t.Run(prefix, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				keys := newManualStore()
				g, submission := newManualEntry(t, keys)
				stored := openJob{Group: "b#0", Accepted: time.Now(), Work: submission.Work, Policy: submission.Policy}
				if prefix == openJobsPrefix {
					keys.put(t, prefix+storedID, stored)
				} else {
					keys.put(t, prefix+storedID, endedJob{Group: "b#0", State: JobCompleted, Ended: time.Now()})
				}
				keys.noReads = true
				_, undecided := g.SubmitDurable(t.Context(), submission).(OutcomeUnknown)
				is.True(undecided)
				keys.noReads = false
				is.Equal(g.SubmitDurable(t.Context(), submission), Accepted{})
			})
		})
	}
}
