package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	capacityJobs  = 150
	capacityTasks = 8
	capacityCPU   = 27000
	firstEntry    = 1300 * time.Millisecond // from the start of a life, less than heartbeat_ms
	restartTime   = time.Second             // between the end of a life and the next one
)

// capacity keeps executors that don't guard their capacity busy and starts some of them again as smaller ones.
func capacity(rec *record, trouble bool) (string, error) {
	large, small := executorKind{CPU: 96000, MemoryMB: 196608, Kind: "b"}, smallKind
	d := deployment{VMs: []string{"sea", "sea", "sea"}, Guards: false, Attempts: 3, TargetMS: 60000}
	for range 15 {
		d.Executors = append(d.Executors, executorSpec{Zone: "sea", Rack: "r1", Kind: large})
	}
	c, err := newCluster(rec, trouble, d)
	if err != nil {
		return "", err
	}
	defer c.close()
	if err := c.start(); err != nil {
		return "", err
	}
	for n := range capacityJobs {
		body := jobBody{Spec: fmt.Sprintf("ms=900 cpu=%d", capacityCPU), Steps: []step{{Count: capacityTasks, CPU: capacityCPU, MemoryMB: 64, EstimateMS: 900}}}
		if status, answer := c.call(c.vms[n%len(c.vms)], http.MethodPost, fmt.Sprintf("%016x", 0xd00000+n), body, 5*time.Second); status != http.StatusOK {
			rec.note("client: POST of job %d -> %d %s", n, status, answer)
		}
	}
	time.Sleep(2 * time.Second)
	for i := range 2 {
		if !trouble {
			break
		}
		e := c.executors[3*i]
		e.crash()
		time.Sleep(restartTime)
		if err := c.revive(e, small); err != nil {
			return "", err
		}
		time.Sleep(3 * time.Second)
	}
	time.Sleep(10 * time.Second)
	over, first := 0, ""
	for _, v := range c.seen.views("") {
		if v.used > v.capacity {
			over++
			if first == "" {
				first = fmt.Sprintf("%s starts on %s with %d of %d cpu in use", v.task, v.executor, v.used, v.capacity)
			}
		}
	}
	rec.note("%d starts in all, %d over the capacity of their executor", len(c.seen.views("")), over)
	if over > 0 {
		return fmt.Sprintf("LIMIT: %d starts over the capacity, first: %s", over, first), nil
	}
	return "", nil
}

// crash ends the life of an executor, which may start again.
func (e *executor) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rec.note("executor %s crashes", e.id)
	e.reset()
	e.state = ""
	e.breakConns()
}

// revive starts an executor again under its id and at its address. It takes orders at once and writes its entry with its next
// heartbeat.
func (c *cluster) revive(e *executor, kind executorKind) error {
	e.mu.Lock()
	e.reset()
	e.kind, e.state, e.unlisted = kind, "ready", true
	e.mu.Unlock()
	c.rec.note("executor %s starts again with %d cpu", e.id, kind.CPU)
	time.Sleep(firstEntry)
	e.mu.Lock()
	e.unlisted = false
	e.mu.Unlock()
	c.rec.note("executor %s writes its entry", e.id)
	return c.register(e)
}
