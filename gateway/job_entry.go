package gateway

import (
	"context"
	"encoding/json"
	"time"

	"samphireplank.example/samphireplank/placement"
	"samphireplank.example/samphireplank/store"
)

// addJob takes over the entry of a job in the store, from whichever source, and submits the job if the scheduler does not have it. It
// returns false if the entry is outdated, malformed or of another group.
func (p *jobPersister) addJob(ctx context.Context, item store.KeyValue, resumed bool) bool {
	name := trimOpenPrefix(item.Key)
	var open openJob
	if err := json.Unmarshal(item.Value, &open); err != nil {
		p.g.log.Error().Str("event", "job-malformed").Str("key", item.Key).Err(err).Msg("stored job cannot be decoded")
		return false
	}
	if isTombstone(open) {
		p.handleTombstone(ctx, item, open)
		return false
	}
	if open.Group != p.d.group {
		if p.forgetTransferred(ctx, name, open.Group, item.Revision) {
			p.g.forwardToHolder(open.Group, item)
		}
		return false
	}
	change := p.recordEntry(name, open, item.Revision)
	switch {
	case change == entryOutdated:
		return false
	case isScheduled(open):
		p.wakeUp()
		return true
	}
	id := schedulerID(name)
	if change == entryReturned {
		p.g.log.Info().Str("event", "returned").Str("job", id).Str("group", p.d.group).Int64("revision", item.Revision).Msg("the job was transferred and has come back")
		p.d.apply(ctx, placement.JobTransferred{Job: id})
	}
	if change != entryNewer {
		p.submit(ctx, open, resumed || open.Progress != nil) // another group may have run it
	}
	// A newer entry may have been recorded before the scheduler had the job.
	if p.isCancelled(id) {
		p.d.apply(ctx, placement.CancelJob{Job: id})
	}
	return true
}

// handleTombstone cancels a best-effort job of the id of a tombstone, which the sweep removes later.
func (p *jobPersister) handleTombstone(ctx context.Context, item store.KeyValue, open openJob) {
	p.mu.Lock()
	known := p.tombstones[item.Key].revision >= item.Revision
	p.tombstones[item.Key] = tombstone{revision: item.Revision, at: open.Accepted}
	p.mu.Unlock()
	if !known {
		p.d.apply(ctx, placement.CancelBestEffort{Job: trimOpenPrefix(item.Key)})
	}
}

func (p *jobPersister) isCancelled(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	j := p.jobs[id]
	return j != nil && j.Cancelled
}

func isScheduled(j openJob) bool { return j.Work.Schedule.Count > 0 }

// entryChange says what the entry of a job in the store means for the persister.
type entryChange int

const (
	entryOutdated entryChange = iota // the job has ended, or its entry is not newer than the known one
	entryNew                         // the job was not known
	entryNewer                       // the job was known
	entryReturned                    // the job was known, and was in another group since
)

// recordEntry records the entry of a job of the group, unless it is outdated. A write under the revision of an entry must not undo what
// the entry says, so the revision is never recorded alone.
func (p *jobPersister) recordEntry(name string, open openJob, revision int64) entryChange {
	jobs, id := p.jobs, schedulerID(name)
	if isScheduled(open) {
		jobs, id = p.series, name
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	known := jobs[id]
	_, ended := p.ended[name]
	switch {
	case ended || revision <= p.transferred[name].revision || known != nil && revision <= known.revision:
		return entryOutdated
	case known == nil:
		jobs[id] = &storedJob{openJob: open, revision: revision, name: name}
		return entryNew
	case isScheduled(open):
		p.g.log.Info().Str("event", "schedule-read").Str("job", name).Int64("revision", revision).Int("stored-before", known.Next).Int("stored", open.Next).
			Bool("cancelled", open.Cancelled).Msg("the scheduled job has changed in the store")
		known.openJob, known.revision = open, revision
		return entryNewer
	case known.leaving && open.TransferTo == "":
		// After the write that gives the job to another group, only that group writes an entry without a target.
		jobs[id] = &storedJob{openJob: open, revision: revision, name: name}
		delete(p.pendingWrites, id)
		return entryReturned
	}
	// The scheduler has all other changes: only this VM has written them.
	known.revision, known.Cancelled, known.TransferTo = revision, open.Cancelled, open.TransferTo
	return entryNewer
}

// submit submits a durable job to the scheduler.
func (p *jobPersister) submit(ctx context.Context, open openJob, resumed bool) {
	age := time.Since(open.Accepted)
	m := placement.Submit{
		Work: open.Work, Policy: open.Policy, Age: min(max(age, -scheduleLead), time.Hour), StartDelay: max(-age, 0), Resumed: resumed, Durable: true,
		Transfers: open.Transfers, TransferTo: open.TransferTo, Cancelled: open.Cancelled,
	}
	if open.Progress != nil {
		m.Progress = *open.Progress
	}
	p.d.apply(ctx, m)
	if m.StartDelay > 0 {
		time.AfterFunc(m.StartDelay, func() { p.d.apply(ctx, placement.Tick{}) })
	}
}
