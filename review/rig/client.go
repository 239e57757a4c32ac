package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// step is a step of a job as a client hands it in, with what its tasks do.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	MemoryMB      int    `json:"mem_mb"`
	EstimateMS    int    `json:"estimate_ms,omitempty"`
	After         []int  `json:"after,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	LongRunning   bool   `json:"long_running,omitempty"`
	MaxDisrupted  int    `json:"max_disrupted,omitempty"`
	Checkpoints   bool   `json:"checkpointing,omitempty"`
	MaxPerServer  int    `json:"max_per_server,omitempty"`
	RequiredLabel string `json:"required_label,omitempty"`

	fail int
	ms   int // run time, estimate_ms if 0
}

// work is a job as a client hands it in.
type work struct {
	Spec       string `json:"spec"`
	Steps      []step `json:"steps"`
	BestEffort bool   `json:"best_effort,omitempty"`
	Repeat     int    `json:"repeat_count,omitempty"`
	FirstMS    int64  `json:"first_run_ms,omitempty"`
	IntervalMS int64  `json:"interval_ms,omitempty"`

	pad string // is appended to the spec
}

const (
	budget      = 4 * time.Second
	resendDelay = 1300 * time.Millisecond
)

// answer is the answer to a request of a client.
type answer struct {
	code    int
	state   string
	waiting int
}

var web = &http.Client{Timeout: budget, Transport: &http.Transport{DisableKeepAlives: true}}

func isReady(ctx context.Context, v *vm) bool {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.host+":8167/v1/readiness", nil)
	if err != nil {
		return false
	}
	a, err := web.Do(q)
	if err != nil {
		return false
	}
	return a.Body.Close() == nil && a.StatusCode == http.StatusOK
}

// ask sends one request to a VM.
func (c *cluster) ask(v *vm, method, path, body string) (answer, error) {
	q, err := http.NewRequestWithContext(c.ctx, method, "http://"+v.host+":8161"+path, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	q.Host = host
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Time-Remaining", strconv.FormatInt(budget.Milliseconds(), 10))
	a, err := web.Do(q)
	if err != nil {
		c.rec.note("%s %s at %s: no answer", method, path, v.name)
		return answer{}, err
	}
	defer func() { _ = a.Body.Close() }()
	var text struct {
		State   string `json:"state"`
		Waiting int    `json:"waiting"`
	}
	if err := json.NewDecoder(a.Body).Decode(&text); err != nil && a.StatusCode == http.StatusOK {
		return answer{}, err
	}
	c.rec.note("%s %s at %s: %d state=%q waiting=%d", method, path, v.name, a.StatusCode, text.State, text.Waiting)
	return answer{a.StatusCode, text.State, text.Waiting}, nil
}

// handIn hands a job in until the answer is certain; it returns whether the job was accepted.
func (c *cluster) handIn(id string, w work, first int) (bool, error) {
	var specs []stepSpec
	for i, s := range w.Steps {
		spec := stepSpec{MS: s.EstimateMS, CPU: s.CPU, Last: s.LongRunning, Fail: s.fail, Save: s.Checkpoints, Limit: s.MaxPerServer}
		if s.ms > 0 {
			spec.MS = s.ms
		}
		if s.Gang {
			spec.Gang = s.Count
		}
		specs = append(specs, spec)
		w.Steps[i].MemoryMB = 64
	}
	spec, err := json.Marshal(specs)
	if err != nil {
		return false, err
	}
	w.Spec = string(spec) + w.pad
	body, err := json.Marshal(w)
	if err != nil {
		return false, err
	}
	c.w.mu.Lock()
	c.w.specs[id] = w.Spec
	if w.Repeat > 0 {
		c.w.due[id] = w
	}
	c.w.best[id] = w.BestEffort
	c.w.mu.Unlock()
	tries := 8
	if w.BestEffort {
		tries = 3
	}
	for try := range tries {
		a, err := c.ask(c.vms[(first+try)%len(c.vms)], http.MethodPost, prefix+id, string(body))
		switch {
		case err == nil && a.code/100 == 2:
			return true, nil
		case err == nil && (a.code == http.StatusServiceUnavailable || a.code == http.StatusTooManyRequests):
			if try == 0 {
				return false, nil
			}
		case err == nil && a.code != http.StatusBadGateway && a.code != http.StatusGatewayTimeout:
			return false, fmt.Errorf("job %s is answered %d", id, a.code)
		}
		time.Sleep(resendDelay)
	}
	return false, nil
}

// handInLater hands a job in and tries again a little later while it is rejected.
func (c *cluster) handInLater(id string, w work, first int) error {
	for try := range 20 {
		accepted, err := c.handIn(id, w, first+try)
		if err != nil || accepted {
			return err
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// cancelJob cancels a job and notes when that was confirmed.
func (c *cluster) cancelJob(id string, first int) bool {
	for try := range 3 {
		a, err := c.ask(c.vms[(first+try)%len(c.vms)], http.MethodDelete, prefix+id, "")
		if err == nil && (a.code/100 == 2 || a.code == http.StatusGone) {
			c.w.mu.Lock()
			c.w.cancelled[id] = time.Now()
			c.w.mu.Unlock()
			return true
		}
	}
	return false
}

// state returns the state of a job as the first VM that answers shows it.
func (c *cluster) state(id string, first int) answer {
	for try := range len(c.vms) {
		if a, err := c.ask(c.vms[(first+try)%len(c.vms)], http.MethodGet, prefix+id, ""); err == nil && a.code < 500 {
			return a
		}
	}
	return answer{}
}
