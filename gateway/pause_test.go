package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/claim"
	"samphireplank.example/samphireplank/evacuation"
	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/peer"
	"samphireplank.example/samphireplank/placement"
	"samphireplank.example/samphireplank/store"
	"samphireplank.example/samphireplank/worker"
)

// countingWorkers runs every started task forever.
type countingWorkers struct {
	unresponsiveWorkers
	mu     sync.Mutex
	starts []worker.ActiveRun
	leases []time.Duration // of the starts
}

func (c *countingWorkers) Poll(_ context.Context, o worker.PollOrder) (worker.Report, error) {
	time.Sleep(min(o.Wait, 10*time.Millisecond))
	return worker.Report{Clock: time.Hour, Incarnation: 1, Running: c.running()}, nil
}

func (c *countingWorkers) Start(_ context.Context, o worker.StartOrder) (worker.Report, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts = append(c.starts, worker.ActiveRun{Run: o.Run, Progress: 50})
	c.leases = append(c.leases, o.Lease)
	return worker.Report{Clock: time.Hour, Incarnation: 1}, nil
}

func (c *countingWorkers) running() []worker.ActiveRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]worker.ActiveRun(nil), c.starts...)
}

// emptyStore is a store without keys.
type emptyStore struct{ store.KV }

func (emptyStore) Range(context.Context, string) (store.Snapshot, error) {
	return store.Snapshot{Revision: 1}, nil
}

func (emptyStore) Watch(ctx context.Context, _ string, after int64, wait time.Duration) (store.WatchResult, error) {
	pause(ctx, wait)
	return store.WatchResult{Revision: after}, nil
}

// Guards against a holder that was suspended for seconds and sends orders for a group that another VM has claimed
// meanwhile: its monotonic clock was stopped, so that its leases and timeouts seem not to have expired.
func TestPausedHolderSendsNoOrder(t *testing.T) {
	is := is.New(t)
	workers := &countingWorkers{}
	g := New(Config{Log: zerolog.Nop(), Decoder: fakeDecoder{}, PlacementRules: placement.DefaultRules(), Store: emptyStore{}, Workers: workers, Settings: Settings{VM: "v", Zone: "a", LeaseDuration: time.Second}})
	g.cache.learnEvacuations(evacuation.NewState(nil, 1))
	var boot atomic.Int64 // as a time.Duration
	g.pauseDetector = newPauseDetector(func() time.Duration { return time.Duration(boot.Load()) }, time.Now)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	g.ctx = ctx
	g.cache.partitions["a"] = zonePartition{Groups: 1}
	g.cache.ownKeysRead = true
	g.cache.workersReadAt = time.Now().Add(-time.Hour)
	g.cache.applyOwnWrite(workerEntry("w", 5))
	g.cache.applyOwnWrite(workerEntry("w", 6))
	g.startDriver(ctx, "a#0", 256, false)
	d := g.driverOf("a#0")
	var verdicts sync.Map // by key
	d.sendVerdict = func(key placement.SubmissionKey, v placement.Verdict, _ map[string]placement.Load) {
		verdicts.Store(key.Sequence, v)
	}
	d.apply(ctx, placement.RestoreDone{})
	submit := func(sequence uint64, id string) {
		w := job.Work{ID: id, BestEffort: true, Steps: []job.Step{{Count: 1, Estimate: time.Second}}}
		d.apply(ctx, placement.Submit{Key: placement.SubmissionKey{Sequence: sequence}, Work: w, Policy: job.Policy{Service: "s", Stretch: 2, Target: time.Minute}, Budget: time.Minute})
	}
	for sequence := uint64(1); len(workers.running()) == 0; sequence++ { // refused until the worker has been polled
		submit(sequence, "0000000000000001")
		time.Sleep(5 * time.Millisecond)
	}
	boot.Add(int64(3 * time.Second))
	submit(1000, "0000000000000002")
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(workers.running()), 1)
	last, _ := verdicts.Load(uint64(1000))
	refused, notRun := last.(placement.NotRun)
	is.True(notRun)
	is.Equal(refused.Reason, placement.ReasonHandedOver) // another group or holder is asked
	moved := 0
	verdicts.Range(func(_, v any) bool {
		if _, ok := v.(placement.HandedOver); ok {
			moved++
		}
		return true
	})
	is.True(moved > 0) // the job that was running
	is.True(g.driverOf("a#0") == nil)
	is.True(time.Since(g.fenceLosses["a#0"].at) >= fenceLossWait) // the claim at the known revision follows at once
	is.Equal(g.meter.pauses.Get(), uint64(1))
}

