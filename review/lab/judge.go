package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// judge knows what all executors have run.
type judge struct {
	lab *lab

	mu     sync.Mutex
	active map[string][]activeRun // by task
	done   map[string]*end        // first end as done, by task
	starts []startEvent
	last   map[string]time.Time // when a run of the task was last there
	gangs  map[string]*gang     // by step and run
	alone  []string
	mixed  []string // gang runs whose starts carried different checkpoints
}

type activeRun struct {
	run *run
	on  string
}

// startEvent is a start of a task.
type startEvent struct {
	at         time.Time
	task       string
	number     int
	on, kind   string
	fence      int64
	checkpoint string
	overlaps   []string
}

type gang struct {
	members     map[string]*life
	checkpoints map[string]string
}

func newJudge(l *lab) *judge {
	return &judge{lab: l, active: map[string][]activeRun{}, done: map[string]*end{}, last: map[string]time.Time{}, gangs: map[string]*gang{}}
}

func (j *judge) started(n *life, r *run, o order) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := startEvent{at: r.began, task: r.task, number: r.number, on: n.x.id, kind: n.kind, fence: o.Fence, checkpoint: o.Checkpoint}
	for _, other := range j.active[r.task] {
		s.overlaps = append(s.overlaps, fmt.Sprintf("run %d on %s", other.run.number, other.on))
	}
	j.active[r.task] = append(j.active[r.task], activeRun{r, n.x.id})
	j.starts = append(j.starts, s)
	j.lab.printf("start  %s run %d on %s (%s), fence %d, checkpoint %q", r.task, r.number, n.x.id, n.kind, o.Fence, o.Checkpoint)
}

func (j *judge) drop(r *run) {
	left := j.active[r.task][:0]
	for _, a := range j.active[r.task] {
		if a.run != r {
			left = append(left, a)
		}
	}
	j.active[r.task] = left
	j.last[r.task] = time.Now()
}

func (j *judge) lost(r *run, on string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.drop(r)
	j.lab.printf("lost   %s run %d with %s", r.task, r.number, on)
}

func (j *judge) ended(n *life, e *end) {
	j.mu.Lock()
	j.drop(e.run)
	if e.how == "done" && j.done[e.run.task] == nil {
		j.done[e.run.task] = e
	}
	if e.how == "alone" {
		j.alone = append(j.alone, fmt.Sprintf("%s run %d on %s", e.run.task, e.run.number, n.x.id))
	}
	j.lab.printf("end    %s run %d on %s, number %d: %s %s", e.run.task, e.run.number, n.x.id, e.number, e.how, e.saved)
	var others map[string]*life
	key := gangKey(e.run)
	if g := j.gangs[key]; e.run.spec.Gang > 0 && g != nil {
		delete(j.gangs, key)
		others = g.members
	}
	j.mu.Unlock()
	// The members of a gang end together.
	for task, other := range others {
		if task == e.run.task {
			continue
		}
		how := "broken"
		if e.how == "done" || e.how == "alone" {
			how = e.how
		}
		j.lab.background(func() {
			other.mu.Lock()
			defer other.mu.Unlock()
			if r := other.runs[task]; r != nil && r.number == e.run.number {
				other.finish(r, how)
			}
		})
	}
}

func (j *judge) acked(n *life, e *end, fence int64) {
	j.lab.printf("acked  %s run %d on %s, number %d: %s, listed %t, lease lapsed between %t, fence %d", e.run.task, e.run.number, n.x.id, e.number, e.how, !e.listed.IsZero(), e.lapsed, fence)
}

func gangKey(r *run) string {
	return fmt.Sprintf("%s/%d", r.task[:strings.LastIndex(r.task, ".")], r.number)
}

// gather adds a member to a run of a gang, which begins to work when all are there; the caller holds the lock of the life.
func (j *judge) gather(n *life, r *run, checkpoint string) {
	j.mu.Lock()
	key := gangKey(r)
	g := j.gangs[key]
	if g == nil {
		g = &gang{members: map[string]*life{}, checkpoints: map[string]string{}}
		j.gangs[key] = g
	}
	g.members[r.task], g.checkpoints[r.task] = n, checkpoint
	complete, same := len(g.members) == r.spec.Gang, true
	for _, c := range g.checkpoints {
		same = same && c == checkpoint
	}
	if complete && !same {
		j.mixed = append(j.mixed, fmt.Sprintf("%s: %v", key, g.checkpoints))
		j.lab.printf("gang   %s has different checkpoints: %v", key, g.checkpoints)
	}
	j.mu.Unlock()
	switch {
	case !complete:
		time.AfterFunc(gangTime, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			if r.working.IsZero() {
				n.finish(r, "alone")
			}
		})
	case same:
		for task, member := range g.members {
			j.lab.background(func() {
				member.mu.Lock()
				defer member.mu.Unlock()
				if r := member.runs[task]; r != nil {
					member.begin(r)
				}
			})
		}
	}
}

// twice returns the starts that break TWICE: beside another run of the task, or after a run has ended as done whose end is
// taken note of then or later.
func (j *judge) twice() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var found []string
	for _, s := range j.starts {
		for _, other := range s.overlaps {
			found = append(found, fmt.Sprintf("%s run %d starts on %s beside %s", s.task, s.number, s.on, other))
		}
		e := j.done[s.task]
		if e == nil || e.acked.IsZero() || e.lapsed || !s.at.After(e.at) {
			continue
		}
		found = append(found, fmt.Sprintf("%s run %d starts on %s, %d ms after its run %d has ended done; that end was taken note of %d ms after it was listed, %d ms before this start",
			s.task, s.number, s.on, s.at.Sub(e.at).Milliseconds(), e.run.number, e.acked.Sub(e.listed).Milliseconds(), s.at.Sub(e.acked).Milliseconds()))
	}
	return found
}

// together returns the starts of tasks beside another run of them, which break TWICE also for jobs that needn't be kept.
func (j *judge) together() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var found []string
	for _, s := range j.starts {
		for _, other := range s.overlaps {
			found = append(found, fmt.Sprintf("%s run %d starts on %s beside %s", s.task, s.number, s.on, other))
		}
	}
	return found
}

// runsOf returns the number of runs of a job that are there, and how many of its tasks have ended as done.
func (j *judge) runsOf(id string) (active, done int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for task, runs := range j.active {
		if strings.HasPrefix(task, id+".") {
			active += len(runs)
		}
	}
	for task := range j.done {
		if strings.HasPrefix(task, id+".") {
			done++
		}
	}
	return active, done
}

// idleSince returns since when a task has no run; false if it has one, or has never had one.
func (j *judge) idleSince(task string) (time.Time, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.last[task], len(j.active[task]) == 0 && !j.last[task].IsZero()
}
