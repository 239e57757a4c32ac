package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	idleTime    = 3 * time.Second // for which a job may have nothing running
	checkPeriod = 8 * time.Second // for which jobs are looked at after finishTime
	pause       = 100 * time.Millisecond
)

// waiting is a job that has nothing running though its turn has come and there is room.
type waiting struct {
	since  time.Time
	active int
	found  bool
}

// lostJobs looks at accepted jobs from finishTime after the end of the traffic and returns those that break LOST: they aren't
// known, or have nothing running for 3 s while there is room for their tasks twice over and under half of the service's
// capacity is in use.
func (l *lab) lostJobs(jobs []*job) []string {
	l.saidf("end of the traffic")
	time.Sleep(finishTime)
	l.saidf("jobs are asked for")
	broken := l.askAll(jobs)
	idle := map[*job]*waiting{}
	for until := time.Now().Add(checkPeriod); time.Now().Before(until); time.Sleep(pause) {
		for _, j := range jobs {
			w := idle[j]
			if w == nil {
				w = &waiting{}
				idle[j] = w
			}
			active, done := l.judge.runsOf(j.id)
			if active > 0 || done == j.step.Count || l.over(j) || !l.roomTwice(j, j.step.Count-done) {
				w.since = time.Time{}
				continue
			}
			if w.since.IsZero() {
				w.since = time.Now()
			}
			if time.Since(w.since) > idleTime && !w.found {
				w.found = true
				status, state := l.state(j)
				broken = append(broken, fmt.Sprintf("job %s (fails: %t) has nothing running for %v, %d of %d tasks done, shown as %d %s; %s", j.id, j.spec.Fail, idleTime, done, j.step.Count, status, state, l.use()))
			}
		}
	}
	return broken
}

// askAll asks for the state of all jobs, some at a time, and returns those whose answer breaks LOST.
func (l *lab) askAll(jobs []*job) []string {
	const atATime = 20
	var (
		broken []string
		mu     sync.Mutex
		group  sync.WaitGroup
		next   = make(chan *job)
	)
	for range atATime {
		group.Go(func() {
			for j := range next {
				status, state := l.state(j)
				if status == http.StatusOK && state != "cancelled" && (state != "failed" || j.spec.Fail) {
					continue
				}
				mu.Lock()
				broken = append(broken, fmt.Sprintf("job %s was accepted, and its state is answered %d %s", j.id, status, state))
				mu.Unlock()
			}
		})
	}
	for _, j := range jobs {
		next <- j
	}
	close(next)
	group.Wait()
	return broken
}

// over reports whether a job that can't be done has failed as often as its queue allows.
func (l *lab) over(j *job) bool {
	if !j.spec.Fail {
		return false
	}
	_, state := l.state(j)
	return state == "failed"
}

// roomTwice reports whether sound executors have room for some tasks of a job twice over, and under half of the capacity is in
// use.
func (l *lab) roomTwice(j *job, tasks int) bool {
	fit, used, all := 0, 0, 0
	for _, x := range l.executors {
		x.mu.Lock()
		n := x.life
		x.mu.Unlock()
		if n == nil {
			continue
		}
		n.mu.Lock()
		busy := n.used()
		n.mu.Unlock()
		used, all = used+busy, all+n.cpu
		if j.step.Label != "" && j.step.Label != n.kind {
			continue
		}
		more := (n.cpu - busy) / j.step.CPU
		if j.step.MaxPerServer > 0 {
			more = min(more, j.step.MaxPerServer)
		}
		fit += more
	}
	return fit >= 2*tasks && 2*used < all
}

// use tells how much of the executors' capacity is in use.
func (l *lab) use() string {
	text := "cores in use:"
	for _, x := range l.executors {
		x.mu.Lock()
		n := x.life
		x.mu.Unlock()
		if n == nil {
			text += " " + x.id + " gone"
			continue
		}
		n.mu.Lock()
		text += fmt.Sprintf(" %s (%s) %d of %d", x.id, n.kind, n.used()/1000, n.cpu/1000)
		n.mu.Unlock()
	}
	return text
}