// Guards against starting a request from before a pause, whose caller may have retried elsewhere.
func TestPausedVMStartsNoEarlierRequest(t *testing.T) {
	is := is.New(t)
	g := New(Config{Log: zerolog.Nop(), Decoder: fakeDecoder{}, Settings: Settings{VM: "v", Zone: "a"}})
	boot := time.Hour
	g.pauseDetector = newPauseDetector(func() time.Duration { return boot }, time.Now)
	g.ctx = t.Context()
	r := &request{deadline: time.Now().Add(time.Minute), arrived: time.Now(), asked: map[string]bool{}}
	boot += 2 * time.Second
	reply := g.runToVerdict(t.Context(), r)
	_, undecided := reply.(OutcomeUnknown)
	is.True(undecided) // not refused: the job may have run elsewhere
	boot += minPause / 2
	is.Equal(g.pauseDetector.detectPause(), time.Duration(0)) // a late tick is not a pause
}

// holderWithWorker returns a VM that holds the group a#0 and has polled its only worker. Its pauses are detected by the given
// clock.
func holderWithWorker(t *testing.T, workers *countingWorkers, boot func() time.Duration) *Gateway {
	t.Helper()
	g := New(Config{Log: zerolog.Nop(), Decoder: fakeDecoder{}, PlacementRules: placement.DefaultRules(), Store: emptyStore{}, Workers: workers, Settings: Settings{VM: "v", Zone: "a", LeaseDuration: time.Second, ClientRetryDelay: 1300 * time.Millisecond}})
	g.cache.learnEvacuations(evacuation.NewState(nil, 1))
	g.pauseDetector = newPauseDetector(boot, time.Now)
	g.ctx = t.Context()
	g.cache.partitions["a"] = zonePartition{Groups: 1}
	g.cache.ownKeysRead = true
	g.cache.workersReadAt = time.Now().Add(-time.Hour)
	g.cache.applyOwnWrite(workerEntry("w", 5))
	g.startDriver(g.ctx, "a#0", 256, false)
	g.driverOf("a#0").apply(g.ctx, placement.RestoreDone{})
	time.Sleep(50 * time.Millisecond) // the worker has been polled
	return g
}

// Guards against a holder that starts tasks after a pause: another message for a group comes between the detection of the
// pause and the end of the group's scheduler.
func TestPausedHolderStartsTaskBeforeItsGroupIsDropped(t *testing.T) {
	is := is.New(t)
	workers := &countingWorkers{}
	var boot atomic.Int64 // as a time.Duration
	g := holderWithWorker(t, workers, func() time.Duration { return time.Duration(boot.Load()) })
	d := g.driverOf("a#0")
	d.sendVerdict = func(placement.SubmissionKey, placement.Verdict, map[string]placement.Load) {}
	submit := func(sequence uint64, id string) {
		w := job.Work{ID: id, BestEffort: true, Steps: []job.Step{{Count: 1, Estimate: time.Second}}}
		d.apply(g.ctx, placement.Submit{Key: placement.SubmissionKey{Sequence: sequence}, Work: w, Policy: job.Policy{Service: "s", Stretch: 2, Target: time.Minute}, Budget: time.Minute})
	}
	submit(1, "0000000000000001")
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(workers.running()), 1) // the worker takes tasks
	g.mu.Lock()                         // the first message after the pause waits for the lock after it has detected the pause
	boot.Add(int64(3 * time.Second))
	g.background(g.ctx, g.checkPause)
	for pauses := 0; pauses == 0; {
		time.Sleep(time.Millisecond)
		pauses = g.pauseDetector.count()
	}
	g.background(g.ctx, func(context.Context) { submit(2, "0000000000000002") })
	time.Sleep(20 * time.Millisecond)
	g.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(workers.running()), 1)
}

// Guards against orders with a new lease of a process that is paused right after its check for a pause.
func TestPauseAfterTheCheckGrantsANewLease(t *testing.T) {
	is := is.New(t)
	workers := &countingWorkers{}
	var paused atomic.Bool
	g := holderWithWorker(t, workers, func() time.Duration {
		if paused.Load() {
			time.Sleep(500 * time.Millisecond) // after the clock was read
		}
		return 0
	})
	d := g.driverOf("a#0")
	d.sendVerdict = func(placement.SubmissionKey, placement.Verdict, map[string]placement.Load) {}
	before := time.Now()
	paused.Store(true)
	w := job.Work{ID: "0000000000000001", BestEffort: true, Steps: []job.Step{{Count: 1, Estimate: time.Second}}}
	d.apply(g.ctx, placement.Submit{Key: placement.SubmissionKey{Sequence: 1}, Work: w, Policy: job.Policy{Service: "s", Stretch: 2, Target: time.Minute}, Budget: time.Minute})
	time.Sleep(50 * time.Millisecond)
	workers.mu.Lock()
	defer workers.mu.Unlock()
	is.Equal(len(workers.leases), 1)
	granted := workers.leases[0] - time.Hour // on the worker's clock, which stands still
	is.True(granted < time.Since(before)-500*time.Millisecond+time.Second)
}

