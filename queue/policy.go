package queue

import (
	"math"
)

// Policy selects the flow that is served next.
type Policy uint8

// The scheduling policies.
const (
	// Fair serves the flow with the least service and the fewest running tasks in relation to its target.
	Fair Policy = iota
	// FIFO serves jobs in order of arrival.
	FIFO
	// Strict serves the most urgent priority first and in order of arrival inside it.
	Strict
	// Proportional serves the most urgent priority first, and inside it the team with the fewest running tasks in
	// relation to its weight.
	Proportional
)

// servesFirst reports whether queued tasks of another flow, whose priority has the rank other, are served before a new
// job of rank.
func (p Policy) servesFirst(other, rank int) bool {
	switch p {
	case FIFO:
		return true
	case Strict:
		return other <= rank
	case Proportional:
		return other < rank
	default:
		return false
	}
}

// nextFlow returns the flow that is served next, or nil if no flow can start a task.
func (q *Queue) nextFlow() *flow {
	var best *flow
	minKey := math.Inf(1)
	for i, key := range q.sortKeys {
		if key > minKey {
			continue
		}
		f := q.active[i]
		if key == minKey && best != nil && !q.winsTie(f, best) || f.blocked() {
			continue
		}
		best, minKey = f, key
	}
	return best
}

// updateSortKey updates the key by which flows are selected, smallest first.
func (q *Queue) updateSortKey(f *flow) {
	if f.position < 0 {
		return
	}
	key := float64(f.rank)
	switch q.policy {
	case Fair:
		key = f.fairKey()
	case FIFO:
		key = float64(f.headSequence())
	}
	q.sortKeys[f.position] = key
}

// blocked reports whether a quota prevents the flow from starting another task.
func (f *flow) blocked() bool {
	for _, l := range f.limits {
		if l.full() {
			return true
		}
	}
	return false
}

// winsTie reports whether a is served before b when both have the same sort key.
func (q *Queue) winsTie(a, b *flow) bool {
	switch q.policy {
	case Fair:
		if a.rank != b.rank {
			return a.rank < b.rank
		}
	case Proportional:
		left, right := float64(a.running)/a.weight, float64(b.running)/b.weight
		if left != right {
			return left < right
		}
	}
	return a.headSequence() < b.headSequence()
}
