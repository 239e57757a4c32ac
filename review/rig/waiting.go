package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// waitingCount checks MIXED for the number of waiting jobs, when the only executor of a zone that can run them is lost for good.
func waitingCount(c *cluster, trouble bool) (outcome, error) {
	const jobs = 12
	// All executors are busy, those of the first zone for a shorter time, so that the jobs queue up there.
	for z := range c.config.Zones {
		for i := range c.config.Executors {
			accepted, err := c.handIn(fmt.Sprintf("%016x", 0xf000+z*100+i), work{Steps: []step{
				{Count: 1, CPU: executorCores, EstimateMS: 40000 + 50000*z, RequiredLabel: "r-" + zoneName(z)},
			}}, 0)
			if err != nil || !accepted {
				return "", errors.Join(errors.New("a job was not accepted"), err)
			}
		}
	}
	time.Sleep(2 * time.Second)
	var ids []string
	for i := range jobs {
		id := fmt.Sprintf("%016x", 0xd000+i)
		accepted, err := c.handIn(id, work{Steps: []step{{Count: 1, CPU: executorCores, EstimateMS: 120000, RequiredLabel: rareLabel}}}, i)
		if err != nil || !accepted {
			return "", errors.Join(errors.New("a job was not accepted"), err)
		}
		ids = append(ids, id)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		c.loseExecutor(c.executor("i-" + zoneName(0) + "-0"))
	}
	time.Sleep(14 * time.Second)
	worst, worstVM, begun := jobs, "", 0
	for range 3 {
		for _, v := range c.vms {
			a, err := c.ask(v, http.MethodGet, prefix, "")
			if err != nil || a.code != http.StatusOK {
				return "", errors.Join(fmt.Errorf("the count is answered %d", a.code), err)
			}
			if a.waiting < worst {
				worst, worstVM = a.waiting, v.name
			}
		}
		time.Sleep(time.Second)
	}
	for _, id := range ids {
		begun += c.startsOf(id)
	}
	if left := jobs - begun; 2*worst < left {
		a, err := c.ask(c.vms[0], http.MethodGet, prefix+ids[0], "")
		return outcome(fmt.Sprintf("MIXED: %s gives %d jobs as waiting, and %d that were accepted 14 s before have not begun; one of them is shown as %q (%v)", worstVM, worst, left, a.state, err)), nil
	}
	return "", nil
}
