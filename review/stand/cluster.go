package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	program  = "target/samphireplank"
	hostName = "cue.example"
	prefix   = "/cue/"
	// urgentPrefix is that of a queue with the highest priority.
	urgentPrefix = "/urgent/"
	service      = "cue-desk"
)

// deployment says what a cluster consists of.
type deployment struct {
	VMs       []string // their zones
	Executors []executorSpec
	Guards    bool // admission_check
	Attempts  int
	TargetMS  int // target_duration_ms of the queues, 0 for that of the site
}

type executorSpec struct {
	Zone, Rack string
	Kind       executorKind
}

// cluster is the program on several machines with stand-ins of the platform.
type cluster struct {
	deployment
	rec       *record
	trouble   bool
	dir       string
	network   string
	reserved  net.Listener
	store     *store
	seen      *watcher
	executors []*executor
	vms       []*vm
	group     errgroup.Group
	ctx       context.Context
	cancel    context.CancelFunc
	client    *http.Client
	storeAddr string
}

// vm is the program on one machine.
type vm struct {
	name, host, zone string
	mu               sync.Mutex
	cmd              *exec.Cmd
	ended            chan struct{}
	down             bool
}

// newCluster starts the stand-ins.
func newCluster(rec *record, trouble bool, d deployment) (*cluster, error) {
	c := &cluster{deployment: d, rec: rec, trouble: trouble, store: newStore(rec), seen: newWatcher(rec)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var err error
	if c.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if err := c.reserve(); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.storeAddr = l.Addr().String()
	c.group.Go(func() error { return c.store.serve(l) })
	if err := c.configure(1); err != nil {
		return nil, err
	}
	for i, s := range d.Executors {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		e := newExecutor(fmt.Sprintf("x-%02d", i), service, s.Zone, s.Rack, l.Addr().String(), s.Kind, d.Guards, rec, c.seen)
		c.executors = append(c.executors, e)
		c.group.Go(func() error { return e.serve(l) })
		if err := c.register(e); err != nil {
			return nil, err
		}
		c.group.Go(func() error { return c.beat(e) })
	}
	for i, zone := range d.VMs {
		c.vms = append(c.vms, &vm{name: fmt.Sprintf("front-%s-%d", zone, i), host: fmt.Sprintf("%s.%d", c.network, i+1), zone: zone})
	}
	return c, nil
}

// reserve takes a loopback network that no other case on this machine uses.
func (c *cluster) reserve() error {
	const networks = 64 * 256
	for try := range networks {
		n := (os.Getpid() + try) % networks
		c.network = fmt.Sprintf("127.%d.%d", 128+n/256, n%256)
		l, err := net.Listen("tcp4", c.network+".254:8161")
		if err == nil {
			c.reserved = l
			return nil
		}
	}
	return errors.New("no free loopback network")
}

func (c *cluster) register(e *executor) error {
	entry, present := e.entry()
	if !present {
		return nil
	}
	return c.store.put("servers/"+e.id, entry)
}

// beat writes the entry of an executor until it has left.
func (c *cluster) beat(e *executor) error {
	for {
		select {
		case <-c.ctx.Done():
			return nil
		case <-time.After(heartbeat):
		}
		if err := c.register(e); err != nil {
			return err
		}
	}
}

func (c *cluster) configure(version int) error {
	return c.store.put("op/config", map[string]any{
		"version":  version,
		"routes":   []any{c.route("cue", prefix, 2), c.route("urgent", urgentPrefix, 0)},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "admission_check": c.Guards}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 60000},
	})
}

// route returns the entry of a route in the configuration.
func (c *cluster) route(name, prefix string, priority int) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "prefix": prefix, "kind": "unsafe", "service": service, "priority": priority, "max_attempts": max(c.Attempts, 1),
		"stretch": 1.6, "target_duration_ms": cmp.Or(c.TargetMS, 60), "timeout_ms": 10000,
	}
}

// settingsText returns the settings file of a machine.
func (c *cluster) settingsText(m *vm) string {
	zones, seeds := map[string]bool{}, []string{}
	for _, other := range c.vms {
		zones[other.zone] = true
		if len(seeds) < 3 {
			seeds = append(seeds, other.host+":8166")
		}
	}
	values := [][2]string{
		{"node_name", m.name},
		{"role", "gateway"},
		{"machine_class", "front"},
		{"serves", "front,control"},
		{"ip", m.host},
		{"zone", m.zone},
		{"region", "pnw"},
		{"listen.front", m.host + ":8161"},
		{"listen.ready", m.host + ":8167"},
		{"listen.control", m.host + ":8166"},
		{"internal_port_range", "7720,7735"},
		{"seeds", strings.Join(seeds, ",")},
		{"bootstrap", "true"},
		{"limits.cpu_share", "0.4"},
		{"limits.cores", "1"},
		{"limits.memory_mb", "284"},
		{"limits.max_fds", "4100"},
		{"limits.link_mbps", "1000.0"},
		{"limits.disk_mb", "0"},
		{"discovery", "platform"},
		{"entry", "vip"},
		{"heartbeat_ms", "1500"},
		{"contracts", "base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing"},
		{"fault_tolerance.machines", "2"},
		{"fault_tolerance.zones", "1"},
		{"fault_tolerance.regions", "0"},
		{"bounds.contact_ms", "3000"},
		{"bounds.ack_ms", "4000"},
		{"bounds.drain_ms", "2000"},
		{"bounds.grace_s", "6"},
		{"bounds.config_apply_ms", "2000"},
		{"bounds.hold_max_ms", "1000"},
		{"bounds.stop_ms", "50"},
		{"bounds.gang_ms", "3000"},
		{"bounds.cancel_ms", "3000"},
		{"bounds.visible_ms", "3000"},
		{"bounds.early_ms", "250"},
		{"bounds.finish_s", "14"},
		{"bounds.status_s", "120"},
		{"bounds.lease_ms", "3000"},
		{"bounds.resend_ms", "1300"},
		{"orders", "call"},
		{"platform.address", c.storeAddr},
		{"platform.form", "kv"},
		{"platform.writes_per_s", "400"},
		{"platform.reads_per_s", "2000"},
		{"platform.history_s", "20"},
		{"platform.value_bytes", "1048576"},
		{"platform.ttl_min_ms", "1000"},
	}
	var b strings.Builder
	for _, v := range values {
		_, _ = fmt.Fprintf(&b, "%s=%s\n", v[0], v[1])
	}
	for zone := range zones {
		_, _ = fmt.Fprintf(&b, "zones.%s=pnw\n", zone)
	}
	return b.String()
}

