package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/placement"
)

const scheduledID = "00000000000000aa"

// scheduledJob returns a job whose first occurrence is due soon and the others much later.
func scheduledJob() openJob {
	return openJob{
		Group: "a#0", Accepted: time.Now(), Policy: job.Policy{Service: "s", Stretch: 2, Target: time.Minute},
		Work: job.Work{ID: scheduledID, Steps: []job.Step{{Count: 1, Estimate: time.Second}}, Schedule: job.Schedule{Count: 3, First: time.Now().Add(time.Second), Interval: time.Hour}},
	}
}

// Guards against an occurrence that ends and is then stored, and so run, once more: the answer to its write was lost, and the watch
// showed the newer revision of the scheduled job before the holder could read the job back.
func TestOccurrenceIsStoredOnceAfterLostAnswer(t *testing.T) {
	is, ctx := is.New(t), t.Context()
	keys := newManualStore()
	p := newManualHolder(t, keys)
	p.handleItem(ctx, keys.put(t, openJobsPrefix+scheduledID, scheduledJob()))
	keys.fault = storeSilent
	p.schedule(ctx) // is carried out
	keys.fault = storeRefuses
	p.schedule(ctx)
	keys.fault = storeSound
	for _, item := range keys.openItems() {
		p.handleItem(ctx, item)
	}
	p.enqueueWrite(placement.PersistJob{Job: scheduledID, Version: 1, State: placement.DurableCompleted})
	p.write(ctx)
	_, open := keys.job(t, scheduledID+".0")
	is.True(!open) // the occurrence has ended
	p.schedule(ctx)
	_, open = keys.job(t, scheduledID+".0")
	is.True(!open)
	series, _ := keys.job(t, scheduledID)
	is.Equal(series.Next, 1)
}

// Guards against an occurrence that is stored although its key exists, or did until it ended.
func TestOccurrenceIsNotStoredOverItsKey(t *testing.T) {
	for _, prefix := range []string{openJobsPrefix, endedJobsPrefix} {
		t.Run(prefix, func(t *testing.T) {
			is, ctx := is.New(t), t.Context()
			keys := newManualStore()
			p := newManualHolder(t, keys)
			before := keys.put(t, prefix+scheduledID+".0", openJob{Group: "b#0"})
			p.handleItem(ctx, keys.put(t, openJobsPrefix+scheduledID, scheduledJob()))
			p.schedule(ctx)
			series, _ := keys.job(t, scheduledID)
			is.Equal(series.Next, 0)
			is.Equal(keys.items[before.Key].Revision, before.Revision)
		})
	}
}

// Guards against a cancelled scheduled job whose occurrences run: a read that began before the cancellation replaced the newer record.
func TestReadDoesNotUndoCancellation(t *testing.T) {
	is, ctx := is.New(t), t.Context()
	keys := newManualStore()
	p := newManualHolder(t, keys)
	p.handleItem(ctx, keys.put(t, openJobsPrefix+scheduledID, scheduledJob()))
	p.schedule(ctx)
	keys.afterRead = func() {
		series, _ := keys.job(t, scheduledID)
		series.Cancelled = true
		p.handleItem(ctx, keys.put(t, openJobsPrefix+scheduledID, series))
	}
	p.reloadSeries(ctx, scheduledID, errManualNoAnswer)
	p.schedule(ctx)
	is.Equal(p.pendingWrites[scheduledID].State, placement.DurableCancelled)
	p.write(ctx)
	p.schedule(ctx)
	_, open := keys.job(t, scheduledID)
	is.True(!open)
}
