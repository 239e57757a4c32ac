package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/placement"
	"samphireplank.example/samphireplank/store"
)

// A scheduled job is a key of its own that counts the occurrences that have been begun. Each occurrence becomes a stored job
// shortly before its time, in the same write that counts it, so that it comes once.

// scheduleLead is the time before an occurrence at which it is stored, so that a store that is away for a moment does not
// delay it.
const scheduleLead = 3 * time.Second

// schedule stores the occurrences of scheduled jobs whose time is near, and ends the jobs whose occurrences have all ended.
func (k *keeper) schedule(ctx context.Context) {
	if !k.confirmed() {
		return
	}
	k.mu.Lock()
	list := make([]*storedJob, 0, len(k.series))
	for _, s := range k.series {
		list = append(list, s)
	}
	k.mu.Unlock()
	for _, s := range list {
		k.mu.Lock()
		series := *s
		k.mu.Unlock()
		switch {
		case series.Cancelled && k.cancelOccurrences(ctx, series.name):
		case series.Cancelled:
			k.endSeries(ctx, series, JobCancelled)
		case series.Next < series.Work.Schedule.Count:
			if time.Until(series.Work.Schedule.TimeOf(series.Next)) < scheduleLead {
				k.begin(ctx, series)
			}
		case !k.hasOccurrences(series.name):
			k.endSeries(ctx, series, JobCompleted)
		}
	}
}

// begin stores the next occurrence of a scheduled job.
func (k *keeper) begin(ctx context.Context, series storedJob) {
	due := series.Work.Schedule.TimeOf(series.Next)
	occurrence := openJob{Group: series.Group, Accepted: due, Policy: series.Policy, Work: series.Work}
	occurrence.Work.Schedule = job.Schedule{}
	occurrence.Work.ID = job.OccurrenceID(series.name, series.Next)
	counted := series.openJob
	counted.Next++
	first, err := json.Marshal(counted)
	second, err2 := json.Marshal(occurrence)
	if err = errors.Join(err, err2); err != nil {
		k.g.log.Error().Str("event", "schedule").Str("job", series.name).Err(err).Msg("occurrence cannot be encoded")
		return
	}
	own := store.KeyValue{Key: openPrefix + series.name, Value: first}
	next := store.KeyValue{Key: openPrefix + series.name + "." + strconv.Itoa(series.Next), Value: second}
	revision, err := k.g.config.Store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: groupPrefix + k.d.group, Revision: k.holder()}, {Key: own.Key, Revision: series.revision}},
		Puts:       []store.KeyValue{own, next},
	})
	k.g.log.Info().Str("event", "schedule").Str("job", series.name).Int("occurrence", series.Next).Int64("due-in-ms", time.Until(due).Milliseconds()).
		Err(err).Bool("stored", err == nil).Send()
	if err != nil {
		k.reread(ctx, series.name, err)
		return
	}
	k.mu.Lock()
	if s := k.series[series.name]; s != nil {
		s.Next, s.revision = counted.Next, revision
	}
	k.mu.Unlock()
	next.Revision = revision
	k.add(ctx, next, false)
}

// reread takes in a scheduled job, and its occurrences, as the store has them after a write without a known effect.
func (k *keeper) reread(ctx context.Context, name string, cause error) {
	if errors.Is(cause, store.ErrNotApplied) {
		return
	}
	snapshot, err := k.g.config.Store.Range(ctx, openPrefix+name)
	if err != nil {
		return // the next look writes again and fails, or reads
	}
	found := false
	for _, item := range snapshot.Items {
		if item.Key != openPrefix+name {
			k.add(ctx, item, false)
			continue
		}
		found = true
		var open openJob
		if err := json.Unmarshal(item.Value, &open); err != nil {
			k.g.log.Error().Str("event", "job-malformed").Str("key", item.Key).Err(err).Msg("stored job cannot be read")
			return
		}
		k.mu.Lock()
		k.series[name] = &storedJob{openJob: open, revision: item.Revision, name: name}
		k.mu.Unlock()
	}
	if !found {
		k.mu.Lock()
		delete(k.series, name)
		k.ended[name] = time.Now()
		k.mu.Unlock()
	}
}

func isOccurrence(of, name string) bool { return strings.HasPrefix(name, of+".") }

func (k *keeper) hasOccurrences(series string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, j := range k.jobs {
		if isOccurrence(series, j.name) {
			return true
		}
	}
	return false
}

// cancelOccurrences cancels the occurrences that have not ended and says whether there are any.
func (k *keeper) cancelOccurrences(ctx context.Context, series string) bool {
	k.mu.Lock()
	var ids []string
	for id, j := range k.jobs {
		if isOccurrence(series, j.name) {
			ids = append(ids, id)
		}
	}
	k.mu.Unlock()
	for _, id := range ids {
		k.d.apply(ctx, placement.CancelJob{Job: id})
	}
	return len(ids) > 0
}

// endSeries stores the end of a scheduled job; it has failed if one of its occurrences has.
func (k *keeper) endSeries(ctx context.Context, series storedJob, state JobState) {
	if state == JobCompleted {
		snapshot, err := k.g.config.Store.Range(ctx, endedPrefix+series.name+".")
		if err != nil {
			return // the next look reads again
		}
		for _, item := range snapshot.Items {
			var ended endedJob
			if err := json.Unmarshal(item.Value, &ended); err == nil && ended.State == JobFailed {
				state = JobFailed
			}
		}
	}
	value, err := json.Marshal(endedJob{Group: k.d.group, State: state, Ended: time.Now()})
	if err != nil {
		k.g.log.Error().Str("event", "schedule").Str("job", series.name).Err(err).Msg("end cannot be encoded")
		return
	}
	key := openPrefix + series.name
	_, err = k.g.config.Store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: groupPrefix + k.d.group, Revision: k.holder()}, {Key: key, Revision: series.revision}},
		Puts:       []store.KeyValue{{Key: endedPrefix + series.name, Value: value}},
		Deletes:    []string{key},
	})
	if err != nil {
		k.reread(ctx, series.name, err)
		return
	}
	k.mu.Lock()
	delete(k.series, series.name)
	k.ended[series.name] = time.Now()
	k.mu.Unlock()
	k.g.finals.put(series.name, state)
	k.g.log.Info().Str("event", "job-ended").Str("job", series.name).Str("group", k.d.group).Str("state", string(state)).Send()
}
