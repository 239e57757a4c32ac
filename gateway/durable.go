package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/peer"
	"samphireplank.example/samphireplank/placement"
	"samphireplank.example/samphireplank/store"
)

// A durable job, which outlives its caller's request, is a key of the store from its acceptance to its end, when it
// moves to another prefix. The holder of its group runs it and is the only VM that writes its progress.
const (
	openJobsPrefix  = "samphireplank-jobs/open/"
	endedJobsPrefix = "samphireplank-jobs/ended/"
)

// JobState is the state of a durable job.
type JobState string

// The states of a durable job; JobUnknown means that there is no such job, and JobTombstone that there is none and will be none, since its
// id was cancelled.
const (
	JobUnknown   JobState = ""
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
	JobTombstone JobState = "tombstone"
)

// ErrStoreUnavailable means that the store did not respond, so that the state of a job is unknown or a job was not
// stored.
var ErrStoreUnavailable = errors.New("the store does not answer")

// openJob is the stored form of a durable job that has not ended.
type openJob struct {
	Group     string              `json:"group"` // group that runs the job
	Accepted  time.Time           `json:"accepted"`
	Cancelled bool                `json:"cancelled,omitempty"`
	Policy    job.Policy          `json:"policy"`
	Work      job.Work            `json:"work"`
	Progress  *placement.Progress `json:"progress,omitempty"`
	Next      int                 `json:"next,omitempty"` // number of occurrences of a scheduled job that have been stored
	// TransferTo is the group to which the holder is about to transfer the job; a new holder starts nothing of it before it has
	// written it again.
	TransferTo string `json:"transfer-to,omitempty"`
	Transfers  int    `json:"transfers,omitempty"` // how often the job was transferred without a run in between
}

// endedJob is the stored form of a durable job that has ended.
type endedJob struct {
	Group string    `json:"group"` // group that has run the job
	State JobState  `json:"state"`
	Ended time.Time `json:"ended"`
}

// Accepted means that a job is stored and will be run.
type Accepted struct{}

func (Accepted) reply() {}

const (
	// admissionFactor is the multiple of its objective within which a job must be expected to end; others are refused.
	admissionFactor = 1.0
	// commitRetryDelay is the delay between two attempts to store a job.
	commitRetryDelay = 60 * time.Millisecond
	// commitTimeout limits the attempts to store a job that is certainly not stored yet.
	commitTimeout = 250 * time.Millisecond
)

// reasonCancelledBefore is the reason for the refusal of a job whose id has a tombstone.
const reasonCancelledBefore = "the job was cancelled before it was stored"

// SubmitDurable stores a durable job, which its group then runs; it returns an Accepted, a Refused or an
// OutcomeUnknown.
func (g *Gateway) SubmitDurable(ctx context.Context, s Submission) Reply {
	arrived := time.Now()
	reply := g.storeJob(ctx, s, arrived)
	line := g.log.Info().Str("event", "accept").Str("job", s.Work.ID).Str("route", s.Policy.Route).Int64("took-ms", time.Since(arrived).Milliseconds())
	switch r := reply.(type) {
	case Refused:
		line.Str("outcome", "refused").Str("reason", r.Reason).Int64("retry-after-ms", r.RetryAfter.Milliseconds()).Send()
	case OutcomeUnknown:
		line.Str("outcome", "undecided").Str("reason", r.Reason).Send()
	default:
		line.Str("outcome", "accepted").Send()
	}
	return reply
}

func (g *Gateway) storeJob(ctx context.Context, s Submission, arrived time.Time) Reply {
	deadline := arrived.Add(s.Budget - replyMargin)
	group, refusal := g.groupForDurable(s)
	if group == "" {
		// An earlier request for the same job may have stored it.
		switch state, err := g.JobState(ctx, s.Work.ID); {
		case err != nil:
			return OutcomeUnknown{Reason: err.Error()}
		case state == JobUnknown, state == JobTombstone:
			return refusal
		}
		return Accepted{}
	}
	value, err := json.Marshal(openJob{Group: group, Accepted: arrived, Policy: s.Policy, Work: s.Work})
	if err != nil {
		return Refused{Reason: "the job cannot be stored: " + err.Error(), RetryAfter: g.config.PlacementRules.MaxRetryAfter}
	}
	item := store.KeyValue{Key: openJobsPrefix + s.Work.ID, Value: value}
	for mayBeStored := false; ; {
		revision, err := g.commits.commit(ctx, store.Transaction{
			Conditions: []store.Condition{{Key: item.Key}, {Key: endedJobsPrefix + s.Work.ID}}, Puts: []store.KeyValue{item},
		})
		switch {
		case err == nil:
			item.Revision = revision
			g.forwardToHolder(group, item)
			return Accepted{}
		case errors.Is(err, store.ErrConflict):
			switch state, err := g.JobState(ctx, s.Work.ID); {
			case err == nil && state == JobTombstone:
				// No write can store the job any more, whatever has become of earlier ones.
				return Refused{Reason: reasonCancelledBefore, RetryAfter: g.config.PlacementRules.MaxRetryAfter}
			case err == nil && state != JobUnknown:
				return Accepted{} // stored by an earlier request for the same job
			}
			mayBeStored = true // one of its keys exists, but its state can't be read
		case !errors.Is(err, store.ErrNotApplied):
			mayBeStored = true
		case errors.Is(err, ErrStoreUnavailable) && !mayBeStored:
			return Refused{Reason: ErrStoreUnavailable.Error(), RetryAfter: time.Second}
		}
		remaining := time.Until(deadline)
		switch {
		case mayBeStored && (remaining < commitRetryDelay || ctx.Err() != nil):
			return OutcomeUnknown{Reason: "the store has not said whether it has the job"}
		case !mayBeStored && (time.Since(arrived) > commitTimeout || remaining < commitRetryDelay || ctx.Err() != nil):
			return Refused{Reason: "the store does not take the job", RetryAfter: time.Second}
		}
		pause(ctx, commitRetryDelay)
	}
}

