package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/peer"
	"samphireplank.example/samphireplank/placement"
	"samphireplank.example/samphireplank/store"
)

// occurrenceOf returns occurrence k of a scheduled job, which a group has.
func occurrenceOf(series openJob, k int, group string) openJob {
	o := openJob{Group: group, Accepted: time.Now(), Policy: series.Policy, Work: series.Work}
	o.Work.ID, o.Work.Schedule = job.OccurrenceID(series.Work.ID, k), job.Schedule{}
	return o
}

func occurrenceKey(k int) string { return fmt.Sprintf("%s%s.%d", openJobsPrefix, scheduledID, k) }

// Guards against a cancelled scheduled job that goes on in another group: its own group has no holder, and the holder of the occurrence took
// no notice of a cancellation that was stored in the entry of the scheduled job alone.
func TestCancellationReachesOccurrenceOfOtherGroup(t *testing.T) {
	is, ctx := is.New(t), t.Context()
	keys := newManualStore()
	p := newManualHolder(t, keys)
	series := scheduledJob()
	series.Group, series.Next = "c#0", 1
	keys.put(t, openJobsPrefix+scheduledID, series)
	p.handleItem(ctx, keys.put(t, occurrenceKey(0), occurrenceOf(series, 0, "a#0")))
	state, err := p.g.Cancel(ctx, scheduledID)
	is.NoErr(err)
	is.Equal(state, JobCancelled)
	for _, item := range keys.openItems() {
		p.handleItem(ctx, item)
	}
	is.Equal(p.pendingWrites[scheduledID].State, placement.DurableCancelled)
}

// Guards against a confirmed cancellation that leaves out an occurrence, whatever happens to the job while it is cancelled.
func TestCancellationIsCompleteWhenConfirmed(t *testing.T) {
	for name, arrange := range map[string]func(t *testing.T, keys *manualStore, series openJob){
		"first request": func(*testing.T, *manualStore, openJob) {},
		"request that is repeated after the loss of its VM": func(t *testing.T, keys *manualStore, series openJob) {
			series.Cancelled = true
			keys.put(t, openJobsPrefix+scheduledID, series)
		},
		"lost answer to the write of the scheduled job": func(_ *testing.T, keys *manualStore, _ openJob) {
			keys.afterGet = func() { keys.fault = storeSilent }
			keys.afterSave = func() { keys.fault = storeSound }
		},
		"lost answer to the write of an occurrence": func(_ *testing.T, keys *manualStore, _ openJob) {
			keys.afterRead = func() {
				keys.fault = storeSilent
				keys.afterSave = func() { keys.fault = storeSound }
			}
		},
		"an occurrence is stored beside": func(t *testing.T, keys *manualStore, series openJob) {
			keys.afterGet = func() {
				series.Next++
				keys.put(t, openJobsPrefix+scheduledID, series)
				keys.put(t, occurrenceKey(series.Next-1), occurrenceOf(series, series.Next-1, "a#0"))
			}
		},
		"an occurrence moves to another group": func(t *testing.T, keys *manualStore, series openJob) {
			keys.afterRead = func() { keys.put(t, occurrenceKey(1), occurrenceOf(series, 1, "b#0")) }
		},
		"an occurrence is about to move": func(t *testing.T, keys *manualStore, series openJob) {
			o := occurrenceOf(series, 1, "a#0")
			o.TransferTo = "b#0"
			keys.put(t, occurrenceKey(1), o)
		},
		"an occurrence ends": func(_ *testing.T, keys *manualStore, _ openJob) {
			keys.afterRead = func() {
				keys.mu.Lock()
				defer keys.mu.Unlock()
				delete(keys.items, occurrenceKey(1))
			}
		},
		"more occurrences than fit into one write": func(t *testing.T, keys *manualStore, series openJob) {
			for k := range 2*maxJobsPerWrite + 1 {
				keys.put(t, occurrenceKey(k), occurrenceOf(series, k, "a#0"))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			keys := newManualStore()
			p := newManualHolder(t, keys)
			series := scheduledJob()
			series.Next = 2
			keys.put(t, openJobsPrefix+scheduledID, series)
			for k, group := range []string{"a#0", "c#0"} {
				keys.put(t, occurrenceKey(k), occurrenceOf(series, k, group))
			}
			arrange(t, keys, series)
			state, err := p.g.Cancel(ctx, scheduledID)
			is.NoErr(err)
			is.Equal(state, JobCancelled)
			for _, item := range keys.openItems() {
				j, open := keys.job(t, strings.TrimPrefix(item.Key, openJobsPrefix))
				if !open || !j.Cancelled {
					t.Errorf("%s of group %s is not cancelled", item.Key, j.Group)
				}
			}
		})
	}
}

