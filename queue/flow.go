package queue

import (
	"math/bits"
	"time"

	"samphireplank.example/samphireplank/job"
)

// ageingPerTask is the waiting time that outweighs one remaining task: a job of 150 tasks is overtaken by single tasks
// that arrive within 12 s and by none that arrives later. Shorter times leave more small jobs behind large ones, and the
// large ones gain nothing (docs/fair-shares.md).
const ageingPerTask = 80 * time.Millisecond

// entry is a job known to the queue.
type entry struct {
	id       job.ID
	flow     *flow
	tasks    int
	left     int // tasks that were never handed out; they are the last ones
	arrival  int64
	sequence uint64
	deadline time.Time
	step     int64 // place in the expiry wheel
	returned []int // indexes of requeued tasks

	// links of the bucket or of the list of requeued tasks, and of the expiry wheel
	bucket, back, due link
}

// waiting returns the number of tasks that are queued.
func (e *entry) waiting() int { return e.left + len(e.returned) }

// flow holds the queued jobs of one flow; the fields that every decision reads come first.
type flow struct {
	virtual float64 // service received in relation to the target, in seconds
	running int
	rank    int
	limits  []*limit

	charged int     // running tasks and those that ended since the last call that told the time
	settled float64 // fairClock.seconds up to which charged tasks are part of virtual

	name     Flow
	class    *class
	weight   float64
	target   float64 // slots given by SetFlowAllocations; 0 leaves them to share and weight
	met      bool    // the target covered the whole demand
	listed   bool    // the set in force has the team and the priority
	queued   int
	position int   // in Queue.active, -1 without queued tasks
	ageing   int64 // nanoseconds for each remaining task

	// buckets[n-1] holds the jobs with n tasks left in order of arrival. Only the first job in the order of the flow
	// is served, and a job that moves to the next lower bucket arrived before every job there, so each bucket stays
	// sorted when the job is put at its front.
	buckets  []list
	occupied [(job.MaxTasks + 63) / 64]uint64
	requeued list
	first    *entry // first job in the order of the flow; nil when it has to be looked up
}

// slot returns the bucket of a job.
func (f *flow) slot(e *entry) int {
	if f.ageing == 0 {
		return 0
	}
	return min(e.left, job.MaxTasks) - 1
}

// before reports whether a is served before b.
func (f *flow) before(a, b *entry) bool {
	left, right := a.arrival+f.ageing*int64(a.left), b.arrival+f.ageing*int64(b.left)
	if left != right {
		return left < right
	}
	if f.ageing != 0 && a.left != b.left {
		return a.left < b.left
	}
	return a.sequence < b.sequence
}

// push adds a job that arrived after all others.
func (f *flow) push(e *entry) {
	f.bucket(f.slot(e)).pushBack(&e.bucket, e)
	if f.first != nil && f.before(e, f.first) {
		f.first = e
	}
}

// bucket returns a bucket that is about to get a job.
func (f *flow) bucket(at int) *list {
	for len(f.buckets) <= at {
		f.buckets = append(f.buckets, list{})
	}
	f.occupied[at/64] |= 1 << (at % 64)
	return &f.buckets[at]
}

// unlink takes a job out of its bucket.
func (f *flow) unlink(e *entry) {
	at := f.slot(e)
	f.buckets[at].remove(&e.bucket)
	if f.buckets[at].head == nil {
		f.occupied[at/64] &^= 1 << (at % 64)
	}
}

// head returns the first job with tasks that were never handed out, or nil.
func (f *flow) head() *entry {
	if f.first != nil {
		return f.first
	}
	for word, set := range f.occupied {
		for ; set != 0; set &= set - 1 {
			e := f.buckets[word*64+bits.TrailingZeros64(set)].head.owner
			if f.first == nil || f.before(e, f.first) {
				f.first = e
			}
		}
	}
	return f.first
}

// oldest returns the sequence of the job that is served next.
func (f *flow) oldest() uint64 {
	if f.requeued.head != nil {
		return f.requeued.head.owner.sequence
	}
	return f.head().sequence
}

// take hands out the next task; the flow has queued tasks.
func (f *flow) take() (*entry, int) {
	if f.requeued.head != nil {
		e := f.requeued.head.owner
		last := len(e.returned) - 1
		index := e.returned[last]
		e.returned = e.returned[:last]
		if last == 0 {
			f.requeued.remove(&e.back)
		}
		return e, index
	}
	e := f.head()
	index := e.tasks - e.left
	f.unlink(e)
	e.left--
	if e.left > 0 {
		f.bucket(f.slot(e)).pushFront(&e.bucket, e)
	} else {
		f.first = nil
	}
	return e, index
}

// putBack makes a task the next of the flow.
func (f *flow) putBack(e *entry, index int) {
	if len(e.returned) > 0 {
		f.requeued.remove(&e.back)
	}
	e.returned = append(e.returned, index)
	f.requeued.pushFront(&e.back, e)
}

// drop takes all tasks of a job out of the flow.
func (f *flow) drop(e *entry) {
	if e.left > 0 {
		f.unlink(e)
		e.left = 0
	}
	if len(e.returned) > 0 {
		f.requeued.remove(&e.back)
		e.returned = nil
	}
	if f.first == e {
		f.first = nil
	}
}
