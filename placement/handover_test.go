package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a second run of a task when a group changes its holder twice in a moment: the holder in between had not heard
// of the run yet, and told its successor that the task had never started (TWICE in a hunt on kuusepuu-blanks-grown,
// stops-under-load, seed 352990831846).
func TestTwoChangesOfTheHolder(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 2)
	f.run(20 * time.Millisecond)
	first := f.oneJob("00000000000000aa", 1500*time.Millisecond, false)
	f.run(300 * time.Millisecond)
	for _, w := range f.workers {
		w.dark = len(w.runs) > 0 // the run goes on until its lease lapses
	}
	j := f.jobs[first]
	delete(f.jobs, first)
	h := &history{fleet: f}
	f.newPool()
	h.resubmit(j, Progress{})
	second := h.open()[0]
	f.run(310 * time.Millisecond)
	f.step(f.pool, HandOver{})
	moved, ok := f.verdicts[second].(HandedOver)
	is.True(ok)
	delete(f.jobs, second)
	f.newPool()
	h.resubmit(j, moved.Progress)
	f.run(5 * time.Second) // the fleet fails the test on two runs at a time
	last := f.jobs[SubmissionKey{Sequence: simSequence}]
	is.True(!last.ended.IsZero())
}
