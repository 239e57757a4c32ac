package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// attempts is the number of failed runs of a task after which its job fails.
const attempts = 3

const (
	// finishTime is the time after the load by which all stored jobs must have ended.
	finishTime = 14 * time.Second
	// visibleTime is the time after its acceptance by which every VM must know a job.
	visibleTime = 3 * time.Second
)

// storedJob is a job that the system has accepted.
type storedJob struct {
	id        string
	tasks     int
	cancelled bool // its cancelling was sent
	accepted  time.Time
}

// isStored says whether the job with the id is one that must be stored.
func isStored(id string) bool { return strings.HasPrefix(id, "f") }

// sendStored hands in a job of two steps as a client does: again under the same id until the answer is certain.
func (l *client) sendStored(sequence uint64, first int, counts []int, length int, cancel bool) {
	id := fmt.Sprintf("f%015x", sequence&(1<<60-1))
	var steps []string
	tasks := 0
	for i, count := range counts {
		after := ""
		if i > 0 {
			after = fmt.Sprintf(`,"after":[%d]`, i-1)
		}
		steps = append(steps, fmt.Sprintf(`{"count":%d,"cpu":27000,"mem_mb":64,"estimate_ms":%d%s}`, count, length, after))
		tasks += count
	}
	body := fmt.Sprintf(`{"spec":"%d 27000","steps":[%s]}`, length, strings.Join(steps, ","))
	open := false
	for try := range 4 {
		code, _, err := l.post(context.Background(), l.c.front((first+try)%l.c.config.VMs), "/cue/"+id, body)
		switch {
		case err == nil && code == http.StatusOK:
			l.accepted(&storedJob{id: id, tasks: tasks, cancelled: cancel, accepted: time.Now()}, first)
			return
		case err == nil && (code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests):
			l.count("stored " + fmt.Sprint(code))
			if !open {
				time.Sleep(time.Second)
				if l.c.watch.Started(id) {
					l.c.fail("stored job %s was refused although a task of it has started", id)
				}
			}
			return
		}
		open = true
		time.Sleep(resendTime)
	}
	l.count("stored undecided")
}

func (l *client) count(status string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[status]++
}

// accepted notes a job, and cancels it or hands it in again.
func (l *client) accepted(j *storedJob, first int) {
	l.mu.Lock()
	l.stored = append(l.stored, j)
	l.mu.Unlock()
	l.count("stored 200")
	if j.cancelled {
		time.Sleep(100 * time.Millisecond)
		_, _, _ = l.ask(http.MethodDelete, l.c.front((first+1)%l.c.config.VMs), "/cue/"+j.id) // may be refused while the store is away
	}
}

// ask sends a request without a body and returns the status and the state of the job.
func (l *client) ask(method, address, path string) (int, string, error) {
	request, err := http.NewRequest(method, "http://"+address+path, nil)
	if err != nil {
		return 0, "", err
	}
	request.Host = "cue.example"
	request.Header.Set("Time-Remaining", "2000")
	answer, err := l.http.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = answer.Body.Close() }()
	var body struct {
		State string `json:"state"`
	}
	if err := json.NewDecoder(answer.Body).Decode(&body); err != nil {
		return 0, "", err
	}
	return answer.StatusCode, body.State, nil
}

// checkStored waits until all accepted jobs have ended and checks how.
func (l *client) checkStored() {
	until := time.Now().Add(finishTime)
	for i, j := range l.stored {
		for {
			code, state, err := l.ask(http.MethodGet, l.c.front(i%l.c.config.VMs), "/cue/"+j.id)
			done, failed := l.c.watch.Done(j.id)
			over := time.Now().After(until)
			switch {
			case err == nil && code == http.StatusGone && time.Since(j.accepted) > visibleTime:
				l.c.fail("stored job %s was accepted and is not known", j.id)
			case state == "completed" && done < j.tasks:
				l.c.fail("stored job %s is shown as completed with %d of %d tasks done", j.id, done, j.tasks)
			case state == "failed" && failed < attempts:
				l.c.fail("stored job %s is shown as failed after %d failed runs", j.id, failed)
			case state == "cancelled" && !j.cancelled:
				l.c.fail("stored job %s is shown as cancelled", j.id)
			case state == "completed" || state == "failed" || state == "cancelled":
			case over:
				l.c.fail("stored job %s is %q (%d, %v) %v after the load", j.id, state, code, err, finishTime)
			default:
				time.Sleep(50 * time.Millisecond)
				continue
			}
			break
		}
	}
}

// Guards against occurrences of a scheduled job that start early, twice or never when all VMs are killed in between.
func TestScheduledJob(t *testing.T) {
	c := startCluster(t, smallCluster)
	l := &client{c: c, statuses: map[string]int{}, http: &http.Client{Timeout: budget}}
	defer l.http.CloseIdleConnections()
	time.Sleep(4 * time.Second) // the processes start and divide the workers
	const id, count, interval = "f0000000000000aa", 4, 1500 * time.Millisecond
	first := time.Now().Add(time.Second)
	body := fmt.Sprintf(`{"spec":"80 27000","repeat_count":%d,"first_run_ms":%d,"interval_ms":%d,"steps":[{"count":2,"cpu":27000,"mem_mb":64,"estimate_ms":80}]}`,
		count, first.UnixMilli(), interval.Milliseconds())
	if code, _, err := l.post(t.Context(), c.front(0), "/cue/"+id, body); err != nil || code != http.StatusOK {
		t.Fatalf("scheduled job: %d, %v", code, err)
	}
	time.Sleep(time.Until(first.Add(interval + interval/2)))
	for i := range c.config.VMs {
		c.signal(i, syscall.SIGKILL)
	}
	state := ""
	for until := time.Now().Add(finishTime); time.Now().Before(until) && state != "completed"; time.Sleep(50 * time.Millisecond) {
		_, state, _ = l.ask(http.MethodGet, c.front(1), "/cue/"+id) // the VMs may not be back yet
	}
	if state != "completed" {
		t.Errorf("the scheduled job is %q at the end", state)
	}
	for k := range count {
		due := first.Add(time.Duration(k) * interval)
		for task := range 2 {
			name := fmt.Sprintf("%s.%d.0.%d", id, k, task)
			began := c.watch.FirstStart(name)
			if early := due.Sub(began); began.IsZero() || early > 50*time.Millisecond {
				t.Errorf("task %s, due at %v, began at %v", name, due, began)
			}
			if late := began.Sub(due); k < 2 && late > 200*time.Millisecond {
				t.Errorf("task %s began %v after its time, with nothing in its way", name, late)
			}
		}
	}
	faults, _ := c.watch.Violations()
	for _, f := range append(faults, c.failures()...) {
		t.Error(f)
	}
}
