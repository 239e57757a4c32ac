package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	holdMax            = time.Second
	stopTime           = 20 * time.Millisecond // of at most stop_ms
	gangTime           = 3 * time.Second
	checkpointInterval = time.Second
	restoreTime        = 600 * time.Millisecond
	startupTime        = 300 * time.Millisecond // of a task that lasts
	beatInterval       = 1500 * time.Millisecond
	maxListedEnds      = 500
	cueSpread          = 500 * time.Millisecond // within which tasks that wait for the cue end after it
)

// taskSpec is the text of a job; it tells the executors what its tasks do, by step.
type taskSpec struct {
	MS      []int `json:"ms"`
	CPU     []int `json:"cpu"`
	Fail    bool  `json:"fail,omitempty"`
	Lasting bool  `json:"lasting,omitempty"`
	Gang    int   `json:"gang,omitempty"` // members
	Saves   bool  `json:"saves,omitempty"`
	Waits   bool  `json:"waits,omitempty"` // for the cue
}

// executor is a machine that runs tasks, over all its lives.
type executor struct {
	lab     *lab
	id      string
	address string
	zone    string
	rack    string
	gate    *gate

	mu       sync.Mutex
	life     *life // nil while it is down
	draining bool
	sequence int
}

// life is one incarnation of an executor.
type life struct {
	x      *executor
	kind   string
	cpu    int
	born   time.Time
	server *http.Server

	mu       sync.Mutex
	dead     bool
	runs     map[string]*run
	highest  map[string]int
	ended    []*end
	number   int64
	fence    int64
	deadline time.Duration // on the clock
	lapses   []time.Time   // when a lease ran out
	changed  chan struct{}
}

// run is a run of a task on an executor.
type run struct {
	task    string
	number  int
	spec    taskSpec
	step    int
	began   time.Time
	working time.Time // zero while it waits for the other members of its gang
	resumed time.Duration
	done    bool
}

// end is the end of a run.
type end struct {
	number     int64
	run        *run
	how, saved string
	at         time.Time
	listed     time.Time
	acked      time.Time
	lapsed     bool // the lease ran out between the end and its acknowledgement
}

// start begins a life of the executor and registers it.
func (x *executor) start(kind string, cpu int) error {
	l, err := net.Listen("tcp4", x.address)
	if err != nil {
		return err
	}
	n := &life{x: x, kind: kind, cpu: cpu, born: time.Now(), runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{})}
	n.server = &http.Server{Handler: n}
	x.mu.Lock()
	x.life, x.draining, x.sequence = n, false, 0
	x.mu.Unlock()
	x.lab.printf("executor %s starts, kind %s, %d thousandths of a core, born %d", x.id, kind, cpu, n.born.UnixMilli())
	x.register()
	x.lab.background(func() { _ = n.server.Serve(gatedListener{l, x.gate}) })
	return nil
}

// crash ends the life of the executor with all that runs there.
func (x *executor) crash() {
	x.mu.Lock()
	n := x.life
	x.life = nil
	x.mu.Unlock()
	n.mu.Lock()
	n.dead = true
	for _, r := range n.runs {
		x.lab.judge.lost(r, x.id)
	}
	n.runs = map[string]*run{}
	n.signal()
	n.mu.Unlock()
	_ = n.server.Close()
	x.lab.saidf("executor %s crashes", x.id)
}

// register writes the executor's entry.
func (x *executor) register() {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := x.life
	if n == nil {
		return
	}
	x.sequence++
	state := "ready"
	if x.draining {
		state = "draining"
	}
	x.lab.store.put("servers/"+x.id, map[string]any{
		"service": service, "address": x.address, "zone": x.zone, "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0,
		"capacity": map[string]int{"cpu": n.cpu, "mem_mb": 131072, "gpu": 0}, "labels": []string{n.kind, x.rack},
		"clock_ms": n.clock().Milliseconds(), "sequence": x.sequence, "born": n.born.UnixMilli(),
	})
}

