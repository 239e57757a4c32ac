package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxHold      = time.Second           // hold_max_ms
	stopTime     = 20 * time.Millisecond // at most stop_ms
	startupTime  = 100 * time.Millisecond
	heartbeat    = 1500 * time.Millisecond
	maxListed    = 500
	fullProgress = 100
)

// executorKind is what an executor is made of; a new life may be of another kind.
type executorKind struct {
	CPU      int // thousandths of a core
	MemoryMB int
	Kind     string // first label
}

// executor is a stand-in of an executor. The spec of a task is a list of "name=value" separated by spaces: ms (run time), cpu,
// lasts=1 and fails=N (the first N runs of each task fail).
type executor struct {
	id, service, zone, rack, address string
	guards                           bool
	rec                              *record
	seen                             *watcher

	mu       sync.Mutex
	kind     executorKind
	state    string // ready, draining, or "" when it is gone
	born     time.Time
	life     int
	runs     map[string]*execRun
	highest  map[string]int
	ended    []execEnd
	sequence int64
	fence    int64
	lease    time.Duration
	beats    int
	unlisted bool // a new life has not written its entry yet
	changed  chan struct{}
	conns    map[net.Conn]struct{}
}

type execRun struct {
	task   string
	number int
	cpu    int
	lasts  bool
	began  time.Time
	length time.Duration
}

type execEnd struct {
	sequence int64
	task     string
	run      int
	how      string
}

type connLife struct{}

func newExecutor(id, service, zone, rack, address string, kind executorKind, guards bool, rec *record, seen *watcher) *executor {
	e := &executor{
		id: id, service: service, zone: zone, rack: rack, address: address, kind: kind, guards: guards, rec: rec, seen: seen,
		state: "ready", changed: make(chan struct{}), conns: map[net.Conn]struct{}{},
	}
	e.reset()
	return e
}

// reset begins a new life; the caller holds the lock if the executor serves.
func (e *executor) reset() {
	for _, r := range e.runs {
		e.seen.ended(e, r, "lost")
	}
	e.life++
	e.born = time.Now()
	e.runs, e.highest, e.ended, e.sequence, e.fence, e.lease = map[string]*execRun{}, map[string]int{}, nil, 0, 0, 0
}

func (e *executor) serve(l net.Listener) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", e.order(e.start))
	mux.HandleFunc("POST /v1/run-stop", e.order(e.stop))
	mux.HandleFunc("POST /v1/hold", e.hold)
	server := &http.Server{
		Handler: mux, ReadHeaderTimeout: time.Minute,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			e.mu.Lock()
			defer e.mu.Unlock()
			return context.WithValue(ctx, connLife{}, e.life)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			e.mu.Lock()
			defer e.mu.Unlock()
			switch state {
			case http.StateNew:
				if e.state == "" {
					_ = c.Close()
					return
				}
				e.conns[c] = struct{}{}
			case http.StateClosed:
				delete(e.conns, c)
			}
		},
	}
	return server.Serve(l)
}

// entry is what the executor says of itself in the store.
func (e *executor) entry() (map[string]any, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beats++
	return map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": e.state, "cold_remaining_ms": 0, "sequence": e.beats,
		"born": e.born.UnixMilli(), "labels": []string{e.kind.Kind, e.rack}, "capacity": map[string]int{"cpu": e.kind.CPU, "mem_mb": e.kind.MemoryMB, "gpu": 0},
	}, e.state != "" && !e.unlisted
}

// leave ends the executor for good.
func (e *executor) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rec.note("executor %s is lost for good", e.id)
	e.reset()
	e.state = ""
	e.breakConns()
}

func (e *executor) breakConns() {
	for c := range e.conns {
		_ = c.Close()
	}
	clear(e.conns)
	e.signal()
}

func (e *executor) clock() time.Duration { return time.Since(e.born) + time.Minute }

func (e *executor) signal() {
	close(e.changed)
	e.changed = make(chan struct{})
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fence_token"`
	Through  int64  `json:"acked_through"`
	WaitMS   int    `json:"wait_ms"`
}

// accept decodes an order for this life; the lock is held if it returns true.
func (e *executor) accept(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return o, false
	}
	if id := r.Header.Get("Expected-Instance"); id != "" && id != e.id {
		http.Error(w, "another instance", http.StatusMisdirectedRequest)
		return o, false
	}
	e.mu.Lock()
	if r.Context().Value(connLife{}) != e.life || e.state == "" {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.Fence < e.fence {
		e.answer(w, "fence")
		e.mu.Unlock()
		return o, false
	}
	e.fence = o.Fence
	return o, true
}

func (e *executor) answer(w http.ResponseWriter, reason string) {
	body := map[string]any{"clock_ms": e.clock().Milliseconds(), "born": e.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
		reply(w, http.StatusConflict, body)
		return
	}
	reply(w, http.StatusOK, body)
}

func (e *executor) order(do func(order) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if o, ok := e.accept(w, r); ok {
			e.answer(w, do(o))
			e.mu.Unlock()
		}
	}
}

func specValue(spec, name string) int {
	for _, field := range strings.Fields(spec) {
		if value, ok := strings.CutPrefix(field, name+"="); ok {
			n, _ := strconv.Atoi(value)
			return n
		}
	}
	return 0
}

