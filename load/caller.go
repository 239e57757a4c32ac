package load

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// cancelTimeout bounds the request that cancels a job; it doesn't wait for tasks in flight.
const cancelTimeout = 5 * time.Second

// special says what a caller did to a job besides waiting for its answer.
type special string

// The special treatments of jobs, which are measured as phases of their own.
const (
	plain       special = ""
	cancelled   special = "cancelled"
	resubmitted special = "resubmitted"
)

// submit sends one job and records its answer; times count from the scheduled time, so a late tool shows.
func (r *runner) submit(a arrival) {
	due := r.start.Add(a.at)
	r.recorder.late(a, time.Since(due))
	a.target, a.second = r.balance.route(a.target), r.balance.route(a.second)
	id := ""
	if a.cancel || a.resubmit || r.profile.waved(a.mix.Priority) || r.balance.needsTicket(a) {
		id = r.ticket(a.target)
	}
	for range r.clients {
		if id != "" || !r.balance.needsTicket(a) {
			break
		}
		a.target = r.balance.route((a.target + 1) % len(r.clients))
		id = r.ticket(a.target)
	}
	var got result
	kind := plain
	switch {
	case id != "" && a.resubmit:
		got, kind = r.submitTwice(a, id, due), resubmitted
	case id != "" && (a.cancel || r.profile.waved(a.mix.Priority)):
		got, kind = r.submitCancellable(a, id, due)
	default:
		got = r.exchange(a.target, a, "", until(a, due))
	}
	got.elapsed = time.Since(due)
	if got.id == "" {
		// A job without an answer is known by its ticket, so that its starts are judged by its kind.
		got.id = id
	}
	r.recorder.add(a, got, kind)
}

// until returns the time after which a caller gives up.
func until(a arrival, due time.Time) time.Time { return due.Add(a.mix.Deadline + answerGrace) }

// submitTwice gives up the first submission after a while and repeats it under its ticket, at times at another VM.
func (r *runner) submitTwice(a arrival, id string, due time.Time) result {
	first := r.exchange(a.target, a, id, due.Add(r.profile.Resubmit.After))
	second := r.exchange(a.second, a, id, until(a, due))
	second.contradicts(first)
	second.crossed = second.crossed || first.crossed
	second.partial = second.partial || first.partial
	return second
}

// contradicts marks a result whose outcome can't be true together with another one of the same job.
func (r *result) contradicts(other result) {
	final := map[string]bool{"complete": true, "failed": true, "not-run": true}
	if final[r.outcome] && final[other.outcome] && r.outcome != other.outcome {
		r.contradictory = true
		r.reason = "answered " + other.outcome + " and " + r.outcome + " (" + r.reason + ")"
	}
}

// submitCancellable submits a job that is cancelled after a while or by a wave.
func (r *runner) submitCancellable(a arrival, id string, due time.Time) (result, special) {
	c := r.waves.add(a, id)
	if a.cancel {
		timer := time.AfterFunc(time.Until(due.Add(r.profile.Cancel.After)), func() { r.cancel(c) })
		defer timer.Stop()
	}
	got := r.exchange(a.target, a, id, until(a, due))
	r.waves.remove(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.cancelled {
		return got, plain
	}
	got.sinceCancel = time.Since(c.at)
	return got, cancelled
}

// cancel withdraws a job unless it was withdrawn already.
func (r *runner) cancel(c *cancellable) {
	c.mu.Lock()
	again := c.cancelled
	if !again {
		c.cancelled, c.at = true, time.Now()
	}
	c.mu.Unlock()
	if again {
		return
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	client := r.clients[c.target]
	request.Header.SetMethod(fasthttp.MethodDelete)
	request.SetRequestURI("http://" + client.Addr + "/v1/jobs/" + c.id)
	err := client.DoTimeout(request, response, cancelTimeout)
	r.recorder.cancel(err == nil && response.StatusCode()/100 != 4)
}

// cancellable is an unanswered job that can be cancelled.
type cancellable struct {
	id     string
	class  string
	target int

	mu        sync.Mutex
	cancelled bool
	at        time.Time
}

// waves holds the unanswered jobs that can be cancelled.
type waves struct {
	mu   sync.Mutex
	open map[*cancellable]struct{}
}

func newWaves() *waves { return &waves{open: map[*cancellable]struct{}{}} }

func (w *waves) add(a arrival, id string) *cancellable {
	c := &cancellable{id: id, class: a.mix.Priority, target: a.target}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open[c] = struct{}{}
	return c
}

func (w *waves) remove(c *cancellable) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.open, c)
}

func (w *waves) of(class string) []*cancellable {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []*cancellable
	for c := range w.open {
		if c.class == class {
			found = append(found, c)
		}
	}
	return found
}

// startWaves cancels the jobs of each wave at its time.
func (r *runner) startWaves(ctx context.Context) {
	for _, wave := range r.profile.CancelWaves {
		r.group.Go(func() error {
			if err := sleepUntil(ctx, r.start.Add(wave.At)); err != nil {
				return err
			}
			r.cancelAll(r.waves.of(wave.Priority))
			return nil
		})
	}
}

// waveConnections bounds the concurrent requests of a wave below the number of connections of a client.
const waveConnections = 1000

func (r *runner) cancelAll(jobs []*cancellable) {
	var group sync.WaitGroup
	next := make(chan *cancellable)
	for range min(len(jobs), waveConnections) {
		group.Go(func() {
			for c := range next {
				r.cancel(c)
			}
		})
	}
	for _, c := range jobs {
		next <- c
	}
	close(next)
	group.Wait()
}