// beat keeps the executor's entry; the platform removes it after three intervals of silence.
func (x *executor) beat() {
	for silent := 0; ; {
		time.Sleep(beatInterval)
		x.mu.Lock()
		alive := x.life != nil
		x.mu.Unlock()
		if alive {
			silent = 0
			x.register()
		} else if silent++; silent == 3 {
			x.lab.printf("entry of executor %s removed", x.id)
			x.lab.store.remove("servers/" + x.id)
		}
	}
}

func (n *life) clock() time.Duration { return time.Since(n.born) + 100*time.Second }

func (n *life) signal() {
	close(n.changed)
	n.changed = make(chan struct{})
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      int64  `json:"fence_token"`
	Acked      int64  `json:"acked_through"`
	WaitMS     int    `json:"wait_ms"`
	Checkpoint string `json:"checkpoint"`
}

// ServeHTTP answers the calls of the system.
func (n *life) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("Expected-Instance"); id != "" && id != n.x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, body := n.answer(r.URL.Path, o)
	reply(w, status, body)
}

// answer carries an order out and returns the response.
func (n *life) answer(path string, o order) (status int, body map[string]any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	reason := ""
	switch {
	case n.dead:
		panic(http.ErrAbortHandler)
	case o.Fence < n.fence:
		reason = "fence"
	default:
		n.fence = o.Fence
		switch path {
		case "/v1/run-start":
			reason = n.startRun(o)
		case "/v1/run-stop":
			n.stopRun(o)
		case "/v1/hold":
			return http.StatusOK, n.hold(o)
		default:
			return http.StatusNotFound, nil
		}
	}
	body = map[string]any{"clock_ms": n.clock().Milliseconds(), "born": n.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
		return http.StatusConflict, body
	}
	return http.StatusOK, body
}

// extend moves the deadline of all that runs here.
func (n *life) extend(deadline int64) {
	until := min(time.Duration(deadline)*time.Millisecond, n.clock()+holdMax)
	if until <= n.deadline {
		return
	}
	n.noteLapse()
	n.deadline = until
	time.AfterFunc(until-n.clock(), func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.clock() < n.deadline || n.dead {
			return
		}
		n.noteLapse()
		for _, r := range n.runs {
			n.finish(r, "lapsed")
		}
	})
}

// noteLapse notes that the lease has run out, if it has.
func (n *life) noteLapse() {
	if late := n.clock() - n.deadline; n.deadline > 0 && late >= 0 {
		at := time.Now().Add(-late)
		if len(n.lapses) == 0 || at.Sub(n.lapses[len(n.lapses)-1]) > time.Millisecond {
			n.lapses = append(n.lapses, at)
		}
	}
}

func (n *life) used() int {
	used := 0
	for _, r := range n.runs {
		used += r.spec.CPU[r.step]
	}
	return used
}

func (n *life) startRun(o order) string {
	if r := n.runs[o.Task]; r != nil && r.number == o.Run {
		n.extend(o.DeadlineMS)
		return ""
	}
	if o.Run <= n.highest[o.Task] {
		n.extend(o.DeadlineMS)
		return "old"
	}
	if time.Duration(o.DeadlineMS)*time.Millisecond <= n.clock() {
		return "late"
	}
	n.extend(o.DeadlineMS)
	r := &run{task: o.Task, number: o.Run, began: time.Now()}
	if err := json.Unmarshal([]byte(o.Spec), &r.spec); err != nil {
		return "spec"
	}
	r.step, _ = strconv.Atoi(strings.Split(o.Task, ".")[2])
	if n.used()+r.spec.CPU[r.step] > n.cpu {
		return "room"
	}
	if o.Checkpoint != "" {
		seconds, _ := strconv.ParseInt(o.Checkpoint, 16, 64)
		r.resumed = time.Duration(seconds) * time.Second
	}
	n.runs[o.Task] = r
	n.x.lab.judge.started(n, r, o)
	if r.spec.Gang == 0 {
		n.begin(r)
		return ""
	}
	n.x.lab.judge.gather(n, r, o.Checkpoint)
	return ""
}

