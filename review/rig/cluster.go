package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/standin"
)

// clusterConfig is the size of a deployment.
type clusterConfig struct {
	Zones     int
	VMs       int // of each zone
	Executors int // of each zone
	Attempts  int
	StatusS   int // bounds.status_s, 0 for 120
	Program   string
	Logs      string // directory for the logs of the VMs, empty to drop them
}

const (
	heartbeat     = 1500 * time.Millisecond // heartbeat_ms
	silentBeats   = 3                       // after which the entry of an executor is removed
	executorCores = 64000                   // thousandths of a core
	host          = "cue.example"
	prefix        = "/cue/"
)

// cluster is the program on several VMs with the stand-ins.
type cluster struct {
	config  clusterConfig
	rec     *record
	dir     string
	network string
	w       *world
	keys    *standin.KVStore
	front   *storeFront
	store   string
	group   errgroup.Group
	ctx     context.Context
	cancel  context.CancelFunc

	gates []*gate

	mu     sync.Mutex
	cuts   map[[2]string]bool // from a VM to a VM, or to the store
	vms    []*vm
	states map[string]string // of the entries of executors, empty for none
}

// vm is a machine with the program.
type vm struct {
	name, zone, host string
	store            string // address of its gate to the store
	mu               sync.Mutex
	cmd              *exec.Cmd
	removed          bool // is not started again
}

func zoneName(i int) string { return "zone-" + string(rune('a'+i)) }

func startCluster(rec *record, config clusterConfig) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-rig")
	if err != nil {
		return nil, err
	}
	c := &cluster{config: config, rec: rec, dir: dir, w: newWorld(rec, config.Attempts), keys: standin.NewKVStore(), states: map[string]string{}, cuts: map[[2]string]bool{}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	if c.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.group.Go(func() error { return c.keys.Serve(l) })
	front, fl, err := newStoreFront(l.Addr().String())
	if err != nil {
		return nil, err
	}
	c.front, c.store = front, fl.Addr().String()
	c.group.Go(func() error { return front.serve(fl) })
	route := standin.Route{Name: "r-0", Host: host, Prefix: prefix, Service: "cue", Attempts: config.Attempts, Target: 60 * time.Millisecond}
	if err := c.keys.PutConfig(1, []standin.Route{route}); err != nil {
		return nil, err
	}
	for z := range config.Zones {
		for i := range config.Executors {
			if _, err := c.addExecutor(fmt.Sprintf("i-%s-%d", zoneName(z), i), zoneName(z), kindOf(i)); err != nil {
				return nil, err
			}
		}
	}
	c.group.Go(c.beat)
	for z := range config.Zones {
		for i := range config.VMs {
			n := len(c.vms) + 1
			c.vms = append(c.vms, &vm{name: fmt.Sprintf("front-%s-%d", zoneName(z), i+1), zone: zoneName(z), host: fmt.Sprintf("%s.%d", c.network, n)})
		}
	}
	c.keys.Translate = c.linkAddress
	for i, v := range c.vms {
		link, err := newGate(fmt.Sprintf("%s.%d:7720", c.network, 101+i), v.host+":7720", func(from string, forth bool) bool {
			if !forth {
				return c.isCut(v.name, from)
			}
			return c.isCut(from, v.name)
		})
		if err != nil {
			return nil, err
		}
		store, err := newGate("127.0.0.1:0", c.store, func(_ string, forth bool) bool {
			if !forth {
				return c.isCut("store", v.name)
			}
			return c.isCut(v.name, "store")
		})
		if err != nil {
			return nil, err
		}
		v.store = store.listener.Addr().String()
		c.gates = append(c.gates, link, store)
	}
	for _, v := range c.vms {
		c.group.Go(func() error { return c.supervise(v) })
	}
	return c, nil
}

// linkAddress puts the gate in place of the address for other VMs in what a VM writes to the store.
func (c *cluster) linkAddress(value []byte) []byte {
	for i, v := range c.vms {
		value = bytes.Replace(value, []byte(`"`+v.host+`:7720"`), fmt.Appendf(nil, `"%s.%d:7720"`, c.network, 101+i), 1)
	}
	return value
}

func (c *cluster) isCut(from, to string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cuts[[2]string{from, to}]
}

// setCut holds the bytes from one to another back or lets them pass.
func (c *cluster) setCut(from, to string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cuts[[2]string{from, to}] = cut
}

// freeNetwork returns the first three bytes of loopback addresses with free ports.
func freeNetwork() (string, error) {
	for try := range 1000 {
		n := (os.Getpid()*7 + try) % (100 * 250)
		network := fmt.Sprintf("127.%d.%d", 100+n/250, 1+n%250)
		if l, err := net.Listen("tcp4", network+".1:8161"); err == nil {
			return network, l.Close()
		}
	}
	return "", errors.New("no free loopback network")
}

// kindOf returns the label for the kind of an executor: the first one of each zone is of another kind.
func kindOf(i int) string {
	if i == 0 {
		return rareLabel
	}
	return "a"
}

func (c *cluster) addExecutor(id, zone, kind string) (*executor, error) {
	e, l, err := newExecutor(c.w, id, zone, []string{kind, kind + "-" + zone, "r-" + zone}, executorCores)
	if err != nil {
		return nil, err
	}
	c.group.Go(func() error { return e.serve(l) })
	c.setState(id, "ready")
	return e, nil
}

func (c *cluster) setState(id, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.states[id] = state
}

