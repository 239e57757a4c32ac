package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"samphireplank.example/samphireplank/peer"
	"samphireplank.example/samphireplank/placement"
	"samphireplank.example/samphireplank/store"
)

const (
	// minWriteInterval is the minimum time between two writes of a holder. Callers see the end of a job only after its
	// write, and the store handles 400 writes a second of all VMs together on the users' small sites, where three groups
	// have holders.
	minWriteInterval = 8 * time.Millisecond
	// maxWriteInterval is the maximum of the interval, which doubles when a write fails.
	maxWriteInterval = 128 * time.Millisecond
	// maxJobsPerWrite is the maximum number of jobs in one write: the store accepts 32 entries, and the end of a job needs
	// three.
	maxJobsPerWrite = 10
	// openJobsWatchTimeout is the maximum duration of one watch of the open jobs. Callers' VMs also send new jobs directly
	// to the holder.
	openJobsWatchTimeout = 2 * time.Second
	// openJobsWatchInterval is the delay between two of these watches, so that one watch returns several jobs.
	openJobsWatchInterval = 200 * time.Millisecond
	// endedIDRetention is how long the ids of ended jobs are kept, so that a late message about one does not start it
	// again.
	endedIDRetention = 5 * time.Minute
)

// jobPersister persists the durable jobs of a group's scheduler and restores them from the store.
type jobPersister struct {
	g *Gateway
	d *groupDriver

	mu                sync.Mutex
	restoredRevision  int64                           // revision at which the jobs were read, 0 before that
	deferredItems     []store.KeyValue                // received before the jobs were read
	jobs              map[string]*storedJob           // by the scheduler's id
	series            map[string]*storedJob           // scheduled jobs, which the scheduler does not have
	ended             map[string]time.Time            // by key without its prefix
	transferred       map[string]transferredJob       // likewise
	tombstones        map[string]tombstone            // by key
	occurrencesReadAt map[string]time.Time            // when the occurrences of a scheduled job were last read, likewise
	pendingWrites     map[string]placement.PersistJob // by the scheduler's id
	readRequested     bool                            // the scheduler has ends of jobs that may have been stored since the jobs were read
	wake              chan struct{}
	interval          time.Duration // used by run only
}

// storedJob is an open job with its revision in the store.
type storedJob struct {
	openJob
	revision int64
	name     string // key without its prefix
	leaving  bool   // the write that gives the job to another group was sent; its outcome may be unknown
}

func newJobPersister(g *Gateway, d *groupDriver) *jobPersister {
	return &jobPersister{
		g: g, d: d, jobs: map[string]*storedJob{}, series: map[string]*storedJob{}, ended: map[string]time.Time{},
		transferred: map[string]transferredJob{}, tombstones: map[string]tombstone{}, occurrencesReadAt: map[string]time.Time{}, pendingWrites: map[string]placement.PersistJob{}, wake: make(chan struct{}, 1), interval: minWriteInterval,
	}
}

// isCurrent reports whether this VM still holds the group with the same driver.
func (p *jobPersister) isCurrent(ctx context.Context) bool {
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	return ctx.Err() == nil && p.g.drivers[p.d.group] == p.d && !p.d.lostFence()
}

// run restores the durable jobs of the group and writes the scheduler's updates until another VM holds the group.
func (p *jobPersister) run(ctx context.Context) {
	for p.isCurrent(ctx) {
		began := time.Now()
		snapshot, err := p.g.config.Store.Range(ctx, openJobsPrefix)
		if err == nil {
			p.restore(ctx, snapshot, began)
			break
		}
		pause(ctx, retryDelay)
	}
	swept := time.Now()
	for p.isCurrent(ctx) {
		select {
		case <-ctx.Done():
		case <-p.wake:
		case <-time.After(retryDelay):
		}
		if batch := p.nextBatch(); len(batch) > 0 {
			p.writeBatch(ctx, batch)
			pause(ctx, p.interval)
		}
		p.readAgain(ctx)
		p.schedule(ctx)
		if time.Since(swept) > sweepInterval {
			swept = time.Now()
			p.sweep(ctx)
		}
	}
}

// restore submits the jobs that the store had for the group when this VM claimed it.
func (p *jobPersister) restore(ctx context.Context, snapshot store.Snapshot, began time.Time) {
	jobs := 0
	for _, item := range snapshot.Items {
		if p.addJob(ctx, item, true) {
			jobs++
		}
	}
	p.catchUp(ctx, snapshot.Revision)
	p.d.apply(ctx, placement.RestoreDone{Since: began})
	p.mu.Lock()
	p.restoredRevision = max(snapshot.Revision, 1)
	early := p.deferredItems
	p.deferredItems = nil
	p.mu.Unlock()
	for _, item := range early {
		p.handleItem(ctx, item)
	}
	p.g.log.Info().Str("event", "restored").Str("group", p.d.group).Int("jobs", jobs).Int64("revision", snapshot.Revision).Msg("restored the durable jobs of the group")
}

