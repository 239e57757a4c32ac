package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// WorkerConfig configures a Worker.
type WorkerConfig struct {
	ID         string
	Service    string
	Zone       string
	Address    string // host:port that it listens on
	MilliCores int    // thousandths of a core
	Checker    *RunChecker
	MaxLease   time.Duration
}

// WorkerFaults are the faults of a Worker.
type WorkerFaults struct {
	DropReplies             bool          // orders are carried out and not answered
	Hang                    bool          // tasks make no progress
	Fail                    bool          // tasks fail
	DelayedStartProbability float64       // share of starts that are carried out later and not answered
	StartDelay              time.Duration // longest delay of these starts, 0 for 2 to 6 s
	SlowdownFactor          float64       // run times are multiplied by it, 0 for 1
}

// RunChecker checks over all workers of a system that no task has two runs at a time, and that a task of a stored job does
// not start after its end was acknowledged or after too many failed runs.
type RunChecker struct {
	Stored   func(job string) bool // says whether the job with the id is stored; nil for none
	Attempts int                   // failed runs after which a task of a stored job must not start, 0 for any number
	// Holder names the holder whose orders have a fence; nil if that is not known.
	Holder func(fence int64) string

	mu       sync.Mutex
	alive    map[string][]*Run
	started  map[string]bool
	began    map[string]time.Time // first start by task
	done     map[string]bool      // tasks that have ended so
	noted    map[string]bool      // tasks whose end as done was acknowledged
	failed   map[string]int       // failed runs that were acknowledged, by task
	overlaps [][2]*Run
	faults   []string

	lastStarts map[string]time.Time // by worker
}

// NewRunChecker returns a RunChecker that has seen nothing.
func NewRunChecker() *RunChecker {
	return &RunChecker{
		alive: map[string][]*Run{}, started: map[string]bool{}, began: map[string]time.Time{}, done: map[string]bool{}, noted: map[string]bool{}, failed: map[string]int{},
		lastStarts: map[string]time.Time{},
	}
}

// begin notes a run, whose end is to be noted under the same pointer.
func (w *RunChecker) begin(r Run) *Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	run := &r
	run.Began = time.Now()
	task, where := run.Task, run.Worker
	w.lastStarts[where] = run.Began
	for _, other := range w.alive[task] {
		w.overlaps = append(w.overlaps, [2]*Run{other, run})
	}
	w.alive[task] = append(w.alive[task], run)
	job, _, _ := strings.Cut(task, ".")
	w.started[job] = true
	if w.began[task].IsZero() {
		w.began[task] = time.Now()
	}
	if w.Stored == nil || !w.Stored(job) {
		return run
	}
	now := time.Now().Format("15:04:05.000")
	if w.noted[task] {
		w.faults = append(w.faults, fmt.Sprintf("%s: task %s starts on %s after its end was acknowledged", now, task, where))
	}
	if w.Attempts > 0 && w.failed[task] >= w.Attempts {
		w.faults = append(w.faults, fmt.Sprintf("%s: task %s starts on %s after %d failed runs", now, task, where, w.failed[task]))
	}
	return run
}

// acknowledged notes that the system has taken note of an end.
func (w *RunChecker) acknowledged(task, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch how {
	case "done":
		w.noted[task] = true
	case "failed":
		w.failed[task]++
	}
}

// FirstStart returns when a task first started, zero if it has not.
func (w *RunChecker) FirstStart(task string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.began[task]
}

// Done returns the number of tasks of a job that have ended as done, and the most failed runs of one of its tasks.
func (w *RunChecker) Done(job string) (done, failed int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task := range w.done {
		if strings.HasPrefix(task, job+".") {
			done++
		}
	}
	for task, n := range w.failed {
		if strings.HasPrefix(task, job+".") {
			failed = max(failed, n)
		}
	}
	return done, failed
}

func (w *RunChecker) end(run *Run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if how == "done" {
		w.done[run.Task] = true
	}
	run.Ended, run.End = time.Now(), how
	left := slices.DeleteFunc(w.alive[run.Task], func(r *Run) bool { return r == run })
	if w.alive[run.Task] = left; len(left) == 0 {
		delete(w.alive, run.Task)
	}
}

