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

// A scheduled job is a key of its own with the number of occurrences stored so far. Each occurrence becomes a durable
// job shortly before its time, in the same write that counts it, so that it is stored exactly once.

// scheduleLead is how long before its time an occurrence is stored, so that a short unavailability of the store does
// not delay it.
const scheduleLead = 3 * time.Second

// schedule stores the occurrences that are due within scheduleLead, and ends the scheduled jobs whose occurrences have
// all ended.
func (p *jobPersister) schedule(ctx context.Context) {
	if !p.holderConfirmed() {
		return
	}
	p.mu.Lock()
	list := make([]*storedJob, 0, len(p.series))
	for _, s := range p.series {
		list = append(list, s)
	}
	p.mu.Unlock()
	for _, s := range list {
		p.mu.Lock()
		series := *s
		p.mu.Unlock()
		switch {
		case series.Cancelled && p.cancelOccurrences(ctx, series.name):
		case series.Cancelled:
			p.endSeries(ctx, series, JobCancelled)
		case series.Next < series.Work.Schedule.Count:
			if time.Until(series.Work.Schedule.TimeOf(series.Next)) < scheduleLead {
				p.storeOccurrence(ctx, series)
			}
		case !p.hasOccurrences(series.name):
			p.endSeries(ctx, series, JobCompleted)
		}
	}
}

// storeOccurrence stores the next occurrence of a scheduled job and counts it.
func (p *jobPersister) storeOccurrence(ctx context.Context, series storedJob) {
	due := series.Work.Schedule.TimeOf(series.Next)
	occurrence := openJob{Group: series.Group, Accepted: due, Policy: series.Policy, Work: series.Work}
	occurrence.Work.Schedule = job.Schedule{}
	occurrence.Work.ID = job.OccurrenceID(series.name, series.Next)
	counted := series.openJob
	counted.Next++
	name := series.name + "." + strconv.Itoa(series.Next)
	first, err := json.Marshal(counted)
	second, err2 := json.Marshal(occurrence)
	if err = errors.Join(err, err2); err != nil {
		p.g.log.Error().Str("event", "schedule").Str("job", series.name).Err(err).Msg("occurrence cannot be encoded")
		return
	}
	own := store.KeyValue{Key: openJobsPrefix + series.name, Value: first}
	next := store.KeyValue{Key: openJobsPrefix + name, Value: second}
	revision, err := p.g.config.Store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{
			{Key: groupPrefix + p.d.group, Revision: p.holderRevision()}, {Key: own.Key, Revision: series.revision}, {Key: next.Key}, {Key: endedJobsPrefix + name},
		},
		Puts: []store.KeyValue{own, next},
	})
	p.g.log.Info().Str("event", "schedule").Str("job", series.name).Int("occurrence", series.Next).Int64("due-in-ms", time.Until(due).Milliseconds()).
		Err(err).Bool("stored", err == nil).Send()
	if err != nil {
		p.reloadSeries(ctx, series.name, err)
		return
	}
	p.mu.Lock()
	if s := p.series[series.name]; s != nil && s.revision < revision { // the job may have been cancelled since
		s.openJob, s.revision = counted, revision
	}
	p.mu.Unlock()
	next.Revision = revision
	p.addJob(ctx, next, false)
}

// reloadSeries reads a scheduled job and its occurrences again after a write that conflicted or whose outcome is
// unknown.
func (p *jobPersister) reloadSeries(ctx context.Context, name string, cause error) {
	if errors.Is(cause, store.ErrNotApplied) {
		return
	}
	snapshot, err := p.g.config.Store.Range(ctx, openJobsPrefix+name)
	if err != nil {
		return // the next write fails with a conflict and retries the read
	}
	found := false
	for _, item := range snapshot.Items {
		found = found || item.Key == openJobsPrefix+name
		p.addJob(ctx, item, false)
	}
	if !found {
		p.mu.Lock()
		delete(p.series, name)
		p.ended[name] = time.Now()
		p.mu.Unlock()
	}
}

func isOccurrence(of, name string) bool { return strings.HasPrefix(name, of+".") }

func (p *jobPersister) hasOccurrences(series string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, j := range p.jobs {
		if isOccurrence(series, j.name) {
			return true
		}
	}
	return false
}

// cancelOccurrences cancels the occurrences that have not ended and reports whether there are any.
func (p *jobPersister) cancelOccurrences(ctx context.Context, series string) bool {
	p.mu.Lock()
	var ids []string
	for id, j := range p.jobs {
		if isOccurrence(series, j.name) {
			ids = append(ids, id)
		}
	}
	p.mu.Unlock()
	for _, id := range ids {
		p.d.apply(ctx, placement.CancelJob{Job: id})
	}
	return len(ids) > 0
}

// occurrencesCheckInterval is the interval between two reads of the occurrences of a scheduled job that other groups have.
const occurrencesCheckInterval = 500 * time.Millisecond

// hasOccurrencesElsewhere reports whether other groups have occurrences of a scheduled job that have not ended, or may have. It cancels
// them if the job is cancelled.
func (p *jobPersister) hasOccurrencesElsewhere(ctx context.Context, series storedJob) bool {
	p.mu.Lock()
	recent := time.Since(p.occurrencesReadAt[series.name]) < occurrencesCheckInterval
	if !recent {
		p.occurrencesReadAt[series.name] = time.Now()
	}
	p.mu.Unlock()
	if recent {
		return true
	}
	if series.Cancelled {
		stored, _, err := p.g.cancelStoredOccurrences(ctx, series.name)
		if err != nil {
			p.g.log.Info().Str("event", "cancel").Str("job", series.name).Err(err).Msg("occurrences were not cancelled; it will be retried")
		}
		return err != nil || stored > 0
	}
	snapshot, err := p.g.config.Store.Range(ctx, openJobsPrefix+series.name+".")
	return err != nil || len(snapshot.Items) > 0
}

// endSeries stores the end of a scheduled job; the job has failed if one of its occurrences has.
func (p *jobPersister) endSeries(ctx context.Context, series storedJob, state JobState) {
	if p.hasOccurrencesElsewhere(ctx, series) {
		return // the next check reads again
	}
	if state == JobCompleted {
		snapshot, err := p.g.config.Store.Range(ctx, endedJobsPrefix+series.name+".")
		if err != nil {
			return // the next check reads again
		}
		for _, item := range snapshot.Items {
			var ended endedJob
			if err := json.Unmarshal(item.Value, &ended); err == nil && ended.State == JobFailed {
				state = JobFailed
			}
		}
	}
	value, err := json.Marshal(endedJob{Group: p.d.group, State: state, Ended: time.Now()})
	if err != nil {
		p.g.log.Error().Str("event", "schedule").Str("job", series.name).Err(err).Msg("end of the scheduled job cannot be encoded")
		return
	}
	key := openJobsPrefix + series.name
	_, err = p.g.config.Store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: groupPrefix + p.d.group, Revision: p.holderRevision()}, {Key: key, Revision: series.revision}},
		Puts:       []store.KeyValue{{Key: endedJobsPrefix + series.name, Value: value}},
		Deletes:    []string{key},
	})
	if err != nil {
		p.reloadSeries(ctx, series.name, err)
		return
	}
	p.mu.Lock()
	delete(p.series, series.name)
	delete(p.occurrencesReadAt, series.name)
	p.ended[series.name] = time.Now()
	p.mu.Unlock()
	p.g.endedJobs.put(series.name, state)
	p.g.log.Info().Str("event", "job-ended").Str("job", series.name).Str("group", p.d.group).Str("state", string(state)).Send()
}
