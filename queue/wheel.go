package queue

import "time"

const (
	wheelStep    = 10 * time.Millisecond
	wheelBuckets = 4096 // 41 s, more than the longest deadline of 30 s
)

// timingWheel holds jobs by deadline; adding and removing a job takes constant time.
type timingWheel struct {
	buckets []list
	cursor  int64 // step up to which expired has scanned
	count   int
}

func step(t time.Time) int64 { return t.UnixNano() / int64(wheelStep) }

// add inserts a job by its deadline; a job that is already in the wheel keeps its place.
func (w *timingWheel) add(e *jobEntry, deadline time.Time) {
	if e.expiryLink.owner != nil {
		return
	}
	if w.buckets == nil {
		w.buckets = make([]list, wheelBuckets)
	}
	e.deadline = deadline
	e.expiryStep = max(step(deadline), w.cursor)
	w.bucket(e).pushBack(&e.expiryLink, e)
	w.count++
}

func (w *timingWheel) bucket(e *jobEntry) *list { return &w.buckets[e.expiryStep%wheelBuckets] }

func (w *timingWheel) remove(e *jobEntry) {
	if e.expiryLink.owner == nil {
		return
	}
	w.bucket(e).remove(&e.expiryLink)
	w.count--
}

// expired returns the jobs whose deadline is not after now, without removing them.
func (w *timingWheel) expired(now time.Time) []*jobEntry {
	end := step(now)
	from := max(w.cursor, end-wheelBuckets+1)
	w.cursor = max(w.cursor, end)
	if w.count == 0 {
		return nil
	}
	var out []*jobEntry
	for at := from; at <= end; at++ {
		for k := w.buckets[at%wheelBuckets].head; k != nil; k = k.next {
			if !k.owner.deadline.After(now) {
				out = append(out, k.owner)
			}
		}
	}
	return out
}
