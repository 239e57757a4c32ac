package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	gangExecutors = 8
	gangCPU       = 60000
	gangLastsCPU  = 20000
	gangEstimate  = 40 * time.Second
	// lastingBound is the time without a run that breaks the rule: it holds from 6 s after the last run, for 3 s, if these and the
	// 4 s before them are calm.
	lastingBound = 6*time.Second + 4*time.Second + 3*time.Second
)

// gang lets a task that lasts fail by itself while an urgent gang waits for all executors of the group.
func gang(rec *record, trouble bool) (string, error) {
	d := deployment{VMs: []string{"sea", "sea", "sea"}, Guards: true, Attempts: 3}
	for range gangExecutors {
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
	id := "00000000000000c1"
	body := jobBody{Spec: fmt.Sprintf("cpu=%d lasts=1", gangLastsCPU), Steps: []step{{Count: 4, CPU: gangLastsCPU, MemoryMB: 64, EstimateMS: 1000, LongRunning: true, MaxDisrupted: 1}}}
	if status, _ := c.noted(c.vms[0], http.MethodPost, id, body, 3*time.Second); status != http.StatusOK {
		return "", fmt.Errorf("the job with tasks that last was not accepted")
	}
	time.Sleep(2 * time.Second)
	body = jobBody{Spec: fmt.Sprintf("cpu=%d ms=%d", gangCPU, gangEstimate.Milliseconds()), Steps: []step{{Count: gangExecutors, CPU: gangCPU, MemoryMB: 64, EstimateMS: int(gangEstimate.Milliseconds()), Gang: true}}}
	if status, _ := c.noted(c.vms[1], http.MethodPost, urgentPrefix+"00000000000000c2", body, 3*time.Second); status != http.StatusOK {
		return "", fmt.Errorf("the gang was not accepted")
	}
	time.Sleep(2 * time.Second)
	running := c.running(id)
	if len(running) != 4 {
		return "", fmt.Errorf("%d tasks that last run", len(running))
	}
	failed := running[0].task
	if trouble {
		for _, e := range c.executors {
			e.fail(failed)
		}
	}
	time.Sleep(lastingBound + 2*time.Second)
	running = c.running(id)
	rec.note("%d of 4 tasks that last run, %d of the gang", len(running), len(c.running("00000000000000c2")))
	if len(running) < 4 {
		return fmt.Sprintf("LOST: %s doesn't run %.0f s after its last run, with %d of %d cpu in use", failed, (lastingBound + 2*time.Second).Seconds(), len(running)*gangLastsCPU, gangExecutors*smallKind.CPU), nil
	}
	return "", nil
}

// fail ends the run of a task as failed, if it is here.
func (e *executor) fail(task string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.runs[task]; r != nil {
		e.rec.note("%s: %s fails by its own fault", e.id, task)
		e.finish(r, "failed")
	}
}
