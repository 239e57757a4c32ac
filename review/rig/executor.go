package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	holdMax      = time.Second            // bounds.hold_max_ms
	stopTime     = 20 * time.Millisecond  // at most bounds.stop_ms
	gangTime     = 3 * time.Second        // bounds.gang_ms
	startupTime  = 300 * time.Millisecond // of tasks that last
	saveInterval = time.Second            // bounds.checkpoint_interval_s
	restoreTime  = 250 * time.Millisecond // bounds.restore_ms
	maxEnds      = 500
)

// stepSpec says what the tasks of a step do; the spec of a job is a JSON list of them.
type stepSpec struct {
	MS    int  `json:"ms"` // run time
	CPU   int  `json:"cpu"`
	Gang  int  `json:"gang,omitempty"` // members
	Last  bool `json:"last,omitempty"` // runs until it is stopped
	Fail  int  `json:"fail,omitempty"` // runs of each task that end failed
	Save  bool `json:"save,omitempty"` // saves checkpoints
	Limit int  `json:"limit,omitempty"`
}

// span is one run of a task.
type span struct {
	task, worker, how string
	number            int
	began, ended      time.Time
	lapses            int       // lapses of the executor's lease before the end
	noted             time.Time // when the end was acknowledged without a lapse between, zero before
	checkpoint        string
}

// world is what all executors share: the history of the runs.
type world struct {
	mu        sync.Mutex
	rec       *record
	spans     map[string][]*span // by task
	specs     map[string]string  // by job, as handed in
	cancelled map[string]time.Time
	saved     map[string][]string // checkpoints by task, or by step for gangs
	faults    []string
	gangs     map[string]map[string]*run // present members by gang and run
	executors []*executor
	attempts  int
	sound     bool            // tasks no longer fail
	unguarded bool            // executors start what does not fit
	due       map[string]work // scheduled jobs
	best      map[string]bool // best-effort jobs, which may run again
}

func newWorld(rec *record, attempts int) *world {
	return &world{
		rec: rec, spans: map[string][]*span{}, specs: map[string]string{}, cancelled: map[string]time.Time{}, saved: map[string][]string{},
		gangs: map[string]map[string]*run{}, due: map[string]work{}, best: map[string]bool{}, attempts: attempts,
	}
}

func (w *world) fault(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.faults = append(w.faults, text)
	w.rec.note("BROKEN %s", text)
}

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func stepOf(task string) string { return task[:strings.LastIndex(task, ".")] }

// executor is a stand-in of an executor.
type executor struct {
	w       *world
	id      string
	zone    string
	labels  []string // the kind and, as the last one, the rack
	cpu     int
	address string
	server  *http.Server

	// The fields below are guarded by the lock of the world.
	born    time.Time
	up      bool
	deaf    bool    // answers nothing
	mute    bool    // carries orders out without an answer
	lateAll bool    // late holds for stops and holds too
	late    float64 // share of the starts that are carried out seconds later and not answered
	runs    map[string]*run
	highest map[string]int
	ended   []end
	last    int64
	fence   int64
	lease   time.Time
	lapses  int
	changed chan struct{}
}

type end struct {
	n    int64
	span *span
}

type run struct {
	*span
	e       *executor
	step    stepSpec
	gang    string
	working time.Time     // zero until all members are present
	left    time.Duration // of the work, at the start
	offset  int           // checkpoints before the start
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      int64  `json:"fence_token"`
	Through    int64  `json:"acked_through"`
	WaitMS     int    `json:"wait_ms"`
	Checkpoint string `json:"checkpoint"`
}

func newExecutor(w *world, id, zone string, labels []string, cpu int) (*executor, net.Listener, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	e := &executor{
		w: w, id: id, zone: zone, labels: labels, cpu: cpu, address: l.Addr().String(), born: time.Now(), up: true, runs: map[string]*run{},
		highest: map[string]int{}, changed: make(chan struct{}),
	}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.executors = append(w.executors, e)
	return e, l, nil
}

func (e *executor) entry(state string, sequence int) any {
	return map[string]any{
		"service": "cue", "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0,
		"labels": e.labels, "sequence": sequence, "born": e.born.UnixMilli(),
		"capacity": map[string]int{"cpu": e.cpu, "mem_mb": 131072, "gpu": 0},
	}
}

func (e *executor) clock() time.Duration { return time.Since(e.born) + time.Minute }

// crash ends the executor for good; the caller holds the lock.
func (e *executor) crash() {
	e.up = false
	for _, r := range e.runs {
		r.ended, r.how = time.Now(), "lost"
		e.w.leaveGang(r)
	}
	e.runs = map[string]*run{}
	e.signal()
}

