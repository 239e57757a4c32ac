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

// maxConsecutiveRefusals is the number of consecutive refusals beyond which each further one counts as an error of the
// endpoint.
const maxConsecutiveRefusals = 5

// refusedSlot is a slot that must not be used before a time.
type refusedSlot struct {
	id    uint64
	until time.Time
}

// refusalBackoff delays the reuse of slots whose endpoint refused a task, so that a full endpoint is not flooded.
type refusalBackoff struct {
	consecutive map[string]int // consecutive refusals of each endpoint
	delayed     []refusedSlot
}

func newRefusalBackoff() refusalBackoff {
	return refusalBackoff{consecutive: make(map[string]int)}
}

// add delays the reuse of a slot; the delay doubles with each consecutive refusal.
func (r *refusalBackoff) add(now time.Time, endpointID string, slotID uint64) {
	delay := min(minRefusalDelay<<min(r.consecutive[endpointID], 10), maxRefusalDelay)
	r.consecutive[endpointID]++
	r.delayed = append(r.delayed, refusedSlot{id: slotID, until: now.Add(delay)})
}

func (r *refusalBackoff) reset(endpointID string) {
	delete(r.consecutive, endpointID)
}

// releaseRefused frees the slots whose delay has passed.
func (c *Core) releaseRefused(now time.Time) {
	kept := c.refusals.delayed[:0]
	for _, w := range c.refusals.delayed {
		if now.Before(w.until) {
			kept = append(kept, w)
			continue
		}
		c.pool.Release(now, w.id)
	}
	c.refusals.delayed = kept
}

// recordHealth reports the result of a send to the health tracker.
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
		if c.refusals.consecutive[m.Endpoint] > maxConsecutiveRefusals {
			c.health.Record(now, m.Endpoint, m.Job, endpoint.ObservedError)
		}
	}
	c.pool.SetConcurrencyLimit(m.Endpoint, c.health.ConcurrencyLimit(m.Endpoint))
}

// applyHealth limits the use of each endpoint by its health.
func (c *Core) applyHealth() {
	for _, e := range c.members {
		c.pool.SetConcurrencyLimit(e.ID, c.health.ConcurrencyLimit(e.ID))
	}
}

// applyHealthEvents applies the decisions of the health tracker.
func (c *Core) applyHealthEvents(now time.Time) {
	for _, action := range c.healthEvents {
		switch a := action.(type) {
		case endpoint.Eject:
			c.pool.SetConcurrencyLimit(a.Endpoint, 0)
		case endpoint.LimitChanged:
			c.pool.SetConcurrencyLimit(a.Endpoint, a.Limit)
		case endpoint.ProbeDue:
			c.emit(Probe{Endpoint: a.Endpoint, Address: c.endpoints[a.Endpoint].Address, Path: c.service.ProbePath})
		case endpoint.ProbeAnswered:
			c.pool.ReleaseWithheld(now, a.Endpoint)
		}
	}
}

// probeFinished reports the result of a probe to the health tracker.
func (c *Core) probeFinished(now time.Time, m ProbeFinished) {
	c.health.RecordProbe(now, m.Endpoint, m.Healthy)
	c.pool.SetConcurrencyLimit(m.Endpoint, c.health.ConcurrencyLimit(m.Endpoint))
}
