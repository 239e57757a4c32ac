package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"samphireplank.example/samphireplank/caller"
	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/dispatch"
	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/link"
	"samphireplank.example/samphireplank/link/linkpb"
	"samphireplank.example/samphireplank/store"
)

// unconfiguredRetryAfter is the time to return given while no configuration is in force.
const unconfiguredRetryAfter = 2 * time.Second

// IssueTickets mints ids for later submissions.
func (e *Server) IssueTickets(count int) ([]job.ID, error) {
	now := time.Now()
	ids := make([]job.ID, 0, count)
	for range count {
		id := e.mint()
		if err := e.registry.addTicket(now, id); err != nil {
			return nil, err
		}
		ids = append(ids, id)
	}
	return ids, nil
}

// Submit accepts a submission of a caller and returns its id.
func (e *Server) Submit(_ context.Context, s job.Submission) (job.ID, error) {
	kind, err := e.checkSubmission(&s)
	var refused *caller.NotRunError
	if errors.As(err, &refused) && s.ID != (job.ID{}) && !e.isHome(s.ID) {
		e.answerUnknown(newRecord(s, kind), "the home of the id could not be asked: "+refused.Reason)
		return s.ID, nil
	}
	if err != nil {
		return job.ID{}, err
	}
	if s.ID == (job.ID{}) {
		s.ID = e.mint()
		rec := newRecord(s, kind)
		e.registry.accept(rec)
		e.dispatch(rec, dispatch.Submit{})
		return s.ID, nil
	}
	if e.isHome(s.ID) {
		return s.ID, e.submitTicket(s, kind)
	}
	return s.ID, e.submitElsewhere(s, kind)
}

// checkSubmission checks kind, team and number of tasks and sets the deadline.
func (e *Server) checkSubmission(s *job.Submission) (contract.Kind, error) {
	f := e.force.Load()
	if f == nil {
		return contract.Kind{}, &caller.NotRunError{Reason: "no configuration is in force", RetryAfter: unconfiguredRetryAfter}
	}
	kind, ok := f.kinds[s.Kind]
	if !ok {
		return kind, &caller.InvalidRequestError{Reason: fmt.Sprintf("kind %q does not exist", s.Kind)}
	}
	if _, ok := f.teams[s.Team]; !ok {
		return kind, &caller.InvalidRequestError{Reason: fmt.Sprintf("team %q does not exist", s.Team)}
	}
	if len(s.Bodies) == 0 || len(s.Bodies) > kind.MaxTasks {
		return kind, &caller.InvalidRequestError{
			Reason:   fmt.Sprintf("kind %q takes 1 to %d tasks, not %d", s.Kind, kind.MaxTasks, len(s.Bodies)),
			TooLarge: len(s.Bodies) > kind.MaxTasks,
		}
	}
	latest := time.Now().Add(kind.Deadline)
	if s.Deadline.IsZero() || s.Deadline.After(latest) {
		s.Deadline = latest
	}
	return kind, nil
}

// refusalOf returns the answer that stands for an error of checkSubmission.
func refusalOf(id job.ID, err error) job.Answer {
	answer := job.Answer{ID: id, Outcome: job.NotRun, Reason: err.Error()}
	var refused *caller.NotRunError
	if errors.As(err, &refused) {
		answer.RetryAfter = refused.RetryAfter
	}
	return answer
}

// submitTicket runs a submission under a ticket of this VM, unless the ticket was used before.
func (e *Server) submitTicket(s job.Submission, kind contract.Kind) error {
	rec := newRecord(s, kind)
	_, err := e.registry.redeem(time.Now(), rec)
	switch {
	case errors.Is(err, errDuplicate):
		return nil // the caller gets the answer of the first submission
	case err != nil:
		e.answerUnknown(rec, err.Error())
		return nil
	}
	e.dispatch(rec, dispatch.Submit{})
	return nil
}

// answerUnknown records a submission of which nobody can know whether it ran.
func (e *Server) answerUnknown(rec *record, reason string) {
	e.registry.accept(rec)
	e.complete(rec, job.Answer{ID: rec.submission.ID, Outcome: job.Unknown, Reason: reason})
}

