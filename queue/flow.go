package queue

import (
	"math/bits"
	"time"

	"samphireplank.example/samphireplank/job"
)

// ageingPerTask is the waiting time that outweighs one remaining task: a job of 150 tasks is overtaken by single-task
// jobs that arrive within 12 s after it and by none that arrive later. Shorter times leave more small jobs behind large
// ones, and the large ones gain nothing (docs/fair-shares.md).
const ageingPerTask = 80 * time.Millisecond

// jobEntry is a job held by the queue.
type jobEntry struct {
	id         job.ID
	flow       *flow
	tasks      int
	unstarted  int // tasks that Pop has never returned; they have the highest indexes
	arrival    int64
	sequence   uint64
	deadline   time.Time
	expiryStep int64 // bucket number in the timing wheel, before the modulo
	requeued   []int // indexes of requeued tasks

	// links in the bucket list, in the list of requeued tasks and in the timing wheel
	bucketLink, requeueLink, expiryLink link
}

// queuedTasks returns the number of tasks that are queued.
func (e *jobEntry) queuedTasks() int { return e.unstarted + len(e.requeued) }

// flow holds the queued jobs of one flow; the fields that every Pop reads come first.
type flow struct {
	virtualTime float64 // service received divided by the target, in seconds
	running     int
	rank        int
	limits      []*limit

	chargedTasks int     // running tasks plus those that ended since the last call of advance
	chargedUntil float64 // fairClock.contendedSeconds up to which virtualTime includes the service

	name      Flow
	priority  *priorityClass
	weight    float64
	target    float64 // slots set by SetFlowAllocations; if 0, the share of the priority and the weight of the team apply
	demandMet bool    // the target covered the whole demand when it was set
	listed    bool    // the active set has the team and the priority
	queued    int
	position  int   // index in Queue.active, -1 without queued tasks
	ageing    int64 // nanoseconds per remaining task

	// buckets[n-1] holds the jobs with n unstarted tasks in order of arrival. Only the first job in the order of the
	// flow is served, and a job that moves to the next lower bucket arrived before every job there, so each bucket
	// stays sorted when the job is inserted at its front.
	buckets  []list
	occupied [(job.MaxTasks + 63) / 64]uint64
	requeued list
	first    *jobEntry // first job in the order of the flow; nil if it must be looked up
}

// bucketIndex returns the index of the bucket that holds the job.
func (f *flow) bucketIndex(e *jobEntry) int {
	if f.ageing == 0 {
		return 0
	}
	return min(e.unstarted, job.MaxTasks) - 1
}

// before reports whether a is served before b.
func (f *flow) before(a, b *jobEntry) bool {
	left, right := a.arrival+f.ageing*int64(a.unstarted), b.arrival+f.ageing*int64(b.unstarted)
	if left != right {
		return left < right
	}
	if f.ageing != 0 && a.unstarted != b.unstarted {
		return a.unstarted < b.unstarted
	}
	return a.sequence < b.sequence
}

// push adds a job that arrived after all others of the flow.
func (f *flow) push(e *jobEntry) {
	f.bucket(f.bucketIndex(e)).pushBack(&e.bucketLink, e)
	if f.first != nil && f.before(e, f.first) {
		f.first = e
	}
}

// bucket returns a bucket that is about to receive a job, and marks it as occupied.
func (f *flow) bucket(at int) *list {
	for len(f.buckets) <= at {
		f.buckets = append(f.buckets, list{})
	}
	f.occupied[at/64] |= 1 << (at % 64)
	return &f.buckets[at]
}

// unlink removes a job from its bucket.
func (f *flow) unlink(e *jobEntry) {
	at := f.bucketIndex(e)
	f.buckets[at].remove(&e.bucketLink)
	if f.buckets[at].head == nil {
		f.occupied[at/64] &^= 1 << (at % 64)
	}
}

// head returns the first job with unstarted tasks, or nil.
func (f *flow) head() *jobEntry {
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

// headSequence returns the sequence number of the job that is served next.
func (f *flow) headSequence() uint64 {
	if f.requeued.head != nil {
		return f.requeued.head.owner.sequence
	}
	return f.head().sequence
}

// popTask returns the next task of the flow, which must have queued tasks.
func (f *flow) popTask() (*jobEntry, int) {
	if f.requeued.head != nil {
		e := f.requeued.head.owner
		last := len(e.requeued) - 1
		index := e.requeued[last]
		e.requeued = e.requeued[:last]
		if last == 0 {
			f.requeued.remove(&e.requeueLink)
		}
		return e, index
	}
	e := f.head()
	index := e.tasks - e.unstarted
	f.unlink(e)
	e.unstarted--
	if e.unstarted > 0 {
		f.bucket(f.bucketIndex(e)).pushFront(&e.bucketLink, e)
	} else {
		f.first = nil
	}
	return e, index
}

// requeue makes a task the next one of the flow.
func (f *flow) requeue(e *jobEntry, index int) {
	if len(e.requeued) > 0 {
		f.requeued.remove(&e.requeueLink)
	}
	e.requeued = append(e.requeued, index)
	f.requeued.pushFront(&e.requeueLink, e)
}

// removeJob removes all tasks of a job from the flow.
func (f *flow) removeJob(e *jobEntry) {
	if e.unstarted > 0 {
		f.unlink(e)
		e.unstarted = 0
	}
	if len(e.requeued) > 0 {
		f.requeued.remove(&e.requeueLink)
		e.requeued = nil
	}
	if f.first == e {
		f.first = nil
	}
}
