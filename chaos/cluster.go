package chaos

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The size of the cluster.
const (
	entriesPerZone   = 3
	endpointsPerZone = 8
	slotsPerEndpoint = 8
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// Ports above the platform's.
const (
	endpointAdminPort = 100
	endpointPort      = 200 // and 100 more for each zone
	entryPort         = 1000
	linkPort          = 1100
	relayPort         = 1200
)

// Time limits of processes. An entry VM answers its longest job, of 10 s, before it ends.
const (
	startTimeout = 20 * time.Second
	stopTimeout  = 45 * time.Second
	drainDelay   = time.Second
	listLag      = time.Second // of the platform's list of VMs
)

// cluster is the running processes of a run.
type cluster struct {
	cfg      Config
	http     *httpClient
	links    *links
	relays   []*relay
	standins []*process
	entries  []*entryVM
}

// entryVM is an entry VM through its restarts.
type entryVM struct {
	index int
	zone  string
	life  sync.Mutex // held by whoever ends and restarts the process

	mu      sync.Mutex
	process *process
}

func (v *entryVM) current() *process {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process
}

func (c *cluster) address(offset int) string {
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(c.cfg.BasePort+offset))
}

func (c *cluster) platform() string { return c.address(0) }

func (c *cluster) entryAddress(i int) string { return c.address(entryPort + i) }

// fleet describes the cluster for a schedule.
func fleet() Topology {
	f := Topology{Entries: entriesPerZone * len(zones), Zones: zones}
	for zone := range zones {
		for i := range endpointsPerZone {
			f.Endpoints = append(f.Endpoints, fmt.Sprintf("endpoint-%d-%d", zone, i+1))
		}
	}
	return f
}

// startCluster starts all processes and publishes the objects; on an error it stops what it started.
func startCluster(ctx context.Context, cfg Config) (*cluster, error) {
	c := &cluster{cfg: cfg, http: newHTTPClient(), links: newLinks()}
	for i := range entriesPerZone * len(zones) {
		c.entries = append(c.entries, &entryVM{index: i, zone: zones[i/entriesPerZone]})
	}
	if err := c.checkPorts(); err != nil {
		return nil, err
	}
	if err := c.start(ctx); err != nil {
		c.kill()
		return nil, err
	}
	return c, nil
}