// begin lets a run work; the caller holds the lock.
func (n *life) begin(r *run) {
	r.working = time.Now()
	if r.spec.Lasting {
		return
	}
	left := time.Duration(r.spec.MS[r.step])*time.Millisecond - r.resumed
	if r.resumed > 0 {
		left += restoreTime
	}
	how := "done"
	if r.spec.Fail {
		how = "failed"
	}
	end := func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.finish(r, how)
	}
	if r.spec.Waits {
		n.x.lab.background(func() {
			<-n.x.lab.cue
			time.Sleep(rand.N(cueSpread))
			end()
		})
		return
	}
	time.AfterFunc(left, end)
}

// saved returns the newest checkpoint of a run.
func (r *run) saved() string {
	if !r.spec.Saves || r.working.IsZero() {
		return ""
	}
	worked := time.Since(r.working)
	if r.resumed > 0 {
		worked = max(worked-restoreTime, 0)
	}
	if total := (r.resumed + worked) / checkpointInterval; total > 0 {
		return fmt.Sprintf("%016x", int64(total))
	}
	return ""
}

func (r *run) percent() int {
	switch {
	case r.working.IsZero():
		return 0
	case r.spec.Lasting && time.Since(r.working) > startupTime:
		return 100
	case r.spec.Lasting:
		return 0
	}
	return int(min(99, 100*(r.resumed+time.Since(r.working))/(time.Duration(max(r.spec.MS[r.step], 1))*time.Millisecond)))
}

// finish ends a run; the caller holds the lock.
func (n *life) finish(r *run, how string) {
	if n.dead || n.runs[r.task] != r {
		return
	}
	delete(n.runs, r.task)
	n.highest[r.task] = max(n.highest[r.task], r.number)
	n.number++
	e := &end{number: n.number, run: r, how: how, saved: r.saved(), at: time.Now()}
	n.ended = append(n.ended, e)
	n.x.lab.judge.ended(n, e)
	n.signal()
}

func (n *life) stopRun(o order) {
	n.highest[o.Task] = max(n.highest[o.Task], o.Run)
	n.x.lab.printf("stop   %s run %d on %s", o.Task, o.Run, n.x.id)
	if r := n.runs[o.Task]; r != nil && r.number == o.Run {
		time.AfterFunc(stopTime, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.finish(r, "stopped")
		})
	}
}

// hold returns the lists of runs, after a wait for an end; the caller holds the lock.
func (n *life) hold(o order) map[string]any {
	if o.DeadlineMS > 0 {
		n.extend(o.DeadlineMS)
	}
	n.noteLapse()
	for len(n.ended) > 0 && n.ended[0].number <= o.Acked {
		e := n.ended[0]
		e.acked = time.Now()
		for _, at := range n.lapses {
			e.lapsed = e.lapsed || at.After(e.at)
		}
		n.x.lab.judge.acked(n, e, o.Fence)
		n.ended = n.ended[1:]
	}
	timer := time.NewTimer(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	defer timer.Stop()
	for over := o.WaitMS == 0; len(n.ended) == 0 && !over; {
		changed := n.changed
		n.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			over = true
		}
		n.mu.Lock()
		if n.dead {
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range n.runs {
		running = append(running, []any{r.task, r.number, r.saved(), r.percent(), r.spec.CPU[r.step]})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	for _, e := range n.ended[:min(len(n.ended), maxListedEnds)] {
		if e.listed.IsZero() {
			e.listed = time.Now()
		}
		ended = append(ended, []any{e.number, e.run.task, e.run.number, e.how, e.saved})
	}
	return map[string]any{"clock_ms": n.clock().Milliseconds(), "born": n.born.UnixMilli(), "running": running, "ended": ended}
}
