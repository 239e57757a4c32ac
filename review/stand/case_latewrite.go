package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

const lateBy = 6 * time.Second // after its arrival a write without an answer is carried out

// lateWrite cancels a job whose hand-in got no answer, since the store answers late and carries out the write later.
func lateWrite(rec *record, trouble bool) (string, error) {
	d := deployment{VMs: []string{"sea", "sea", "sea"}, Guards: true, Attempts: 3}
	for range 6 {
		d.Executors = append(d.Executors, executorSpec{Zone: "sea", Rack: "r1", Kind: smallKind})
	}
	c, err := newCluster(rec, trouble, d)
	if err != nil {
		return "", err
	}
	defer c.close()
	id := "0000000000000a11"
	var writes, lost atomic.Int64
	var active atomic.Bool
	c.store.late = func(t txn) time.Duration {
		if !active.Load() {
			return 0
		}
		writes.Add(1)
		if !t.sets("samphireplank-jobs/open/" + id) {
			return 0
		}
		lost.Add(1)
		return lateBy
	}
	if err := c.start(); err != nil {
		return "", err
	}
	active.Store(trouble)
	done := make(chan struct{})
	c.group.Go(func() error { // other jobs, so that few of the writes are lost
		defer close(done)
		for n := range 40 {
			c.call(c.vms[n%3], http.MethodPost, fmt.Sprintf("%016x", 0xaa0000+n), jobBody{Spec: "ms=50 cpu=1000", Steps: []step{{Count: 1, CPU: 1000, EstimateMS: 50}}}, 3*time.Second)
			time.Sleep(35 * time.Millisecond)
		}
		return nil
	})
	body := jobBody{Spec: "ms=20000 cpu=1000", Steps: []step{{Count: 2, CPU: 1000, MemoryMB: 64, EstimateMS: 20000}}}
	status, _ := c.noted(c.vms[0], http.MethodPost, id, body, 1500*time.Millisecond)
	if trouble && status == http.StatusOK {
		return "", fmt.Errorf("the job was accepted")
	}
	deleted, answer := c.noted(c.vms[1], http.MethodDelete, id, nil, 4*time.Second)
	if deleted/100 != 2 && deleted != http.StatusGone {
		return "", fmt.Errorf("the cancel was not acknowledged: %d %s", deleted, answer)
	}
	acked := time.Now()
	<-done
	active.Store(false)
	rec.note("store: %d of %d writes in that time got no answer", lost.Load(), writes.Load())
	time.Sleep(12 * time.Second)
	late, first := 0, ""
	for _, v := range c.seen.views(id + ".") {
		if after := v.began.Sub(acked); after > cancelTime {
			late++
			if first == "" {
				first = fmt.Sprintf("%s run %d starts %.1f s after the cancel was acknowledged", v.task, v.number, after.Seconds())
			}
		}
	}
	rec.note("state %s, %d late starts", c.stateOf(c.vms[2], id), late)
	if late > 0 {
		return fmt.Sprintf("UNASKED: %d starts later than cancel_ms, first: %s", late, first), nil
	}
	return "", nil
}