// Violations returns what was found, and the number of tasks that run.
func (w *RunChecker) Violations() (faults []string, alive int) {
	for _, o := range w.Overlaps() {
		faults = append(faults, o.String())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return append(faults, w.faults...), len(w.alive)
}

// Started says whether a task of the job has ever begun.
func (w *RunChecker) Started(job string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started[job]
}

// Worker is a stand-in of a worker of the users' platform. The text of a task says how many milliseconds it runs.
type Worker struct {
	config   WorkerConfig
	server   *fasthttp.Server
	mu       sync.Mutex
	faults   WorkerFaults
	cold     coldTime
	born     time.Time
	runs     map[string]*workerRun
	highest  map[string]int
	ended    []workerEnd
	sequence int64
	fence    int64
	lease    time.Duration
	changed  chan struct{}
	conns    map[net.Conn]time.Time // open connections, with the start of the incarnation that accepted them
}

type workerRun struct {
	number int
	noted  *Run // by the checker
	cpu    int
	began  time.Time
	length time.Duration
}

type workerEnd struct {
	sequence int64
	task     string
	run      int
	how      string
}

// NewWorker returns a Worker that does not serve yet.
func NewWorker(config WorkerConfig) *Worker {
	w := &Worker{config: config, changed: make(chan struct{}), conns: map[net.Conn]time.Time{}}
	w.reset()
	w.server = &fasthttp.Server{Handler: w.handle, ConnState: w.trackConn, NoDefaultServerHeader: true, Logger: quietLogger{}}
	return w
}

func (w *Worker) trackConn(c net.Conn, state fasthttp.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		w.conns[c] = w.born
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(w.conns, c)
	}
}

func (w *Worker) reset() {
	now := time.Now()
	if earliest := w.born.Add(time.Millisecond); now.Before(earliest) {
		now = earliest // two incarnations never report the same millisecond
	}
	w.born = now
	for _, r := range w.runs {
		w.config.Checker.end(r.noted, "lost")
	}
	w.runs, w.highest, w.ended, w.sequence, w.fence, w.lease = map[string]*workerRun{}, map[string]int{}, nil, 0, 0, 0
}

// Serve answers on a listener until Close.
func (w *Worker) Serve(listener net.Listener) error { return w.server.Serve(listener) }

// Close stops serving.
func (w *Worker) Close() error { return w.server.Shutdown() }

// SetFaults switches faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Crash restarts the worker under its id and at its address: it loses all runs, ends, its fence and its clock, resets its
// connections, and carries out no order that it received before.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reset()
	for c := range w.conns {
		reset(c)
	}
	clear(w.conns)
	w.signal()
}

// Registration returns what the worker writes of itself to the store.
func (w *Worker) Registration(state string, sequence int) any {
	w.mu.Lock()
	defer w.mu.Unlock()
	return map[string]any{
		"service": w.config.Service, "address": w.config.Address, "zone": w.config.Zone, "version": "v1", "slots": 8,
		"state": state, "cold_remaining_ms": w.cold.remaining().Milliseconds(), "labels": []string{"a", "r1"}, "sequence": sequence, "born": w.born.UnixMilli(),
		"capacity": map[string]int{"cpu": w.config.MilliCores, "mem_mb": 1 << 18, "gpu": 0}, "clock_ms": w.clock().Milliseconds(),
	}
}

func (w *Worker) clock() time.Duration { return time.Since(w.born) + time.Minute }

func (w *Worker) signal() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// workerOrder holds the fields of all orders.
type workerOrder struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      int64  `json:"fence_token"`
	Through    int64  `json:"acked_through"`
	WaitMS     int    `json:"wait_ms"`

	receiver time.Time // start of the incarnation that received the order
}

// maxListedEnds is the number of ended runs that a worker lists at a time.
const maxListedEnds = 500

// reasonCrashed is the reason of orders that are not answered, since the incarnation that received them has ended.
const reasonCrashed = "crashed"

func (w *Worker) handle(ctx *fasthttp.RequestCtx) {
	var o workerOrder
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	w.mu.Lock()
	f := w.faults
	o.receiver = w.conns[ctx.Conn()]
	w.mu.Unlock()
	switch string(ctx.Path()) {
	case "/v1/run-start":
		if rand.Float64() < f.DelayedStartProbability {
			delay := time.Duration(2+rand.IntN(4)) * time.Second
			if f.StartDelay > 0 {
				delay = rand.N(f.StartDelay)
			}
			time.AfterFunc(delay, func() { w.start(o) })
			f.DropReplies = true
		} else {
			w.answer(ctx, w.start(o))
		}
	case "/v1/run-stop":
		w.answer(ctx, w.stop(o))
	case "/v1/hold":
		w.hold(ctx, o)
	default:
		ctx.Error("no such call", fasthttp.StatusNotFound)
	}
	if f.DropReplies {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { time.Sleep(silence); _ = c.Close() })
	}
}

func (w *Worker) answer(ctx *fasthttp.RequestCtx, reason string) {
	if reason == reasonCrashed {
		closeUnanswered(ctx)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	body := map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
		ctx.SetStatusCode(fasthttp.StatusConflict)
	}
	replyJSON(ctx, body)
}