// Guards against a cancellation that is confirmed although the occurrences could not be cancelled.
func TestIncompleteCancellationIsNotConfirmed(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 3*commitRetryDelay)
	defer cancel()
	keys := newManualStore()
	p := newManualHolder(t, keys)
	series := scheduledJob()
	series.Next = 1
	keys.put(t, openJobsPrefix+scheduledID, series)
	keys.put(t, occurrenceKey(0), occurrenceOf(series, 0, "c#0"))
	keys.afterRead = func() { keys.fault = storeRefuses }
	state, err := p.g.Cancel(ctx, scheduledID)
	is.True(errors.Is(err, ErrStoreUnavailable))
	is.Equal(state, JobUnknown)
	j, _ := keys.job(t, scheduledID)
	is.True(j.Cancelled)
	keys.fault = storeSound
	state, err = p.g.Cancel(t.Context(), scheduledID)
	is.NoErr(err)
	is.Equal(state, JobCancelled)
	o, _ := keys.job(t, scheduledID+".0")
	is.True(o.Cancelled)
}

// Guards against an occurrence that is stored after the cancellation was confirmed, by a holder that has not heard of it.
func TestOccurrenceIsNotStoredAfterCancellation(t *testing.T) {
	is, ctx := is.New(t), t.Context()
	keys := newManualStore()
	p := newManualHolder(t, keys)
	p.handleItem(ctx, keys.put(t, openJobsPrefix+scheduledID, scheduledJob()))
	series, _ := keys.job(t, scheduledID)
	series.Cancelled = true
	keys.put(t, openJobsPrefix+scheduledID, series) // another VM confirms it; its message and the watch are late
	p.schedule(ctx)
	_, open := keys.job(t, scheduledID+".0")
	is.True(!open)
}

func shortJob(group string) openJob {
	return openJob{Group: group, Accepted: time.Now(), Policy: job.Policy{Service: "s", Stretch: 2, Target: time.Minute}, Work: job.Work{ID: storedID, Steps: []job.Step{{Count: 1, Estimate: time.Second}}}}
}

// Guards against a cancelled job that starts tasks when its transfer to this group takes effect late.
func TestTransferredCancelledJobStartsNothing(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		t.Run(fmt.Sprint(cancelled), func(t *testing.T) {
			is, ctx := is.New(t), t.Context()
			keys := newManualStore()
			p := newHolderOfIdleWorker(t, keys)
			p.restore(ctx, store.Snapshot{Revision: keys.revision}, time.Now())
			j := shortJob("a#0")
			j.Cancelled, j.Transfers = cancelled, 1
			p.handleItem(ctx, keys.put(t, openJobsPrefix+storedID, j))
			is.Equal(p.runs() == 0, cancelled)
		})
	}
}

// Guards against a job that starts tasks long after its cancellation was confirmed: it was cancelled while the holder of its group read
// many open jobs, and the holder restored it as it had been before.
func TestJobCancelledDuringRestoreStartsNothing(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		t.Run(fmt.Sprint(cancelled), func(t *testing.T) {
			is, ctx := is.New(t), t.Context()
			keys := newManualStore()
			p := newHolderOfIdleWorker(t, keys)
			j := shortJob("a#0")
			keys.put(t, openJobsPrefix+storedID, j)
			began := time.Now()
			snapshot, err := keys.Range(ctx, openJobsPrefix)
			is.NoErr(err)
			if j.Cancelled = cancelled; cancelled {
				keys.put(t, openJobsPrefix+storedID, j) // the watch has not shown it yet
			}
			p.restore(ctx, snapshot, began)
			is.Equal(p.runs() == 0, cancelled)
		})
	}
}

// Guards against a job that runs after its cancellation was confirmed, since the write of its submission is carried out late, or since its
// submission is sent again.
func TestJobIsNotStoredAfterCancellation(t *testing.T) {
	is, ctx := is.New(t), t.Context()
	keys := newManualStore()
	g, submission := newManualEntry(t, keys)
	state, err := g.Cancel(ctx, storedID)
	is.NoErr(err)
	is.Equal(state, JobTombstone)
	late := shortJob("a#0")
	value, err := json.Marshal(late)
	is.NoErr(err)
	_, err = keys.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: openJobsPrefix + storedID}, {Key: endedJobsPrefix + storedID}},
		Puts:       []store.KeyValue{{Key: openJobsPrefix + storedID, Value: value}},
	})
	is.True(errors.Is(err, store.ErrConflict))
	refused, ok := g.SubmitDurable(ctx, submission).(Refused)
	is.True(ok)
	is.Equal(refused.Reason, reasonCancelledBefore)
	state, err = g.JobState(ctx, storedID)
	is.NoErr(err)
	is.Equal(state, JobTombstone)
	state, err = g.Cancel(ctx, storedID)
	is.NoErr(err)
	is.Equal(state, JobTombstone)
}

