package standin

import (
	"fmt"
	"time"
)

// Run is one run of a task as its worker saw it.
type Run struct {
	Task   string
	Number int
	Worker string
	Fence  int64 // of the order that started it
	Began  time.Time
	Ended  time.Time // zero while it goes on
	End    string    // done, failed, stopped, lapsed, lost or replaced; empty while it goes on
}

// Overlap is two runs of a task at the same time.
type Overlap struct {
	First, Second Run
	// Holders names the holders that ordered the runs, if the checker was told how to find them.
	Holders [2]string
}

const runTimeFormat = "15:04:05.000"

// String describes both runs on one line.
func (o Overlap) String() string {
	text := fmt.Sprintf("two runs of task %s within %v", o.First.Task, o.Second.Began.Sub(o.First.Began).Round(time.Millisecond))
	for i, r := range []Run{o.First, o.Second} {
		end := "not ended"
		if r.End != "" {
			end = fmt.Sprintf("to %s (%s)", r.Ended.Format(runTimeFormat), r.End)
		}
		text += fmt.Sprintf("; run %d on %s, ordered under fence %d %s, from %s %s", r.Number, r.Worker, r.Fence, o.Holders[i], r.Began.Format(runTimeFormat), end)
	}
	return text
}

// Overlaps returns the pairs of runs of a task at the same time.
func (w *RunChecker) Overlaps() []Overlap {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []Overlap
	for _, pair := range w.overlaps {
		o := Overlap{First: *pair[0], Second: *pair[1]}
		if w.Holder != nil {
			o.Holders = [2]string{w.Holder(o.First.Fence), w.Holder(o.Second.Fence)}
		}
		found = append(found, o)
	}
	return found
}