// Guards against starting a request that waited in its socket while the VM was paused, whose caller has sent it elsewhere
// and left the connection open.
func TestPausedVMStartsRequestThatWaitedInSocket(t *testing.T) {
	is := is.New(t)
	boot, now := time.Hour, time.Now()
	submit := func(pauses ...time.Duration) Reply {
		g := New(Config{Log: zerolog.Nop(), Decoder: fakeDecoder{}, Settings: Settings{VM: "v", Zone: "a", ClientRetryDelay: 1300 * time.Millisecond}})
		g.pauseDetector = newPauseDetector(func() time.Duration { return boot }, func() time.Time { return now })
		g.ctx = t.Context()
		for i, p := range pauses {
			if i > 0 {
				boot, now = boot+100*time.Millisecond, now.Add(100*time.Millisecond)
				g.checkPause(t.Context())
			}
			boot, now = boot+p, now.Add(p)
			g.checkPause(t.Context())
		}
		return g.Submit(t.Context(), Submission{Work: job.Work{ID: "0000000000000001", BestEffort: true}, Budget: time.Second})
	}
	_, undecided := submit(1300 * time.Millisecond).(OutcomeUnknown)
	is.True(undecided) // not refused by the next group: the job may run elsewhere
	_, undecided = submit(700*time.Millisecond, 700*time.Millisecond).(OutcomeUnknown)
	is.True(undecided) // the VM was hardly awake in between
	_, refused := submit(700 * time.Millisecond).(Refused)
	is.True(refused) // its caller is still waiting, and no group can be reached
}

// submitRecorder counts the jobs that a VM receives.
type submitRecorder struct {
	silentPeer
	jobs atomic.Int64
}

func (r *submitRecorder) Received(_ *peer.Conn, m peer.Message) {
	if _, ok := m.(peer.Submit); ok {
		r.jobs.Add(1)
	}
}

// Guards against a job that is sent to another VM after a pause in which its caller may have left: the process was paused
// between its check for a pause and the message.
func TestPauseAfterTheCheckSubmitsJob(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	var group errgroup.Group
	holding := &submitRecorder{}
	group.Go(func() error {
		return peer.Serve(t.Context(), listener, peer.Config{Self: peer.Hello{VM: "h", Zone: "a"}}, holding)
	})
	g := New(Config{Log: zerolog.Nop(), Decoder: fakeDecoder{}, Settings: Settings{VM: "v", Zone: "a", ClientRetryDelay: 1300 * time.Millisecond}})
	g.ctx = t.Context()
	g.cache.ownKeysRead = true
	g.cache.partitions["a"] = zonePartition{Groups: 1}
	g.cache.holders["a#0"] = holderRecord{Record: claim.Record{VM: "h"}, revision: 1}
	g.mu.Lock()
	g.links["h"] = g.openLink(t.Context(), "h", listener.Addr().String())
	g.mu.Unlock()
	for g.findHolder("a#0") == nil {
		time.Sleep(5 * time.Millisecond)
		g.mu.Lock()
		g.links["h"].holds["a#0"] = 256
		g.mu.Unlock()
	}
	checks := 0
	g.pauseDetector = newPauseDetector(func() time.Duration {
		if checks++; checks > 3 { // after those of a new request and of its first submission
			return 3 * time.Second
		}
		return 0
	}, time.Now)
	reply := g.Submit(t.Context(), Submission{Work: job.Work{ID: "0000000000000001", BestEffort: true}, Budget: 300 * time.Millisecond})
	_, undecided := reply.(OutcomeUnknown)
	is.True(undecided)
	is.Equal(holding.jobs.Load(), int64(0))
}

// Guards against starting a request whose caller has sent it elsewhere during a second pause, which came while the request
// waited for the disconnect of its caller after the first one.
func TestPauseWhileWaitingForDisconnectStartsRequest(t *testing.T) {
	is := is.New(t)
	g := New(Config{Log: zerolog.Nop(), Decoder: fakeDecoder{}, Settings: Settings{VM: "v", Zone: "a", ClientRetryDelay: 1300 * time.Millisecond}})
	var boot atomic.Int64 // as a time.Duration
	g.pauseDetector = newPauseDetector(func() time.Duration { return time.Duration(boot.Load()) }, time.Now)
	g.ctx = t.Context()
	boot.Add(int64(800 * time.Millisecond))
	g.checkPause(t.Context())
	time.AfterFunc(callerDisconnectWait/3, func() {
		boot.Add(int64(3 * time.Second))
		g.checkPause(t.Context()) // as the next tick does
	})
	reply := g.Submit(t.Context(), Submission{Work: job.Work{ID: "0000000000000001", BestEffort: true}, Budget: time.Second})
	_, undecided := reply.(OutcomeUnknown)
	is.True(undecided) // not refused: the job was not to be submitted anywhere
}