// Guards against a confirmed cancellation that did nothing: the job was stored between the reads that had not found it and those that did.
func TestJobStoredDuringCancellationIsCancelled(t *testing.T) {
	is, ctx := is.New(t), t.Context()
	keys := newManualStore()
	p := newManualHolder(t, keys)
	keys.afterGet = func() { keys.put(t, openJobsPrefix+storedID, shortJob("c#0")) }
	state, err := p.g.Cancel(ctx, storedID)
	is.NoErr(err)
	is.Equal(state, JobCancelled)
	j, _ := keys.job(t, storedID)
	is.True(j.Cancelled)
}

// Guards against entries of cancelled ids that stay in the store for good, and against their removal while a submission may still arrive.
func TestSweepRemovesTombstones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, ctx := is.New(t), t.Context()
		keys := newManualStore()
		p := newManualHolder(t, keys)
		p.g.cache.partitions["a"], p.g.cache.ownKeysRead = zonePartition{Groups: 1}, true
		for i := range maxJobsPerWrite + 1 {
			_, err := p.g.Cancel(ctx, fmt.Sprintf("%016x", i))
			is.NoErr(err)
		}
		for _, item := range keys.openItems() {
			p.handleItem(ctx, item)
		}
		keys.mu.Lock()
		delete(keys.items, openJobsPrefix+fmt.Sprintf("%016x", 3)) // by the sweep of another holder
		keys.mu.Unlock()
		time.Sleep(p.entryRetention() - time.Second)
		p.sweep(ctx)
		is.Equal(len(keys.openItems()), maxJobsPerWrite)
		time.Sleep(time.Second)
		p.sweep(ctx)
		is.Equal(len(keys.openItems()), 0)
		is.Equal(len(p.tombstones), 0)
	})
}

// Guards against a best-effort job that goes on because its cancellation reached another VM than its submission (review/15).
func TestCancellationReachesBestEffortJobOfOtherVM(t *testing.T) {
	is, ctx := is.New(t), t.Context()
	keys := newManualStore()
	p := newHolderOfIdleWorker(t, keys)
	p.restore(ctx, store.Snapshot{Revision: keys.revision}, time.Now())
	verdict := p.runBestEffort(t)
	other := newUnrestoredHolder(t, keys, unresponsiveWorkers{}).g
	state, err := other.Cancel(ctx, storedID)
	is.NoErr(err)
	is.Equal(state, JobTombstone)
	for _, item := range keys.openItems() {
		p.handleItem(ctx, item)
	}
	is.Equal(*verdict, placement.Cancelled{})

	// The next holder has read the cancellation, and the VM of the job submits it there.
	next := newHolderOfIdleWorker(t, keys)
	snapshot, err := keys.Range(ctx, openJobsPrefix)
	is.NoErr(err)
	next.restore(ctx, snapshot, time.Now())
	submit := bestEffortSubmit()
	submit.Resumed = true
	next.d.apply(ctx, submit)
	is.Equal(next.runs(), 0)
}

// Guards against a best-effort job that goes on for as long as the holder reads the stored jobs.
func TestCancellationReachesBestEffortJobDuringRestore(t *testing.T) {
	is, ctx := is.New(t), t.Context()
	keys := newManualStore()
	p := newHolderOfIdleWorker(t, keys)
	verdict := p.runBestEffort(t)
	state, err := p.g.Cancel(ctx, storedID)
	is.NoErr(err)
	is.Equal(state, JobTombstone)
	for _, item := range keys.openItems() {
		p.handleItem(ctx, item)
	}
	is.Equal(*verdict, placement.Cancelled{})
}

func bestEffortSubmit() placement.Submit {
	j := shortJob("")
	j.Work.BestEffort = true
	return placement.Submit{Key: placement.SubmissionKey{Conn: 7, Sequence: 1}, Work: j.Work, Policy: j.Policy, Budget: time.Minute}
}

// runBestEffort lets the scheduler start a best-effort job of another VM, and returns its verdict once there is one.
func (p *jobPersister) runBestEffort(t *testing.T) *placement.Verdict {
	t.Helper()
	verdict := new(placement.Verdict)
	p.d.sendVerdict = func(_ placement.SubmissionKey, v placement.Verdict, _ map[string]placement.Load) { *verdict = v }
	p.d.apply(t.Context(), bestEffortSubmit())
	if p.runs() != 1 {
		t.Fatal("the job has not started")
	}
	return verdict
}

