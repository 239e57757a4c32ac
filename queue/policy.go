package queue

import (
	"math"
)

// Policy chooses the flow that is served next.
type Policy uint8

// The policies.
const (
	// Fair serves the flow that has the fewest slots in relation to its target.
	Fair Policy = iota
	// FIFO serves jobs in order of arrival.
	FIFO
	// Strict serves the most urgent priority first and in order of arrival inside it.
	Strict
	// Proportional serves the most urgent priority first, and inside it the team that has the fewest slots in relation
	// to its weight.
	Proportional
)

// ahead reports whether queued work of a flow of another rank is served before new work of rank.
func (p Policy) ahead(other, rank int) bool {
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

// pick returns the flow that is served next, or nil.
func (q *Queue) pick() *flow {
	var best *flow
	least := math.Inf(1)
	for i, level := range q.levels {
		if level > least {
			continue
		}
		f := q.active[i]
		if level == least && best != nil && !q.precedes(f, best) || f.blocked() {
			continue
		}
		best, least = f, level
	}
	return best
}

// relevel updates the number by which the flow is chosen, smallest first.
func (q *Queue) relevel(f *flow) {
	if f.position < 0 {
		return
	}
	level := float64(f.rank)
	switch q.policy {
	case Fair:
		level = f.level()
	case FIFO:
		level = float64(f.oldest())
	}
	q.levels[f.position] = level
}

// blocked reports whether a quota forbids the flow another task.
func (f *flow) blocked() bool {
	for _, l := range f.limits {
		if l.full() {
			return true
		}
	}
	return false
}

// precedes reports whether a is served before b when both have the same level.
func (q *Queue) precedes(a, b *flow) bool {
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
	return a.oldest() < b.oldest()
}