// catchUpWaits are the waits of the watches of catchUp. The second one allows for a long response; it ends at once if there are changes.
var catchUpWaits = []time.Duration{time.Millisecond, time.Second}

// catchUp takes over the changes since a revision. Many jobs take seconds to read, and one that was cancelled meanwhile must not start
// tasks. If the store does not answer, the changes arrive with the watch, after the restore.
func (p *jobPersister) catchUp(ctx context.Context, revision int64) {
	for _, wait := range catchUpWaits {
		items, _, err := p.g.openJobsSince(ctx, revision, wait)
		if errors.Is(err, store.ErrCompacted) {
			items, _, err = p.g.openJobsSince(ctx, 0, wait)
		}
		if err == nil {
			for _, item := range items {
				p.addJob(ctx, item, false)
			}
			return
		}
		p.g.log.Info().Str("event", "restore").Str("group", p.d.group).Int64("revision", revision).Err(err).Msg("the changes of open jobs during the restore were not read")
	}
}

// requestRead makes the persister read the open jobs again.
func (p *jobPersister) requestRead() {
	p.mu.Lock()
	p.readRequested = true
	p.mu.Unlock()
	p.wakeUp()
}

// readAgain reads the open jobs if the scheduler has requested it. After an error the next call tries again.
func (p *jobPersister) readAgain(ctx context.Context) {
	p.mu.Lock()
	requested := p.readRequested
	p.mu.Unlock()
	if !requested {
		return
	}
	began := time.Now()
	snapshot, err := p.g.config.Store.Range(ctx, openJobsPrefix)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.readRequested = false
	p.mu.Unlock()
	for _, item := range snapshot.Items {
		p.addJob(ctx, item, false)
	}
	p.d.apply(ctx, placement.DurableJobsRead{Since: began})
}

// handleItem processes an open job, or a change of one, that another VM has written. Items that arrive before the jobs
// were read are deferred.
func (p *jobPersister) handleItem(ctx context.Context, item store.KeyValue) {
	p.mu.Lock()
	if p.restoredRevision == 0 {
		p.deferredItems = append(p.deferredItems, item)
		p.mu.Unlock()
		// Best-effort jobs run meanwhile.
		if e, err := decodeEntry(item); err == nil && isTombstone(e.openJob) {
			p.handleTombstone(ctx, item, e.openJob)
		}
		return
	}
	// A job written before the jobs were read and missing among them has ended since.
	name := trimOpenPrefix(item.Key)
	stale := item.Revision <= p.restoredRevision && p.jobs[schedulerID(name)] == nil && p.series[name] == nil
	p.mu.Unlock()
	if !stale {
		p.addJob(ctx, item, false)
	}
}

func trimOpenPrefix(key string) string { return strings.TrimPrefix(key, openJobsPrefix) }

// schedulerID returns the scheduler's id of the job of a key. Each occurrence has its own key, but the tasks of the
// first one are named like those of a job without a schedule.
func schedulerID(name string) string { return strings.TrimSuffix(name, ".0") }

// enqueueWrite queues the scheduler's request to write a job; only the newest version of a job is kept.
func (p *jobPersister) enqueueWrite(s placement.PersistJob) {
	p.mu.Lock()
	p.queueWrite(s)
	p.mu.Unlock()
	p.wakeUp()
}

// queueWrite queues a write unless a newer one of the job is queued; the caller holds the lock.
func (p *jobPersister) queueWrite(s placement.PersistJob) {
	if p.pendingWrites[s.Job].Version < s.Version {
		p.pendingWrites[s.Job] = s
	}
}

func (p *jobPersister) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// jobWrite is a write of a job. It is dropped once the persister has forgotten the job, also if it knows the job anew.
type jobWrite struct {
	placement.PersistJob
	job *storedJob
}

// isValid reports whether the write still applies; the caller holds the lock.
func (p *jobPersister) isValid(w jobWrite) bool { return w.job != nil && p.jobs[w.Job] == w.job }

