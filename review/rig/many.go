package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

// manyJobs checks LOST for the accepted jobs of a deployment that has many timed jobs, when the processes are killed.
func manyJobs(c *cluster, trouble bool) (outcome, error) {
	const (
		timed    = 8000
		clients  = 16
		specSize = 3900
		plain    = 12
	)
	pad := strings.Repeat(" ", specSize)
	due := time.Now().Add(time.Hour).UnixMilli()
	var senders errgroup.Group
	for s := range clients {
		senders.Go(func() error {
			for n := s; n < timed; n += clients {
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
	c.rec.note("%d timed jobs are accepted", timed)
	if trouble {
		for _, v := range c.vms {
			c.signal(v, syscall.SIGKILL)
		}
	}
	time.Sleep(12 * time.Second)
	var ids []string
	for i := range plain {
		id := fmt.Sprintf("%016x", 0xa000+i)
		accepted, err := c.handIn(id, work{Steps: []step{{Count: 1, CPU: 10000, EstimateMS: 500}}}, i)
		if err != nil {
			return "", err
		}
		if accepted {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return "", errors.New("no job was accepted after the kill")
	}
	time.Sleep(finishTime)
	lost := 0
	state := ""
	for i, id := range ids {
		a, err := c.ask(c.vms[i%len(c.vms)], http.MethodGet, prefix+id, "")
		if (err != nil || a.state != "completed") && c.startsOf(id) == 0 {
			lost++
			state = a.state
		}
	}
	if lost > 0 {
		return outcome(fmt.Sprintf("LOST: %d of %d jobs that were accepted after the kill have had nothing running for %v, with room for %d tasks; one is %q", lost, len(ids), finishTime, c.room(10000), state)), nil
	}
	return "", nil
}
