package gateway

import (
	"context"
	"encoding/json"
	"errors"
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
	// saveInterval is the time between two writes of a holder. Callers see the end of a job only after its write, and the
	// store takes 400 writes a second of all VMs together on the users' small sites, where three groups have holders.
	saveInterval = 8 * time.Millisecond
	// longestSaveInterval bounds the interval, which doubles when the store refuses a write.
	longestSaveInterval = 128 * time.Millisecond
	// jobsPerWrite bounds the jobs of one write: the store takes 32 entries, and the end of a job is three.
	jobsPerWrite = 10
	// keptWait is the longest wait of a holder's watch over the stored jobs, which callers' VMs tell it of directly.
	keptWait = 2 * time.Second
	// keptRest is the pause between two of these watches, to take in several jobs at once.
	keptRest = 200 * time.Millisecond
	// keptMemory is how long the ids of ended jobs are remembered, so that a late message about one does not start it again.
	keptMemory = 5 * time.Minute
)

// keeper connects the pool of a group with its stored jobs.
type keeper struct {
	g *Gateway
	d *driver

	mu       sync.Mutex
	restored int64                           // revision as of which the jobs were read, 0 before that
	early    []store.KeyValue                // that came before the jobs were read
	jobs     map[string]*storedJob           // by the id under which the pool has them
	series   map[string]*storedJob           // scheduled jobs, which the pool does not have
	ended    map[string]time.Time            // by the name of the key
	saves    map[string]placement.PersistJob // to be written, by job
	wake     chan struct{}
	interval time.Duration // of run only
}

// storedJob is an open job with its revision in the store.
type storedJob struct {
	openJob
	revision int64
	name     string // of the key behind its prefix
}

func newKeeper(g *Gateway, d *driver) *keeper {
	return &keeper{
		g: g, d: d, jobs: map[string]*storedJob{}, series: map[string]*storedJob{}, ended: map[string]time.Time{},
		saves: map[string]placement.PersistJob{}, wake: make(chan struct{}, 1), interval: saveInterval,
	}
}

// current says whether the pool still is the one of its group.
func (k *keeper) current(ctx context.Context) bool {
	k.g.mu.Lock()
	defer k.g.mu.Unlock()
	return ctx.Err() == nil && k.g.drivers[k.d.group] == k.d && !k.d.lostFence()
}

// run restores the stored jobs of the group and writes what the pool asks for, until another VM has the group.
func (k *keeper) run(ctx context.Context) {
	for k.current(ctx) {
		snapshot, err := k.g.config.Store.Range(ctx, openPrefix)
		if err == nil {
			k.restore(ctx, snapshot)
			break
		}
		pause(ctx, retryDelay)
	}
	swept := time.Now()
	for k.current(ctx) {
		select {
		case <-ctx.Done():
		case <-k.wake:
		case <-time.After(retryDelay):
		}
		if batch := k.take(); len(batch) > 0 {
			k.write(ctx, batch)
			pause(ctx, k.interval)
		}
		k.schedule(ctx)
		if time.Since(swept) > sweepInterval {
			swept = time.Now()
			k.sweep(ctx)
		}
	}
}

// restore hands the jobs to the pool that the store had for the group when this VM took it.
func (k *keeper) restore(ctx context.Context, snapshot store.Snapshot) {
	jobs := 0
	for _, item := range snapshot.Items {
		if k.add(ctx, item, true) {
			jobs++
		}
	}
	k.d.apply(ctx, placement.RestoreDone{})
	k.mu.Lock()
	k.restored = max(snapshot.Revision, 1)
	early := k.early
	k.early = nil
	k.mu.Unlock()
	for _, item := range early {
		k.feed(ctx, item)
	}
	k.g.log.Info().Str("event", "restored").Str("group", k.d.group).Int("jobs", jobs).Int64("revision", snapshot.Revision).Msg("stored jobs of the group are known")
}

