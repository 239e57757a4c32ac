package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	backlogJobs  = 8000
	backlogSpec  = 4000 // bytes, the most that the pages allow
	backlogDue   = 20   // jobs whose time comes during the case
	backlogCalls = 32   // requests of clients at a time
)

var smallKind = executorKind{CPU: 64000, MemoryMB: 131072, Kind: "a"}

// backlog hands in many jobs for a later time, kills the holder of their group, and looks whether jobs whose time comes are run.
func backlog(rec *record, trouble bool) (string, error) {
	d := deployment{VMs: []string{"sea", "sea", "sea"}, Guards: true, Attempts: 3}
	for range 6 {
		d.Executors = append(d.Executors, executorSpec{Zone: "sea", Rack: "r1", Kind: smallKind})
	}
	c, err := newCluster(rec, trouble, d)
	if err != nil {
		return "", err
	}
	defer c.close()
	if err := c.start(); err != nil {
		return "", err
	}
	spec := "ms=200 cpu=1000 "
	spec += strings.Repeat("x", backlogSpec-len(spec))
	later := time.Now().Add(time.Hour).UnixMilli()
	var group errgroup.Group
	group.SetLimit(backlogCalls)
	accepted := make([]int, backlogCalls)
	began := time.Now()
	for k := range backlogCalls {
		group.Go(func() error {
			for n := k; n < backlogJobs; n += backlogCalls {
				body := jobBody{Spec: spec, Steps: []step{{Count: 1, CPU: 1000, MemoryMB: 64, EstimateMS: 200}}, Repeat: 1, FirstMS: later}
				status, answer := c.call(c.vms[n%len(c.vms)], http.MethodPost, fmt.Sprintf("%016x", 0xa00000+n), body, 5*time.Second)
				if status == http.StatusOK {
					accepted[k]++
				} else if n < 100*backlogCalls {
					rec.note("client: POST of backlog job %d -> %d %s", n, status, answer)
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return "", err
	}
	total := 0
	for _, n := range accepted {
		total += n
	}
	rec.note("clients: %d of %d jobs for a later hour accepted with 200 in %.1f s", total, backlogJobs, time.Since(began).Seconds())
	due := time.Now().Add(20 * time.Second)
	for n := range backlogDue {
		body := jobBody{Spec: "ms=200 cpu=1000", Steps: []step{{Count: 1, CPU: 1000, MemoryMB: 64, EstimateMS: 200}}, Repeat: 1, FirstMS: due.UnixMilli()}
		if status, _ := c.noted(c.vms[n%len(c.vms)], http.MethodPost, fmt.Sprintf("%016x", 0xb00000+n), body, 5*time.Second); status != http.StatusOK {
			return "", fmt.Errorf("job %d was not accepted", n)
		}
	}
	time.Sleep(2 * time.Second)
	holder := c.holder("sea")
	if holder == nil {
		return "", fmt.Errorf("no holder")
	}
	rec.note("%s holds the group", holder.name)
	if trouble {
		c.kill(holder)
		time.Sleep(time.Second)
		if err := c.startVM(holder); err != nil {
			return "", err
		}
	}
	// The check is made well after finish_s.
	time.Sleep(time.Until(due.Add(25 * time.Second)))
	return checkDue(c, holder)
}

// checkDue looks for jobs whose time has come long ago and that have never run.
func checkDue(c *cluster, holder *vm) (string, error) {
	waiting, states := 0, map[string]int{}
	for n := range backlogDue {
		id := fmt.Sprintf("%016x", 0xb00000+n)
		state := ""
		for _, m := range c.vms {
			if m != holder {
				state = c.stateOf(m, id)
				break
			}
		}
		states[state]++
		if len(c.seen.views(id)) == 0 {
			waiting++
		}
	}
	c.rec.note("25 s after their time: %d of %d due jobs have never run; states %v", waiting, backlogDue, states)
	if waiting > 0 {
		return fmt.Sprintf("LOST: %d of %d accepted jobs have nothing running 25 s after their time, with idle executors", waiting, backlogDue), nil
	}
	return "", nil
}