// startVM starts the program on a machine.
func (c *cluster) startVM(m *vm) error {
	path := filepath.Join(c.dir, m.name+".conf")
	if err := os.WriteFile(path, []byte(c.settingsText(m)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.dir, "SAMPHIREPLANK_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	m.mu.Lock()
	defer m.mu.Unlock()
	started := make(chan error)
	ended := make(chan struct{})
	c.group.Go(func() error {
		runtime.LockOSThread() // the death signal is bound to the thread that starts the process
		defer runtime.UnlockOSThread()
		defer func() { _ = log.Close() }()
		err := cmd.Start()
		started <- err
		if err != nil {
			return nil
		}
		err = cmd.Wait()
		close(ended)
		m.mu.Lock()
		expected := m.down
		m.mu.Unlock()
		if !expected && c.ctx.Err() == nil {
			c.rec.note("%s ended by itself: %v", m.name, err)
		}
		return nil
	})
	if err := <-started; err != nil {
		return err
	}
	m.cmd, m.ended, m.down = cmd, ended, false
	c.rec.note("%s started", m.name)
	return nil
}

// kill kills the program on a machine and waits for its end.
func (c *cluster) kill(m *vm) {
	m.mu.Lock()
	cmd, ended := m.cmd, m.ended
	m.down = true
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-ended
	c.rec.note("%s killed", m.name)
}

// start starts all machines and waits until they are ready.
func (c *cluster) start() error {
	for _, m := range c.vms {
		if err := c.startVM(m); err != nil {
			return err
		}
	}
	return c.awaitReady(20 * time.Second)
}

// awaitReady waits until all machines that run are ready, and a while longer for their groups.
func (c *cluster) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, m := range c.vms {
		if m.down {
			continue
		}
		for {
			response, err := c.client.Get("http://" + m.host + ":8167/v1/readiness")
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}

// decode decodes the value of a key of the store; it leaves the target as it is if there is none.
func (c *cluster) decode(key string, target any) {
	if value, ok := c.store.value(key); ok {
		_ = json.Unmarshal(value, target) // the program has written it
	}
}

func (c *cluster) close() {
	c.cancel()
	for _, m := range c.vms {
		c.kill(m)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("logs:", c.dir)
	}
	_ = c.reserved.Close()
}

// step is a step of a job as clients send it.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu,omitempty"`
	MemoryMB     int    `json:"mem_mb,omitempty"`
	EstimateMS   int    `json:"estimate_ms,omitempty"`
	After        []int  `json:"after,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
	MaxDisrupted int    `json:"max_disrupted,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	Label        string `json:"required_label,omitempty"`
}

// jobBody is a job as clients send it.
type jobBody struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	BestEffort bool   `json:"best_effort,omitempty"`
	Repeat     int    `json:"repeat_count,omitempty"`
	FirstMS    int64  `json:"first_run_ms,omitempty"`
	IntervalMS int    `json:"interval_ms,omitempty"`
}

// call sends a request of a client to a machine. The status is 0 if there was no answer.
func (c *cluster) call(m *vm, method, id string, body any, timeout time.Duration) (status int, answer string) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, err.Error()
		}
	}
	ctx, cancel := context.WithTimeout(c.ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.host+":8161"+pathOf(id), bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = hostName
	request.Header.Set("Time-Remaining", fmt.Sprint(timeout.Milliseconds()))
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(text))
}

// pathOf returns the path of a job: that of the usual queue, unless the id has a path.
func pathOf(id string) string {
	if strings.HasPrefix(id, "/") {
		return id
	}
	return prefix + id
}

// noted sends a request and records it with its answer.
func (c *cluster) noted(m *vm, method, id string, body any, timeout time.Duration) (status int, answer string) {
	status, answer = c.call(m, method, id, body, timeout)
	c.rec.note("client: %s %s at %s -> %d %s", method, pathOf(id), m.name, status, answer)
	return status, answer
}

// stateOf returns the state that a machine shows of a job, with the status if it is not 200.
func (c *cluster) stateOf(m *vm, id string) string {
	status, answer := c.call(m, http.MethodGet, id, nil, 2*time.Second)
	if status != http.StatusOK {
		return fmt.Sprint(status)
	}
	var s struct {
		State string `json:"state"`
	}
	if err := json.Unmarshal([]byte(answer), &s); err != nil {
		return answer
	}
	return s.State
}

// running returns the runs of a job that have not ended.
func (c *cluster) running(id string) []runView {
	var list []runView
	for _, v := range c.seen.views(id + ".") {
		if v.ended.IsZero() {
			list = append(list, v)
		}
	}
	return list
}
