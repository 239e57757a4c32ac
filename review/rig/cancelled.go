package main

import (
	"fmt"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

// cancelledOccurrence checks UNASKED for scheduled jobs that are cancelled while the machines of a zone are gone.
func cancelledOccurrence(c *cluster, trouble bool) (outcome, error) {
	const (
		later  = 6500 // timed jobs that are due in an hour
		series = 30
	)
	pad := strings.Repeat(" ", 3900)
	var senders errgroup.Group
	due := time.Now().Add(time.Hour).UnixMilli()
	for s := range 8 {
		senders.Go(func() error {
			for n := s; n < later; n += 8 {
				if err := c.handInLater(fmt.Sprintf("%016x", 0xe0000000+n), work{Repeat: 1, FirstMS: due, pad: pad, Steps: []step{{Count: 1, CPU: 1000, EstimateMS: 500}}}, n); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := senders.Wait(); err != nil {
		return "", err
	}
	first := time.Now().Add(2800 * time.Millisecond)
	var ids []string
	for i := range series {
		id := fmt.Sprintf("%016x", 0xca00+i)
		if err := c.handInLater(id, work{Repeat: 2, FirstMS: first.UnixMilli(), IntervalMS: 60000, Steps: []step{{Count: 1, CPU: 10000, EstimateMS: 300}}}, i); err != nil {
			return "", err
		}
		ids = append(ids, id)
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		for _, v := range c.vms {
			if v.zone == zoneName(0) {
				c.remove(v)
			}
		}
	}
	time.Sleep(500 * time.Millisecond)
	for _, id := range ids {
		if !c.cancelJob(id, c.config.VMs) {
			return "", fmt.Errorf("the cancelling of %s was not confirmed", id)
		}
	}
	time.Sleep(22 * time.Second)
	return "", nil
}