// reborn starts a crashed executor again under its id; the caller holds the lock.
func (e *executor) reborn() {
	e.born, e.up, e.highest, e.ended, e.last, e.fence, e.lease = time.Now(), true, map[string]int{}, nil, 0, 0, time.Time{}
	e.lapses++
}

func (e *executor) signal() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// ServeHTTP answers the orders of the system.
func (e *executor) ServeHTTP(rw http.ResponseWriter, q *http.Request) {
	var o order
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	if want := q.Header.Get("Expected-Instance"); want != "" && want != e.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.w.mu.Lock()
	if !e.up || e.deaf {
		e.w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	defer e.w.mu.Unlock()
	switch q.URL.Path {
	case "/v1/run-start", "/v1/run-stop", "/v1/hold":
		if (e.lateAll || q.URL.Path == "/v1/run-start") && rand.Float64() < e.late {
			born := e.born
			time.AfterFunc(time.Duration(2000+rand.IntN(4000))*time.Millisecond, func() {
				e.w.mu.Lock()
				defer e.w.mu.Unlock()
				if !e.up || !e.born.Equal(born) {
					return
				}
				switch {
				case q.URL.Path == "/v1/run-start":
					e.w.rec.note("late start of %s run=%d on %s: %q", o.Task, o.Run, e.id, e.start(o))
				case q.URL.Path == "/v1/run-stop":
					e.stop(o)
				case o.Fence >= e.fence:
					e.fence = o.Fence
					e.note(o.Through)
					e.extend(o.DeadlineMS)
				}
			})
			e.w.mu.Unlock()
			select {
			case <-q.Context().Done():
			case <-time.After(3 * time.Second):
			}
			e.w.mu.Lock()
			panic(http.ErrAbortHandler)
		}
	}
	if e.mute {
		rw = nobody{rw}
	}
	switch q.URL.Path {
	case "/v1/run-start":
		e.answer(rw, e.start(o))
	case "/v1/run-stop":
		e.answer(rw, e.stop(o))
	case "/v1/hold":
		e.hold(q.Context(), rw, o)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (e *executor) answer(rw http.ResponseWriter, reason string) {
	body := map[string]any{"clock_ms": e.clock().Milliseconds(), "born": e.born.UnixMilli()}
	status := http.StatusOK
	if reason != "" {
		body["reason"], status = reason, http.StatusConflict
	}
	write(rw, status, body)
}

// nobody loses the answer.
type nobody struct{ http.ResponseWriter }

func (nobody) WriteHeader(int) { panic(http.ErrAbortHandler) }

func write(rw http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(data)
}

// extend takes a lease; the caller holds the lock.
func (e *executor) extend(deadlineMS int64) {
	if deadlineMS <= 0 {
		return
	}
	now := time.Now()
	until := now.Add(min(time.Duration(deadlineMS)*time.Millisecond-e.clock(), holdMax))
	if e.lease.Before(now) {
		e.lapses++
	}
	if until.After(e.lease) {
		e.lease = until
		time.AfterFunc(time.Until(until)+time.Millisecond, e.lapse)
	}
}

func (e *executor) lapse() {
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	if time.Now().Before(e.lease) {
		return
	}
	for _, r := range sortedRuns(e.runs) {
		e.finish(r, "lapsed")
	}
}

func sortedRuns(m map[string]*run) []*run {
	var list []*run
	for _, name := range slices.Sorted(maps.Keys(m)) {
		list = append(list, m[name])
	}
	return list
}

func (e *executor) start(o order) string {
	if o.Fence < e.fence {
		return "fence"
	}
	e.fence = o.Fence
	if r := e.runs[o.Task]; r != nil && r.number == o.Run {
		e.extend(o.DeadlineMS)
		return ""
	}
	if o.Run <= e.highest[o.Task] || e.runs[o.Task] != nil && e.runs[o.Task].number > o.Run {
		e.extend(o.DeadlineMS)
		return "old"
	}
	if time.Duration(o.DeadlineMS)*time.Millisecond <= e.clock() {
		return "late"
	}
	e.extend(o.DeadlineMS)
	var steps []stepSpec
	parts := strings.Split(o.Task, ".")
	i, err := strconv.Atoi(parts[2])
	if jerr := json.Unmarshal([]byte(o.Spec), &steps); jerr != nil || err != nil || i >= len(steps) || o.Spec != e.w.specs[jobOf(o.Task)] {
		e.w.fault("UNASKED %s: start of %s with the spec %q", e.id, o.Task, o.Spec)
		return "room"
	}
	step, used := steps[i], steps[i].CPU
	for _, r := range e.runs {
		used += r.step.CPU
	}
	if used > e.cpu && !e.w.unguarded {
		e.w.rec.note("ROOM %s on %s", o.Task, e.id)
		return "room"
	}
	if used > e.cpu {
		e.w.fault("LIMIT start of %s on %s needs %d of %d", o.Task, e.id, used, e.cpu)
	}
	if old := e.runs[o.Task]; old != nil {
		e.finish(old, "stopped")
	}
	r := &run{span: &span{task: o.Task, worker: e.id, number: o.Run, began: time.Now(), checkpoint: o.Checkpoint}, e: e, step: step, left: time.Duration(step.MS) * time.Millisecond}
	e.w.begin(r, i)
	e.runs[o.Task] = r
	if step.Gang > 1 {
		r.gang = stepOf(o.Task) + "#" + strconv.Itoa(o.Run)
		e.w.joinGang(r)
	} else {
		r.work()
	}
	return ""
}

// begin notes a start and checks it; the caller holds the lock.
func (w *world) begin(r *run, step int) {
	now := time.Now()
	id := jobOf(r.task)
	failed := 0
	limit := 0
	for _, s := range w.spans[r.task] {
		if s.ended.IsZero() {
			w.fault("TWICE run %d of %s starts on %s while run %d is on %s", r.number, r.task, r.worker, s.number, s.worker)
		}
		if s.how == "done" && !s.noted.IsZero() && !w.best[id] {
			w.fault("TWICE run %d of %s starts on %s after run %d ended done and was noted", r.number, r.task, r.worker, s.number)
		}
		if s.how == "failed" && !s.noted.IsZero() {
			failed++
		}
	}
	if failed >= w.attempts && !r.step.Last && !w.best[id] {
		w.fault("BUDGET run %d of %s starts after %d noted failed runs", r.number, r.task, failed)
	}
	for _, o := range r.e.runs {
		if stepOf(o.task) == stepOf(r.task) {
			limit++
		}
	}
	if r.step.Limit > 0 && limit >= r.step.Limit {
		w.fault("ROUTE run %d of %s starts on %s beside %d others of its step", r.number, r.task, r.worker, limit)
	}
	if at := w.cancelled[id]; !at.IsZero() && now.Sub(at) > 3*time.Second {
		w.fault("UNASKED run %d of %s starts %v after the job's cancelling was confirmed", r.number, r.task, now.Sub(at))
	}
	if d, ok := w.due[id]; ok {
		k, _ := strconv.Atoi(strings.Split(r.task, ".")[1])
		at := time.UnixMilli(d.FirstMS + int64(k)*d.IntervalMS)
		if early := at.Sub(now); early > 250*time.Millisecond || k >= d.Repeat {
			w.fault("ORDER %s starts %v before its time", r.task, early)
		}
	}
	if r.checkpoint != "" {
		key := r.task
		if r.step.Gang > 1 {
			key = stepOf(r.task)
		}
		n := slices.Index(w.saved[key], r.checkpoint)
		if n < 0 {
			w.fault("UNASKED run %d of %s starts with the foreign checkpoint %q", r.number, r.task, r.checkpoint)
		}
		done, _ := strconv.Atoi(r.checkpoint[strings.LastIndex(r.checkpoint, "@")+1:])
		r.offset = done
		r.left = max(r.left-time.Duration(done)*saveInterval, 0) + restoreTime
	}
	w.rec.note("start task=%s run=%d on=%s step=%d checkpoint=%q fence=%d", r.task, r.number, r.worker, step, r.checkpoint, r.e.fence)
	w.spans[r.task] = append(w.spans[r.task], r.span)
}

// joinGang begins the work once all members of the run are present; the caller holds the lock.
func (w *world) joinGang(r *run) {
	if w.gangs[r.gang] == nil {
		w.gangs[r.gang] = map[string]*run{}
	}
	members := w.gangs[r.gang]
	members[r.task] = r
	if len(members) == r.step.Gang {
		for _, m := range members {
			m.work()
		}
		return
	}
	time.AfterFunc(gangTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if r.ended.IsZero() && r.working.IsZero() {
			r.e.finish(r, "alone")
		}
	})
}

// leaveGang ends the other members; the caller holds the lock.
func (w *world) leaveGang(r *run) {
	members := w.gangs[r.gang]
	if r.gang == "" || members == nil {
		return
	}
	delete(w.gangs, r.gang)
	for _, m := range sortedRuns(members) {
		if m == r || !m.ended.IsZero() || m.working.IsZero() {
			if m != r && m.ended.IsZero() {
				if w.gangs[r.gang] == nil {
					w.gangs[r.gang] = map[string]*run{}
				}
				w.gangs[r.gang][m.task] = m
			}
			continue
		}
		how := "broken"
		if r.how == "done" {
			how = "done"
		}
		m.e.finish(m, how)
	}
}

// work begins the work of a run; the caller holds the lock.
func (r *run) work() {
	r.working = time.Now()
	if r.step.Last {
		return
	}
	length, how := r.left, "done"
	failed := 0
	for _, s := range r.e.w.spans[r.task] {
		if s.how == "failed" {
			failed++
		}
	}
	if failed < r.step.Fail && !r.e.w.sound {
		length, how = length/2, "failed"
	}
	time.AfterFunc(length, func() {
		r.e.w.mu.Lock()
		defer r.e.w.mu.Unlock()
		if r.ended.IsZero() {
			r.e.finish(r, how)
		}
	})
}

// save returns the newest checkpoint of a run; the caller holds the lock.
func (r *run) save() string {
	if !r.step.Save || r.working.IsZero() {
		return r.checkpoint
	}
	worked := time.Since(r.working)
	if r.checkpoint != "" {
		worked -= restoreTime
	}
	n := r.offset + int(max(worked, 0)/saveInterval)
	if n <= r.offset {
		return r.checkpoint
	}
	key := r.task
	if r.step.Gang > 1 {
		key = stepOf(r.task)
	}
	value := key + "@" + strconv.Itoa(n)
	if !slices.Contains(r.e.w.saved[key], value) {
		r.e.w.saved[key] = append(r.e.w.saved[key], value)
	}
	return value
}

// finish ends a run; the caller holds the lock.
func (e *executor) finish(r *run, how string) {
	if e.runs[r.task] != r {
		return
	}
	r.span.checkpoint = r.save()
	delete(e.runs, r.task)
	r.ended, r.how, r.lapses = time.Now(), how, e.lapses
	e.highest[r.task] = max(e.highest[r.task], r.number)
	e.last++
	e.ended = append(e.ended, end{e.last, r.span})
	e.w.rec.note("end task=%s run=%d on=%s how=%s", r.task, r.number, r.worker, how)
	e.w.leaveGang(r)
	e.signal()
}

func (e *executor) stop(o order) string {
	if o.Fence < e.fence {
		return "fence"
	}
	e.fence = o.Fence
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	if r := e.runs[o.Task]; r != nil && r.number == o.Run {
		time.AfterFunc(stopTime, func() {
			e.w.mu.Lock()
			defer e.w.mu.Unlock()
			e.finish(r, "stopped")
		})
	}
	return ""
}

// note notes the ends that are acknowledged; the caller holds the lock.
func (e *executor) note(through int64) {
	for len(e.ended) > 0 && e.ended[0].n <= through {
		s := e.ended[0].span
		e.ended = e.ended[1:]
		if s.lapses != e.lapses || time.Now().After(e.lease) {
			continue // the lease has lapsed since the end
		}
		s.noted = time.Now()
		for _, o := range e.w.spans[s.task] {
			if s.how == "done" && o.began.After(s.ended) && !e.w.best[jobOf(s.task)] {
				e.w.fault("TWICE run %d of %s on %s started after run %d ended done on %s, which is noted now", o.number, s.task, o.worker, s.number, s.worker)
			}
		}
	}
}

func (e *executor) hold(ctx context.Context, rw http.ResponseWriter, o order) {
	if o.Fence < e.fence {
		e.answer(rw, "fence")
		return
	}
	e.fence = o.Fence
	e.note(o.Through)
	e.extend(o.DeadlineMS)
	timer := time.NewTimer(time.Duration(o.WaitMS) * time.Millisecond)
	defer timer.Stop()
	for over := o.WaitMS == 0; len(e.ended) == 0 && !over; {
		changed := e.changed
		e.w.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-ctx.Done():
			over = true
		}
		e.w.mu.Lock()
		if !e.up || e.deaf {
			e.w.mu.Unlock()
			defer e.w.mu.Lock()
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range sortedRuns(e.runs) {
		percent := 0
		switch {
		case r.working.IsZero():
		case r.step.Last && time.Since(r.working) > startupTime:
			percent = 100
		case !r.step.Last:
			percent = int(min(100*time.Since(r.working)/max(r.left, 1), 99))
		}
		running = append(running, []any{r.task, r.number, r.save(), percent, r.step.CPU})
	}
	for _, x := range e.ended[:min(len(e.ended), maxEnds)] {
		ended = append(ended, []any{x.n, x.span.task, x.span.number, x.span.how, x.span.checkpoint})
	}
	write(rw, http.StatusOK, map[string]any{"clock_ms": e.clock().Milliseconds(), "born": e.born.UnixMilli(), "running": running, "ended": ended})
}

// serve answers until the server is closed.
func (e *executor) serve(l net.Listener) error {
	if err := e.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
