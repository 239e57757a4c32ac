package standin

import "time"

// EndpointCounts are the totals of one endpoint since its creation or the last reset.
type EndpointCounts struct {
	ID                    string  `json:"id"`
	Zone                  string  `json:"zone"`
	Up                    bool    `json:"up"`
	Slots                 int     `json:"slots"`
	Starts                uint64  `json:"starts"`   // requests that the endpoint may have run
	Answers               uint64  `json:"answers"`  // with status 200
	Failures              uint64  `json:"failures"` // answers with status 500
	Refusals              uint64  `json:"refusals"` // by the guard, not run
	Rejects               uint64  `json:"rejects"`  // answers with status 422, not run
	Malformed             uint64  `json:"malformed"`
	Probes                uint64  `json:"probes"`
	RefusedConnections    uint64  `json:"refused-connections"`
	MaxConnections        int     `json:"most-connections"`
	Running               int     `json:"running"`
	MaxRunning            int     `json:"most-running"`
	BusySeconds           float64 `json:"busy-seconds"` // sum over slots, running tasks included
	StartsAfterLeave      uint64  `json:"starts-after-leave"`
	LastStartAfterLeaveMS int64   `json:"last-start-after-leave-ms"`
}

// enter takes a slot; without a guard it waits for one.
func (e *Endpoint) enter(l *life) bool {
	if e.cfg.NoAdmissionControl {
		select {
		case l.slots <- struct{}{}:
		case <-l.ended.Done():
			return false
		}
	} else {
		select {
		case l.slots <- struct{}{}:
		default:
			return false
		}
	}
	e.began()
	return true
}

func (e *Endpoint) began() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.accrue(now)
	e.counts.Starts++
	e.counts.Running++
	e.counts.MaxRunning = max(e.counts.MaxRunning, e.counts.Running)
	if !e.left.IsZero() {
		e.counts.StartsAfterLeave++
		e.counts.LastStartAfterLeaveMS = now.Sub(e.left).Milliseconds()
	}
}

func (e *Endpoint) leave(l *life) {
	e.mu.Lock()
	e.accrue(time.Now())
	e.counts.Running--
	e.mu.Unlock()
	<-l.slots
}

// accrue adds the slot time since the last change; the lock is held.
func (e *Endpoint) accrue(now time.Time) {
	e.busySum += time.Duration(e.counts.Running) * now.Sub(e.busyAt)
	e.busyAt = now
}

func (e *Endpoint) count(change func(*EndpointCounts)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.counts)
}

// Counts returns the totals.
func (e *Endpoint) Counts() EndpointCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accrue(time.Now())
	counts := e.counts
	counts.ID, counts.Zone, counts.Slots, counts.Up = e.cfg.ID, e.cfg.Zone, e.cfg.Slots, e.life != nil
	counts.BusySeconds = e.busySum.Seconds()
	if e.life != nil {
		counts.RefusedConnections = e.life.listener.refused.Load()
		_, counts.MaxConnections = e.life.listener.counts()
	}
	return counts
}

// Reset sets the totals to zero; running tasks stay counted as running.
func (e *Endpoint) Reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	running := e.counts.Running
	e.counts = EndpointCounts{Running: running, MaxRunning: running}
	e.busySum, e.busyAt = 0, time.Now()
}
