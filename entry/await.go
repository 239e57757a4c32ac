package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"samphireplank.example/samphireplank/dispatch"
	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/link"
	"samphireplank.example/samphireplank/link/linkpb"
	"samphireplank.example/samphireplank/store"
)

// Wait returns the answer of a submission, or a Pending answer when the wait is over.
func (e *Server) Wait(ctx context.Context, id job.ID, wait time.Duration) (job.Answer, error) {
	if rec, ok := e.registry.find(id); ok {
		return awaitRecord(ctx, rec, wait), nil
	}
	if e.isHome(id) {
		return job.Answer{ID: id, Outcome: job.Unknown, Reason: errUnknownJob.Error()}, nil
	}
	home, unknown := e.home(id)
	if home.ID == "" {
		return unknown, nil
	}
	reply, err := e.linkClient.Lookup(ctx, home.LinkAddress, &linkpb.LookupRequest{
		Id:               id.String(),
		WaitMilliseconds: uint64(wait.Milliseconds()),
	})
	return homeAnswer(id, home, reply, err), nil
}

// awaitRecord returns the answer of a record, or a Pending answer when the wait or ctx ends.
func awaitRecord(ctx context.Context, rec *jobRecord, wait time.Duration) job.Answer {
	if wait <= 0 {
		return rec.current()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-rec.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	return rec.current()
}

// Cancel cancels a submission here or at its home; it returns an error if the call to the home failed.
func (e *Server) Cancel(ctx context.Context, id job.ID) error {
	if rec, ok := e.registry.find(id); ok {
		e.cancelRecord(rec)
		return nil
	}
	if e.isHome(id) {
		return nil // the submission is unknown, which Wait reports
	}
	home, _ := e.home(id)
	if home.ID == "" {
		return nil
	}
	_, err := e.linkClient.Cancel(ctx, home.LinkAddress, &linkpb.CancelRequest{Id: id.String()})
	var failed *link.Error
	if errors.As(err, &failed) {
		return fmt.Errorf("cancel at entry VM %q: %w", home.ID, err)
	}
	return err
}

// cancelRecord cancels a submission here and at the entry VM that it was forwarded to.
func (e *Server) cancelRecord(rec *jobRecord) {
	rec.cancelled.Store(true)
	if to := rec.delegate.Load(); to != nil {
		e.group.Go(func() error {
			ctx, cancel := context.WithTimeout(e.ctx, peerStateTimeout)
			defer cancel()
			_, err := e.linkClient.Cancel(ctx, to.LinkAddress, &linkpb.CancelRequest{Id: rec.submission.ID.String()})
			if err != nil {
				e.config.Log.Debug().Str("event", "cancel-failed").Str("job", rec.submission.ID.String()).Err(err).
					Msg("could not cancel the job at the entry VM that runs it")
			}
			return nil
		})
	}
	if s, ok := e.coreOf(rec.kind.Service); ok {
		e.update(s, dispatch.Cancel{Job: rec.submission.ID})
	}
}

// home returns the entry VM that issued the id, or an Unknown answer if that VM is gone.
func (e *Server) home(id job.ID) (store.VM, job.Answer) {
	vm, ok := e.membership.Get(id.VM)
	if !ok || vm.Incarnation != id.Incarnation || vm.State == store.StateGone {
		reason := fmt.Sprintf("the entry VM %q that issued the id is gone", id.VM)
		return store.VM{}, job.Answer{ID: id, Outcome: job.Unknown, Reason: reason}
	}
	return vm, job.Answer{}
}

// homeAnswer converts the reply of the home of an id; without a valid reply the answer is Unknown.
func homeAnswer(id job.ID, home store.VM, reply *linkpb.Answer, err error) job.Answer {
	if err == nil {
		answer, err := parseAnswer(reply)
		if err == nil && answer.ID == id {
			return answer
		}
	}
	reason := fmt.Sprintf("the entry VM %q that issued the id gave no answer", home.ID)
	return job.Answer{ID: id, Outcome: job.Unknown, Reason: reason}
}
