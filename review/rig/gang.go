package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// wideGang checks LOST for a gang that fills the executors of a zone, when each zone loses an executor for good.
func wideGang(c *cluster, trouble bool) (outcome, error) {
	const id = "00000000000000c1"
	const members, cpu = 8, 40000
	accepted, err := c.handIn(id, work{Steps: []step{{Count: members, CPU: cpu, EstimateMS: 8000, Gang: true, Checkpoints: true}}}, 0)
	if err != nil || !accepted {
		return "", errors.Join(errors.New("the job was not accepted"), err)
	}
	time.Sleep(3 * time.Second)
	if n := c.atWork(id); n != members {
		return "", fmt.Errorf("%d of %d members run before the loss", n, members)
	}
	if trouble {
		for z := range c.config.Zones {
			c.loseExecutor(c.executor(fmt.Sprintf("i-%s-0", zoneName(z))))
		}
	}
	time.Sleep(14 * time.Second)
	idleSince := time.Time{}
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		a := c.state(id, 0)
		if a.state == "completed" {
			return "", nil
		}
		n, room := c.atWork(id), c.room(cpu)
		switch {
		case n > 0 || room < 2*members:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		}
	}
	if !idleSince.IsZero() && time.Since(idleSince) > stallTime {
		a, err := c.ask(c.vms[0], http.MethodGet, prefix+id, "")
		return outcome(fmt.Sprintf("LOST: the job has had nothing running for %v, with room for %d members of its %d; it is %q (%v)", time.Since(idleSince).Round(time.Second), c.room(cpu), members, a.state, err)), nil
	}
	return "", nil
}
