package placement

import (
	"math"
	"time"
)

// The next holder of a group waits for the workers that its list of workers has, so the list must have each worker that the
// earlier holder may have used. The VM of a job reports the newest entry of the list that it knows of, to the holder with each
// submission and heartbeat, and to the next holder when it resumes the job. A holder starts no task on a worker with a later
// entry, and the next holder waits unless its list includes all changes up to that entry. Removed workers are remembered
// while a job may have runs on them.

const (
	// RelistTime is the time for which a worker whose entry is back within RemovalGrace counts as known to all VMs that knew
	// its earlier entry, so that tasks start there before they have the new one.
	RelistTime = time.Second
	// removalLag is the maximum time by which the holder's list may show a removal later than that of the next holder.
	removalLag = 1500 * time.Millisecond
	// maxForgotten limits the number of forgotten workers in total.
	maxForgotten = 4096
)

// reportKnown records the newest entry of the worker list that the VM of a connection knows of. The holder's own jobs end with
// it, and VMs of earlier versions report none, so that any worker is used for them.
func (s *Scheduler) reportKnown(conn uint64, revision int64) {
	if conn != 0 && revision > s.known[conn] {
		s.known[conn] = revision
	}
}

// knownToVMs reports whether the VMs of the job know of the worker's entry, or of a later one.
func (s *Scheduler) knownToVMs(js *jobState, w *workerState) bool {
	return w.added == 0 || w.added <= s.newestKnown(js)
}

// newestKnown returns the newest entry up to which the VMs of the job know of all workers; revisions are not negative.
func (s *Scheduler) newestKnown(js *jobState) int64 {
	newest := int64(math.MaxInt64)
	for k := range js.keys {
		if known, ok := s.known[k.Conn]; ok {
			newest = min(newest, max(known, 0))
		}
	}
	return newest
}

// ranBeyond reports whether the job may have runs on a worker with a later entry than the given one.
func (js *jobState) ranBeyond(known int64) bool { return known > 0 && js.newestWorker > known }

// priorRunsListed reports whether all workers that may have a run of the job have shown their runs under the current fence.
func (s *Scheduler) priorRunsListed(js *jobState) bool {
	since := js.arrived.Add(-s.rules.RemovalGrace - RelistTime - removalLag) // no run of the job is on a worker removed before
	if s.incompleteList || s.listRevision < js.priorKnown || since.Before(s.removalsSince) {
		return false
	}
	for _, w := range s.sortedWorkers {
		if !w.synced && (w.removed.IsZero() || w.removed.After(since)) {
			return false
		}
	}
	for _, removed := range s.forgotten {
		if removed.After(since) {
			return false
		}
	}
	return len(s.sortedWorkers) > 0
}

// forget remembers when a worker was removed that has not shown its runs under the current fence.
func (s *Scheduler) forget(w *workerState) {
	switch {
	case w.synced:
	case len(s.forgotten) >= maxForgotten:
		s.incompleteList = true
	default:
		s.forgotten[w.ID] = w.removed
	}
}
