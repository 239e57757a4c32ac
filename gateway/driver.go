package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/peer"
	"samphireplank.example/samphireplank/placement"
	"samphireplank.example/samphireplank/worker"
)

// tickInterval is the interval of checks for expired leases and unreachable workers.
const tickInterval = 50 * time.Millisecond

// groupDriver runs the scheduler of a group: it executes the scheduler's effects and feeds their results back.
type groupDriver struct {
	group       string
	fence       int64
	workers     worker.Client
	tasks       *errgroup.Group
	log         zerolog.Logger
	sendVerdict func(key placement.SubmissionKey, verdict placement.Verdict, loads map[string]placement.Load)
	delegate    func(to placement.SubmissionKey, orders peer.Orders) bool // to the VM of a submission; false if it is unreachable
	catchPanic  func(where string, f func()) bool

	checkPause    func(ctx context.Context)
	durablePermit func() time.Duration        // how long the holder may still act on durable jobs, negative after that
	evacuation    func() (active, known bool) // whether the zone of the group is evacuated
	confirmedAt   atomic.Int64                // clock reading before the last write under the condition that this VM holds the group

	peersConfirmedAt atomic.Int64 // clock reading at which the other VMs last showed that the group has no later record
	peersReadAt      atomic.Int64 // clock reading when that was last derived from their confirmations

	meter     *meter
	persister *jobPersister

	mu               sync.Mutex
	scheduler        *placement.Scheduler
	fenced           bool
	panicked         bool // the scheduler has panicked
	storeUnconfirmed bool // the store has not confirmed the holder
	cachedLoads      map[string]placement.Load
	loadsCachedAt    time.Time
	lastNeed         map[string]worker.Resources   // needs of the last task by service, for the load summary
	delegated        map[worker.Run]delegatedStart // starts that the submitting VMs send and whose result is pending
}

// apply passes a message to the scheduler after checking for a pause of the process, in which the group may have been
// lost.
func (d *groupDriver) apply(ctx context.Context, m placement.Message) {
	now := time.Now() // before the check, so that no lease is longer if the process is paused after it
	d.checkPause(ctx)
	d.applyAt(ctx, now, m)
}

func (d *groupDriver) applyUnchecked(ctx context.Context, m placement.Message) {
	d.applyAt(ctx, time.Now(), m)
}

func (d *groupDriver) applyAt(ctx context.Context, now time.Time, m placement.Message) {
	effects, ok := d.updateScheduler(now, m)
	if !ok {
		d.abandonScheduler(ctx, m)
		return
	}
	delegated := map[placement.SubmissionKey][]worker.StartOrder{}
	for _, e := range effects {
		if start, ok := e.(placement.StartRun); ok && start.Sender.Conn != 0 {
			delegated[start.Sender] = append(delegated[start.Sender], start.Order)
			continue
		}
		d.execute(ctx, e)
	}
	for key, orders := range delegated {
		d.delegateStarts(ctx, key, orders)
	}
}

func (d *groupDriver) execute(ctx context.Context, effect placement.Effect) {
	switch e := effect.(type) {
	case placement.StartRun:
		d.meter.starts.Inc()
		d.tasks.Go(func() error {
			sent := time.Now()
			report, err := d.workers.Start(ctx, e.Order)
			d.meter.startTime.Update(time.Since(sent).Seconds())
			d.apply(ctx, placement.StartResult{Order: e.Order, SentAt: sent, Report: report, Err: err})
			return nil
		})
	case placement.StopRun:
		d.tasks.Go(func() error {
			sent := time.Now()
			report, err := d.workers.Stop(ctx, e.Order)
			d.apply(ctx, placement.StopResult{Order: e.Order, SentAt: sent, Report: report, Err: err})
			return nil
		})
	case placement.PollWorker:
		d.meter.polls.Inc()
		d.tasks.Go(func() error {
			sent := time.Now()
			report, err := d.workers.Poll(ctx, e.Order)
			d.apply(ctx, placement.PollResult{Order: e.Order, SentAt: sent, Report: report, Err: err})
			return nil
		})
	case placement.Reply:
		d.sendVerdict(e.Key, e.Verdict, d.loads())
	case placement.PersistJob:
		d.persister.enqueueWrite(e)
	case placement.RequestTransfer:
		d.persister.transfer(ctx, e)
	case placement.ReadDurableJobs:
		d.persister.requestRead()
	case placement.FencedOff:
		d.mu.Lock()
		d.fenced = true
		d.mu.Unlock()
		d.log.Warn().Str("event", "fenced").Str("group", d.group).Str("worker", e.Worker).Int64("fence", d.fence).Msg("another VM holds the group")
	case placement.LogEvent:
		d.logEvent(e)
	}
}

func (d *groupDriver) logEvent(n placement.LogEvent) {
	line := d.log.Info().Str("event", n.Event).Str("group", d.group).Int64("fence", d.fence)
	if n.Job != "" {
		line = line.Str("job", n.Job)
	}
	if n.Worker != "" {
		line = line.Str("worker", n.Worker)
	}
	if n.Route != "" {
		line = line.Str("route", n.Route)
		d.meter.recordRouteEvent(n.Event, n.Route)
	}
	if n.Reason != "" {
		line = line.Str("reason", n.Reason)
	}
	for name, value := range n.Values {
		line = line.Int64(name, value)
	}
	line.Send()
}

// loadsMaxAge is the maximum age of a reused load summary; computing one takes about ten microseconds.
const loadsMaxAge = 20 * time.Millisecond

// loads returns the load summaries by service; the map is not modified afterwards.
func (d *groupDriver) loads() map[string]placement.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cachedLoads != nil && time.Since(d.loadsCachedAt) < loadsMaxAge {
		return d.cachedLoads
	}
	loads := map[string]placement.Load{}
	for service, typical := range d.lastNeed {
		loads[service] = d.scheduler.Load(service, typical)
	}
	d.cachedLoads, d.loadsCachedAt = loads, time.Now()
	return loads
}

// queuedJobs returns the number of jobs that have not started, by route.
func (d *groupDriver) queuedJobs() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.QueuedByRoute()
}

// longRunningJobs returns the jobs with long-running tasks.
func (d *groupDriver) longRunningJobs() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.LongRunningJobs()
}

func (d *groupDriver) hasStarted(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.HasStarted(id)
}

func (d *groupDriver) idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Idle()
}

func (d *groupDriver) lostFence() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fenced || d.panicked
}

// newSubmit converts a peer's message to a message of the scheduler.
func newSubmit(key placement.SubmissionKey, m peer.Submit) placement.Submit {
	return placement.Submit{
		Key: key, Work: m.Work, Policy: m.Policy, Age: m.Age, Budget: m.Budget, Resumed: m.Resumed, Progress: m.Progress, DelegatedStarts: m.Sends, Fence: m.Fence, Known: m.Known,
	}
}

func (d *groupDriver) currentFence() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fence
}

func (d *groupDriver) unconfirmed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.storeUnconfirmed && !d.fenced
}
