package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	service = "cue-desk"
	host    = "cue.example"
	prefix  = "/cue/"

	exitHeld, exitBroken, exitNotRun = 0, 1, 2

	maxTime    = 115 * time.Second // of a case
	leadTime   = 10 * time.Second  // from the start of the machines to that of the traffic
	finishTime = 14 * time.Second
	clientWait = 4 * time.Second // Time-Remaining of a request
)

var zones = []string{"z-a", "z-b", "z-c"}

// lab is a small deployment with its platform.
type lab struct {
	*record
	dir          string
	network      string
	storeAddress string
	store        *keyValues
	nodes        []*node
	executors    []*executor
	judge        *judge
	turn         atomic.Int64
	trouble      bool
	cuts         bool // machines can be cut off
	client       *http.Client
	cue          chan struct{} // closed when the cue is given
	group        sync.WaitGroup
}

// background runs a function until the process ends.
func (l *lab) background(f func()) { l.group.Go(f) }

// size is the number of machines and executors of each zone.
type size struct {
	nodes int
	kinds []string // of the executors
	cpu   int      // of an executor, in thousandths of a core
}

// deploy starts the platform, the executors and the machines, and writes the first config.
func (l *lab) deploy(s size) error {
	for try := 64; ; try++ {
		if try == 128 {
			return errors.New("no free network on the loopback interface")
		}
		l.network = fmt.Sprintf("127.%d", try)
		l.storeAddress = l.hostOf(8, 1) + ":8169"
		if err := serve(l.storeAddress, l.store); err == nil {
			break
		}
	}
	l.configure(1)
	for z, zone := range zones {
		for i, kind := range s.kinds {
			x := &executor{lab: l, id: fmt.Sprintf("i-%d%d%06x", z, i, rand.N(1<<24)), zone: zone, rack: "r" + zone, gate: newGate()}
			x.address = l.hostOf(10+z, i+1) + ":8080"
			l.executors = append(l.executors, x)
			if err := x.start(kind, s.cpu); err != nil {
				return err
			}
			l.background(x.beat)
		}
		for i := range s.nodes {
			l.nodes = append(l.nodes, &node{lab: l, name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, host: l.hostOf(z+1, i+1), link: l.hostOf(z+21, i+1), gate: newGate()})
		}
	}
	for i, n := range l.nodes {
		if err := l.connect(n, i); err != nil {
			return err
		}
		if err := n.supervise(); err != nil {
			return err
		}
		l.background(n.watchReadiness)
	}
	time.Sleep(leadTime)
	for _, n := range l.nodes {
		if !n.inRotation() {
			return fmt.Errorf("%s isn't ready %v after its start", n.name, leadTime)
		}
	}
	return nil
}

// configure writes a config.
func (l *lab) configure(version int) {
	l.store.put("op/config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "cues", "host": host, "prefix": prefix, "kind": "unsafe", "service": service, "timeout_ms": 4000, "priority": 0, "max_attempts": 3,
			"stretch": 1.6, "target_duration_ms": 20000,
		}},
		"services": []map[string]any{{"name": service, "health_path": "/health", "admission_check": true, "spare": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
	})
}

