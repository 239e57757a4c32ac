package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	elsewhereTasks = 4
	elsewhereStep  = 5 * time.Second // each of two steps
	elsewhereDark  = 9 * time.Second // the machines of the zone are without power
)

const cancelTime = 3 * time.Second // cancel_ms

// elsewhere cancels a timed job that runs in another zone than the one it was handed in for, while the machines of that one are
// without power.
func elsewhere(rec *record, trouble bool) (string, error) {
	d := deployment{VMs: []string{"sea", "sea", "pdx", "pdx"}, Guards: true, Attempts: 3}
	for i := range 8 {
		s := executorSpec{Zone: "pdx", Rack: "r-pdx", Kind: executorKind{CPU: 64000, MemoryMB: 131072, Kind: "b"}}
		if i < 2 {
			s = executorSpec{Zone: "sea", Rack: "r-sea", Kind: smallKind}
		}
		d.Executors = append(d.Executors, s)
	}
	c, err := newCluster(rec, trouble, d)
	if err != nil {
		return "", err
	}
	defer c.close()
	if err := c.start(); err != nil {
		return "", err
	}
	sea, pdx := c.vms[0], c.vms[3]
	id := "00000000000000f1"
	s := step{Count: elsewhereTasks, CPU: 20000, MemoryMB: 64, EstimateMS: int(elsewhereStep.Milliseconds())}
	second := s
	second.After = []int{0}
	body := jobBody{Spec: fmt.Sprintf("ms=%d cpu=20000", elsewhereStep.Milliseconds()), Steps: []step{s, second}, Repeat: 1, FirstMS: time.Now().Add(4 * time.Second).UnixMilli()}
	if status, _ := c.noted(sea, http.MethodPost, id, body, 3*time.Second); status != http.StatusOK {
		return "", fmt.Errorf("the job was not accepted")
	}
	// The executors of the zone become full before the job's time.
	body = jobBody{Spec: "cpu=60000 lasts=1", Steps: []step{{Count: 2, CPU: 60000, MemoryMB: 64, EstimateMS: 1000, LongRunning: true, Label: smallKind.Kind}}}
	if status, _ := c.noted(sea, http.MethodPost, "00000000000000f2", body, 3*time.Second); status != http.StatusOK {
		return "", fmt.Errorf("the job with tasks that last was not accepted")
	}
	for end := time.Now().Add(15 * time.Second); len(c.running(id)) < elsewhereTasks; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return "", fmt.Errorf("the job has not begun")
		}
	}
	var group struct {
		Group string `json:"group"`
	}
	c.decode("samphireplank-jobs/open/"+id, &group)
	rec.note("the stored job belongs to %s and runs on %s", group.Group, c.running(id)[0].executor)
	if trouble {
		c.kill(c.vms[0])
		c.kill(c.vms[1])
	}
	status, answer := c.noted(pdx, http.MethodDelete, id, nil, 4*time.Second)
	if status/100 != 2 && status != http.StatusGone {
		return "", fmt.Errorf("the cancel was not acknowledged: %d %s", status, answer)
	}
	acked := time.Now()
	time.Sleep(elsewhereDark)
	if trouble {
		for _, m := range c.vms[:2] {
			if err := c.startVM(m); err != nil {
				return "", err
			}
		}
	}
	time.Sleep(5 * time.Second)
	return checkCancelled(c, id, acked)
}

// checkCancelled looks for starts of a job later than cancel_ms after its cancelling was acknowledged.
func checkCancelled(c *cluster, id string, acked time.Time) (string, error) {
	late, first := 0, ""
	for _, v := range c.seen.views(id + ".") {
		if after := v.began.Sub(acked); after > cancelTime {
			late++
			if first == "" {
				first = fmt.Sprintf("%s run %d starts %.1f s after the cancel was acknowledged", v.task, v.number, after.Seconds())
			}
		}
	}
	c.rec.note("%d starts later than cancel_ms", late)
	if late > 0 {
		return fmt.Sprintf("UNASKED: %d starts later than cancel_ms, first: %s", late, first), nil
	}
	return "", nil
}
