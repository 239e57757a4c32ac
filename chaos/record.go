package chaos

import (
	"sync"
	"time"
)

// record collects what happened during a run.
type record struct {
	mu         sync.Mutex
	spans      []span
	violations []Violation
	published  map[string]int // exit codes of publish, as text
	polls      int            // answers of /v1/status
	forwards   int            // at least, since the counts of killed entry VMs are lost
}

// Violation is a check that did not hold.
type Violation struct {
	Check  string
	Detail string
}

func newRecord() *record { return &record{published: map[string]int{}} }

func (r *record) span(s span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spans = append(r.spans, s)
}

func (r *record) violation(check, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, Violation{Check: check, Detail: detail})
}

// overlapping returns the events that had effect in a time and match.
func overlapping(spans []span, from, to time.Time, match func(FaultEvent) bool) []FaultEvent {
	var events []FaultEvent
	for _, s := range spans {
		if match(s.event) && s.from.Before(to) && s.to.After(from) {
			events = append(events, s.event)
		}
	}
	return events
}
