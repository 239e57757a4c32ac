package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	scenarios["ends-in-outage"] = endsInOutage
	scenarios["other-kind"] = otherKind
	scenarios["cut-machine"] = cutMachine
	scenarios["unconfirmed-holder"] = unconfirmedHolder
	scenarios["long-list"] = longList
	scenarios["hopeless-job"] = hopelessJob
	scenarios["executor-gone"] = executorGone
	scenarios["zone-lost"] = zoneLost
	scenarios["gang-checkpoint"] = gangCheckpoint
}

var errNothingRuns = errors.New("no task has started")

// newestHolder returns the machine that has given the executors of a zone the highest fence, by its log.
func (l *lab) newestHolder(zone string) (*node, error) {
	var best *node
	highest := int64(0)
	for _, n := range l.nodes {
		fence, err := n.heldFence(zone)
		if err != nil {
			return nil, err
		}
		if fence > highest {
			best, highest = n, fence
		}
	}
	if best == nil {
		return nil, errNothingRuns
	}
	return best, nil
}

// endsInOutage has a store that is down while tasks end, and then a kill of the machine that has given the orders.
func endsInOutage(l *lab) ([]string, error) {
	const outage = 4500 * time.Millisecond
	if err := l.deploy(size{nodes: 2, kinds: []string{"a", "a"}, cpu: 64000}); err != nil {
		return nil, err
	}
	var jobs []*job
	for range 8 {
		jobs = append(jobs, newJob(zones[0], step{Count: 150, CPU: 2000, EstimateMS: 150}, taskSpec{MS: []int{150}}))
	}
	jobs = l.submitAll(jobs)
	holder, err := l.newestHolder(zones[0])
	if err != nil {
		return nil, err
	}
	if l.trouble {
		l.saidf("the store is down (503) for %v", outage)
		l.store.setDown(true)
		time.AfterFunc(outage, func() { l.saidf("the store is back"); l.store.setDown(false) })
		time.Sleep(outage - time.Second)
		holder.signal(syscall.SIGKILL)
	}
	l.awaitEnds(jobs)
	return l.judge.twice(), nil
}

// unconfirmedHolder has a store that is down while some tasks end, and a kill of the machine that has given the orders, so that
// another one takes the executors over without the store. They have run more than 400 tasks before.
func unconfirmedHolder(l *lab) ([]string, error) {
	const outage = 4500 * time.Millisecond
	if err := l.deploy(size{nodes: 2, kinds: []string{"a", "a"}, cpu: 64000}); err != nil {
		return nil, err
	}
	var earlier, jobs []*job
	for n := range 24 {
		earlier = append(earlier, newJob(zones[n%len(zones)], step{Count: 150, CPU: 2000, EstimateMS: 60}, taskSpec{MS: []int{60}}))
	}
	for range 8 {
		jobs = append(jobs, newJob(zones[0], step{Count: 120, CPU: 2000, EstimateMS: 300}, taskSpec{MS: []int{300}}))
	}
	l.awaitEnds(l.submitAll(earlier))
	time.Sleep(time.Second)
	jobs = l.submitAll(jobs)
	holder, err := l.newestHolder(zones[0])
	if err != nil {
		return nil, err
	}
	if l.trouble {
		l.saidf("the store is down (503) for %v", outage)
		l.store.setDown(true)
		time.AfterFunc(outage, func() { l.saidf("the store is back"); l.store.setDown(false) })
		time.Sleep(outage / 2)
		holder.signal(syscall.SIGKILL)
	}
	time.Sleep(outage)
	l.awaitEnds(jobs)
	return l.judge.twice(), nil
}