// checkPorts makes sure that no other cluster uses the ports, since it would get this run's load and faults.
func (c *cluster) checkPorts() error {
	addresses := []string{c.platform()}
	for i := range zones {
		addresses = append(addresses, c.address(endpointAdminPort+i))
		for j := range endpointsPerZone {
			addresses = append(addresses, c.address(endpointPort+100*i+j))
		}
	}
	for i := range c.entries {
		addresses = append(addresses, c.entryAddress(i), c.address(linkPort+i), c.address(relayPort+i))
	}
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("a port of the run is in use, choose another one with PORT: %w", err)
		}
		if err := listener.Close(); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) start(ctx context.Context) error {
	if err := c.startStandins(ctx); err != nil {
		return err
	}
	if err := c.publishFirst(ctx); err != nil {
		return err
	}
	for i, vm := range c.entries {
		r, err := startRelay(c.address(relayPort+i), c.address(linkPort+i), vm.zone, c.links, c.zoneOf)
		if err != nil {
			return err
		}
		c.relays = append(c.relays, r)
	}
	for _, vm := range c.entries {
		if err := c.startEntry(vm); err != nil {
			return err
		}
	}
	for _, vm := range c.entries {
		if err := c.awaitReady(ctx, vm); err != nil {
			return err
		}
	}
	for i := range c.entries {
		if err := c.awaitEndpoints(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) startStandins(ctx context.Context) error {
	err := c.startStandin(ctx, "platform", c.platform(), "platform", "--listen", c.platform(),
		"--list-lag-ms", strconv.FormatInt(listLag.Milliseconds(), 10))
	if err != nil {
		return err
	}
	for i, zone := range zones {
		admin := c.address(endpointAdminPort + i)
		err := c.startStandin(ctx, "endpoints-"+zone, admin, "endpoint", "--admin", admin, "--platform", c.platform(),
			"--count", strconv.Itoa(endpointsPerZone), "--id-prefix", fmt.Sprintf("endpoint-%d-", i), "--zone", zone,
			"--service", "cue", "--slots", strconv.Itoa(slotsPerEndpoint),
			"--port", strconv.Itoa(c.cfg.BasePort+endpointPort+100*i))
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) startStandin(ctx context.Context, name, admin string, args ...string) error {
	p, err := startProcess(name, c.log(name), filepath.Join(c.cfg.BinDir, "samphireplank-standin"), args...)
	if err != nil {
		return err
	}
	c.standins = append(c.standins, p)
	return c.await(ctx, p, "http://"+admin+"/admin/counts")
}

// await returns when a process answers 200, or with an error when it ends.
func (c *cluster) await(ctx context.Context, p *process, url string) error {
	err := c.http.await(ctx, url, startTimeout)
	if !p.running() {
		return fmt.Errorf("%s ended at its start; its log is %s", p.name, c.log(p.name))
	}
	return err
}

func (c *cluster) awaitReady(ctx context.Context, vm *entryVM) error {
	return c.await(ctx, vm.current(), "http://"+c.entryAddress(vm.index)+"/readyz")
}

// awaitEndpoints returns when an entry VM knows the endpoints of its zone, which the platform lists after a lag.
func (c *cluster) awaitEndpoints(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		s, err := c.status(ctx, i)
		if err == nil && len(s.Services) == 1 && s.Services[0].Endpoints == endpointsPerZone {
			return nil
		}
		if !sleep(ctx, statusPeriod) {
			return fmt.Errorf("entry-%d does not know its endpoints after %v: %+v: %w", i, startTimeout, s, err)
		}
	}
}

func (c *cluster) log(name string) string { return filepath.Join(c.cfg.LogDir, name+".log") }

// startEntry starts the process of an entry VM, which other entry VMs reach through its relay.
func (c *cluster) startEntry(vm *entryVM) error {
	var peers []string
	for i := range c.entries {
		peers = append(peers, c.address(relayPort+i))
	}
	name := fmt.Sprintf("entry-%d", vm.index)
	p, err := startProcess(name, c.log(name), filepath.Join(c.cfg.BinDir, "samphireplank"), "--log-level", "debug", "entry",
		"--vm", name, "--zone", vm.zone, "--listen", c.entryAddress(vm.index), "--link-listen", c.address(linkPort+vm.index),
		"--link-address", c.address(relayPort+vm.index), "--platform", "http://"+c.platform(),
		"--peers", strings.Join(peers, ","), "--register", "--drain-delay", drainDelay.String())
	if err != nil {
		return err
	}
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.process = p
	return nil
}

// zoneOf returns the zone of the entry VM that opened a connection, or nothing when it is gone.
func (c *cluster) zoneOf(conn net.Conn) string {
	inode, err := peerInode(conn)
	if err != nil {
		return ""
	}
	for _, vm := range c.entries {
		if p := vm.current(); p != nil && holds(p.cmd.Process.Pid, inode) {
			return vm.zone
		}
	}
	return ""
}

// stop shuts all entry VMs down gracefully at once and returns what went wrong with them.
func (c *cluster) stop(ctx context.Context) []error {
	var problems []error
	for _, vm := range c.entries {
		vm.current().signal(syscall.SIGTERM)
	}
	for _, vm := range c.entries {
		if err := vm.current().wait(ctx, stopTimeout); err != nil {
			problems = append(problems, err)
		}
	}
	c.kill()
	return problems
}

// kill ends all processes.
func (c *cluster) kill() {
	for _, vm := range c.entries {
		if p := vm.current(); p != nil {
			p.kill()
		}
	}
	for _, p := range c.standins {
		p.kill()
	}
	for _, r := range c.relays {
		r.stop()
	}
}