// feed takes in an open job, or a change of one, that another VM has written.
func (k *keeper) feed(ctx context.Context, item store.KeyValue) {
	k.mu.Lock()
	if k.restored == 0 {
		k.early = append(k.early, item)
		k.mu.Unlock()
		return
	}
	// A job that was written before the jobs were read and was not among them has ended since.
	name := nameOf(item.Key)
	stale := item.Revision <= k.restored && k.jobs[poolID(name)] == nil && k.series[name] == nil
	k.mu.Unlock()
	if !stale {
		k.add(ctx, item, false)
	}
}

func nameOf(key string) string { return strings.TrimPrefix(key, openPrefix) }

// poolID returns the id under which the pool has the job of a key. An occurrence has a key of its own, and the tasks of the
// first one are named like those of a job without a schedule.
func poolID(name string) string { return strings.TrimSuffix(name, ".0") }

// add hands a job to the pool that it does not have yet, or takes note of a newer revision of one; it says whether it did.
func (k *keeper) add(ctx context.Context, item store.KeyValue, resumed bool) bool {
	name := nameOf(item.Key)
	var open openJob
	if err := json.Unmarshal(item.Value, &open); err != nil {
		k.g.log.Error().Str("event", "job-malformed").Str("key", item.Key).Err(err).Msg("stored job cannot be read")
		return false
	}
	if open.Group != k.d.group {
		return false
	}
	scheduled := open.Work.Schedule.Count > 0
	jobs, id := k.jobs, poolID(name)
	if scheduled {
		jobs, id = k.series, name
	}
	k.mu.Lock()
	known := jobs[id]
	if _, over := k.ended[name]; over || known != nil && known.revision >= item.Revision {
		k.mu.Unlock()
		return false
	}
	if known != nil {
		known.revision, known.Cancelled = item.Revision, open.Cancelled
	} else {
		jobs[id] = &storedJob{openJob: open, revision: item.Revision, name: name}
	}
	k.mu.Unlock()
	switch {
	case scheduled:
		k.nudge()
	case known == nil:
		k.submit(ctx, open, resumed)
	}
	if open.Cancelled && !scheduled {
		k.d.apply(ctx, placement.CancelJob{Job: id})
	}
	return true
}

// submit hands a job to the pool.
func (k *keeper) submit(ctx context.Context, open openJob, resumed bool) {
	age := time.Since(open.Accepted)
	m := placement.Submit{
		Work: open.Work, Policy: open.Policy, Age: min(max(age, -scheduleLead), time.Hour), StartDelay: max(-age, 0), Resumed: resumed, Durable: true,
	}
	if open.Progress != nil {
		m.Progress = *open.Progress
	}
	k.d.apply(ctx, m)
	if m.StartDelay > 0 {
		time.AfterFunc(m.StartDelay, func() { k.d.apply(ctx, placement.Tick{}) })
	}
}

// save takes a request of the pool to write what is known of a job.
func (k *keeper) save(s placement.PersistJob) {
	k.mu.Lock()
	if k.saves[s.Job].Version < s.Version {
		k.saves[s.Job] = s
	}
	k.mu.Unlock()
	k.nudge()
}

