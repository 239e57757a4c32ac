package chaos

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

// statusPeriod is the time between two looks at the generation of an entry VM.
const statusPeriod = 200 * time.Millisecond

// status is the part of /v1/status that is checked.
type status struct {
	VM          string `json:"vm"`
	Incarnation uint64 `json:"incarnation"`
	Generation  uint64 `json:"generation"`
	Services    []struct {
		Endpoints int `json:"endpoints"`
	} `json:"services"`
}

// generationCheck finds generations that go down.
type generationCheck struct {
	last status
}

// see returns a description of a generation below an earlier one. A VM that has just started has none, which is 0.
func (g *generationCheck) see(s status) string {
	restarted := s.Incarnation != g.last.Incarnation
	if s.Generation < g.last.Generation && !(restarted && s.Generation == 0) {
		return fmt.Sprintf("%s had generation %d in incarnation %d and then %d in incarnation %d",
			s.VM, g.last.Generation, g.last.Incarnation, s.Generation, s.Incarnation)
	}
	if s.Generation > 0 {
		g.last = s
	}
	return ""
}

// watchGenerations polls all entry VMs until ctx ends.
func watchGenerations(ctx context.Context, c *cluster, r *record) error {
	var group errgroup.Group
	for i := range c.entries {
		group.Go(func() error {
			var check generationCheck
			for sleep(ctx, statusPeriod) {
				s, err := c.status(ctx, i)
				if err != nil {
					continue
				}
				if problem := check.see(s); problem != "" {
					r.violation("generations never go down", problem)
				}
				r.mu.Lock()
				r.polls++
				r.mu.Unlock()
			}
			return nil
		})
	}
	return group.Wait()
}

func (c *cluster) status(ctx context.Context, i int) (status, error) {
	var s status
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	data, err := c.http.call(ctx, http.MethodGet, "http://"+c.entryAddress(i)+"/v1/status", nil)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(data, &s)
}

// inForceLimit is the users' limit for a configuration to be in force on every reachable entry VM.
const inForceLimit = 8 * time.Second

// awaitGeneration checks that all entry VMs have the generation in time, after all faults are over.
func awaitGeneration(ctx context.Context, c *cluster, r *record, generation uint64) {
	ctx, cancel := context.WithTimeout(ctx, inForceLimit)
	defer cancel()
	for i := range c.entries {
		s, err := c.status(ctx, i)
		for (err != nil || s.Generation < generation) && sleep(ctx, statusPeriod) {
			s, err = c.status(ctx, i)
		}
		if err != nil || s.Generation < generation {
			r.violation("the last generation is in force everywhere",
				fmt.Sprintf("entry-%d has generation %d and not %d %v after the end of all faults: %v", i, s.Generation, generation, inForceLimit, err))
		}
	}
}

// forwards returns how many jobs the entry VMs have forwarded to other zones since their last start.
func (c *cluster) forwards(ctx context.Context) int {
	sum := 0
	for i := range c.entries {
		data, err := c.http.call(ctx, http.MethodGet, "http://"+c.entryAddress(i)+"/metrics", nil)
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(data), "\n") {
			var count int
			if n, _ := fmt.Sscanf(line, "samphireplank_forwards_total %d", &count); n == 1 {
				sum += count
			}
		}
	}
	return sum
}
