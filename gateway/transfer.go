package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/placement"
	"samphireplank.example/samphireplank/store"
)

// The transfer of a stored job to another group takes two writes under the record of the holder and the revision of the job: the first
// names the group in TransferTo, the second makes it the job's group. A write without a response may take effect seconds later, when
// a pause of the VM has dropped the holder's scheduler and a new one under the same record has read the job. That one finds TransferTo,
// since the second write is only sent once the first is known to be stored, and starts nothing before a write of its own.

// transferredJob records a job that was transferred to another group.
type transferredJob struct {
	revision int64 // older entries of the job are outdated
	at       time.Time
}

// nextOpenJob returns the entry of an open job for the next write.
func nextOpenJob(j openJob, s placement.PersistJob) openJob {
	stored := j.TransferTo
	j.Progress, j.TransferTo = &s.Progress, s.TransferTo
	if s.TransferTo != "" && s.TransferTo == stored {
		j.Group, j.TransferTo, j.Transfers = s.TransferTo, "", s.Transfers
	}
	return j
}

// transfer looks for another group for a job that waits, and passes it to the scheduler.
func (p *jobPersister) transfer(ctx context.Context, m placement.RequestTransfer) {
	p.mu.Lock()
	j := p.jobs[m.Job]
	if j == nil {
		p.mu.Unlock()
		return
	}
	s := Submission{Policy: j.Policy, Work: remainingWork(j.Work, m.Steps)}
	p.mu.Unlock()
	if group := p.g.groupForTransfer(s, p.d.group, m.Fits); group != "" {
		p.d.apply(ctx, placement.TransferJob{Job: m.Job, Group: group})
	}
}

// remainingWork returns the steps of a job that are not done.
func remainingWork(w job.Work, steps []bool) job.Work {
	remaining := w
	remaining.Steps = nil
	for i, step := range w.Steps {
		if i < len(steps) && steps[i] {
			remaining.Steps = append(remaining.Steps, step)
		}
	}
	return remaining
}

// groupForTransfer returns a group other than the given one that can run a job, "" if there is none. If the workers of the present
// group fit the job, the other one must have room for it now.
func (g *Gateway) groupForTransfer(s Submission, from string, fitsThere bool) string {
	table := g.holders()
	fitting := g.cache.groupsThatFit(s)
	r := &request{Submission: s}
	g.mu.Lock()
	defer g.mu.Unlock()
	var candidates []candidateGroup
	for group := range fitting {
		if h := table[group]; group == from || g.cache.evacuationState().Evacuated(zoneOf(group)) || h == nil || h.driver == nil && !g.takesTransfers[group] {
			continue
		}
		c := g.candidate(group, r)
		load, known := g.loads[group][s.Policy.Service]
		if fitsThere && (known && load.FreeMilliCores < leastMilliCores(s.Work) || time.Since(g.transferredAt[group]) < transferSpacing) {
			continue
		}
		candidates = append(candidates, c)
	}
	if len(candidates) == 0 {
		return ""
	}
	// The order of a map is random, and chance decides between equal groups.
	slices.SortFunc(candidates, func(a, b candidateGroup) int { return cmp.Compare(a.group, b.group) })
	group := chooseGroup(candidates, g.settings.Zone, rand.Float64())
	g.transferredAt[group] = time.Now()
	return group
}

// leastMilliCores returns the need of the smallest task of a job, all members of a gang counted as one, in thousandths of a core.
func leastMilliCores(w job.Work) int {
	least := math.MaxInt
	for _, s := range w.Steps {
		need := s.Need.MilliCores
		if s.Gang {
			need *= s.Count
		}
		least = min(least, need)
	}
	return least
}

// transferSpacing is the minimum time between two transfers to a group for its free room, of which heartbeats tell.
const transferSpacing = 150 * time.Millisecond

// continueTransfer handles a stored write of a transfer: the first is followed by the second, and after that the group of this VM no
// longer has the job.
func (p *jobPersister) continueTransfer(ctx context.Context, s placement.PersistJob, name string, written openJob, revision int64) {
	if written.Group != p.d.group {
		if !p.forgetTransferred(ctx, name, written.Group, revision) {
			return
		}
		value, err := json.Marshal(written)
		if err != nil {
			return // its holder reads the job from the store
		}
		p.g.forwardToHolder(written.Group, store.KeyValue{Key: openJobsPrefix + name, Value: value, Revision: revision})
		return
	}
	p.mu.Lock()
	if j := p.jobs[s.Job]; j != nil {
		j.revision, j.TransferTo = max(j.revision, revision), s.TransferTo
	}
	p.mu.Unlock()
	p.enqueueWrite(s)
}

// forgetTransferred forgets a job that the store has for another group at a revision. It returns false if this VM does not have the
// job, or knows of a later revision.
func (p *jobPersister) forgetTransferred(ctx context.Context, name, group string, revision int64) bool {
	id := schedulerID(name)
	p.mu.Lock()
	j := p.jobs[id]
	if j == nil || j.name != name || j.revision >= revision {
		p.mu.Unlock()
		return false
	}
	delete(p.jobs, id)
	delete(p.pendingWrites, id)
	p.transferred[name] = transferredJob{revision: revision, at: time.Now()}
	p.mu.Unlock()
	p.g.meter.transfers.Inc()
	p.g.log.Info().Str("event", "transferred").Str("job", id).Str("group", p.d.group).Str("to", group).Int64("revision", revision).Msg("another group has the job")
	p.d.apply(ctx, placement.JobTransferred{Job: id})
	return true
}