// step is a step of a job as clients send it.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	MemMB         int    `json:"mem_mb"`
	EstimateMS    int    `json:"estimate_ms"`
	Label         string `json:"required_label,omitempty"`
	MaxPerServer  int    `json:"max_per_server,omitempty"`
	MaxDisrupted  int    `json:"max_disrupted,omitempty"`
	LongRunning   bool   `json:"long_running,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
}

// job is a job of a client.
type job struct {
	id       string
	zone     string
	step     step
	spec     taskSpec
	accepted bool
	refused  bool
}

// newJob returns a job of one step.
func newJob(zone string, s step, spec taskSpec) *job {
	s.MemMB = 64
	spec.CPU = []int{s.CPU}
	return &job{id: fmt.Sprintf("%016x", rand.Uint64()), zone: zone, step: s, spec: spec}
}

// do sends a request on a new channel and returns the status, 0 if there is no answer.
func (l *lab) do(method, zone, path string, body []byte) (status int, text string) {
	n := l.front(zone)
	request, err := http.NewRequest(method, "http://"+n.host+":8161"+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // only this program's own paths
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Time-Remaining", fmt.Sprint(clientWait.Milliseconds()))
	response, err := l.client.Do(request)
	if err != nil {
		l.printf("client %s %s at %s: %v", method, path, n.name, err)
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	l.printf("client %s %s at %s: %d %s", method, path, n.name, response.StatusCode, answer)
	return response.StatusCode, string(answer)
}

// submit hands a job in, again after no answer, 502 and 504, at any node.
func (l *lab) submit(j *job) bool {
	spec, err1 := json.Marshal(j.spec)
	body, err2 := json.Marshal(map[string]any{"spec": string(spec), "steps": []step{j.step}})
	if err := errors.Join(err1, err2); err != nil {
		panic(err) // only this program's own values
	}
	for range 5 {
		switch status, _ := l.do(http.MethodPost, j.zone, prefix+j.id, body); status {
		case http.StatusOK:
			j.accepted = true
			return true
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
		default:
			j.refused = true
			return false
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// submitAll hands jobs in at the same time and returns those that were accepted.
func (l *lab) submitAll(jobs []*job) []*job {
	var group sync.WaitGroup
	for _, j := range jobs {
		group.Go(func() { l.submit(j) })
	}
	group.Wait()
	var accepted []*job
	for _, j := range jobs {
		if j.accepted {
			accepted = append(accepted, j)
		}
	}
	l.saidf("%d of %d jobs are accepted", len(accepted), len(jobs))
	return accepted
}

// state asks for the state of a job.
func (l *lab) state(j *job) (int, string) {
	status, text := l.do(http.MethodGet, j.zone, prefix+j.id, nil)
	var answer struct {
		State string `json:"state"`
	}
	if json.Unmarshal([]byte(text), &answer) == nil && answer.State != "" {
		return status, answer.State
	}
	return status, text
}

// cleanUp ends all processes that were started.
func (l *lab) cleanUp() {
	for _, n := range l.nodes {
		n.mu.Lock()
		n.removed = true
		if n.cmd != nil {
			_ = n.cmd.Process.Kill() // it may have ended
		}
		n.mu.Unlock()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(l.dir) // a temporary folder
	}
}

// scenario plays a case and returns how the rule was broken, empty if it held.
type scenario func(l *lab) (broken []string, err error)

var scenarios = map[string]scenario{}

func play() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Println("usage: lab CASE RECORD")
		return exitNotRun
	}
	out, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	if _, err := os.Stat(program); err != nil {
		fmt.Println("build the programs of the deploy file first:", err)
		return exitNotRun
	}
	l := &lab{record: out, dir: dir, store: newKeyValues(), trouble: os.Getenv("TROUBLE") != "0", cue: make(chan struct{})}
	l.judge = newJudge(l)
	l.client = &http.Client{Timeout: clientWait, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	type result struct {
		broken []string
		err    error
	}
	results := make(chan result, 1)
	l.background(func() {
		broken, err := scenarios[os.Args[1]](l)
		results <- result{broken, err}
	})
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	defer l.cleanUp()
	defer func() { _ = out.close() }()
	if os.Getenv("KEEP_LOGS") != "" {
		l.saidf("logs in %s", filepath.Base(dir))
	}
	select {
	case r := <-results:
		for i, line := range r.broken {
			if l.printf("BROKEN %s", line); i < 5 {
				fmt.Println("BROKEN", line)
			}
		}
		switch {
		case r.err != nil:
			l.saidf("the case couldn't run: %v", r.err)
			return exitNotRun
		case len(r.broken) > 0:
			l.saidf("the rule was broken: %d findings", len(r.broken))
			return exitBroken
		}
		l.saidf("the rule held")
		return exitHeld
	case s := <-interrupted:
		l.saidf("ended by %v", s)
	case <-time.After(maxTime):
		l.saidf("the case took over %v", maxTime)
	}
	return exitNotRun
}

func main() { os.Exit(play()) }
