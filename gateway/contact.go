package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"samphireplank.example/samphireplank/peer"
	"samphireplank.example/samphireplank/store"
	"samphireplank.example/samphireplank/worker"
)

// A VM that is cut off does not see that its callers leave, and when the cut ends it may see that later than it reaches the other
// VMs, since the end of a connection is sent again at growing intervals. Its callers have sent their jobs elsewhere meanwhile. So a VM
// that has received nothing for some time ends its requests without a verdict, as after a pause.

const (
	// silenceLimit is the time without any contact after which the holders of groups no longer act on the jobs of this VM.
	silenceLimit = permitDuration
	// stopTime is reserved from the time after which callers send a job again for orders to stop its runs.
	stopTime = 200 * time.Millisecond
	// minOutsideLimit exceeds the interval of heartbeats on idle connections and the time of a watch.
	minOutsideLimit = peer.IdleHeartbeatInterval + 100*time.Millisecond
)

// contactMonitor tracks when a VM last received something. A VM that still reaches its workers may be cut off from its callers, so
// contact with others than workers is tracked by itself.
type contactMonitor struct {
	clock        func() time.Duration
	outsideLimit time.Duration // maximum time without contact with callers, other VMs and the store

	mu          sync.Mutex
	last        time.Duration // reading of the clock at the last contact, 0 before the first one
	lastOutside time.Duration // likewise, with others than workers
	isolated    bool          // the present time without contact is handled
}

// note records a contact, with others than workers if outside is set. It returns the time without contact before if that exceeds a
// limit and was not handled.
func (m *contactMonitor) note(outside bool) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	silent := m.silentLocked()
	m.last = m.clock()
	if outside {
		m.lastOutside = m.last
	}
	m.isolated = m.exceededLocked() > 0
	return silent
}

// check returns the time without contact until now once it exceeds a limit.
func (m *contactMonitor) check() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	silent := m.silentLocked()
	m.isolated = m.isolated || silent > 0
	return silent
}

func (m *contactMonitor) silentLocked() time.Duration {
	if m.isolated {
		return 0
	}
	return m.exceededLocked()
}

// exceededLocked returns the time without contact if it exceeds a limit.
func (m *contactMonitor) exceededLocked() time.Duration {
	now := m.clock()
	switch {
	case m.lastOutside == 0:
		return 0
	case now-m.last > silenceLimit:
		return now - m.last
	case now-m.lastOutside > m.outsideLimit:
		return now - m.lastOutside
	}
	return 0
}

// noteContact records that something was received from a caller, another VM or the store. It must be called before what was received
// is acted on.
func (g *Gateway) noteContact() { g.handleSilence(g.contact.note(true)) }

// noteWorkerContact records that something was received from a worker.
func (g *Gateway) noteWorkerContact() { g.handleSilence(g.contact.note(false)) }

// checkContact handles a time without contact that goes on.
func (g *Gateway) checkContact() { g.handleSilence(g.contact.check()) }

// handleSilence ends the requests in progress after a time without contact, unless no other VM can have their jobs.
func (g *Gateway) handleSilence(silent time.Duration) {
	if silent > 0 && len(g.cache.otherZones(g.settings.VM)) > 0 {
		g.handleIsolation(silent)
	}
}

// handleIsolation ends all requests in progress without a verdict, since their callers may have left.
func (g *Gateway) handleIsolation(silent time.Duration) {
	g.mu.Lock()
	ended := len(g.active)
	for _, a := range g.active {
		a.isolated = true
		a.cancel()
	}
	g.mu.Unlock()
	if ended == 0 {
		return
	}
	g.meter.isolations.Inc()
	g.log.Warn().Str("event", "isolated").Int64("for-ms", silent.Milliseconds()).Int("requests", ended).Msg("nothing was received from anybody; requests end without a verdict, since their callers may have left")
}

// reasonIsolated is the reason why a request has no verdict after a time without contact.
const reasonIsolated = "the VM was cut off, and the caller may have sent the job elsewhere"

// monitoredStore notes the responses of the store.
type monitoredStore struct {
	store.KV
	g *Gateway
}

func (s monitoredStore) note(err error) {
	if err == nil || errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrCompacted) {
		s.g.noteContact()
	}
}

// Get returns a key, or store.ErrNotFound.
func (s monitoredStore) Get(ctx context.Context, key string) (store.KeyValue, error) {
	item, err := s.KV.Get(ctx, key)
	s.note(err)
	return item, err
}

// GetStale returns a key in a state that may be some seconds old.
func (s monitoredStore) GetStale(ctx context.Context, key string) (store.KeyValue, error) {
	item, err := s.KV.GetStale(ctx, key)
	s.note(err)
	return item, err
}

// Range returns the keys with a prefix.
func (s monitoredStore) Range(ctx context.Context, prefix string) (store.Snapshot, error) {
	snapshot, err := s.KV.Range(ctx, prefix)
	s.note(err)
	return snapshot, err
}

// Watch waits for a change of a key with the prefix.
func (s monitoredStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (store.WatchResult, error) {
	changes, err := s.KV.Watch(ctx, prefix, after, wait)
	s.note(err)
	return changes, err
}

// Commit applies a transaction.
func (s monitoredStore) Commit(ctx context.Context, t store.Transaction) (int64, error) {
	revision, err := s.KV.Commit(ctx, t)
	s.note(err)
	return revision, err
}

// monitoredWorkers notes the responses of workers. Some rejections are not responses, so only accepted orders count.
type monitoredWorkers struct {
	worker.Client
	g *Gateway
}

func (w monitoredWorkers) note(report worker.Report, err error) (worker.Report, error) {
	if err == nil {
		w.g.noteWorkerContact()
	}
	return report, err
}

// Start orders a worker to run a task.
func (w monitoredWorkers) Start(ctx context.Context, order worker.StartOrder) (worker.Report, error) {
	return w.note(w.Client.Start(ctx, order))
}

// Stop orders a worker to stop a run.
func (w monitoredWorkers) Stop(ctx context.Context, order worker.StopOrder) (worker.Report, error) {
	return w.note(w.Client.Stop(ctx, order))
}

// Poll renews the lease of a worker and returns its runs.
func (w monitoredWorkers) Poll(ctx context.Context, order worker.PollOrder) (worker.Report, error) {
	return w.note(w.Client.Poll(ctx, order))
}

// unlessIsolated returns the reply, or no verdict if the request was ended since the VM was cut off.
func (g *Gateway) unlessIsolated(a *activeJob, reply Reply) Reply {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, gone := reply.(CallerGone); gone && a.isolated {
		return OutcomeUnknown{Reason: reasonIsolated}
	}
	return reply
}