func (k *keeper) nudge() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// take returns some of the jobs to write: those that have ended first.
func (k *keeper) take() []placement.PersistJob {
	if !k.confirmed() {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make([]placement.PersistJob, 0, len(k.saves))
	for _, s := range k.saves {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool {
		first, second := list[i].State != placement.DurableOpen, list[j].State != placement.DurableOpen
		return first && !second || first == second && list[i].Job < list[j].Job
	})
	if len(list) > jobsPerWrite {
		list = list[:jobsPerWrite]
		k.nudge()
	}
	for _, s := range list {
		delete(k.saves, s.Job)
	}
	return list
}

// confirmed says whether the store has this VM as the holder of the group under the present fence.
func (k *keeper) confirmed() bool { return k.holder() > 0 }

// holder returns the revision of the record that names this VM as the holder, 0 if there is none.
func (k *keeper) holder() int64 {
	k.g.view.mu.Lock()
	record := k.g.view.holders[k.d.group]
	k.g.view.mu.Unlock()
	if record.VM != k.g.settings.VM || record.Incarnation != k.g.self.Incarnation || k.d.fenceNow() < record.revision*fenceStep {
		return 0
	}
	return record.revision
}

var keptStates = map[placement.DurableState]JobState{
	placement.DurableCompleted: JobCompleted, placement.DurableFailed: JobFailed, placement.DurableCancelled: JobCancelled,
}

// write stores jobs under the condition that this VM holds the group and that nobody else has written them.
func (k *keeper) write(ctx context.Context, batch []placement.PersistJob) {
	t := store.Transaction{Conditions: []store.Condition{{Key: groupPrefix + k.d.group, Revision: k.holder()}}}
	var errs error
	k.mu.Lock()
	for _, s := range batch {
		j := k.jobs[s.Job]
		if j == nil {
			continue
		}
		t.Conditions = append(t.Conditions, store.Condition{Key: openPrefix + j.name, Revision: j.revision})
		if s.State != placement.DurableOpen {
			value, err := json.Marshal(endedJob{Group: k.d.group, State: keptStates[s.State], Ended: time.Now()})
			errs = errors.Join(errs, err)
			t.Deletes = append(t.Deletes, openPrefix+j.name)
			t.Puts = append(t.Puts, store.KeyValue{Key: endedPrefix + j.name, Value: value})
			continue
		}
		next := j.openJob
		next.Progress = &s.Progress
		value, err := json.Marshal(next)
		errs = errors.Join(errs, err)
		t.Puts = append(t.Puts, store.KeyValue{Key: openPrefix + j.name, Value: value})
	}
	k.mu.Unlock()
	if errs != nil {
		k.g.log.Error().Str("event", "save").Err(errs).Msg("jobs cannot be encoded")
		return
	}
	revision, err := k.g.config.Store.Commit(ctx, t)
	if err == nil {
		k.interval = max(k.interval-k.interval/8, saveInterval)
		over := peer.Over{States: map[string]string{}}
		for _, s := range batch {
			name := k.nameOf(s.Job)
			k.saved(ctx, s, revision)
			if s.State != placement.DurableOpen {
				over.States[name] = string(keptStates[s.State])
			}
		}
		if len(over.States) > 0 {
			k.g.send(over)
		}
		return
	}
	k.interval = min(2*k.interval, longestSaveInterval)
	k.g.log.Info().Str("event", "save").Str("group", k.d.group).Int("jobs", len(batch)).Err(err).Msg("jobs are not stored yet")
	if !errors.Is(err, store.ErrNotApplied) {
		for _, s := range batch {
			k.refresh(ctx, s)
		}
	}
	for _, s := range batch {
		k.mu.Lock()
		open := k.jobs[s.Job] != nil
		k.mu.Unlock()
		if open {
			k.save(s)
		}
	}
}

// saved takes in that a version of a job is stored.
func (k *keeper) saved(ctx context.Context, s placement.PersistJob, revision int64) {
	k.mu.Lock()
	j := k.jobs[s.Job]
	switch {
	case s.State != placement.DurableOpen:
		delete(k.jobs, s.Job)
		delete(k.saves, s.Job)
		if j != nil {
			k.ended[j.name] = time.Now()
			k.g.finals.put(j.name, keptStates[s.State])
			k.g.log.Info().Str("event", "job-ended").Str("job", s.Job).Str("group", k.d.group).Str("state", string(keptStates[s.State])).
				Int64("age-ms", time.Since(j.Accepted).Milliseconds()).Send()
		}
	case j != nil:
		j.revision = max(j.revision, revision)
	}
	k.mu.Unlock()
	k.d.apply(ctx, placement.JobPersisted{Job: s.Job, Version: s.Version})
}

// has returns whether an open job of the group is known here, and whether it was cancelled.
func (k *keeper) has(id string) (known, cancelled bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	j := k.jobs[id]
	if j == nil || j.name != id {
		return false, false // an occurrence of a scheduled job
	}
	return true, j.Cancelled
}

// nameOf returns the name of the key of a job of the pool.
func (k *keeper) nameOf(id string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if j := k.jobs[id]; j != nil {
		return j.name
	}
	return id
}

// refresh reads a job anew after a write that had no effect or has no known outcome.
func (k *keeper) refresh(ctx context.Context, s placement.PersistJob) {
	item, err := k.g.config.Store.Get(ctx, openPrefix+k.nameOf(s.Job))
	switch {
	case errors.Is(err, store.ErrNotFound):
		// Only the holder ends a job, so this VM has done so.
		if s.State != placement.DurableOpen {
			k.saved(ctx, s, 0)
		}
	case err == nil:
		k.mu.Lock()
		if j := k.jobs[s.Job]; j != nil {
			j.revision = 0 // what was read counts, whatever was known
		}
		k.mu.Unlock()
		k.add(ctx, item, false)
	}
}

// sweepInterval is the time between two looks for jobs that ended so long ago that nobody asks for them any more.
const sweepInterval = time.Minute

// sweep removes the keys of jobs that ended long ago. All ended jobs of two minutes have some megabytes at the users' peak, so
// the holder of one group looks for those of all.
func (k *keeper) sweep(ctx context.Context) {
	k.mu.Lock()
	for id, at := range k.ended {
		if time.Since(at) > keptMemory {
			delete(k.ended, id)
		}
	}
	k.mu.Unlock()
	if groups := k.g.groups(); len(groups) == 0 || k.d.group != slices.Min(groups) {
		return // one holder does it for all
	}
	snapshot, err := k.g.config.Store.Range(ctx, endedPrefix)
	if err != nil {
		return // the next look finds them
	}
	var old store.Transaction
	remove := func() {
		if len(old.Deletes) == 0 {
			return
		}
		if _, err := k.g.config.Store.Commit(ctx, old); err != nil {
			k.g.log.Info().Str("event", "sweep").Str("group", k.d.group).Err(err).Msg("old jobs are removed later")
		}
		old = store.Transaction{}
	}
	for _, item := range snapshot.Items {
		var ended endedJob
		if err := json.Unmarshal(item.Value, &ended); err == nil && time.Since(ended.Ended) < k.g.settings.EndedJobRetention+sweepMargin {
			continue
		}
		old.Conditions = append(old.Conditions, store.Condition{Key: item.Key, Revision: item.Revision})
		old.Deletes = append(old.Deletes, item.Key)
		if len(old.Deletes) == jobsPerWrite {
			remove()
		}
	}
	remove()
}

// sweepMargin covers the difference of the VMs' clocks.
const sweepMargin = 30 * time.Second

// followKept tells the pools of this VM of jobs that other VMs have stored or cancelled.
func (g *Gateway) followKept(ctx context.Context) {
	revision := int64(0)
	for ctx.Err() == nil {
		drivers := g.allDrivers()
		if len(drivers) == 0 {
			revision = 0
			pause(ctx, holdInterval)
			continue
		}
		var items []store.KeyValue
		var err error
		if revision == 0 {
			var snapshot store.Snapshot
			snapshot, err = g.config.Store.Range(ctx, openPrefix)
			items, revision = snapshot.Items, snapshot.Revision
		} else {
			var changes store.WatchResult
			changes, err = g.config.Store.Watch(ctx, openPrefix, revision, keptWait)
			for _, e := range changes.Events {
				if !e.Deleted {
					items = append(items, e.KeyValue)
				}
			}
			revision = max(revision, changes.Revision)
		}
		switch {
		case errors.Is(err, store.ErrCompacted):
			revision = 0
			continue
		case err != nil:
			pause(ctx, retryDelay)
			continue
		}
		for _, d := range g.allDrivers() {
			for _, item := range items {
				d.keeper.feed(ctx, item)
			}
		}
		pause(ctx, keptRest)
	}
}
