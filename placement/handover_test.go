package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a second run of a task when a group changes its holder twice in quick succession: the second holder
// had not yet learned of the run and reported to its successor that the task had never started (TWICE in a hunt on
// kuusepuu-blanks-grown, stops-under-load, seed 352990831846).
func TestTwoHolderChangesInQuickSuccession(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 1, 2)
	sg.run(20 * time.Millisecond)
	first := sg.submitOneTask("00000000000000aa", 1500*time.Millisecond, false)
	sg.run(300 * time.Millisecond)
	for _, w := range sg.workers {
		w.unreachable = len(w.runs) > 0 // the run continues until its lease expires
	}
	j := sg.jobs[first]
	delete(sg.jobs, first)
	h := &history{simGroup: sg}
	sg.replaceScheduler()
	h.resubmit(j, Progress{})
	second := h.withoutVerdict()[0]
	sg.run(310 * time.Millisecond)
	sg.step(sg.scheduler, HandOver{})
	handedOver, ok := sg.verdicts[second].(HandedOver)
	is.True(ok)
	delete(sg.jobs, second)
	sg.replaceScheduler()
	h.resubmit(j, handedOver.Progress)
	sg.run(5 * time.Second) // simGroup fails the test if a task runs twice at a time
	last := sg.jobs[SubmissionKey{Sequence: simSequence}]
	is.True(!last.ended.IsZero())
}