// otherKind has an executor that crashes and starts again under its id and at its address, of another kind, while the store is
// down.
func otherKind(l *lab) ([]string, error) {
	const (
		label  = "b"
		outage = 4500 * time.Millisecond
	)
	if err := l.deploy(size{nodes: 2, kinds: []string{"a", "b", "b"}, cpu: 64000}); err != nil {
		return nil, err
	}
	var jobs []*job
	for range 40 {
		jobs = append(jobs, newJob(zones[0], step{Count: 4, CPU: 8000, EstimateMS: 400, Label: label}, taskSpec{MS: []int{400}}))
	}
	l.submitAll(jobs)
	if l.trouble {
		l.saidf("the store is down (503) for %v", outage)
		l.store.setDown(true)
		time.AfterFunc(outage, func() { l.saidf("the store is back"); l.store.setDown(false) })
		time.Sleep(5 * pause)
		x := l.busiest()
		if x == nil {
			return nil, errNothingRuns
		}
		x.crash()
		time.Sleep(5 * pause)
		if err := x.start("a", 64000); err != nil {
			return nil, err
		}
	}
	time.Sleep(12 * time.Second)
	l.judge.mu.Lock()
	defer l.judge.mu.Unlock()
	var broken []string
	for _, s := range l.judge.starts {
		if s.kind != label {
			broken = append(broken, fmt.Sprintf("%s run %d, which requires the label %s, starts on %s of kind %s", s.task, s.number, label, s.on, s.kind))
		}
	}
	if len(l.judge.starts) == 0 {
		return nil, errNothingRuns
	}
	return broken, nil
}

// longList has an executor that is cut off for less than its lease, in which more runs end there than it lists at a time.
func longList(l *lab) ([]string, error) {
	const (
		length = 3 * time.Second
		cut    = 600 * time.Millisecond // the lease is 900 ms or more
		enough = 560                    // runs on the executor
	)
	if err := l.deploy(size{nodes: 2, kinds: []string{"a", "a"}, cpu: 64000}); err != nil {
		return nil, err
	}
	var jobs []*job
	for range 8 {
		jobs = append(jobs, newJob(zones[0], step{Count: 150, CPU: 100, EstimateMS: int(length.Milliseconds())}, taskSpec{MS: []int{int(length.Milliseconds())}, Waits: true}))
	}
	jobs = l.submitAll(jobs)
	time.Sleep(length - 4*pause)
	x := l.busiest()
	if x == nil {
		return nil, errNothingRuns
	}
	x.life.mu.Lock()
	runs := len(x.life.runs)
	x.life.mu.Unlock()
	l.saidf("the cue is given; %d tasks run on %s", runs, x.id)
	if runs < enough {
		return nil, errors.New("these are too few")
	}
	if l.trouble {
		l.saidf("executor %s is cut off for %v", x.id, cut)
		x.gate.cut()
	}
	close(l.cue)
	if l.trouble {
		time.Sleep(cut)
		x.gate.heal()
		l.saidf("the cut is over")
	}
	l.awaitEnds(jobs)
	return l.judge.twice(), nil
}

// awaitEnds waits until all jobs are shown as completed, for some time.
func (l *lab) awaitEnds(jobs []*job) {
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		left := 0
		for _, j := range jobs {
			if _, state := l.state(j); state != "completed" {
				left++
			}
		}
		if left == 0 {
			return
		}
	}
}

// busiest returns the executor with the most tasks, nil if none has any.
func (l *lab) busiest() *executor {
	var busiest *executor
	most := 0
	for _, x := range l.executors {
		x.life.mu.Lock()
		if runs := len(x.life.runs); runs > most {
			busiest, most = x, runs
		}
		x.life.mu.Unlock()
	}
	return busiest
}

