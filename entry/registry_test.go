package entry

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/dispatch"
	"samphireplank.example/samphireplank/job"
)

// Guards against a second record of a job that takes the answer of the first one, so that one of both is never answered
// and a graceful shutdown waits for it until its timeout.
func TestSecondRecordOfAJobFollowsTheFirst(t *testing.T) {
	is := is.New(t)
	e := &Server{registry: newRegistry(), delegated: newRegistry(), metrics: newMetricSet(), serviceCores: map[string]*serviceCore{}}
	e.group, e.ctx = errgroup.WithContext(context.Background())
	set := &contract.Set{Services: []contract.Service{{Name: "cue"}}}
	e.serviceCores["cue"] = newServiceCore("cue", dispatch.New(dispatch.Config{VM: "entry-1", Service: "cue", Set: set}))
	kind := contract.Kind{Name: "line", Service: "cue"}
	submission := job.Submission{ID: job.ID{Zone: "a", VM: "entry-2", Sequence: 1}, Bodies: [][]byte{nil}}
	first, second := newJobRecord(submission, kind), newJobRecord(submission, kind)
	is.True(e.registry.addForwarded(first))
	is.True(e.delegated.addForwarded(second))
	e.runningJobs.Store(submission.ID, first) // the core runs the first record
	e.dispatch(second, dispatch.Submit{})
	is.Equal(second.current().Outcome, job.Pending)
	first.setResult(0, job.Result{Status: 200})
	e.complete(first, job.Answer{ID: submission.ID, Outcome: job.Complete})
	is.NoErr(e.group.Wait())
	is.Equal(second.current().Outcome, job.Complete)
	is.Equal(len(second.current().Results), 1)
	is.Equal(e.unanswered(), 0)
}

// Guards against a complete answer that lacks a result.
func TestMissingResultIsNoCompleteAnswer(t *testing.T) {
	is := is.New(t)
	rec := newJobRecord(job.Submission{Bodies: [][]byte{nil, nil}}, contract.Kind{})
	rec.setResult(1, job.Result{Status: 200})
	is.True(rec.finish(job.Answer{Outcome: job.Complete}))
	is.Equal(rec.current().Outcome, job.Unknown)
	is.Equal(len(rec.current().Results), 0)
}
