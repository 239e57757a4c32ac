package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// lostZone checks LOST for the jobs of a zone whose machines are all removed at the end of the traffic; its executors stay.
func lostZone(c *cluster, trouble bool) (outcome, error) {
	const jobs = 24
	var ids []string
	for i := range jobs {
		id := fmt.Sprintf("%016x", 0xb000+i)
		accepted, err := c.handIn(id, work{Steps: []step{
			{Count: 1, CPU: 10000, EstimateMS: 800}, {Count: 1, CPU: 10000, EstimateMS: 800, After: []int{0}}, {Count: 1, CPU: 10000, EstimateMS: 800, After: []int{1}},
		}}, i)
		if err != nil {
			return "", err
		}
		if accepted {
			ids = append(ids, id)
		}
	}
	if len(ids) < jobs/2 {
		return "", errors.New("too few jobs were accepted")
	}
	c.rec.note("end of the traffic")
	ended := time.Now()
	if trouble {
		for _, v := range c.vms {
			if v.zone == zoneName(0) {
				c.remove(v)
			}
		}
	}
	time.Sleep(time.Until(ended.Add(finishTime - stallTime)))
	idle := map[string]bool{}
	for _, id := range ids {
		idle[id] = true
	}
	for time.Now().Before(ended.Add(finishTime)) {
		for id := range idle {
			if c.atWork(id) > 0 {
				delete(idle, id)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	lost, states := 0, map[string]int{}
	for i, id := range ids {
		if !idle[id] {
			continue
		}
		a, err := c.ask(c.vms[len(c.vms)-1-i%2], http.MethodGet, prefix+id, "")
		if err != nil || a.state != "completed" {
			lost++
			states[a.state]++
		}
	}
	if room := c.room(10000); lost > 0 && room >= 2 {
		return outcome(fmt.Sprintf("LOST: %d of %d accepted jobs have had nothing running for 3 s, 14 s after the end of the traffic, with room for %d tasks; they are %v", lost, len(ids), room, states)), nil
	}
	return "", nil
}
