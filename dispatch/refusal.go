package dispatch

import (
	"time"

	"samphireplank.example/samphireplank/endpoint"
)

// Delays before a slot is used again after its endpoint refused a task or could not be reached.
const (
	minRefusalDelay = 20 * time.Millisecond
	maxRefusalDelay = time.Second
)

// maxRefusalsInRow is the number of refusals in a row after which an endpoint counts as failing.
const maxRefusalsInRow = 5

// refusedSlot is a slot that stays unused until a time.
type refusedSlot struct {
	id    uint64
	until time.Time
}

// refusalBackoff delays the use of slots whose endpoint refused, so that a full endpoint is not flooded.
type refusalBackoff struct {
	row     map[string]int // refusals in a row of each endpoint
	waiting []refusedSlot
}

func newRefusalBackoff() refusalBackoff {
	return refusalBackoff{row: make(map[string]int)}
}

// add holds a slot back for a delay that doubles with each refusal in a row.
func (r *refusalBackoff) add(now time.Time, endpointID string, slotID uint64) {
	delay := min(minRefusalDelay<<min(r.row[endpointID], 10), maxRefusalDelay)
	r.row[endpointID]++
	r.waiting = append(r.waiting, refusedSlot{id: slotID, until: now.Add(delay)})
}

func (r *refusalBackoff) forget(endpointID string) {
	delete(r.row, endpointID)
}

// releaseRefused frees the slots whose delay has passed.
func (c *Core) releaseRefused(now time.Time) {
	kept := c.refusals.waiting[:0]
	for _, w := range c.refusals.waiting {
		if now.Before(w.until) {
			kept = append(kept, w)
			continue
		}
		c.ledger.Release(now, w.id)
	}
	c.refusals.waiting = kept
}

// recordHealth judges the endpoint by the result of a send.
func (c *Core) recordHealth(now time.Time, m TaskFinished) {
	switch m.Result {
	case endpoint.Succeeded, endpoint.Rejected:
		c.health.Record(now, m.Endpoint, m.Job, endpoint.ObservedSuccess)
	case endpoint.Failed:
		c.health.Record(now, m.Endpoint, m.Job, endpoint.ObservedError)
	case endpoint.NotSent:
		c.health.Record(now, m.Endpoint, m.Job, endpoint.ObservedUnreachable)
	case endpoint.Unknown:
		c.health.Record(now, m.Endpoint, m.Job, endpoint.ObservedNoResponse)
	case endpoint.Refused:
		if c.refusals.row[m.Endpoint] > maxRefusalsInRow {
			c.health.Record(now, m.Endpoint, m.Job, endpoint.ObservedError)
		}
	}
	c.ledger.SetConcurrencyLimit(m.Endpoint, c.health.ConcurrencyLimit(m.Endpoint))
}

// applyHealth bounds the use of each endpoint by its health.
func (c *Core) applyHealth() {
	for _, e := range c.members {
		c.ledger.SetConcurrencyLimit(e.ID, c.health.ConcurrencyLimit(e.ID))
	}
}

// applyActions executes what health has decided.
func (c *Core) applyActions(now time.Time) {
	for _, action := range c.actions {
		switch a := action.(type) {
		case endpoint.Eject:
			c.ledger.SetConcurrencyLimit(a.Endpoint, 0)
		case endpoint.LimitChanged:
			c.ledger.SetConcurrencyLimit(a.Endpoint, a.Limit)
		case endpoint.ProbeDue:
			c.emit(Probe{Endpoint: a.Endpoint, Address: c.endpoints[a.Endpoint].Address, Path: c.service.ProbePath})
		case endpoint.ProbeAnswered:
			c.ledger.ReleaseWithheld(now, a.Endpoint)
		}
	}
}

// probeFinished tells health the result of a probe.
func (c *Core) probeFinished(now time.Time, m ProbeFinished) {
	c.health.RecordProbe(now, m.Endpoint, m.Healthy)
	c.ledger.SetConcurrencyLimit(m.Endpoint, c.health.ConcurrencyLimit(m.Endpoint))
}
