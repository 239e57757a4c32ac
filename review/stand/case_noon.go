package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	noonJobs   = 1400
	noonRate   = 140 // jobs that clients hand in each second
	noonTasks  = 8
	noonWork   = 60 * time.Millisecond
	noonAfter  = 16 * time.Second // from the end of the traffic to the time of the jobs; finish_s is 14
	noonSpread = 55 * time.Second // over which the times are spread without the disruption
	noonBound  = 3 * time.Second
	// noonWatched is for how long the runs are watched after the time of the last job.
	noonWatched = 20 * time.Second
)

// noon hands in timed jobs, all for the same time, and looks for the longest time in which nothing runs while jobs wait.
func noon(rec *record, trouble bool) (string, error) {
	d := deployment{VMs: []string{"sea", "sea", "sea"}, Guards: true, Attempts: 3}
	for range 6 {
		d.Executors = append(d.Executors, executorSpec{Zone: "sea", Rack: "r1", Kind: smallKind})
	}
	c, err := newCluster(rec, trouble, d)
	if err != nil {
		return "", err
	}
	defer c.close()
	c.seen.quiet = true
	if err := c.start(); err != nil {
		return "", err
	}
	traffic := time.Duration(noonJobs) * time.Second / noonRate
	due := time.Now().Add(traffic + noonAfter)
	var accepted atomic.Int64
	var group errgroup.Group
	ticker := time.NewTicker(time.Second / noonRate)
	defer ticker.Stop()
	for n := range noonJobs {
		<-ticker.C
		at := due
		if !trouble {
			at = due.Add(noonSpread * time.Duration(n) / noonJobs)
		}
		body := jobBody{Spec: fmt.Sprintf("ms=%d cpu=1000", noonWork.Milliseconds()), Steps: []step{{Count: noonTasks, CPU: 1000, MemoryMB: 64, EstimateMS: int(noonWork.Milliseconds())}}, Repeat: 1, FirstMS: at.UnixMilli()}
		group.Go(func() error {
			if status, answer := c.call(c.vms[n%len(c.vms)], http.MethodPost, noonID(n), body, 5*time.Second); status == http.StatusOK {
				accepted.Add(1)
			} else {
				rec.note("client: POST of job %d -> %d %s", n, status, answer)
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return "", err
	}
	rec.note("clients: %d of %d timed jobs accepted with 200, at %d a second; their time comes in %.1f s", accepted.Load(), noonJobs, noonRate, time.Until(due).Seconds())
	watched := noonWatched
	if !trouble {
		watched += noonSpread
	}
	for time.Now().Before(due.Add(watched)) {
		time.Sleep(2 * time.Second)
		rec.note("%.0f s after the time: %d tasks have started", time.Since(due).Seconds(), len(c.seen.views("")))
	}
	return longestPause(c, due, int(accepted.Load())*noonTasks), nil
}

func noonID(n int) string { return fmt.Sprintf("%016x", 0xa00000+n) }

// longestPause looks for the longest time, after the jobs' time, in which no task runs although some have not been started.
func longestPause(c *cluster, due time.Time, tasks int) string {
	views := c.seen.views("")
	busyUntil, longest, at, started := due, time.Duration(0), due, 0
	for _, v := range views {
		if started++; started > tasks {
			break
		}
		if pause := v.began.Sub(busyUntil); pause > longest && v.began.After(due) {
			longest, at = pause, busyUntil
		}
		end := v.ended
		if end.IsZero() {
			end = time.Now()
		}
		if end.After(busyUntil) {
			busyUntil = end
		}
	}
	if len(views) < tasks && time.Since(busyUntil) > longest {
		longest, at = time.Since(busyUntil), busyUntil
	}
	c.rec.note("%d of %d tasks have started; the longest time with nothing running is %.1f s, from %.1f s after the jobs' time", len(views), tasks, longest.Seconds(), at.Sub(due).Seconds())
	if longest < noonBound {
		return ""
	}
	return fmt.Sprintf("LOST: for %.1f s nothing runs on %d idle executors, while accepted jobs wait whose time has come", longest.Seconds(), len(c.executors))
}
