package main

import (
	"errors"
	"fmt"
	"time"
)

// labelElsewhere checks LOST for jobs whose executor with a label is lost for good, while another zone has an idle one with the label and
// two zones have room on other executors only.
func labelElsewhere(c *cluster, trouble bool) (outcome, error) {
	const (
		jobs = 6
		cpu  = 10000
	)
	n := 0
	fill := func(label string, ms int) error {
		n++
		return c.handInLater(fmt.Sprintf("%016x", 0xf000+n), work{Steps: []step{{Count: 1, CPU: executorCores, EstimateMS: ms, RequiredLabel: label}}}, n)
	}
	var errs []error
	for _, z := range []int{1, 3} {
		errs = append(errs, fill(rareLabel+"-"+zoneName(z), 100000))
		for range c.config.Executors - 1 {
			errs = append(errs, fill("a-"+zoneName(z), 8000))
		}
	}
	for range c.config.Executors - 1 {
		errs = append(errs, fill("a-"+zoneName(2), 100000))
	}
	errs = append(errs, fill(rareLabel+"-"+zoneName(2), 6000))
	if err := errors.Join(errs...); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	var ids []string
	for i := range jobs {
		id := fmt.Sprintf("%016x", 0xd000+i)
		if err := c.handInLater(id, work{Steps: []step{{Count: 1, CPU: cpu, EstimateMS: 10000, RequiredLabel: rareLabel}}}, i); err != nil {
			return "", err
		}
		ids = append(ids, id)
	}
	time.Sleep(9 * time.Second)
	ended := time.Now()
	c.rec.note("end of the traffic")
	if trouble {
		c.loseExecutor(c.executor("i-" + zoneName(0) + "-0"))
	}
	time.Sleep(time.Until(ended.Add(finishTime - stallTime)))
	idle := map[string]bool{}
	for _, id := range ids {
		idle[id] = c.state(id, 0).state != "completed"
	}
	for time.Now().Before(ended.Add(finishTime)) {
		for id := range idle {
			idle[id] = idle[id] && c.atWork(id) == 0
		}
		time.Sleep(20 * time.Millisecond)
	}
	lost := 0
	for _, id := range ids {
		if idle[id] {
			lost++
		}
	}
	if lost > 0 {
		return outcome(fmt.Sprintf("LOST: %d of %d jobs have had nothing running for 3 s, 14 s after the end of the traffic, while an executor with their label is idle", lost, jobs)), nil
	}
	return "", nil
}
