package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a REFUSED job that its holder had run (clt-cues, holders-without-store, seed 1002311048535): a VM that
// was paused until after the deadline found the connection to the holder lost and refused the job.
func TestNoRefusalAfterHolderHadTheJob(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := &request{deadline: now.Add(-time.Millisecond)}
	reply := r.withoutFalseRefusal(r.handleNoVerdict(t.Context(), now))
	_, undecided := reply.(OutcomeUnknown)
	is.True(undecided)
	early := &request{deadline: now.Add(time.Second)}
	is.True(early.handleNoVerdict(t.Context(), now) == nil) // the job goes to the successor
	is.True(early.mayHaveStarted && early.resumed)
	_, refused := (&request{}).withoutFalseRefusal(Refused{}).(Refused)
	is.True(refused) // a job that no holder had
}
