package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	lastingTasks = 8
	lastingCPU   = 40000 // more than half an executor
	calmBefore   = 13 * time.Second
	watchTime    = 20 * time.Second
)

// lastingTask checks LOST for the tasks of a job that lasts: one whose executor is lost for good must run again elsewhere.
func lastingTask(c *cluster, trouble bool) (outcome, error) {
	const id = "00000000000000a1"
	accepted, err := c.handIn(id, work{Steps: []step{{Count: lastingTasks, CPU: lastingCPU, LongRunning: true, MaxDisrupted: 1}}}, 0)
	if err != nil || !accepted {
		return "", errors.Join(errors.New("the job was not accepted"), err)
	}
	time.Sleep(4 * time.Second)
	if n := c.atWork(id); n != lastingTasks {
		return "", fmt.Errorf("%d of %d tasks run before the loss", n, lastingTasks)
	}
	if trouble {
		c.loseExecutor(c.executorOf(id + ".0.0.0"))
	}
	time.Sleep(calmBefore)
	missing := time.Time{}
	for until := time.Now().Add(watchTime); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		n, room := c.atWork(id), c.room(lastingCPU)
		switch {
		case n == lastingTasks || room < 2:
			missing = time.Time{}
		case missing.IsZero():
			missing = time.Now()
		}
		if !missing.IsZero() && time.Since(missing) > 3*time.Second {
			a, err := c.ask(c.vms[0], http.MethodGet, prefix+id, "")
			return outcome(fmt.Sprintf("LOST: %d of %d tasks that last have run for 3 s, with room for %d on other executors; the job is %q (%v)", n, lastingTasks, room, a.state, err)), nil
		}
	}
	return "", nil
}
