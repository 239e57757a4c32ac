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

// unconfiguredRetryAfter is the Retry-After of refusals while no configuration is active.
const unconfiguredRetryAfter = 2 * time.Second

// IssueTickets issues ids for later submissions.
func (e *Server) IssueTickets(count int) ([]job.ID, error) {
	now := time.Now()
	ids := make([]job.ID, 0, count)
	for range count {
		id := e.newJobID()
		if err := e.registry.addTicket(now, id); err != nil {
			return nil, err
		}
		ids = append(ids, id)
	}
	return ids, nil
}

// Submit accepts a submission of a caller and returns its id; without one it issues a new id.
func (e *Server) Submit(_ context.Context, s job.Submission) (job.ID, error) {
	kind, err := e.checkSubmission(&s)
	var refused *caller.NotRunError
	if errors.As(err, &refused) && s.ID != (job.ID{}) && !e.isHome(s.ID) {
		e.answerUnknown(newJobRecord(s, kind), "the home of the id could not be asked: "+refused.Reason)
		return s.ID, nil
	}
	if err != nil {
		return job.ID{}, err
	}
	if s.ID == (job.ID{}) {
		s.ID = e.newJobID()
		rec := newJobRecord(s, kind)
		e.registry.addNew(rec)
		e.dispatch(rec, dispatch.Submit{})
		return s.ID, nil
	}
	if e.isHome(s.ID) {
		return s.ID, e.submitTicket(s, kind)
	}
	return s.ID, e.submitToHome(s, kind)
}