// groupForDurable returns the group for a durable job, or "" and the refusal if no group can run it in time.
func (g *Gateway) groupForDurable(s Submission) (string, Refused) {
	table := g.holders()
	r := &request{Submission: s}
	fitting := g.cache.groupsThatFit(s)
	objective := time.Duration(float64(criticalPath(s.Work))*max(s.Policy.Stretch, 1)) + s.Policy.Target
	g.mu.Lock()
	defer g.mu.Unlock()
	var candidates []candidateGroup
	minWait := time.Duration(-1)
	for group := range fitting {
		if g.cache.evacuationState().Evacuated(zoneOf(group)) {
			continue
		}
		o := g.candidate(group, r)
		if table[group] == nil {
			o.expectedWait += noWorkerPenalty // its next holder runs the job
		}
		if minWait < 0 || o.expectedWait < minWait {
			minWait = o.expectedWait
		}
		candidates = append(candidates, o)
	}
	if len(candidates) == 0 {
		return "", Refused{Reason: "no worker can run the job", RetryAfter: g.config.PlacementRules.MaxRetryAfter}
	}
	if late := minWait + criticalPath(s.Work) - time.Duration(admissionFactor*float64(objective)); late > 0 && !s.Work.IsLongRunning() && s.Work.Schedule.Count == 0 {
		return "", Refused{Reason: "the job would end far too late", RetryAfter: min(late, g.config.PlacementRules.MaxRetryAfter)}
	}
	return chooseGroup(candidates, g.settings.Zone, rand.Float64()), Refused{}
}

