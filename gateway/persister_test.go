package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/placement"
	"samphireplank.example/samphireplank/store"
)

const storedID = "00000000000000bb"

// Guards against tasks that run again after a job was transferred, has run elsewhere and has come back while the store turned this VM
// away: the VM took over the revision of the newer record without its progress and repeated its own write.
func TestReturnedJobKeepsProgressOfOtherGroup(t *testing.T) {
	for name, learn := range map[string]func(p *jobPersister, left, back store.KeyValue){
		"read after the conflict":        func(*jobPersister, store.KeyValue, store.KeyValue) {},
		"watch that misses the transfer": func(p *jobPersister, _, back store.KeyValue) { p.handleItem(p.g.ctx, back) },
		"the same during the write": func(p *jobPersister, _, back store.KeyValue) {
			batch := p.nextBatch()
			p.handleItem(p.g.ctx, back)
			p.writeBatch(p.g.ctx, batch)
		},
		"watch during the write": func(p *jobPersister, left, back store.KeyValue) {
			batch := p.nextBatch()
			p.handleItem(p.g.ctx, left)
			p.handleItem(p.g.ctx, back)
			p.writeBatch(p.g.ctx, batch)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is, ctx := is.New(t), t.Context()
			keys := newManualStore()
			p := newManualHolder(t, keys)
			key := openJobsPrefix + storedID
			p.handleItem(ctx, keys.put(t, key, openJob{
				Group: "a#0", Accepted: time.Now(), Policy: job.Policy{Service: "s", Stretch: 2, Target: time.Minute},
				Work: job.Work{ID: storedID, Steps: []job.Step{{Count: 1, Estimate: time.Second}}},
			}))
			p.enqueueWrite(placement.PersistJob{Job: storedID, Version: 5, TransferTo: "b#0", Transfers: 1})
			p.write(ctx) // names the group
			keys.fault = storeSilent
			p.write(ctx) // is carried out
			keys.fault = storeSound
			j, _ := keys.job(t, storedID)
			is.Equal(j.Group, "b#0")
			left := keys.items[key]
			j.Progress = &placement.Progress{Done: [][]bool{{true}}, Failed: [][]int{{0}}, Counted: [][]int{{0}}, Runs: [][]int{{1}}, Checkpoints: [][]string{{""}}}
			j.Group = "a#0"
			learn(p, left, keys.put(t, key, j))
			for range 3 {
				p.write(ctx)
			}
			_, open := keys.job(t, storedID)
			is.True(!open) // nothing was left to run
			_, ended := keys.items[endedJobsPrefix+storedID]
			is.True(ended)
		})
	}
}

// Guards against a job that has ended without this scheduler and whose writes, which always conflict, keep those of other jobs from
// being stored.
func TestMissingJobDoesNotBlockWrites(t *testing.T) {
	is, ctx := is.New(t), t.Context()
	keys := newManualStore()
	p := newManualHolder(t, keys)
	other := "00000000000000cc"
	for _, id := range []string{storedID, other} {
		p.handleItem(ctx, keys.put(t, openJobsPrefix+id, openJob{Group: "a#0", Accepted: time.Now(), Work: job.Work{ID: id, Steps: []job.Step{{Count: 1, Estimate: time.Second}}}}))
	}
	delete(keys.items, openJobsPrefix+storedID)
	for _, id := range []string{storedID, other} {
		p.enqueueWrite(placement.PersistJob{Job: id, Version: 1, Progress: placement.Progress{Runs: [][]int{{7}}}})
	}
	p.write(ctx)
	p.write(ctx)
	j, _ := keys.job(t, other)
	is.True(j.Progress != nil)
	_, open := keys.job(t, storedID)
	is.True(!open)
	is.Equal(len(p.pendingWrites), 0)
}

// Guards against a cancelled job that runs: its cancellation arrived while its submission was on the way to the scheduler, which did not
// know the job yet.
func TestCancellationDuringSubmission(t *testing.T) {
	is, ctx := is.New(t), t.Context()
	keys := newManualStore()
	p := newManualHolder(t, keys)
	j := openJob{Group: "a#0", Accepted: time.Now(), Work: job.Work{ID: storedID, Steps: []job.Step{{Count: 1, Estimate: time.Second}}}}
	stored := keys.put(t, openJobsPrefix+storedID, j)
	j.Cancelled = true
	cancelled := keys.put(t, openJobsPrefix+storedID, j)
	p.d.checkPause = func(ctx context.Context) {
		p.d.checkPause = func(context.Context) {}
		p.handleItem(ctx, cancelled)
	}
	p.handleItem(ctx, stored)
	is.Equal(p.pendingWrites[storedID].State, placement.DurableCancelled)
}