// checkSubmission validates kind, team and number of tasks and limits the deadline to that of the kind.
func (e *Server) checkSubmission(s *job.Submission) (contract.Kind, error) {
	f := e.activeConfig.Load()
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

// refusalOf converts an error of checkSubmission to an answer.
func refusalOf(id job.ID, err error) job.Answer {
	answer := job.Answer{ID: id, Outcome: job.NotRun, Reason: err.Error()}
	var refused *caller.NotRunError
	if errors.As(err, &refused) {
		answer.RetryAfter = refused.RetryAfter
	}
	return answer
}

// submitTicket runs a submission with a ticket of this VM, unless the ticket was used before.
func (e *Server) submitTicket(s job.Submission, kind contract.Kind) error {
	rec := newJobRecord(s, kind)
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

// answerUnknown records a submission with an Unknown answer.
func (e *Server) answerUnknown(rec *jobRecord, reason string) {
	e.registry.addNew(rec)
	e.complete(rec, job.Answer{ID: rec.submission.ID, Outcome: job.Unknown, Reason: reason})
}

// dispatch passes an accepted submission to the core of its service.
func (e *Server) dispatch(rec *jobRecord, m dispatch.Submit) {
	s, ok := e.coreOf(rec.kind.Service)
	if !ok {
		e.complete(rec, job.Answer{
			ID: rec.submission.ID, Outcome: job.NotRun, RetryAfter: unconfiguredRetryAfter,
			Reason: fmt.Sprintf("service %q is not set up yet", rec.kind.Service),
		})
		return
	}
	if running, loaded := e.runningJobs.LoadOrStore(rec.submission.ID, rec); loaded {
		e.group.Go(func() error {
			e.awaitRunning(rec, running.(*jobRecord))
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

// submitToHome forwards a submission to the home of its ticket. If the home is unreachable, it runs only idempotent
// kinds here, because only the home knows whether an earlier submission ran.
func (e *Server) submitToHome(s job.Submission, kind contract.Kind) error {
	rec := newJobRecord(s, kind)
	if !e.registry.addForwarded(rec) {
		return nil
	}
	e.group.Go(func() error {
		answer, reached := e.forwardHome(rec)
		switch {
		case reached:
			e.complete(rec, answer)
		case kind.Idempotent:
			rec.mayHaveRun.Store(true)
			e.dispatch(rec, dispatch.Submit{})
		default:
			e.complete(rec, answer)
		}
		return nil
	})
	return nil
}

// forwardHome forwards a submission to the home of its id; reached is false if no byte reached the home.
func (e *Server) forwardHome(rec *jobRecord) (answer job.Answer, reached bool) {
	id := rec.submission.ID
	home, ok := e.membership.Get(id.VM)
	if !ok || home.Incarnation != id.Incarnation || home.State == store.StateGone {
		reason := fmt.Sprintf("the entry VM %q that issued the id is gone", id.VM)
		return job.Answer{ID: id, Outcome: job.Unknown, Reason: reason}, false
	}
	return e.forward(home, rec, &linkpb.ForwardRequest{})
}

// forward sends a submission to an entry VM and returns its answer, or an Unknown one if no valid answer arrived.
func (e *Server) forward(to store.VM, rec *jobRecord, request *linkpb.ForwardRequest) (answer job.Answer, reached bool) {
	id := rec.submission.ID
	rec.delegate.Store(&to)
	defer rec.delegate.Store(nil)
	ctx, cancel := context.WithDeadline(e.ctx, rec.submission.Deadline.Add(answerGrace))
	defer cancel()
	request.From = e.config.VM
	request.Submission = submissionMessage(rec)
	reply, err := e.linkClient.Forward(ctx, to.LinkAddress, request)
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

// answerGrace is how long after a job's deadline its answer may still arrive from another entry VM.
const answerGrace = time.Second

// runningJob returns the record of a job that the core of its service runs.
func (e *Server) runningJob(id job.ID) (*jobRecord, bool) {
	rec, ok := e.runningJobs.Load(id)
	if !ok {
		return nil, false
	}
	return rec.(*jobRecord), true
}

// awaitRunning completes a record with the answer of another record of the same job, which already runs here.
func (e *Server) awaitRunning(rec, running *jobRecord) {
	select {
	case <-running.done:
		e.complete(rec, running.current())
	case <-e.ctx.Done():
	}
}

// finish completes a submission, or forwards it to another zone if this one has no slots for it.
func (e *Server) finish(s *serviceCore, effect dispatch.FinishJob) {
	rec, ok := e.runningJob(effect.Job)
	if !ok {
		return
	}
	answer := answerOf(effect)
	if effect.Forwardable {
		if other, ok := e.membership.ReserveRemote(time.Now(), s.service, rec.tasks); ok {
			e.group.Go(func() error {
				e.forwardOverflow(rec, other, answer)
				return nil
			})
			return
		}
	}
	e.complete(rec, answer)
}

// forwardOverflow forwards a submission to another zone and falls back to the refusal of this zone.
func (e *Server) forwardOverflow(rec *jobRecord, other store.VM, refusal job.Answer) {
	answer, reached := e.forward(other, rec, &linkpb.ForwardRequest{OnBehalf: true})
	switch {
	case !reached:
		e.membership.MarkUnreachable(time.Now(), other.ID)
		e.complete(rec, refusal)
	case answer.Outcome == job.NotRun:
		e.membership.ForwardRefused(time.Now(), other.Zone)
		e.metrics.forwardsRefused.Inc()
		e.complete(rec, refusal)
	default:
		e.membership.ForwardAccepted(other.Zone)
		e.metrics.forwards.Inc()
		e.complete(rec, answer)
	}
}

// tryForward forwards an idempotent job that would queue here to an idle zone, or else runs it here. It also runs a job
// here whose forward failed, which is safe because jobs of non-idempotent kinds are never forwarded this way.
func (e *Server) tryForward(s *serviceCore, m dispatch.Submit) {
	rec, ok := e.runningJob(m.Job)
	if !ok {
		return
	}
	if answer, ok := e.forwardIfIdle(s, rec); ok {
		e.complete(rec, answer)
		return
	}
	e.update(s, m)
	if rec.cancelled.Load() {
		e.update(s, dispatch.Cancel{Job: m.Job}) // an earlier Cancel may have reached the core before the job
	}
}

// forwardIfIdle forwards a job to the zone with the most idle slots and returns the answer if that zone ran it.
func (e *Server) forwardIfIdle(s *serviceCore, rec *jobRecord) (job.Answer, bool) {
	other, ok := e.membership.ReserveRemote(time.Now(), s.service, rec.tasks)
	if !ok {
		return job.Answer{}, false
	}
	answer, reached := e.forward(other, rec, &linkpb.ForwardRequest{OnBehalf: true, IfIdle: true})
	switch {
	case !reached:
		e.membership.MarkUnreachable(time.Now(), other.ID)
		return answer, false
	case answer.Outcome == job.NotRun && !rec.cancelled.Load():
		e.membership.ForwardRefused(time.Now(), other.Zone)
		e.metrics.forwardsRefused.Inc()
		return answer, false
	case answer.Outcome == job.Unknown && !rec.cancelled.Load():
		rec.mayHaveRun.Store(true) // the other zone may have started it, so a refusal here must not say not-run
		return answer, false
	}
	e.membership.ForwardAccepted(other.Zone)
	e.metrics.forwards.Inc()
	return answer, true
}

// complete sets the answer of a submission and wakes its callers.
func (e *Server) complete(rec *jobRecord, answer job.Answer) {
	if answer.Outcome == job.NotRun && rec.mayHaveRun.Load() {
		reason := fmt.Sprintf("not run here (%s), but another entry VM may have run it and gave no answer", answer.Reason)
		answer = job.Answer{ID: answer.ID, Outcome: job.Unknown, Reason: reason}
	}
	if !rec.finish(answer) {
		return
	}
	e.runningJobs.CompareAndDelete(rec.submission.ID, rec)
	now := time.Now()
	rec.registry.markAnswered(now, rec)
	e.metrics.jobEnded(rec, answer.Outcome, now)
	if answer.Outcome != job.Complete {
		e.config.Log.Debug().Str("event", "job-not-complete").Str("job", answer.ID.String()).
			Str("outcome", answer.Outcome.String()).Str("reason", answer.Reason).Msg("job was answered without results")
	}
}
