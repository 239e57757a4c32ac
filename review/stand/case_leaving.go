package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	leavingTasks = 4
	leavingStep  = 2600 * time.Millisecond // each of three steps
	leavingAfter = 300 * time.Millisecond  // from the hand-in to the SIGTERM of the machine
	leavingPhase = 100 * time.Millisecond  // from the SIGTERM to the next readiness check
)

// leaving stops a machine that waits for a best-effort job, and cancels the job, which then arrives at another machine.
func leaving(rec *record, trouble bool) (string, error) {
	d := deployment{VMs: []string{"sea", "sea", "sea"}, Guards: true, Attempts: 3, TargetMS: 60000}
	for range 4 {
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
	holder := c.holder("sea")
	var m, other *vm
	for _, v := range c.vms {
		switch {
		case v == holder:
		case m == nil:
			m = v
		default:
			other = v
		}
	}
	if holder == nil || other == nil {
		return "", fmt.Errorf("the group has no holder")
	}
	rec.note("%s holds the group; the client's channels go to %s", holder.name, m.name)
	id := "0000000000000be1"
	body := jobBody{Spec: fmt.Sprintf("ms=%d cpu=10000", leavingStep.Milliseconds()), BestEffort: true}
	for n := range 3 {
		s := step{Count: leavingTasks, CPU: 10000, MemoryMB: 64, EstimateMS: int(leavingStep.Milliseconds())}
		if n > 0 {
			s.After = []int{n - 1}
		}
		body.Steps = append(body.Steps, s)
	}
	c.group.Go(func() error {
		c.noted(m, http.MethodPost, id, body, 20*time.Second)
		return nil
	})
	time.Sleep(leavingAfter)
	if trouble {
		c.stop(m)
	}
	// The platform asks each machine once a second whether it is ready, and gives it no new channels after two misses.
	at := m
	if trouble {
		time.Sleep(leavingPhase)
		for misses := 0; misses < 2; {
			if c.isReady(m) {
				misses = 0
			} else if misses++; misses == 2 {
				break
			}
			time.Sleep(time.Second)
		}
		rec.note("platform: %s has missed two of its readiness checks; new channels go to %s", m.name, other.name)
		at = other
	}
	status, answer := c.noted(at, http.MethodDelete, id, nil, 4*time.Second)
	if status/100 != 2 && status != http.StatusGone {
		return "", fmt.Errorf("the cancel was not acknowledged: %d %s", status, answer)
	}
	acked := time.Now()
	time.Sleep(9 * time.Second)
	return checkCancelled(c, id, acked)
}

// stop sends SIGTERM to the program on a machine.
func (c *cluster) stop(m *vm) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = true
	_ = m.cmd.Process.Signal(syscall.SIGTERM)
	c.rec.note("%s gets SIGTERM", m.name)
}

// isReady reports whether a machine is ready for new channels.
func (c *cluster) isReady(m *vm) bool {
	response, err := c.client.Get("http://" + m.host + ":8167/v1/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// holder returns the machine that the store names as the holder of a group of a zone.
func (c *cluster) holder(zone string) *vm {
	var r struct {
		VM string `json:"vm"`
	}
	c.decode("samphireplank/groups/"+zone+"#0", &r)
	for _, m := range c.vms {
		if m.name == r.VM {
			return m
		}
	}
	return nil
}