// nextBatch removes and returns queued writes, those of ended jobs first.
func (p *jobPersister) nextBatch() []jobWrite {
	if !p.holderConfirmed() {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]jobWrite, 0, len(p.pendingWrites))
	for _, s := range p.pendingWrites {
		list = append(list, jobWrite{PersistJob: s, job: p.jobs[s.Job]})
	}
	sort.Slice(list, func(i, j int) bool {
		first, second := list[i].State != placement.DurableOpen, list[j].State != placement.DurableOpen
		return first && !second || first == second && list[i].Job < list[j].Job
	})
	if len(list) > maxJobsPerWrite {
		list = list[:maxJobsPerWrite]
		p.wakeUp()
	}
	for _, s := range list {
		delete(p.pendingWrites, s.Job)
	}
	return list
}

// holderConfirmed reports whether the store records this VM as the holder of the group under the current fence.
func (p *jobPersister) holderConfirmed() bool { return p.holderRevision() > 0 }

// holderRevision returns the revision of the record that names this VM as the holder, 0 if there is none.
func (p *jobPersister) holderRevision() int64 {
	p.g.cache.mu.Lock()
	record := p.g.cache.holders[p.d.group]
	p.g.cache.mu.Unlock()
	if record.VM != p.g.settings.VM || record.Incarnation != p.g.self.Incarnation || p.d.currentFence() < record.revision*fencesPerRevision {
		return 0
	}
	return record.revision
}

var durableStates = map[placement.DurableState]JobState{
	placement.DurableCompleted: JobCompleted, placement.DurableFailed: JobFailed, placement.DurableCancelled: JobCancelled,
}

// writeBatch stores jobs on condition that this VM holds the group and that the jobs have not been changed by others.
func (p *jobPersister) writeBatch(ctx context.Context, batch []jobWrite) {
	t := store.Transaction{Conditions: []store.Condition{{Key: groupPrefix + p.d.group, Revision: p.holderRevision()}}}
	var errs error
	p.mu.Lock()
	batch = slices.DeleteFunc(batch, func(w jobWrite) bool { return !p.isValid(w) })
	written := make([]openJob, len(batch)) // the jobs that stay open
	for i, w := range batch {
		j := w.job
		t.Conditions = append(t.Conditions, store.Condition{Key: openJobsPrefix + j.name, Revision: j.revision})
		if w.State != placement.DurableOpen {
			value, err := json.Marshal(endedJob{Group: p.d.group, State: durableStates[w.State], Ended: time.Now()})
			errs = errors.Join(errs, err)
			t.Deletes = append(t.Deletes, openJobsPrefix+j.name)
			t.Puts = append(t.Puts, store.KeyValue{Key: endedJobsPrefix + j.name, Value: value})
			continue
		}
		written[i] = nextOpenJob(j.openJob, w.PersistJob)
		j.leaving = j.leaving || written[i].Group != p.d.group
		value, err := json.Marshal(written[i])
		errs = errors.Join(errs, err)
		t.Puts = append(t.Puts, store.KeyValue{Key: openJobsPrefix + j.name, Value: value})
	}
	p.mu.Unlock()
	switch {
	case errs != nil:
		p.g.log.Error().Str("event", "save").Err(errs).Msg("jobs cannot be encoded")
		return
	case len(batch) == 0:
		return
	}
	sent := p.g.config.Clock()
	revision, err := p.g.config.Store.Commit(ctx, t)
	if err == nil {
		p.d.confirmedAt.Store(int64(sent)) // the only writer
		p.interval = max(p.interval-p.interval/8, minWriteInterval)
		endedMessage := peer.Over{States: map[string]string{}}
		for i, w := range batch {
			if w.TransferTo != "" {
				p.continueTransfer(ctx, w.PersistJob, w.job.name, written[i], revision)
				continue
			}
			p.markPersisted(ctx, w.PersistJob, revision)
			if w.State != placement.DurableOpen {
				endedMessage.States[w.job.name] = string(durableStates[w.State])
			}
		}
		if len(endedMessage.States) > 0 {
			p.g.broadcast(endedMessage)
		}
		return
	}
	p.interval = min(2*p.interval, maxWriteInterval)
	p.g.log.Info().Str("event", "save").Str("group", p.d.group).Int("jobs", len(batch)).Err(err).Msg("write of durable jobs failed; it will be retried")
	if !errors.Is(err, store.ErrNotApplied) {
		for _, w := range batch {
			p.reloadJob(ctx, w)
		}
	}
	p.mu.Lock()
	for _, w := range batch {
		if p.isValid(w) {
			p.queueWrite(w.PersistJob)
		}
	}
	p.mu.Unlock()
	p.wakeUp()
}

