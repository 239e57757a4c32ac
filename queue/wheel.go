package queue

import "time"

const (
	wheelStep  = 10 * time.Millisecond
	wheelSlots = 4096 // 41 s, more than the longest deadline of 30 s
)

// wheel is a timing wheel of deadlines; adding and removing a job takes constant time.
type wheel struct {
	slots  []list
	cursor int64 // step of the last call of expired
	count  int
}

func step(t time.Time) int64 { return t.UnixNano() / int64(wheelStep) }

// add files a job under its deadline; a job that is already filed stays where it is.
func (w *wheel) add(e *entry, deadline time.Time) {
	if e.due.owner != nil {
		return
	}
	if w.slots == nil {
		w.slots = make([]list, wheelSlots)
	}
	e.deadline = deadline
	e.step = max(step(deadline), w.cursor)
	w.slot(e).pushBack(&e.due, e)
	w.count++
}

func (w *wheel) slot(e *entry) *list { return &w.slots[e.step%wheelSlots] }

func (w *wheel) remove(e *entry) {
	if e.due.owner == nil {
		return
	}
	w.slot(e).remove(&e.due)
	w.count--
}

// expired returns the jobs whose deadline is not after now; they stay filed.
func (w *wheel) expired(now time.Time) []*entry {
	end := step(now)
	from := max(w.cursor, end-wheelSlots+1)
	w.cursor = max(w.cursor, end)
	if w.count == 0 {
		return nil
	}
	var out []*entry
	for at := from; at <= end; at++ {
		for k := w.slots[at%wheelSlots].head; k != nil; k = k.next {
			if !k.owner.deadline.After(now) {
				out = append(out, k.owner)
			}
		}
	}
	return out
}