// criticalPath returns the estimated duration of the longest chain of dependent steps.
func criticalPath(w job.Work) time.Duration {
	ends := make([]time.Duration, len(w.Steps))
	var longest time.Duration
	for i, s := range w.Steps {
		for _, earlier := range s.After {
			ends[i] = max(ends[i], ends[earlier])
		}
		ends[i] += s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// groupsThatFit returns the groups whose workers can run each step of a job: one task of it, or all tasks of a gang at
// once.
func (sc *storeCache) groupsThatFit(s Submission) map[string]bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	capacity := map[string][]int{} // tasks that fit, by group and step
	for _, w := range sc.workers {
		group, known := sc.groupOf(w)
		if !known || w.Service != s.Policy.Service || w.Draining {
			continue
		}
		if capacity[group] == nil {
			capacity[group] = make([]int, len(s.Work.Steps))
		}
		for i, step := range s.Work.Steps {
			if step.RequiredLabel == "" || w.HasLabel(step.RequiredLabel) {
				capacity[group][i] += step.PerWorker(w)
			}
		}
	}
	fitting := map[string]bool{}
	for group, fits := range capacity {
		fitting[group] = true
		for i, step := range s.Work.Steps {
			fitting[group] = fitting[group] && fits[i] > 0 && (!step.Gang || fits[i] >= step.Count)
		}
		if !fitting[group] {
			delete(fitting, group)
		}
	}
	return fitting
}

// forwardToHolder passes a stored job to the holder of its group, which otherwise reads it from the store a little
// later.
func (g *Gateway) forwardToHolder(group string, item store.KeyValue) {
	h := g.holderOf(group)
	switch {
	case h == nil:
	case h.driver != nil:
		h.driver.persister.handleItem(g.ctx, item)
	default:
		h.conn.Send(peer.Stored{Group: group, Key: item.Key, Value: item.Value, Revision: item.Revision})
	}
}

// stateWaitTimeout is how long a state request waits for the end of a job. Callers poll every 250 ms, often just before
// the end is stored; a caller that receives the end with this answer need not poll again.
const stateWaitTimeout = 100 * time.Millisecond

// WaitJobState returns the state of a durable job. If the job has not ended, it waits up to stateWaitTimeout for the
// end.
func (g *Gateway) WaitJobState(ctx context.Context, id string) (JobState, error) {
	state, err := g.JobState(ctx, id)
	if err != nil || state != JobQueued && state != JobRunning {
		return state, err
	}
	if end, ended := g.endedJobs.wait(ctx, id, stateWaitTimeout); ended {
		return end, nil
	}
	return state, nil
}

// JobState returns the state of a durable job as known to its holder here or to the store. It returns
// ErrStoreUnavailable if the store does not respond.
func (g *Gateway) JobState(ctx context.Context, id string) (JobState, error) {
	if state, known := g.endedJobs.get(id); known {
		return state, nil
	}
	for _, d := range g.allDrivers() {
		if d.lostFence() {
			continue
		}
		known, cancelled := d.persister.lookup(id)
		switch {
		case cancelled:
			return JobCancelled, nil
		case known && d.hasStarted(id):
			return JobRunning, nil
		case known:
			return JobQueued, nil
		}
	}
	state, found, err := g.activeState(ctx, id)
	if found || err != nil {
		return state, err
	}
	// The end of a job writes one key and removes the other in one transaction, so a job always has one of the two keys.
	return g.endedState(ctx, id)
}

// endedState returns the state of a durable job that has ended, JobUnknown if there is none.
func (g *Gateway) endedState(ctx context.Context, id string) (JobState, error) {
	if state, known := g.endedJobs.get(id); known {
		return state, nil
	}
	item, err := g.config.Store.Get(ctx, endedJobsPrefix+id)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return JobUnknown, nil
	case err != nil:
		return JobUnknown, errors.Join(ErrStoreUnavailable, err)
	}
	var ended endedJob
	if err := json.Unmarshal(item.Value, &ended); err != nil {
		return JobUnknown, errors.Join(ErrStoreUnavailable, err)
	}
	g.endedJobs.put(id, ended.State)
	return ended.State, nil
}

// staleReadMaxAge is the age of a job up to which a stale read of the store may report that it has not ended: holders
// broadcast ends, and the state must be right after 3 s.
const staleReadMaxAge = 2 * time.Second

// activeState returns the state of a job that has not ended; found is false if there is none.
func (g *Gateway) activeState(ctx context.Context, id string) (state JobState, found bool, err error) {
	for _, read := range []func(context.Context, string) (store.KeyValue, error){g.config.Store.GetStale, g.config.Store.Get} {
		item, err := read(ctx, openJobsPrefix+id)
		if errors.Is(err, store.ErrNotFound) {
			found = false
			continue
		}
		if err != nil {
			return JobUnknown, false, errors.Join(ErrStoreUnavailable, err)
		}
		var open openJob
		if err := json.Unmarshal(item.Value, &open); err != nil {
			return JobUnknown, false, errors.Join(ErrStoreUnavailable, err)
		}
		found = true
		switch {
		case isTombstone(open):
			state = JobTombstone
		case open.Cancelled:
			state = JobCancelled
		default:
			state = g.queuedOrRunning(ctx, id, open)
		}
		if time.Since(open.Accepted) < staleReadMaxAge {
			break
		}
	}
	return state, found, nil
}

// askTimeout is the timeout of the request to a holder for whether a job has started.
const askTimeout = 100 * time.Millisecond

// queuedOrRunning returns JobQueued or JobRunning: the holder knows which, and the store knows once a task has ended.
func (g *Gateway) queuedOrRunning(ctx context.Context, id string, open openJob) JobState {
	if open.Progress != nil || open.Next > 0 && !time.Now().Before(open.Work.Schedule.First) {
		return JobRunning
	}
	if open.Work.Schedule.Count > 0 {
		return JobQueued
	}
	h := g.holderOf(open.Group)
	switch {
	case h == nil:
		return JobQueued
	case h.driver != nil:
		if h.driver.hasStarted(id) {
			return JobRunning
		}
		return JobQueued
	}
	sequence := g.nextRequest.Add(1)
	answer := make(chan peer.Verdict, 1)
	g.mu.Lock()
	g.pending[sequence] = &pendingRequest{answer: answer}
	g.mu.Unlock()
	h.conn.Send(peer.Ask{Sequence: sequence, Group: open.Group, Job: id})
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	select {
	case v := <-answer:
		if v.Kind == peer.VerdictStarted {
			return JobRunning
		}
	case <-timer.C:
	case <-h.lost:
	case <-ctx.Done():
	}
	g.mu.Lock()
	delete(g.pending, sequence)
	g.mu.Unlock()
	return JobQueued
}
