package placement

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// simGang is one run of a gang on the simulated workers.
type simGang struct {
	members map[string]*simWorker // by task
	over    bool
}

// gangTime is how long a member waits for the others.
const gangTime = 4 * time.Second

// joinGang adds a run to its gang, which works from the moment when all are present.
func (f *fleet) joinGang(w *simWorker, o worker.StartOrder, r *simRun, count int) {
	key := fmt.Sprintf("%s %d", o.Task[:strings.LastIndex(o.Task, ".")], o.Number)
	g := f.gangs[key]
	if g == nil {
		g = &simGang{members: map[string]*simWorker{}}
		f.gangs[key] = g
	}
	r.gang = g
	g.members[o.Task] = w
	f.after(gangTime, func() {
		if w.runs[o.Task] == r && len(g.members) < count {
			if !f.faulty {
				f.explain(r.job(o.Task))
				f.t.Fatalf("task %s has waited for the others of its gang", o.Task)
			}
			f.end(w, o.Task, worker.GangIncomplete)
		}
	})
	if len(g.members) < count {
		return
	}
	f.after(r.length, func() {
		if g.over {
			return
		}
		g.over = true
		tasks := g.tasks()
		outcome, failed := worker.Done, 0
		for _, task := range tasks {
			if run := g.members[task].runs[task]; failed < 2 && run != nil && run.gang == g && run.fails {
				outcome = worker.GangBroken // for the others
				failed++
				f.end(g.members[task], task, worker.Failed)
			}
		}
		for _, task := range tasks {
			if run := g.members[task].runs[task]; run != nil && run.gang == g {
				f.end(g.members[task], task, outcome)
			}
		}
	})
}

func (g *simGang) tasks() []string {
	tasks := make([]string, 0, len(g.members))
	for task := range g.members {
		tasks = append(tasks, task)
	}
	sort.Strings(tasks)
	return tasks
}

func (r *simRun) job(task string) string {
	id, _, _, _ := job.ParseTaskName(task)
	return id
}

// breakGang ends the other members of a gang of which one has ended.
func (f *fleet) breakGang(r *simRun) {
	if r == nil || r.gang == nil || r.gang.over {
		return
	}
	g := r.gang
	g.over = true
	f.after(simHop, func() {
		for _, task := range g.tasks() {
			on := g.members[task]
			if run := on.runs[task]; run != nil && run.gang == g {
				f.end(on, task, worker.GangBroken)
			}
		}
	})
}

// keepGang stores a job with a gang of the given width and hands it to the pool.
func (f *fleet) keepGang(c simClass, width int) string {
	simSequence++
	w := job.Work{ID: fmt.Sprintf("%016x", simSequence), Spec: "s", Steps: []job.Step{
		{Count: width, Estimate: c.length, Need: worker.Resources{MilliCores: c.cores, MemoryMiB: 64}, Gang: true},
	}}
	p := job.Policy{Route: c.route, Service: "cue", Priority: c.priority, MaxAttempts: c.attempts, Stretch: 1.6, Target: 60 * time.Millisecond}
	return f.store(w, p, c.length)
}

// Guards against a gang of which some tasks wait for others that have no room, and against one that starves behind narrow
// jobs.
func TestGangStartsTogether(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 7, 6)
	f.run(20 * time.Millisecond)
	f.load(quote, 12, 20*time.Millisecond, 6*time.Second)
	f.run(time.Second)
	ids := []string{f.keepGang(quote, 6), f.keepGang(quote, 9), f.keepGang(grain, 4)}
	f.run(12 * time.Second)
	for _, id := range ids {
		is.Equal(f.stored[id].state, DurableCompleted)
	}
}

// Guards against members that wait alone after the start of one is rejected or its worker crashes.
func TestGangStopsWithAMember(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 8, 6)
	f.run(20 * time.Millisecond)
	f.workers["w01"].late = 1 // starts there are lost, and are carried out seconds later
	id := f.keepGang(grain, 8)
	f.run(600 * time.Millisecond)
	f.workers["w01"].late = 0
	f.run(1200 * time.Millisecond)
	f.crash(f.workers["w02"])
	f.run(20 * time.Second)
	is.Equal(f.stored[id].state, DurableCompleted)
}

// Guards against a gang that fails more often than its route allows, since each member counts for itself.
func TestGangFails(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 9, 6)
	f.run(20 * time.Millisecond)
	bad := quote
	bad.route = poisonRoute
	id := f.keepGang(bad, 4)
	f.run(9 * time.Second)
	is.Equal(f.stored[id].state, DurableFailed)
	for number := range bad.attempts + 1 {
		_, ran := f.gangs[fmt.Sprintf("%s.0.0 %d", id, number+1)]
		is.Equal(ran, number < bad.attempts)
	}
}