func (e *executor) start(o order) string {
	if r := e.runs[o.Task]; r != nil && r.number == o.Run {
		e.extend(o)
		return ""
	}
	if o.Run <= e.highest[o.Task] {
		e.extend(o)
		return "old"
	}
	if time.Duration(o.Deadline)*time.Millisecond <= e.clock() {
		return "late"
	}
	e.extend(o)
	r := &execRun{task: o.Task, number: o.Run, cpu: specValue(o.Spec, "cpu"), lasts: specValue(o.Spec, "lasts") > 0, began: time.Now(), length: time.Duration(specValue(o.Spec, "ms")) * time.Millisecond}
	used := r.cpu
	for _, other := range e.runs {
		used += other.cpu
	}
	if used > e.kind.CPU && e.guards {
		return "room"
	}
	e.runs[o.Task] = r
	e.seen.began(e, r, o, used)
	if r.lasts {
		return ""
	}
	how := "done"
	if e.seen.runsOf(o.Task) <= specValue(o.Spec, "fails") {
		how = "failed"
	}
	time.AfterFunc(r.length, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.finish(r, how)
	})
	return ""
}

// finish ends a run; the caller holds the lock.
func (e *executor) finish(r *execRun, how string) {
	if e.runs[r.task] != r {
		return
	}
	delete(e.runs, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.number)
	e.sequence++
	e.ended = append(e.ended, execEnd{e.sequence, r.task, r.number, how})
	e.seen.ended(e, r, how)
	e.signal()
}

func (e *executor) extend(o order) {
	e.lease = max(e.lease, min(time.Duration(o.Deadline)*time.Millisecond, e.clock()+maxHold))
	life := e.life
	time.AfterFunc(e.lease-e.clock()+time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.life != life || e.clock() < e.lease {
			return
		}
		for _, r := range e.runs {
			e.finish(r, "lapsed")
		}
	})
}

func (e *executor) stop(o order) string {
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	if r := e.runs[o.Task]; r != nil && r.number == o.Run {
		time.AfterFunc(stopTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.finish(r, "stopped")
		})
	}
	return ""
}

func (e *executor) hold(w http.ResponseWriter, r *http.Request) {
	o, ok := e.accept(w, r)
	if !ok {
		return
	}
	defer e.mu.Unlock()
	if o.Deadline > 0 {
		e.extend(o)
	}
	for len(e.ended) > 0 && e.ended[0].sequence <= o.Through {
		e.seen.acked(e, e.ended[0])
		e.ended = e.ended[1:]
	}
	timer := time.NewTimer(time.Duration(o.WaitMS) * time.Millisecond)
	defer timer.Stop()
	for over := o.WaitMS == 0; len(e.ended) == 0 && !over; {
		changed, life := e.changed, e.life
		e.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			over = true
		}
		e.mu.Lock()
		if e.life != life {
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range e.runs {
		percent := fullProgress
		if !x.lasts {
			percent = int(min(99, 100*time.Since(x.began)/max(x.length, 1)))
		} else if time.Since(x.began) < startupTime {
			percent = 50
		}
		running = append(running, []any{x.task, x.number, "", percent, x.cpu})
	}
	sort.Slice(running, func(i, j int) bool { return fmt.Sprint(running[i][0]) < fmt.Sprint(running[j][0]) })
	for _, x := range e.ended[:min(len(e.ended), maxListed)] {
		ended = append(ended, []any{x.sequence, x.task, x.run, x.how, ""})
	}
	reply(w, http.StatusOK, map[string]any{"clock_ms": e.clock().Milliseconds(), "born": e.born.UnixMilli(), "running": running, "ended": ended})
}

// runView is a run as its executor has seen it.
type runView struct {
	executor, task string
	number         int
	began, ended   time.Time
	how            string
	used, capacity int // after the start, in thousandths of a core
}

// watcher collects what executors have seen.
type watcher struct {
	rec   *record
	quiet bool // runs are not recorded one by one

	mu    sync.Mutex
	all   []*runView
	open  map[*execRun]*runView
	count map[string]int
	noted map[string]bool // tasks whose end as done was taken note of
}

func newWatcher(rec *record) *watcher {
	return &watcher{rec: rec, open: map[*execRun]*runView{}, count: map[string]int{}, noted: map[string]bool{}}
}

func (s *watcher) began(e *executor, r *execRun, o order, used int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := &runView{executor: e.id, task: r.task, number: r.number, began: r.began, used: used, capacity: e.kind.CPU}
	s.all, s.open[r] = append(s.all, v), v
	s.count[r.task]++
	if !s.quiet {
		s.rec.note("%s: start of %s run %d fence %d, cpu in use %d of %d", e.id, r.task, r.number, o.Fence, used, e.kind.CPU)
	}
}

// runsOf returns the number of runs of a task so far.
func (s *watcher) runsOf(task string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count[task]
}

func (s *watcher) ended(e *executor, r *execRun, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.open[r]; v != nil {
		v.ended, v.how = time.Now(), how
		delete(s.open, r)
		if !s.quiet {
			s.rec.note("%s: end of %s run %d: %s", e.id, r.task, r.number, how)
		}
	}
}

func (s *watcher) acked(e *executor, x execEnd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x.how == "done" {
		s.noted[x.task] = true
	}
	if !s.quiet {
		s.rec.note("%s: end %d of %s run %d taken note of", e.id, x.sequence, x.task, x.run)
	}
}

// views returns copies of all runs of the tasks with a prefix.
func (s *watcher) views(prefix string) []runView {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []runView
	for _, v := range s.all {
		if strings.HasPrefix(v.task, prefix) {
			list = append(list, *v)
		}
	}
	return list
}

// isIdle reports whether an executor is there and runs nothing.
func (e *executor) isIdle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state == "ready" && len(e.runs) == 0
}

// smallKind is the usual executor of the site.
var smallKind = executorKind{CPU: 64000, MemoryMB: 131072, Kind: "a"}