// start begins a run and returns the reason if it is rejected.
func (w *Worker) start(o workerOrder) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !o.receiver.Equal(w.born) {
		return reasonCrashed
	}
	if o.Fence < w.fence {
		return "fence"
	}
	w.fence = o.Fence
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		w.extend(o)
		return ""
	}
	if o.Run <= w.highest[o.Task] {
		return "old"
	}
	if time.Duration(o.DeadlineMS)*time.Millisecond <= w.clock() {
		return "late"
	}
	w.extend(o)
	var length, cpu int
	if _, err := fmt.Sscanf(o.Spec, "%d %d", &length, &cpu); err != nil {
		length, cpu = 10, 1000
	}
	used := cpu
	for _, r := range w.runs {
		used += r.cpu
	}
	if used > w.config.MilliCores {
		return "room"
	}
	run := &workerRun{number: o.Run, cpu: cpu, began: time.Now(), length: time.Duration(length) * time.Millisecond}
	if w.cold.remaining() > 0 {
		run.length = time.Duration(float64(run.length) * w.cold.factor)
	}
	if w.faults.SlowdownFactor > 0 {
		run.length = time.Duration(float64(run.length) * w.faults.SlowdownFactor)
	}
	run.noted = w.config.Checker.begin(Run{Task: o.Task, Number: o.Run, Worker: w.config.ID, Fence: o.Fence})
	if earlier := w.runs[o.Task]; earlier != nil {
		w.config.Checker.end(earlier.noted, "replaced")
	}
	w.runs[o.Task] = run
	how := "done"
	if w.faults.Fail {
		how = "failed"
	}
	if !w.faults.Hang {
		time.AfterFunc(run.length, func() { w.finish(o.Task, run, how) })
	}
	return ""
}

func (w *Worker) finish(task string, run *workerRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs[task] != run {
		return
	}
	delete(w.runs, task)
	w.config.Checker.end(run.noted, how)
	w.highest[task] = max(w.highest[task], run.number)
	w.sequence++
	w.ended = append(w.ended, workerEnd{w.sequence, task, run.number, how})
	w.signal()
}

// extend renews the lease of all that runs here.
func (w *Worker) extend(o workerOrder) {
	most := w.clock() + w.config.MaxLease
	w.lease = max(w.lease, min(time.Duration(o.DeadlineMS)*time.Millisecond, most))
	born := w.born
	time.AfterFunc(w.lease-w.clock()+time.Millisecond, func() { w.lapse(born) })
}

func (w *Worker) lapse(born time.Time) {
	w.mu.Lock()
	over := map[string]*workerRun{}
	if w.born.Equal(born) && w.clock() >= w.lease {
		for task, r := range w.runs {
			over[task] = r
		}
	}
	w.mu.Unlock()
	for task, r := range over {
		w.finish(task, r, "lapsed")
	}
}

func (w *Worker) stop(o workerOrder) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !o.receiver.Equal(w.born) {
		return reasonCrashed
	}
	if o.Fence < w.fence {
		return "fence"
	}
	w.fence = o.Fence
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		time.AfterFunc(20*time.Millisecond, func() { w.finish(o.Task, r, "stopped") })
	}
	return ""
}

func (w *Worker) hold(ctx *fasthttp.RequestCtx, o workerOrder) {
	timer := time.NewTimer(time.Duration(o.WaitMS) * time.Millisecond)
	defer timer.Stop()
	w.mu.Lock()
	if !o.receiver.Equal(w.born) {
		w.mu.Unlock()
		w.answer(ctx, reasonCrashed)
		return
	}
	if o.Fence < w.fence {
		w.mu.Unlock()
		w.answer(ctx, "fence")
		return
	}
	w.fence = o.Fence
	if o.DeadlineMS > 0 {
		w.extend(o)
	}
	for len(w.ended) > 0 && w.ended[0].sequence <= o.Through {
		w.config.Checker.acknowledged(w.ended[0].task, w.ended[0].how)
		w.ended = w.ended[1:]
	}
	for over := o.WaitMS == 0; len(w.ended) == 0 && !over; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			over = true
		}
		w.mu.Lock()
		if !o.receiver.Equal(w.born) {
			w.mu.Unlock()
			w.answer(ctx, reasonCrashed)
			return
		}
	}
	defer w.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for task, r := range w.runs {
		progress := 0
		if !w.faults.Hang {
			progress = int(min(100*time.Since(r.began)/max(r.length, 1), 99))
		}
		running = append(running, []any{task, r.number, "", progress, r.cpu})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	for _, e := range w.ended[:min(len(w.ended), maxListedEnds)] {
		ended = append(ended, []any{e.sequence, e.task, e.run, e.how, ""})
	}
	replyJSON(ctx, map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "running": running, "ended": ended})
}