// Guards against an entry VM that submits a cancelled job to another group, or tells its caller that it has not run although it may have.
func TestCancelledVerdictEndsRequest(t *testing.T) {
	is := is.New(t)
	g := newManualHolder(t, newManualStore()).g
	for verdict, expected := range map[placement.Verdict]Reply{
		placement.Cancelled{}: OutcomeUnknown{Reason: placement.ReasonCancelled},
		placement.NotRun{Reason: placement.ReasonCancelled, RetryAfter: time.Second}: Refused{Reason: placement.ReasonCancelled, RetryAfter: time.Second},
	} {
		r := &request{asked: map[string]bool{}, fences: map[string]int64{}, evacuatedAt: map[string]time.Time{}}
		is.Equal(g.handleVerdict(t.Context(), r, "a#0", peer.NewVerdict(1, verdict)), expected)
	}
}

// Guards against a best-effort job that runs again after its cancellation, since its client sends it again to any VM.
func TestCancellationOfJobInProgressIsStored(t *testing.T) {
	is := is.New(t)
	keys := newManualStore()
	g := newManualHolder(t, keys).g
	a, first := g.enterJob(t.Context(), Submission{Work: job.Work{ID: storedID, BestEffort: true}})
	is.True(first)
	keys.fault = storeRefuses
	ctx, cancel := context.WithTimeout(t.Context(), 2*commitRetryDelay)
	defer cancel()
	_, err := g.Cancel(ctx, storedID)
	is.True(errors.Is(err, ErrStoreUnavailable)) // it may run again
	is.True(a.ctx.Err() != nil)
	keys.fault = storeSound
	state, err := g.Cancel(t.Context(), storedID)
	is.NoErr(err)
	is.Equal(state, JobCancelled)
	j, _ := keys.job(t, storedID)
	is.True(isTombstone(j))
}

// Guards against a holder that undoes a cancellation by a write of its own, which it prepared before it heard of it: of the progress, or of one
// of the two writes that give the job to another group.
func TestWritesOfHolderKeepCancellation(t *testing.T) {
	progress := placement.PersistJob{Job: storedID, Version: 1, Progress: placement.Progress{Runs: [][]int{{1}}}}
	transfer := placement.PersistJob{Job: storedID, Version: 5, TransferTo: "b#0", Transfers: 1}
	for name, c := range map[string]struct {
		write  placement.PersistJob
		before int // writes that are stored before the cancellation
		lost   bool
	}{
		"progress":                     {progress, 0, false},
		"progress, answer lost":        {progress, 0, true},
		"first write of a transfer":    {transfer, 0, false},
		"second write":                 {transfer, 1, false},
		"second write, answer lost":    {transfer, 1, true},
		"after the transfer is stored": {transfer, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			is, ctx := is.New(t), t.Context()
			keys := newManualStore()
			other := newUnrestoredHolder(t, keys, unresponsiveWorkers{}).g
			p := newManualHolder(t, keys) // has the later record
			p.handleItem(ctx, keys.put(t, openJobsPrefix+storedID, shortJob("a#0")))
			p.enqueueWrite(c.write)
			for range c.before {
				p.write(ctx)
			}
			batch := p.nextBatch()
			state, err := other.Cancel(ctx, storedID)
			is.NoErr(err)
			is.Equal(state, JobCancelled)
			if c.lost {
				keys.fault = storeSilent
			}
			p.writeBatch(ctx, batch)
			keys.fault = storeSound
			for range 4 {
				p.write(ctx)
			}
			if j, open := keys.job(t, storedID); open {
				is.Equal(j.Group, "b#0") // its holder starts nothing
				is.True(j.Cancelled)
				return
			}
			var end endedJob
			is.NoErr(json.Unmarshal(keys.items[endedJobsPrefix+storedID].Value, &end))
			is.Equal(end.State, JobCancelled)
		})
	}
}

// Guards against a cancelled job that starts tasks since the message with its earlier entry arrives after the one with the cancellation.
func TestEarlierEntryDoesNotUndoCancellation(t *testing.T) {
	is, ctx := is.New(t), t.Context()
	keys := newManualStore()
	p := newHolderOfIdleWorker(t, keys)
	p.restore(ctx, store.Snapshot{Revision: keys.revision}, time.Now())
	j := shortJob("a#0")
	stored := keys.put(t, openJobsPrefix+storedID, j)
	j.Cancelled = true
	p.handleItem(ctx, keys.put(t, openJobsPrefix+storedID, j))
	p.handleItem(ctx, stored)
	is.Equal(p.runs(), 0)
	is.Equal(p.pendingWrites[storedID].State, placement.DurableCancelled)
}