// markPersisted records that a version of a job is stored and reports it to the scheduler.
func (p *jobPersister) markPersisted(ctx context.Context, s placement.PersistJob, revision int64) {
	p.mu.Lock()
	j := p.jobs[s.Job]
	switch {
	case s.State != placement.DurableOpen:
		delete(p.jobs, s.Job)
		delete(p.pendingWrites, s.Job)
		if j != nil {
			p.ended[j.name] = time.Now()
			p.g.endedJobs.put(j.name, durableStates[s.State])
			p.g.log.Info().Str("event", "job-ended").Str("job", s.Job).Str("group", p.d.group).Str("state", string(durableStates[s.State])).
				Int64("age-ms", time.Since(j.Accepted).Milliseconds()).Send()
		}
	case j != nil:
		j.revision, j.TransferTo = max(j.revision, revision), ""
	}
	p.mu.Unlock()
	p.d.apply(ctx, placement.JobPersisted{Job: s.Job, Version: s.Version})
}

// lookup reports whether an open job of the group is known here, and whether it was cancelled.
func (p *jobPersister) lookup(id string) (known, cancelled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j := p.jobs[id]
	if j == nil || j.name != id {
		return false, false // an occurrence of a scheduled job
	}
	return true, j.Cancelled
}

// reloadJob reads a job again after a write that conflicted or whose outcome is unknown.
func (p *jobPersister) reloadJob(ctx context.Context, w jobWrite) {
	item, err := p.g.config.Store.Get(ctx, openJobsPrefix+w.job.name)
	switch {
	case err == nil:
		p.addJob(ctx, item, false)
	case errors.Is(err, store.ErrNotFound):
		p.settleMissing(ctx, w)
	}
}

// settleMissing handles a write of a job that the store no longer has. Only the holder of its group ends a job.
func (p *jobPersister) settleMissing(ctx context.Context, w jobWrite) {
	p.mu.Lock()
	valid := p.isValid(w)
	p.mu.Unlock()
	switch {
	case !valid:
	case w.State != placement.DurableOpen: // the write has taken effect
		p.markPersisted(ctx, w.PersistJob, 0)
	case w.TransferTo != "": // another group had the job, and has ended it
		p.forgetTransferred(ctx, w.job.name, w.TransferTo, math.MaxInt64)
	default: // an earlier scheduler of this VM has ended it with a write that took effect late
		p.forgetEnded(ctx, w)
	}
}

// forgetEnded forgets a job that has ended without this scheduler.
func (p *jobPersister) forgetEnded(ctx context.Context, w jobWrite) {
	p.mu.Lock()
	delete(p.jobs, w.Job)
	delete(p.pendingWrites, w.Job)
	p.ended[w.job.name] = time.Now()
	p.mu.Unlock()
	p.g.log.Warn().Str("event", "job-missing").Str("job", w.Job).Str("group", p.d.group).Msg("the store has ended the job; this scheduler forgets it")
	p.d.apply(ctx, placement.JobTransferred{Job: w.Job})
}

// followOpenJobs passes jobs that other VMs have stored or cancelled to the drivers of this VM.
func (g *Gateway) followOpenJobs(ctx context.Context) {
	revision := int64(0)
	for ctx.Err() == nil {
		drivers := g.allDrivers()
		if len(drivers) == 0 {
			revision = 0
			pause(ctx, holdLoopInterval)
			continue
		}
		items, next, err := g.openJobsSince(ctx, revision, openJobsWatchTimeout)
		switch {
		case errors.Is(err, store.ErrCompacted):
			revision = 0
			continue
		case err != nil:
			pause(ctx, retryDelay)
			continue
		}
		revision = next
		for _, d := range g.allDrivers() {
			for _, item := range items {
				d.persister.handleItem(ctx, item)
			}
		}
		pause(ctx, openJobsWatchInterval)
	}
}

// openJobsSince returns the entries of open jobs that have changed since a revision, all of them if it is 0, and the revision up to which
// they are complete. If nothing has changed, it waits for a change.
func (g *Gateway) openJobsSince(ctx context.Context, revision int64, wait time.Duration) (items []store.KeyValue, next int64, err error) {
	if revision == 0 {
		snapshot, err := g.config.Store.Range(ctx, openJobsPrefix)
		return snapshot.Items, snapshot.Revision, err
	}
	changes, err := g.config.Store.Watch(ctx, openJobsPrefix, revision, wait)
	for _, e := range changes.Events {
		if !e.Deleted {
			items = append(items, e.KeyValue)
		}
	}
	return items, max(revision, changes.Revision), err
}
