package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	zoneExecutors = 4 // in each of three zones
	zoneCPU       = 20000
	zoneJobs      = 6
	zoneWork      = 6 * time.Second
	// zoneBound is the time without a run that breaks the rule for a task that lasts: it holds from 6 s after the last run, for 3 s.
	// The only trouble comes before the last run ends, so the 4 s before these 3 s are calm.
	zoneBound   = 6*time.Second + 3*time.Second
	zoneWatched = 20 * time.Second
)

// zone loses all machines of one of three zones for good and looks how long the tasks of a job that lasts have no run.
func zone(rec *record, trouble bool) (string, error) {
	d := deployment{Guards: true, Attempts: 3, TargetMS: 60000}
	for _, z := range []string{"sea", "pdx", "spk"} {
		d.VMs = append(d.VMs, z, z)
		for range zoneExecutors {
			d.Executors = append(d.Executors, executorSpec{Zone: z, Rack: "r-" + z, Kind: smallKind})
		}
	}
	c, err := newCluster(rec, trouble, d)
	if err != nil {
		return "", err
	}
	defer c.close()
	if err := c.start(); err != nil {
		return "", err
	}
	id := "00000000000000e1"
	body := jobBody{Spec: fmt.Sprintf("cpu=%d lasts=1", zoneCPU), Steps: []step{{Count: zoneExecutors, CPU: zoneCPU, MemoryMB: 64, EstimateMS: 1000, LongRunning: true}}}
	if status, _ := c.noted(c.vms[0], http.MethodPost, id, body, 3*time.Second); status != http.StatusOK {
		return "", fmt.Errorf("the job was not accepted")
	}
	time.Sleep(5 * time.Second)
	if running := c.running(id); len(running) != zoneExecutors {
		return "", fmt.Errorf("%d tasks run", len(running))
	}
	body = jobBody{Spec: fmt.Sprintf("ms=%d cpu=1000", zoneWork.Milliseconds()), Steps: []step{{Count: 2, CPU: 1000, MemoryMB: 64, EstimateMS: int(zoneWork.Milliseconds())}}}
	for n := range zoneJobs {
		if status, _ := c.noted(c.vms[n%2], http.MethodPost, fmt.Sprintf("%016x", 0xe10+n), body, 3*time.Second); status != http.StatusOK {
			return "", fmt.Errorf("a job was not accepted")
		}
	}
	if trouble {
		c.kill(c.vms[0])
		c.kill(c.vms[1])
	}
	lost := time.Now()
	for range 4 {
		time.Sleep(zoneWatched / 4)
		ended := 0
		for n := range zoneJobs {
			if c.stateOf(c.vms[2], fmt.Sprintf("%016x", 0xe10+n)) == "completed" {
				ended++
			}
		}
		idle := 0
		for _, e := range c.executors {
			if e.isIdle() {
				idle++
			}
		}
		rec.note("%.0f s later: %d of %d tasks that last run, %d of %d other jobs are completed, %d of %d executors are idle", time.Since(lost).Seconds(), len(c.running(id)), zoneExecutors, ended, zoneJobs, idle, len(c.executors))
	}
	task, pause := c.longestAway(id)
	rec.note("longest time without a run of a task that lasts: %.1f s, %s", pause.Seconds(), task)
	if pause < zoneBound {
		return "", nil
	}
	return fmt.Sprintf("LOST: %s, which lasts, has no run for %.1f s, with %d idle executors in other zones", task, pause.Seconds(), 2*zoneExecutors), nil
}

// longestAway returns the task of a job that has had no run for the longest time after its first one, and that time.
func (c *cluster) longestAway(id string) (task string, pause time.Duration) {
	ended := map[string]time.Time{}
	for _, v := range c.seen.views(id + ".") {
		if last, ok := ended[v.task]; ok && !last.IsZero() {
			if away := v.began.Sub(last); away > pause {
				task, pause = v.task, away
			}
		}
		ended[v.task] = v.ended
	}
	for t, last := range ended {
		if away := time.Since(last); !last.IsZero() && away > pause {
			task, pause = t, away
		}
	}
	return task, pause
}
