package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/peer"
	"samphireplank.example/samphireplank/placement"
	"samphireplank.example/samphireplank/worker"
)

// tickInterval is the time between two looks at leases and silent workers.
const tickInterval = 50 * time.Millisecond

// driver runs the pool of a group: it carries out the effects and returns their results to the pool.
type driver struct {
	group   string
	fence   int64
	workers worker.Client
	tasks   *errgroup.Group
	log     zerolog.Logger
	answer  func(key placement.SubmissionKey, verdict placement.Verdict, loads map[string]placement.Load)
	hand    func(to placement.SubmissionKey, orders peer.Orders) bool // to the VM of a submission; false if it is out of reach
	guard   func(where string, f func()) bool

	checkPause func(ctx context.Context)

	meter  *meter
	keeper *keeper

	mu           sync.Mutex
	pool         *placement.Scheduler
	fenced       bool
	broken       bool // the pool has panicked
	withoutStore bool // the store has not confirmed the holder
	summary      map[string]placement.Load
	summaryAt    time.Time
	seen         map[string]worker.Resources // size of the last task by service, for the summary of load
	handed       map[worker.Run]handedStart  // starts that the VMs of submissions send and that have no answer yet
}

// apply lets the pool decide on a message, unless the process has been paused and may have lost the group meanwhile.
func (d *driver) apply(ctx context.Context, m placement.Message) {
	d.checkPause(ctx)
	d.decide(ctx, m)
}

func (d *driver) decide(ctx context.Context, m placement.Message) {
	effects, ok := d.step(time.Now(), m)
	if !ok {
		d.abandon(ctx, m)
		return
	}
	handed := map[placement.SubmissionKey][]worker.StartOrder{}
	for _, e := range effects {
		if start, ok := e.(placement.StartRun); ok && start.Sender.Conn != 0 {
			handed[start.Sender] = append(handed[start.Sender], start.Order)
			continue
		}
		d.carryOut(ctx, e)
	}
	for key, orders := range handed {
		d.handOut(ctx, key, orders)
	}
}

func (d *driver) carryOut(ctx context.Context, effect placement.Effect) {
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
			report, err := d.workers.Stop(ctx, e.Order)
			d.apply(ctx, placement.StopResult{Order: e.Order, Report: report, Err: err})
			return nil
		})
	case placement.PollWorker:
		d.meter.holds.Inc()
		d.tasks.Go(func() error {
			sent := time.Now()
			report, err := d.workers.Poll(ctx, e.Order)
			d.apply(ctx, placement.PollResult{Order: e.Order, SentAt: sent, Report: report, Err: err})
			return nil
		})
	case placement.Reply:
		d.answer(e.Key, e.Verdict, d.loads())
	case placement.PersistJob:
		d.keeper.save(e)
	case placement.FencedOff:
		d.mu.Lock()
		d.fenced = true
		d.mu.Unlock()
		d.log.Warn().Str("event", "fenced").Str("group", d.group).Str("worker", e.Worker).Int64("fence", d.fence).Msg("another VM holds the group")
	case placement.LogEvent:
		d.note(e)
	}
}

func (d *driver) note(n placement.LogEvent) {
	line := d.log.Info().Str("event", n.Event).Str("group", d.group).Int64("fence", d.fence)
	if n.Job != "" {
		line = line.Str("job", n.Job)
	}
	if n.Worker != "" {
		line = line.Str("worker", n.Worker)
	}
	if n.Reason != "" {
		line = line.Str("reason", n.Reason)
	}
	for name, value := range n.Values {
		line = line.Int64(name, value)
	}
	line.Send()
}

// loadsTime is the age up to which a summary is used again; making one takes some ten microseconds.
const loadsTime = 20 * time.Millisecond

// loads returns the summaries of the pool by service; the map is not changed later.
func (d *driver) loads() map[string]placement.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.summary != nil && time.Since(d.summaryAt) < loadsTime {
		return d.summary
	}
	loads := map[string]placement.Load{}
	for service, typical := range d.seen {
		loads[service] = d.pool.Load(service, typical)
	}
	d.summary, d.summaryAt = loads, time.Now()
	return loads
}

// waitingJobs returns the numbers of jobs that have not begun, by route.
func (d *driver) waitingJobs() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool.QueuedByRoute()
}

// lastingJobs returns the jobs with tasks that last.
func (d *driver) lastingJobs() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool.LongRunningJobs()
}

func (d *driver) begun(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool.HasStarted(id)
}

func (d *driver) idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pool.Idle()
}

func (d *driver) lostFence() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fenced || d.broken
}

// submission translates a message of a peer.
func submission(key placement.SubmissionKey, m peer.Submit) placement.Submit {
	return placement.Submit{
		Key: key, Work: m.Work, Policy: m.Policy, Age: m.Age, Budget: m.Budget, Resumed: m.Resumed, Progress: m.Progress, DelegatedStarts: m.Sends,
	}
}

func (d *driver) fenceNow() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fence
}

func (d *driver) unconfirmed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.withoutStore && !d.fenced
}

// raise goes on under a higher fence of the same VM.
func (d *driver) raise(ctx context.Context, fence int64) {
	d.mu.Lock()
	d.fence, d.withoutStore = fence, false
	d.mu.Unlock()
	d.apply(ctx, placement.RaiseFence{Fence: fence})
}
