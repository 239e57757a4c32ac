package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/standin"
)

var (
	busyCount = flag.Int("soak-busy", 2, "number of busy processes beside a run with stalls")
	linkKinds = flag.String("soak-links", "narrow", "kinds of links of the runs with stalls: wide, narrow or wide,narrow")
)

const (
	busyEnv    = "SOAK_BUSY"           // the test binary is a busy process when it is set
	stallPause = 60 * time.Millisecond // mean time between jobs: three quarters of the capacity of all workers
	// narrowMbps and narrowSpec make VMs send all starts of their jobs in their zone for the holders: one start takes
	// over 5 ms.
	narrowMbps = 4
	narrowSpec = 2500
)

func TestMain(m *testing.M) {
	if os.Getenv(busyEnv) != "" {
		for n := uint64(1); ; {
			n *= 3
		}
	}
	os.Exit(m.Run())
}

// startBusy starts processes that compete with the cluster for the processors until the test ends.
func startBusy(t testing.TB) {
	var group errgroup.Group
	stop := make(chan struct{})
	t.Cleanup(func() {
		close(stop)
		_ = group.Wait() // they end by being killed
	})
	for range *busyCount {
		group.Go(func() error {
			runtime.LockOSThread() // the death signal is bound to the thread that starts the process
			defer runtime.UnlockOSThread()
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), busyEnv+"=1")
			cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
			if err := cmd.Start(); err != nil {
				t.Errorf("busy process: %v", err)
				return err
			}
			<-stop
			_ = cmd.Process.Kill()
			return cmd.Wait()
		})
	}
}

// stalls injects series of faults on the VMs of one zone in turn, so that its group changes its holder several times
// within the life of a job.
func (c *cluster) stalls(r *rand.Rand, until time.Time) error {
	var group errgroup.Group
	ms := func(least, most int) time.Duration { return time.Duration(least+r.IntN(most-least)) * time.Millisecond }
	perZone := c.config.VMs / c.config.Zones
	for time.Now().Before(until) {
		zone, order := r.IntN(c.config.Zones), r.Perm(perZone)
		for n := range 3 + r.IntN(4) {
			i, w := zone+c.config.Zones*order[n%perZone], zone+c.config.Zones*r.IntN(c.config.Workers/c.config.Zones)
			spell, undo := ms(200, 2000), func() {}
			switch r.IntN(20) {
			case 0, 1, 2, 3:
				var times [][2]time.Duration // of stalls and of the pauses after them
				for range 1 + r.IntN(4) {
					times = append(times, [2]time.Duration{ms(50, 600), ms(20, 200)})
				}
				spell = 0
				undo = func() {
					for _, t := range times {
						c.stall(i, t[0])
						time.Sleep(t[1])
					}
				}
			case 4, 5, 6, 7, 8:
				c.sendSignal(i, syscall.SIGTERM)
			case 9, 10, 11, 12, 13:
				c.sendSignal(i, syscall.SIGKILL)
			case 14:
				for v := range c.config.VMs {
					if r.IntN(3) == 0 {
						c.sendSignal(v, syscall.SIGKILL)
					}
				}
			case 15:
				faults := []standin.KVStoreFaults{{Down: true}, {Unresponsive: true}, {Delay: 150 * time.Millisecond}}
				c.keys.SetFaults(faults[r.IntN(len(faults))])
				undo = func() { c.keys.SetFaults(standin.KVStoreFaults{}) }
			case 16:
				c.gates[w].set(ms(0, 20), r.IntN(2) == 0, r.IntN(2) == 0)
				undo = func() { c.gates[w].set(0, false, false) }
			case 17:
				c.stores[i].set(0, r.IntN(2) == 0, r.IntN(2) == 0)
				undo = func() { c.stores[i].set(0, false, false) }
			case 18:
				c.gates[w].reset()
			case 19:
				c.stores[i].reset()
			}
			group.Go(func() error {
				time.Sleep(spell)
				undo()
				return nil
			})
			time.Sleep(ms(100, 1400))
		}
	}
	return group.Wait()
}

// runStalls sends jobs of up to 3 s while processes stall.
func (c *cluster) runStalls(seed uint64, length time.Duration) *client {
	l := newClient(c, seed)
	defer l.http.CloseIdleConnections()
	if c.config.LinkMbps > 0 {
		l.specPad = " " + strings.Repeat("x", narrowSpec)
	}
	time.Sleep(4 * time.Second) // the processes start and divide the workers
	var group errgroup.Group
	end := time.Now().Add(length)
	group.Go(func() error { return c.stalls(rand.New(rand.NewPCG(seed, 4)), end) })
	for sequence := seed << 32; time.Now().Before(end); sequence++ {
		first, tasks, ms := l.rand.IntN(c.config.VMs), 1+l.rand.IntN(3), 200+l.rand.IntN(2800)
		group.Go(func() error {
			l.send(sequence, first, tasks, ms)
			return nil
		})
		time.Sleep(time.Duration(l.rand.ExpFloat64() * float64(stallPause)))
	}
	if err := group.Wait(); err != nil {
		c.fail("faults: %v", err)
	}
	return l
}

// Guards against two runs of a task at a time when processes stall and end on a busy machine and a group changes its
// holder several times within a job.
func TestNoTaskRunsTwiceWhileProcessesStall(t *testing.T) {
	for _, links := range strings.Split(*linkKinds, ",") {
		config := clusterConfig{VMs: 9, Workers: 36, Zones: 3}
		if links == "narrow" {
			config.LinkMbps = narrowMbps
		}
		for seed := *firstSeed; seed < *firstSeed+uint64(*runs); seed++ {
			t.Run(fmt.Sprintf("%s-seed-%d", links, seed), func(t *testing.T) {
				startBusy(t)
				c := startCluster(t, config)
				l := c.runStalls(seed, *length)
				for _, o := range c.watch.Overlaps() {
					job, _, _ := strings.Cut(o.First.Task, ".")
					t.Errorf("%v; the job was sent to %s", o, strings.Join(l.tries[job], ", "))
				}
				for _, f := range c.failures() {
					t.Error(f)
				}
				if l.served*5 < l.asked {
					t.Error("so few jobs were served that the run is no evidence")
				}
				t.Logf("seed %d, %s links: %d of %d jobs served, %v", seed, links, l.served, l.asked, l.statuses)
				if t.Failed() && *keepLogs != "" {
					c.saveLogs(filepath.Join(*keepLogs, fmt.Sprintf("stall-%s-seed-%d", links, seed)))
				}
			})
		}
	}
}