// hopelessJob has jobs that can never be done among others, beside tasks that last.
func hopelessJob(l *lab) ([]string, error) {
	const (
		jobsPerSecond = 15
		length        = 20 // seconds of traffic
		every         = 20 // one job in so many can never be done, in some seconds
	)
	hopeless := func(n int) bool {
		return n/jobsPerSecond%6 >= 2 && n/jobsPerSecond%6 < 5 && n%every == every-1 // 3 s in each 6 s
	}
	if err := l.deploy(size{nodes: 2, kinds: []string{"a", "a", "b"}, cpu: 64000}); err != nil {
		return nil, err
	}
	for _, zone := range zones {
		lasting := newJob(zone, step{Count: 3, CPU: 4000, MaxPerServer: 1, LongRunning: true, MaxDisrupted: 1}, taskSpec{MS: []int{0}, Lasting: true})
		if !l.submit(lasting) {
			return nil, errors.New("a job that lasts isn't accepted")
		}
	}
	time.Sleep(2 * time.Second)
	var jobs []*job
	for n := range jobsPerSecond * length {
		j := newJob(zones[n%len(zones)], step{Count: 8, CPU: 9000, EstimateMS: 60}, taskSpec{MS: []int{60}, Fail: l.trouble && hopeless(n)})
		jobs = append(jobs, j)
		l.background(func() { l.submit(j) })
		time.Sleep(time.Second / jobsPerSecond)
	}
	time.Sleep(clientWait)
	var accepted []*job
	for _, j := range jobs {
		if j.accepted {
			accepted = append(accepted, j)
		}
	}
	l.saidf("%d of %d jobs are accepted", len(accepted), len(jobs))
	return l.lostJobs(accepted), nil
}

// executorGone has the loss of an executor for good.
func executorGone(l *lab) ([]string, error) {
	const label = "b"
	if err := l.deploy(size{nodes: 2, kinds: []string{"a", "a", "b"}, cpu: 64000}); err != nil {
		return nil, err
	}
	var jobs []*job
	for range 6 {
		jobs = append(jobs, newJob(zones[0], step{Count: 4, CPU: 8000, EstimateMS: 1000, Label: label}, taskSpec{MS: []int{1000}}))
	}
	jobs = l.submitAll(jobs)
	time.Sleep(5 * pause)
	busiest := l.busiest()
	if busiest == nil {
		return nil, errNothingRuns
	}
	if l.trouble {
		busiest.crash()
	}
	return l.lostJobs(jobs), nil
}

// zoneLost has the planned removal of all machines of a zone for good, one after the other, while its executors go on.
func zoneLost(l *lab) ([]string, error) {
	const (
		steady  = 4 * time.Second // for which all must have been calm before the 3 s
		restart = 6 * time.Second // from the last run of a task that lasts
	)
	if err := l.deploy(size{nodes: 2, kinds: []string{"a", "a"}, cpu: 64000}); err != nil {
		return nil, err
	}
	j := newJob(zones[0], step{Count: 4, CPU: 4000, LongRunning: true}, taskSpec{MS: []int{0}, Lasting: true})
	if !l.submit(j) {
		return nil, errors.New("the job isn't accepted")
	}
	time.Sleep(5 * time.Second)
	active, _ := l.judge.runsOf(j.id)
	if active != j.step.Count {
		return nil, fmt.Errorf("%d of %d tasks run", active, j.step.Count)
	}
	if l.trouble {
		for _, n := range l.nodes {
			if n.zone == zones[0] {
				n.remove()
				time.Sleep(3 * time.Second)
			}
		}
	}
	calm := time.Now().Add(steady)
	found := map[string]bool{}
	var broken []string
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(pause) {
		for i := range j.step.Count {
			task := fmt.Sprintf("%s.0.0.%d", j.id, i)
			since, idle := l.judge.idleSince(task)
			if !idle || found[task] || time.Now().Before(calm.Add(idleTime)) || time.Since(since) < restart+idleTime || !l.roomTwice(j, j.step.Count) {
				continue
			}
			found[task] = true
			broken = append(broken, fmt.Sprintf("task %s, which lasts, has had no run for %v; %s", task, time.Since(since).Round(time.Millisecond), l.use()))
		}
	}
	for i := range j.step.Count {
		if since, idle := l.judge.idleSince(fmt.Sprintf("%s.0.0.%d", j.id, i)); idle {
			l.saidf("task %d still has no run, after %v", i, time.Since(since))
		}
	}
	return broken, nil
}