// dispatch hands an accepted submission to the core of its service.
func (e *Server) dispatch(rec *record, m dispatch.Submit) {
	s, ok := e.shardOf(rec.kind.Service)
	if !ok {
		e.complete(rec, job.Answer{
			ID: rec.submission.ID, Outcome: job.NotRun, RetryAfter: unconfiguredRetryAfter,
			Reason: fmt.Sprintf("service %q is not set up yet", rec.kind.Service),
		})
		return
	}
	if running, loaded := e.running.LoadOrStore(rec.submission.ID, rec); loaded {
		e.group.Go(func() error {
			e.follow(rec, running.(*record))
			return nil
		})
		return
	}
	m.Job = rec.submission.ID
	m.Kind = rec.submission.Kind
	m.Team = rec.submission.Team
	m.Tasks = rec.tasks
	m.Deadline = rec.submission.Deadline
	e.update(s, m)
}

// submitElsewhere forwards a submission to the home of its ticket. Without a reachable home only idempotent
// kinds are run here, because nobody else can know whether an earlier submission ran.
func (e *Server) submitElsewhere(s job.Submission, kind contract.Kind) error {
	rec := newRecord(s, kind)
	if !e.registry.acceptForeign(rec) {
		return nil
	}
	e.group.Go(func() error {
		answer, reached := e.forwardHome(rec)
		switch {
		case reached:
			e.complete(rec, answer)
		case kind.Idempotent:
			rec.orphan.Store(true)
			e.dispatch(rec, dispatch.Submit{})
		default:
			e.complete(rec, answer)
		}
		return nil
	})
	return nil
}

// forwardHome sends a submission to the home of its id; reached is false when no byte reached it.
func (e *Server) forwardHome(rec *record) (answer job.Answer, reached bool) {
	id := rec.submission.ID
	home, ok := e.table.Get(id.VM)
	if !ok || home.Incarnation != id.Incarnation || home.State == store.StateGone {
		reason := fmt.Sprintf("the entry VM %q that issued the id is gone", id.VM)
		return job.Answer{ID: id, Outcome: job.Unknown, Reason: reason}, false
	}
	return e.forward(home, rec, &linkpb.ForwardRequest{})
}

// forward sends a submission to an entry VM and returns its answer, which is Unknown when none came.
func (e *Server) forward(to store.VM, rec *record, request *linkpb.ForwardRequest) (answer job.Answer, reached bool) {
	id := rec.submission.ID
	rec.delegate.Store(&to)
	defer rec.delegate.Store(nil)
	ctx, cancel := context.WithDeadline(e.ctx, rec.submission.Deadline.Add(answerGrace))
	defer cancel()
	request.From = e.config.VM
	request.Submission = submissionMessage(rec)
	reply, err := e.links.Forward(ctx, to.LinkAddress, request)
	if err == nil {
		answer, err = parseAnswer(reply)
		if err == nil && answer.ID == id {
			return answer, true
		}
		err = fmt.Errorf("invalid answer: %w", errors.Join(err, errWrongID))
	}
	e.config.Log.Warn().Str("event", "forward-failed").Str("job", id.String()).Str("to", to.ID).Err(err).
		Msg("could not forward the submission")
	reason := fmt.Sprintf("the entry VM %q gave no answer", to.ID)
	var failed *link.Error
	reached = !errors.As(err, &failed) || failed.MaybeSent
	return job.Answer{ID: id, Outcome: job.Unknown, Reason: reason}, reached
}

var errWrongID = errors.New("the answer has the id of another submission")

// answerGrace is the time beyond a job's deadline in which its answer may still arrive from another entry VM.
const answerGrace = time.Second

// active returns the record that the core of its service works for.
func (e *Server) active(id job.ID) (*record, bool) {
	rec, ok := e.running.Load(id)
	if !ok {
		return nil, false
	}
	return rec.(*record), true
}

