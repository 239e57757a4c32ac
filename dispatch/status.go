package dispatch

import (
	"samphireplank.example/samphireplank/endpoint"
	"samphireplank.example/samphireplank/queue"
	"samphireplank.example/samphireplank/slot"
)

// Status is the state of a Core for operators.
type Status struct {
	Endpoints int            `json:"endpoints"`
	Jobs      int            `json:"jobs"`
	Slots     slot.Counts    `json:"slots"`
	Limited   []string       `json:"limited"` // endpoints that are ejected or half-open
	Demand    []queue.Demand `json:"demand"`
}

// Status returns the current state.
func (c *Core) Status() Status {
	status := Status{
		Endpoints: len(c.members),
		Jobs:      len(c.jobs),
		Slots:     c.pool.Counts(),
		Limited:   []string{},
		Demand:    c.queue.AppendDemand([]queue.Demand{}),
	}
	for _, e := range c.members {
		if c.health.ConcurrencyLimit(e.ID) < endpoint.NoLimit {
			status.Limited = append(status.Limited, e.ID)
		}
	}
	return status
}