// gangCheckpoint has the crash of an executor with a member of a gang that saves its progress.
func gangCheckpoint(l *lab) ([]string, error) {
	if err := l.deploy(size{nodes: 2, kinds: []string{"a", "a", "a"}, cpu: 64000}); err != nil {
		return nil, err
	}
	j := newJob(zones[0], step{Count: 3, CPU: 30000, EstimateMS: 9000, MaxPerServer: 1, Gang: true, Checkpointing: true}, taskSpec{MS: []int{9000}, Gang: 3, Saves: true})
	if !l.submit(j) {
		return nil, errors.New("the job isn't accepted")
	}
	time.Sleep(4300 * time.Millisecond)
	if active, _ := l.judge.runsOf(j.id); active != j.step.Count {
		return nil, fmt.Errorf("%d of %d members run", active, j.step.Count)
	}
	if l.trouble {
		for _, x := range l.executors {
			if x.zone != zones[0] {
				continue
			}
			x.crash()
			time.Sleep(time.Second)
			if err := x.start("a", 64000); err != nil {
				return nil, err
			}
			break
		}
	}
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until); time.Sleep(5 * pause) {
		if _, state := l.state(j); state == "completed" {
			break
		}
	}
	l.judge.mu.Lock()
	defer l.judge.mu.Unlock()
	return append(l.judge.mixed, l.judge.alone...), nil
}

// cutMachine has a machine that is cut off from everything while clients of best-effort jobs leave it and send them elsewhere.
func cutMachine(l *lab) ([]string, error) {
	const (
		patience = 500 * time.Millisecond // of clients that leave early
		resend   = 1300 * time.Millisecond
		cut      = 2200 * time.Millisecond
	)
	l.cuts = true
	if err := l.deploy(size{nodes: 2, kinds: []string{"a", "a"}, cpu: 64000}); err != nil {
		return nil, err
	}
	holder, err := l.newestHolder(zones[0])
	if err != nil {
		return nil, err
	}
	x, other := l.nodes[0], l.nodes[2]
	if x == holder {
		x = l.nodes[1]
	}
	var group sync.WaitGroup
	for range 10 {
		j := newJob(zones[0], step{Count: 2, CPU: 3000, EstimateMS: 3000}, taskSpec{MS: []int{3000}})
		group.Go(func() {
			l.bestEffort(j, x, patience)
			time.Sleep(resend)
			l.bestEffort(j, other, 10*time.Second)
		})
	}
	time.Sleep(2 * pause)
	if l.trouble {
		l.saidf("%s is cut off for %v", x.name, cut)
		x.gate.cut()
		time.Sleep(cut)
		x.gate.heal()
		l.saidf("the cut is over")
	}
	group.Wait()
	return l.judge.together(), nil
}

// bestEffort sends a job that needn't be kept to a node on a channel of its own, and leaves after some time.
func (l *lab) bestEffort(j *job, n *node, patience time.Duration) {
	near, far := net.Pipe()
	l.background(func() { l.passClient(n, far) })
	spec, err1 := json.Marshal(j.spec)
	body, err2 := json.Marshal(map[string]any{"spec": string(spec), "steps": []step{j.step}, "best_effort": true})
	if err := errors.Join(err1, err2, near.SetDeadline(time.Now().Add(patience))); err != nil {
		panic(err) // only this program's own values
	}
	_, _ = fmt.Fprintf(near, "POST %s%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nTime-Remaining: 10000\r\nContent-Length: %d\r\n\r\n%s", prefix, j.id, host, len(body), body)
	answer := make([]byte, 4096)
	count, err := near.Read(answer)
	line, _, _ := strings.Cut(string(answer[:count]), "\r\n")
	l.printf("client POST %s at %s, which it leaves after %v: %s %v", j.id, n.name, patience, line, err)
	_ = near.Close()
}

// isGroupOf reports whether a group belongs to a zone.
func isGroupOf(group, zone string) bool { return strings.HasPrefix(group, zone+"#") }
