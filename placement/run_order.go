package placement

import (
	"slices"
	"strings"
)

// runOrder caches the sorted runs of a worker. A list is not modified after it is built, so that it can be walked while runs are
// removed.
type runOrder struct {
	byName []*run // nil if it has to be built
	byEnd  []*run // likewise
}

// addRun adds a run to the worker's runs.
func (w *workerState) addRun(r *run) {
	w.runs[r.taskName] = r
	w.order = runOrder{}
}

// deleteRun removes the run of a task from the worker's runs.
func (w *workerState) deleteRun(task string) {
	delete(w.runs, task)
	w.order = runOrder{}
}

// sortedRuns returns the runs sorted by task. The result must not be modified.
func (w *workerState) sortedRuns() []*run {
	if w.order.byName == nil && len(w.runs) > 0 {
		list := make([]*run, 0, len(w.runs))
		for _, r := range w.runs {
			list = append(list, r)
		}
		slices.SortFunc(list, func(a, b *run) int { return strings.Compare(a.taskName, b.taskName) })
		w.order.byName = list
	}
	return w.order.byName
}

// runsByEnd returns the runs sorted by their expected end, which does not change while they run, and then by task. The result must not be
// modified.
func (w *workerState) runsByEnd() []*run {
	if w.order.byEnd == nil && len(w.runs) > 0 {
		list := slices.Clone(w.sortedRuns())
		slices.SortStableFunc(list, func(a, b *run) int { return a.expectedEnd().Compare(b.expectedEnd()) })
		w.order.byEnd = list
	}
	return w.order.byEnd
}