// follow gives a record the answer of the record of the same job that runs here already.
func (e *Server) follow(rec, running *record) {
	select {
	case <-running.done:
		e.complete(rec, running.current())
	case <-e.ctx.Done():
	}
}

// finish answers a submission, or offers it to another zone when this one has no slots for it.
func (e *Server) finish(s *shard, effect dispatch.FinishJob) {
	rec, ok := e.active(effect.Job)
	if !ok {
		return
	}
	answer := answerOf(effect)
	if effect.Forwardable {
		if other, ok := e.table.ReserveRemote(time.Now(), s.service, rec.tasks); ok {
			e.group.Go(func() error {
				e.overflow(rec, other, answer)
				return nil
			})
			return
		}
	}
	e.complete(rec, answer)
}

// overflow offers a submission to another zone and falls back to the refusal of this one.
func (e *Server) overflow(rec *record, other store.VM, refusal job.Answer) {
	answer, reached := e.forward(other, rec, &linkpb.ForwardRequest{OnBehalf: true})
	switch {
	case !reached:
		e.table.MarkUnreachable(time.Now(), other.ID)
		e.complete(rec, refusal)
	case answer.Outcome == job.NotRun:
		e.table.ForwardRefused(time.Now(), other.Zone)
		e.metrics.forwardsRefused.Inc()
		e.complete(rec, refusal)
	default:
		e.table.ForwardAccepted(other.Zone)
		e.metrics.forwards.Inc()
		e.complete(rec, answer)
	}
}

// offerJob lets another zone run an idempotent job that would wait here, and otherwise runs it here. A job whose forward
// broke is run here too: a kind that is not idempotent is never offered.
func (e *Server) offerJob(s *shard, m dispatch.Submit) {
	rec, ok := e.active(m.Job)
	if !ok {
		return
	}
	if answer, ok := e.runElsewhere(s, rec); ok {
		e.complete(rec, answer)
		return
	}
	e.update(s, m)
	if rec.cancelled.Load() {
		e.update(s, dispatch.Cancel{Job: m.Job}) // the first one may have come before the job
	}
}

// runElsewhere offers a job to the zone with the most idle slots and returns its answer if that zone ran it.
func (e *Server) runElsewhere(s *shard, rec *record) (job.Answer, bool) {
	other, ok := e.table.ReserveRemote(time.Now(), s.service, rec.tasks)
	if !ok {
		return job.Answer{}, false
	}
	answer, reached := e.forward(other, rec, &linkpb.ForwardRequest{OnBehalf: true, IfIdle: true})
	switch {
	case !reached:
		e.table.MarkUnreachable(time.Now(), other.ID)
		return answer, false
	case answer.Outcome == job.NotRun && !rec.cancelled.Load():
		e.table.ForwardRefused(time.Now(), other.Zone)
		e.metrics.forwardsRefused.Inc()
		return answer, false
	case answer.Outcome == job.Unknown && !rec.cancelled.Load():
		rec.orphan.Store(true) // the other zone may have started it, so a refusal here must not say not-run
		return answer, false
	}
	e.table.ForwardAccepted(other.Zone)
	e.metrics.forwards.Inc()
	return answer, true
}

// complete gives a submission its answer and wakes its callers.
func (e *Server) complete(rec *record, answer job.Answer) {
	if answer.Outcome == job.NotRun && rec.orphan.Load() {
		reason := fmt.Sprintf("not run here (%s), but another entry VM may have run it and gave no answer", answer.Reason)
		answer = job.Answer{ID: answer.ID, Outcome: job.Unknown, Reason: reason}
	}
	if !rec.finish(answer) {
		return
	}
	e.running.CompareAndDelete(rec.submission.ID, rec)
	now := time.Now()
	rec.registry.answered(now, rec)
	e.metrics.jobEnded(rec, answer.Outcome, now)
	if answer.Outcome != job.Complete {
		e.config.Log.Debug().Str("event", "job-not-complete").Str("job", answer.ID.String()).
			Str("outcome", answer.Outcome.String()).Str("reason", answer.Reason).Msg("job was answered without results")
	}
}
