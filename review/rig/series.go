package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"
)

// failedOccurrence checks MIXED for a scheduled job whose first occurrence fails, long before the last one.
func failedOccurrence(c *cluster, trouble bool) (outcome, error) {
	const id = "00000000000000e1"
	interval := 62 * time.Second
	if s, err := strconv.Atoi(os.Getenv("INTERVAL_S")); err == nil {
		interval = time.Duration(s) * time.Second
	}
	fail := 0
	if trouble {
		fail = c.config.Attempts
	}
	first := time.Now().Add(500 * time.Millisecond)
	accepted, err := c.handIn(id, work{
		Repeat: 2, FirstMS: first.UnixMilli(), IntervalMS: interval.Milliseconds(), Steps: []step{{Count: 1, CPU: 10000, EstimateMS: 200, fail: fail}},
	}, 0)
	if err != nil || !accepted {
		return "", errors.Join(errors.New("the job was not accepted"), err)
	}
	// The tasks of the later occurrence do not fail.
	time.Sleep(time.Until(first.Add(interval)))
	c.w.mu.Lock()
	c.w.sound = true
	c.w.mu.Unlock()
	state := ""
	for until := time.Now().Add(finishTime); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if a, err := c.ask(c.vms[1], http.MethodGet, prefix+id, ""); err == nil {
			state = a.state
		}
		if state == "completed" || state == "failed" {
			break
		}
	}
	done := 0
	c.w.mu.Lock()
	for _, occurrence := range []string{"0", "1"} {
		for _, s := range c.w.spans[id+"."+occurrence+".0.0"] {
			if s.how == "done" {
				done++
			}
		}
	}
	c.w.mu.Unlock()
	if state == "completed" && done < 2 {
		return outcome(fmt.Sprintf("MIXED: the job is shown as completed, and %d of its 2 tasks has ended done", done)), nil
	}
	return "", nil
}
