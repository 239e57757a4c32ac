package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/standin"
)

type sent struct {
	id        string
	w         work
	accepted  time.Time
	cancelled bool
	lasting   bool
	tasks     int
}

// randomFaults hands in jobs of all kinds amid random faults.
func randomFaults(c *cluster, trouble bool) (outcome, error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	mode := os.Getenv("MODE")
	r := rand.New(rand.NewPCG(seed, 1))
	c.w.unguarded = os.Getenv("GUARD") == "0"
	var mu sync.Mutex
	var jobs []*sent
	var posts errgroup.Group
	end := time.Now().Add(40 * time.Second)
	posts.Go(func() error {
		for n := uint64(1); time.Now().Before(end); n++ {
			mu.Lock()
			j := &sent{id: fmt.Sprintf("%016x", n+seed<<20)}
			ms := 100 + r.IntN(1500)
			cpu := 5000 + r.IntN(20000)
			switch k := r.IntN(10); {
			case k < 3:
				j.w = work{Steps: []step{{Count: 1 + r.IntN(3), CPU: cpu, EstimateMS: ms}, {Count: 1 + r.IntN(3), CPU: cpu, EstimateMS: ms, After: []int{0}}, {Count: 1, CPU: cpu, EstimateMS: ms, After: []int{0, 1}}}}
			case k < 4:
				j.w = work{Steps: []step{{Count: 2 + r.IntN(3), CPU: cpu, EstimateMS: ms, fail: r.IntN(4)}}}
			case k < 6:
				j.w = work{Steps: []step{{Count: 2 + r.IntN(3), CPU: cpu, EstimateMS: 2000 + r.IntN(2000), ms: 3000, Gang: true, Checkpoints: r.IntN(2) == 0}}}
			case k < 7:
				j.w = work{Steps: []step{{Count: 3, CPU: cpu, EstimateMS: 3000, Checkpoints: true, MaxPerServer: 1}}}
			case k < 9 && r.IntN(2) == 0:
				j.w = work{Repeat: 2 + r.IntN(3), FirstMS: time.Now().Add(time.Duration(r.IntN(4000)) * time.Millisecond).UnixMilli(), IntervalMS: int64(200 + r.IntN(2000)), Steps: []step{{Count: 1 + r.IntN(2), CPU: cpu, EstimateMS: ms}}}
			case k < 9: // one for each executor of a zone and more, so that the service is often full
				j.w = work{Steps: []step{{Count: 4 + r.IntN(12), CPU: 20000 + r.IntN(12000), EstimateMS: ms}, {Count: 4, CPU: 30000, EstimateMS: 300, After: []int{0}}}}
			default:
				j.w, j.lasting = work{Steps: []step{{Count: 2, CPU: cpu, LongRunning: true, MaxDisrupted: 1}}}, true
			}
			if strings.HasPrefix(mode, "best") && r.IntN(4) > 0 {
				j.w, j.lasting = work{BestEffort: true, Steps: []step{{Count: 1 + r.IntN(8), CPU: 10000, EstimateMS: 60 + r.IntN(900)}}}, false
			}
			for _, s := range j.w.Steps {
				j.tasks += s.Count * max(j.w.Repeat, 1)
			}
			first, cancel, after := r.IntN(len(c.vms)), !j.w.BestEffort && (j.lasting || r.IntN(5) == 0), time.Duration(r.IntN(5000))*time.Millisecond
			mu.Unlock()
			posts.Go(func() error {
				ok, err := c.handIn(j.id, j.w, first)
				if err != nil {
					return err
				}
				if !ok || j.w.BestEffort {
					return nil
				}
				mu.Lock()
				j.accepted = time.Now()
				jobs = append(jobs, j)
				mu.Unlock()
				if cancel {
					time.Sleep(after)
					mu.Lock()
					j.cancelled = true
					mu.Unlock()
					for range 5 {
						if c.cancelJob(j.id, first+1) {
							return nil
						}
						time.Sleep(time.Second)
					}
				}
				return nil
			})
			pause := time.Duration(100+r.IntN(300)) * time.Millisecond
			if strings.HasPrefix(mode, "best") {
				pause /= 6
			}
			time.Sleep(pause)
		}
		return nil
	})
	f := rand.New(rand.NewPCG(seed, 2))
	for trouble && time.Now().Before(end) {
		c.inject(f, mode)
		time.Sleep(time.Duration(200+f.IntN(2500)) * time.Millisecond)
	}
	c.keys.SetFaults(standin.KVStoreFaults{})
	c.w.mu.Lock()
	for _, e := range c.w.executors {
		e.deaf, e.late = false, 0
	}
	c.w.mu.Unlock()
	for _, v := range c.vms {
		c.signal(v, syscall.SIGCONT)
	}
	if err := posts.Wait(); err != nil {
		return "", err
	}
	until := time.Now().Add(18 * time.Second)
	var left error
	for i, j := range jobs {
		for {
			a, err := c.ask(c.vms[i%len(c.vms)], http.MethodGet, prefix+j.id, "")
			done := 0
			c.w.mu.Lock()
			for task, spans := range c.w.spans {
				if jobOf(task) == j.id {
					for _, s := range spans {
						if s.how == "done" {
							done++
							break
						}
					}
				}
			}
			bad := ""
			switch {
			case err != nil:
			case a.code == http.StatusGone:
				bad = "LOST accepted job is not known: " + j.id
			case a.state == "completed" && done < j.tasks:
				bad = fmt.Sprintf("MIXED %s is completed with %d of %d done", j.id, done, j.tasks)
			case a.state == "cancelled" && !j.cancelled:
				bad = "LOST shown as cancelled: " + j.id
			case a.state == "failed" && j.w.Steps[0].fail < 3:
				bad = "LOST shown as failed: " + j.id
			}
			if bad != "" {
				c.w.fault("%s", bad)
			}
			c.w.mu.Unlock()
			if bad != "" || err == nil && (a.state == "completed" || a.state == "failed" || a.state == "cancelled") {
				break
			}
			if time.Now().After(until) {
				c.w.mu.Lock()
				c.w.fault("LOST %s is %d %q %v at the end, cancelled %t", j.id, a.code, a.state, err, j.cancelled)
				c.w.mu.Unlock()
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(3100 * time.Millisecond) // the time for a cancelled task to end
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	for task, spans := range c.w.spans {
		for _, s := range spans {
			if s.ended.IsZero() {
				c.w.fault("still running: %s run %d on %s", task, s.number, s.worker)
			}
		}
	}
	c.rec.note("jobs accepted: %d", len(jobs))
	return "", left
}

func (c *cluster) inject(f *rand.Rand, mode string) {
	v := c.vms[f.IntN(len(c.vms))]
	hold := time.Duration(300+f.IntN(5000)) * time.Millisecond
	k := f.IntN(14)
	switch mode {
	case "vm", "best-vm":
		k = f.IntN(4)
	case "store":
		k = 4 + f.IntN(2)
	case "exec":
		k = 6 + f.IntN(5)
	}
	if mode == "cut" {
		k = 11 + f.IntN(2)
	}
	if mode == "transfer" && f.IntN(3) > 0 {
		k = 13
	}
	switch k {
	case 13:
		zone := zoneName(f.IntN(c.config.Zones))
		c.w.mu.Lock()
		list := append([]*executor(nil), c.w.executors...)
		c.w.mu.Unlock()
		keep := f.IntN(2)
		for _, e := range list {
			if e.zone != zone || !e.up {
				continue
			}
			if keep > 0 {
				keep--
				continue
			}
			c.loseExecutor(e)
		}
		time.Sleep(hold)
		for n := range c.config.Executors {
			if _, err := c.addExecutor(fmt.Sprintf("n-%s-%d-%d", zone, f.IntN(1<<30), n), zone, kindOf(n)); err != nil {
				c.rec.note("%v", err)
			}
		}
	case 8:
		e := c.w.executors[f.IntN(len(c.w.executors))]
		down := time.Duration(100+f.IntN(2500)) * time.Millisecond
		c.rec.note("executor %s crashes, back after %v", e.id, down)
		c.w.mu.Lock()
		e.crash()
		c.w.mu.Unlock()
		time.Sleep(down)
		c.w.mu.Lock()
		e.reborn()
		c.w.mu.Unlock()
		_, _ = c.keys.Put("servers/"+e.id, e.entry("ready", 0))
	case 9:
		e := c.w.executors[f.IntN(len(c.w.executors))]
		c.rec.note("executor %s mute for %v", e.id, hold)
		c.w.mu.Lock()
		e.mute = true
		c.w.mu.Unlock()
		time.Sleep(hold)
		c.w.mu.Lock()
		e.mute = false
		c.w.mu.Unlock()
	case 10:
		c.rec.note("late orders for %v", hold)
		c.w.mu.Lock()
		for _, e := range c.w.executors {
			e.late, e.lateAll = .2, true
		}
		c.w.mu.Unlock()
		time.Sleep(hold)
		c.w.mu.Lock()
		for _, e := range c.w.executors {
			e.late, e.lateAll = 0, false
		}
		c.w.mu.Unlock()
	case 11:
		c.rec.note("%s cut from the store for %v", v.name, hold)
		way := f.IntN(3)
		c.setCut(v.name, "store", way != 1)
		c.setCut("store", v.name, way != 2)
		time.Sleep(hold)
		c.setCut(v.name, "store", false)
		c.setCut("store", v.name, false)
	case 12:
		way := f.IntN(3)
		zone := f.IntN(2) == 0
		c.rec.note("%s cut from other VMs for %v, way %d, zone %t", v.name, hold, way, zone)
		for _, cut := range []bool{true, false} {
			for _, a := range c.vms {
				for _, b := range c.vms {
					if a == v && b != v || zone && a.zone == v.zone && b.zone != v.zone {
						c.setCut(a.name, b.name, cut && way != 1)
						c.setCut(b.name, a.name, cut && way != 2)
					}
				}
			}
			if cut {
				time.Sleep(hold)
			}
		}
	case 0:
		c.signal(v, syscall.SIGKILL)
	case 1:
		c.signal(v, syscall.SIGTERM)
	case 2:
		c.signal(v, syscall.SIGSTOP)
		time.Sleep(hold)
		c.signal(v, syscall.SIGCONT)
	case 3:
		for _, v := range c.vms {
			c.signal(v, syscall.SIGKILL)
		}
		time.Sleep(time.Second)
	case 4:
		faults := []standin.KVStoreFaults{{Down: true}, {Unresponsive: true}, {Delay: 240 * time.Millisecond}}[f.IntN(3)]
		c.rec.note("store faults %+v for %v", faults, hold)
		c.keys.SetFaults(faults)
		time.Sleep(hold)
		c.keys.SetFaults(standin.KVStoreFaults{})
	case 5:
		faults := []standin.KVStoreFaults{{LostReplyProbability: .3}, {DelayedWriteProbability: .3}}[f.IntN(2)]
		c.rec.note("store faults %+v for %v", faults, hold)
		c.keys.SetFaults(faults)
		time.Sleep(hold)
		c.keys.SetFaults(standin.KVStoreFaults{})
	case 6:
		e := c.w.executors[f.IntN(len(c.w.executors))]
		c.rec.note("executor %s deaf for %v", e.id, hold)
		c.w.mu.Lock()
		e.deaf = true
		e.signal()
		c.w.mu.Unlock()
		time.Sleep(hold)
		c.w.mu.Lock()
		e.deaf = false
		c.w.mu.Unlock()
	case 7:
		c.rec.note("late starts for %v", hold)
		c.w.mu.Lock()
		for _, e := range c.w.executors {
			e.late = .3
		}
		c.w.mu.Unlock()
		time.Sleep(hold)
		c.w.mu.Lock()
		for _, e := range c.w.executors {
			e.late = 0
		}
		c.w.mu.Unlock()
	}
}
