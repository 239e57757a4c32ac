package main

import (
	"fmt"
	"syscall"
	"time"

	"samphireplank.example/samphireplank/standin"
)

// storeLead is how long before their time the system writes the occurrences of scheduled jobs.
const storeLead = 3 * time.Second

// repeatedOccurrence checks TWICE for scheduled jobs: the store goes down while their next occurrences are written, and the machines are
// restarted in turn later. A job that lasts keeps the leases of all executors.
func repeatedOccurrence(c *cluster, trouble bool) (outcome, error) {
	const (
		series   = 300
		repeat   = 17
		interval = 4 * time.Second
		outages  = 8
	)
	for z := range c.config.Zones {
		accepted, err := c.handIn(fmt.Sprintf("%016x", 0x1a57+z), work{Steps: []step{
			{Count: c.config.Executors, CPU: 1000, LongRunning: true, MaxPerServer: 1, RequiredLabel: "r-" + zoneName(z)},
		}}, z)
		if err != nil || !accepted {
			return "", fmt.Errorf("a job that lasts was not accepted: %w", err)
		}
	}
	first := time.Now().Add(6 * time.Second)
	for i := range series {
		if err := c.handInLater(fmt.Sprintf("%016x", 0x5e000+i), work{
			Repeat: repeat, FirstMS: first.UnixMilli(), IntervalMS: interval.Milliseconds(), Steps: []step{{Count: 1, CPU: 1000, EstimateMS: 20}},
		}, i); err != nil {
			return "", err
		}
	}
	for n := range outages {
		time.Sleep(time.Until(first.Add(time.Duration(2*n+1)*interval - storeLead + 60*time.Millisecond)))
		if !trouble {
			continue
		}
		c.rec.note("the store goes down: it no longer answers writes")
		c.keys.SetFaults(standin.KVStoreFaults{LostReplyProbability: 1})
		time.Sleep(300 * time.Millisecond)
		c.rec.note("the store refuses all calls with 503")
		c.keys.SetFaults(standin.KVStoreFaults{Down: true})
		time.Sleep(4200 * time.Millisecond)
		c.rec.note("the store is back")
		c.keys.SetFaults(standin.KVStoreFaults{})
	}
	time.Sleep(time.Until(first.Add(repeat*interval + time.Second)))
	if trouble {
		for _, v := range c.vms {
			c.signal(v, syscall.SIGTERM)
			time.Sleep(1300 * time.Millisecond)
		}
	}
	time.Sleep(7 * time.Second)
	return "", nil
}
