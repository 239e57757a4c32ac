package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	program      = "target/samphireplank"
	restartDelay = 300 * time.Millisecond
	graceTime    = 6 * time.Second // from SIGTERM to SIGKILL
)

// node is a machine of the system.
type node struct {
	lab     *lab
	name    string
	zone    string
	host    string
	link    string // host at which other machines reach it
	gate    *gate  // of its channels to other machines, to the store and to clients
	storeAt string

	mu      sync.Mutex
	cmd     *exec.Cmd
	removed bool
	misses  int
}

// settings returns the settings file of the machine.
func (n *node) settings() string {
	var seeds []string
	lines := []string{
		"node_name=" + n.name, "role=gateway", "machine_class=front", "serves=front,control", "ip=" + n.host, "zone=" + n.zone, "region=r",
	}
	for _, z := range zones {
		lines = append(lines, "zones."+z+"=r")
	}
	for _, other := range n.lab.nodes[:min(len(n.lab.nodes), 3)] {
		seeds = append(seeds, other.host+":8166")
	}
	lines = append(lines,
		"listen.front="+n.host+":8161", "listen.ready="+n.host+":8167", "listen.control="+n.host+":8166", "internal_port_range=7720,7735",
		"seeds="+strings.Join(seeds, ","), "bootstrap=true", "fault_counted=false", "limits.cpu_share=0.4", "limits.cores=1", "limits.memory_mb=284",
		"limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform", "entry=vip", "heartbeat_ms=1500",
		"contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing", "fault_tolerance.machines=2", "fault_tolerance.zones=1",
		"fault_tolerance.regions=0", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.drain_ms=2000", "bounds.grace_s=6",
		"bounds.hold_max_ms=1000", "bounds.stop_ms=50", "bounds.gang_ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000",
		"bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.checkpoint_interval_s=1", "bounds.restore_ms=600",
		"bounds.resend_ms=1300", "orders=call", "platform.address="+n.storeAt, "platform.form=kv", "platform.writes_per_s=400",
		"platform.reads_per_s=2000", "platform.history_s=20", "platform.value_bytes=1048576", "platform.ttl_min_ms=1000", "")
	return strings.Join(lines, "\n")
}

// supervise runs the program until the machine is removed, as the platform does.
func (n *node) supervise() error {
	path := filepath.Join(n.lab.dir, n.name+".conf")
	if err := os.WriteFile(path, []byte(n.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(n.lab.dir, n.name+".log"))
	if err != nil {
		return err
	}
	n.lab.background(func() {
		for {
			n.mu.Lock()
			if n.removed {
				n.mu.Unlock()
				return
			}
			cmd := exec.Command(program, "serve")
			cmd.Env = append(os.Environ(), "SAMPHIREPLANK_BOOT="+path)
			cmd.Stdout, cmd.Stderr = log, log
			if err := cmd.Start(); err != nil {
				n.mu.Unlock()
				n.lab.saidf("%s doesn't start: %v", n.name, err)
				return
			}
			n.cmd = cmd
			n.mu.Unlock()
			err := cmd.Wait()
			n.lab.printf("process of %s has ended: %v", n.name, err)
			n.mu.Lock()
			n.cmd = nil
			n.mu.Unlock()
			time.Sleep(restartDelay)
		}
	})
	return nil
}

// signal sends a signal to the process of the machine.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		n.lab.saidf("signal %v to %s", s, n.name)
		_ = n.cmd.Process.Signal(s) // it may have ended
	}
}

// heldFence returns the highest fence under which the machine has held a group of a zone, by its log.
func (n *node) heldFence(zone string) (int64, error) {
	data, err := os.ReadFile(filepath.Join(n.lab.dir, n.name+".log"))
	if err != nil {
		return 0, err
	}
	highest := int64(0)
	for line := range strings.Lines(string(data)) {
		var entry struct {
			Event, Group string
			Fence        int64
		}
		if json.Unmarshal([]byte(line), &entry) == nil && entry.Event == "holding" && isGroupOf(entry.Group, zone) {
			highest = max(highest, entry.Fence)
		}
	}
	return highest, nil
}

// remove stops the process for good, as the platform does, and waits for its end.
func (n *node) remove() {
	n.mu.Lock()
	n.removed = true
	n.mu.Unlock()
	n.signal(syscall.SIGTERM)
	for until := time.Now().Add(graceTime); n.runs() && time.Now().Before(until); time.Sleep(pause) {
		continue
	}
	n.signal(syscall.SIGKILL)
	for n.runs() {
		time.Sleep(pause)
	}
	n.lab.saidf("%s is removed", n.name)
}

func (n *node) runs() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd != nil
}

// watchReadiness asks the machine each second whether it takes new channels.
func (n *node) watchReadiness() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		response, err := client.Get("http://" + n.host + ":8167/v1/readiness")
		good := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		n.mu.Lock()
		if n.misses++; good {
			n.misses = 0
		}
		n.mu.Unlock()
		time.Sleep(time.Second)
	}
}

func (n *node) inRotation() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.misses < 2
}

// front returns the machine that gets a new channel of a client in the zone.
func (l *lab) front(zone string) *node {
	var near, own, far []*node
	for _, n := range l.nodes {
		switch {
		case n.zone == zone && n.inRotation():
			near = append(near, n)
		case n.inRotation():
			far = append(far, n)
		}
		if n.zone == zone {
			own = append(own, n)
		}
	}
	l.turn.Add(1)
	choice := near
	switch {
	case len(near) == 0 && len(far) > 0:
		choice = far
	case 2*len(near) < len(own):
		choice = own
	}
	return choice[int(l.turn.Load())%len(choice)]
}

func (l *lab) hostOf(part, number int) string {
	return fmt.Sprintf("%s.%d.%d", l.network, part, number)
}
