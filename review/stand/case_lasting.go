package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	lastingTasks = 4
	lastingCPU   = 40000
	// lastingBound is the time without a run that breaks the rule: it holds from 6 s after the last run, for 3 s, if these and the
	// 4 s before them are calm. The entry of the lost executor is gone 4.5 s after the loss.
	lastingBound = 6*time.Second + 4*time.Second + 3*time.Second
	entryGone    = 3 * heartbeat // an entry is removed after three intervals of silence
)

// lasting runs a job whose tasks last, loses one of its executors for good, and looks whether the task runs again elsewhere.
func lasting(rec *record, trouble bool) (string, error) {
	d := deployment{VMs: []string{"sea", "sea", "pdx", "pdx"}, Guards: true, Attempts: 3}
	for i := range 2 * lastingTasks {
		zone := []string{"sea", "pdx"}[i%2]
		d.Executors = append(d.Executors, executorSpec{Zone: zone, Rack: "r-" + zone, Kind: smallKind})
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
	body := jobBody{Spec: fmt.Sprintf("cpu=%d lasts=1", lastingCPU), Steps: []step{{Count: lastingTasks, CPU: lastingCPU, MemoryMB: 64, EstimateMS: 1000, LongRunning: true, MaxDisrupted: 1}}}
	if status, _ := c.noted(c.vms[0], http.MethodPost, id, body, 3*time.Second); status != http.StatusOK {
		return "", fmt.Errorf("the job was not accepted")
	}
	time.Sleep(5 * time.Second)
	running := c.running(id)
	if len(running) != lastingTasks {
		return "", fmt.Errorf("%d tasks run", len(running))
	}
	if trouble {
		for _, e := range c.executors {
			if e.id == running[0].executor {
				e.leave()
				time.AfterFunc(entryGone, func() { c.store.drop("servers/" + e.id) })
			}
		}
	}
	time.Sleep(25 * time.Second)
	now := time.Now()
	running = c.running(id)
	rec.note("25 s later %d of %d tasks run; state %s", len(running), lastingTasks, c.stateOf(c.vms[0], id))
	missing := map[string]time.Time{}
	for _, v := range c.seen.views(id + ".") {
		if v.ended.IsZero() {
			continue
		}
		if last := missing[v.task]; v.ended.After(last) {
			missing[v.task] = v.ended
		}
	}
	for _, v := range running {
		delete(missing, v.task)
	}
	var found []string
	for task, since := range missing {
		if now.Sub(since) < lastingBound {
			continue
		}
		found = append(found, fmt.Sprintf("%s for %.1f s", task, now.Sub(since).Seconds()))
	}
	if len(found) > 0 {
		idle, there := 0, 0
		for _, e := range c.executors {
			if e.isThere() {
				there++
			}
			if e.isIdle() {
				idle++
			}
		}
		rec.note("%d of %d executors are idle; %d of %d cpu of the service are in use", idle, there, len(running)*lastingCPU, there*smallKind.CPU)
		return fmt.Sprintf("LOST: a task that lasts doesn't run: %s; %d executors are idle", strings.Join(found, ", "), idle), nil
	}
	return "", nil
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

// isThere reports whether an executor is there.
func (e *executor) isThere() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state == "ready"
}

// isIdle reports whether an executor is there and runs nothing.
func (e *executor) isIdle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state == "ready" && len(e.runs) == 0
}