// beat writes the entries of the executors.
func (c *cluster) beat() error {
	for sequence := 1; ; sequence++ {
		c.w.mu.Lock()
		list := append([]*executor(nil), c.w.executors...)
		c.w.mu.Unlock()
		for _, e := range list {
			c.mu.Lock()
			state := c.states[e.id]
			c.mu.Unlock()
			if state == "" {
				continue
			}
			if _, err := c.keys.Put("servers/"+e.id, e.entry(state, sequence)); err != nil {
				return err
			}
		}
		select {
		case <-c.ctx.Done():
			return nil
		case <-time.After(heartbeat):
		}
	}
}

// loseExecutor ends an executor for good; its entry is removed after three heartbeats of silence.
func (c *cluster) loseExecutor(e *executor) {
	c.w.mu.Lock()
	e.crash()
	c.w.mu.Unlock()
	_ = e.server.Close()
	c.setState(e.id, "")
	c.rec.note("executor %s crashes for good", e.id)
	time.AfterFunc(silentBeats*heartbeat, func() {
		c.keys.Delete("servers/" + e.id)
		c.rec.note("the entry of executor %s is removed", e.id)
	})
}

func (c *cluster) settings(v *vm) string {
	status := c.config.StatusS
	if status == 0 {
		status = 120
	}
	lines := []string{
		"node_name=" + v.name, "role=gateway", "machine_class=front", "serves=front,control", "ip=" + v.host, "zone=" + v.zone, "region=r",
		"listen.front=" + v.host + ":8161", "listen.ready=" + v.host + ":8167", "listen.control=" + v.host + ":8166", "internal_port_range=7720,7735",
		"seeds=" + c.vms[0].host + ":8166", "bootstrap=true", "limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100",
		"limits.link_mbps=1000.0", "discovery=platform", "entry=vip", "heartbeat_ms=1500", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.drain_ms=2000",
		"bounds.grace_s=6", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.recovery_s=12", "bounds.hold_max_ms=1000", "bounds.stop_ms=50",
		"bounds.gang_ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14", fmt.Sprintf("bounds.status_s=%d", status),
		"bounds.cross_rack_factor=2", "bounds.checkpoint_interval_s=1", "bounds.restore_ms=250", "bounds.lease_ms=3000", "bounds.resend_ms=1300", "orders=call",
		"platform.address=" + v.store, "platform.form=kv", "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20",
		"platform.value_bytes=1048576", "platform.ttl_min_ms=1000", "",
	}
	return strings.Join(lines, "\n")
}

// supervise keeps the program of a VM running, as the platform does.
func (c *cluster) supervise(v *vm) error {
	runtime.LockOSThread() // the death signal is bound to the thread that starts the process
	defer runtime.UnlockOSThread()
	path := filepath.Join(c.dir, v.name+".conf")
	if err := os.WriteFile(path, []byte(c.settings(v)), 0o600); err != nil {
		return err
	}
	var log *os.File
	if c.config.Logs != "" {
		var err error
		if log, err = os.Create(filepath.Join(c.config.Logs, v.name+".log")); err != nil {
			return err
		}
		defer func() { _ = log.Close() }()
	}
	for c.ctx.Err() == nil {
		v.mu.Lock()
		if v.removed {
			v.mu.Unlock()
			return nil
		}
		cmd := exec.Command(c.config.Program, "serve")
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAMPHIREPLANK_BOOT=" + path}
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives this one
		if log != nil {
			cmd.Stdout, cmd.Stderr = log, log
		}
		if err := cmd.Start(); err != nil {
			v.mu.Unlock()
			return err
		}
		v.cmd = cmd
		v.mu.Unlock()
		err := cmd.Wait()
		c.rec.note("process of %s has ended: %v", v.name, err)
		v.mu.Lock()
		v.cmd = nil
		v.mu.Unlock()
		select {
		case <-c.ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
	}
	return nil
}

// signal sends a signal to the process of a VM.
func (c *cluster) signal(v *vm, s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil && v.cmd.Process != nil {
		c.rec.note("%v to %s", s, v.name)
		_ = v.cmd.Process.Signal(s)
	}
}

// remove ends the process of a VM for good.
func (c *cluster) remove(v *vm) {
	v.mu.Lock()
	v.removed = true
	v.mu.Unlock()
	c.signal(v, syscall.SIGKILL)
}

// ready waits until all VMs are ready.
func (c *cluster) ready(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, v := range c.vms {
		for !isReady(c.ctx, v) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second) // all groups have holders
	return nil
}

func (c *cluster) close() error {
	c.cancel()
	for _, v := range c.vms {
		v.mu.Lock()
		v.removed = true
		if v.cmd != nil && v.cmd.Process != nil {
			_ = v.cmd.Process.Signal(syscall.SIGCONT)
			_ = v.cmd.Process.Kill()
		}
		v.mu.Unlock()
	}
	var errs []error
	for _, e := range c.w.executors {
		errs = append(errs, e.server.Close())
	}
	for _, g := range c.gates {
		errs = append(errs, g.close())
	}
	_ = c.front.server.Close() // its listener may not be known to it yet
	errs = append(errs, c.keys.Close(), c.group.Wait(), os.RemoveAll(c.dir), c.rec.close())
	errs = slices.DeleteFunc(errs, func(err error) bool { return errors.Is(err, net.ErrClosed) })
	return errors.Join(errs...)
}
