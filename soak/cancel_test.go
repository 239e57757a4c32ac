package soak

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// cancelTime is the time after the confirmation of a cancellation by which no VM starts a task of the job any more.
const cancelTime = 3 * time.Second

// Guards against cancelled jobs that go on: each is cancelled at another VM than the one that has taken it, and all VMs of a zone are killed
// right after the confirmations.
func TestCancelledJobsStop(t *testing.T) {
	c := startCluster(t, smallCluster)
	l := &client{c: c, statuses: map[string]int{}, http: &http.Client{Timeout: 4 * budget}}
	defer l.http.CloseIdleConnections()
	time.Sleep(4 * time.Second) // the processes start and divide the workers
	const step = 2500 * time.Millisecond
	stored := cancelledWork(3, step)
	first := time.Now().Add(time.Second)
	type submission struct {
		vm   int
		body string
	}
	jobs := map[string]submission{
		"f0000000000000c1": {0, stored + "}"},
		"f0000000000000c2": {0, stored + fmt.Sprintf(`,"repeat_count":3,"first_run_ms":%d,"interval_ms":2000}`, first.UnixMilli())},
		"00000000000000c3": {1, cancelledWork(2, 1500*time.Millisecond) + `,"best_effort":true}`}, // its VM lives on
	}
	var posts errgroup.Group
	for id, j := range jobs {
		posts.Go(func() error {
			if !isStored(id) {
				time.Sleep(time.Until(first))
			}
			if code, answer, err := l.post(t.Context(), c.front(j.vm), "/cue/"+id, j.body); err == nil && code == http.StatusOK && !isStored(id) {
				t.Errorf("the cancelled job %s has ended: %s", id, answer)
			}
			return nil
		})
	}
	time.Sleep(time.Until(first.Add(300 * time.Millisecond)))
	confirmed := map[string]time.Time{}
	for id := range jobs {
		if c.watch.FirstStart(id + ".0.0.0").IsZero() {
			t.Errorf("job %s has not begun", id)
		}
		code, state, err := l.ask(http.MethodDelete, c.front(3), "/cue/"+id)
		if confirmed[id] = time.Now(); err != nil || code != http.StatusOK && code != http.StatusGone {
			t.Errorf("cancellation of job %s: %d %s, %v", id, code, state, err)
		}
	}
	for _, i := range []int{0, 2} { // of one zone
		c.signal(i, syscall.SIGKILL)
	}
	time.Sleep(2*step + time.Second) // the last steps would have begun
	for id, at := range confirmed {
		for k := range 3 {
			for i := range 3 {
				for task := range 2 {
					name := fmt.Sprintf("%s.%d.%d.%d", id, k, i, task)
					if late := c.watch.FirstStart(name).Sub(at); late > cancelTime {
						t.Errorf("task %s began %v after the cancellation of its job was confirmed", name, late)
					}
				}
			}
		}
	}
	_ = posts.Wait() // returns no error
	faults, alive := c.watch.Violations()
	if alive > 0 {
		t.Errorf("%d tasks of cancelled jobs are running", alive)
	}
	for _, f := range append(faults, c.failures()...) {
		t.Error(f)
	}
}

// cancelledWork returns the beginning of a body with steps of two tasks, one after the other.
func cancelledWork(steps int, length time.Duration) string {
	var list []string
	for i := range steps {
		after := ""
		if i > 0 {
			after = fmt.Sprintf(`,"after":[%d]`, i-1)
		}
		list = append(list, fmt.Sprintf(`{"count":2,"cpu":5000,"mem_mb":64,"estimate_ms":%d%s}`, length.Milliseconds(), after))
	}
	return fmt.Sprintf(`{"spec":"%d 5000","steps":[%s]`, length.Milliseconds(), strings.Join(list, ","))
}
