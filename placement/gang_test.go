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
	ended   bool
}

// gangTimeout is how long a member waits for the others.
const gangTimeout = 4 * time.Second

// joinGang adds a run to its gang, which starts to work once all members are present.
func (sg *simGroup) joinGang(w *simWorker, o worker.StartOrder, r *simRun, count int) {
	key := fmt.Sprintf("%s %d", o.Task[:strings.LastIndex(o.Task, ".")], o.Number)
	g := sg.gangs[key]
	if g == nil {
		g = &simGang{members: map[string]*simWorker{}}
		sg.gangs[key] = g
	}
	r.gang = g
	g.members[o.Task] = w
	sg.after(gangTimeout, func() {
		if w.runs[o.Task] == r && len(g.members) < count {
			if !sg.withFaults {
				sg.logDecisions(r.job(o.Task))
				sg.t.Fatalf("task %s has waited for the others of its gang", o.Task)
			}
			sg.endRun(w, o.Task, worker.GangIncomplete)
		}
	})
	if len(g.members) < count {
		return
	}
	sg.after(r.length, func() {
		if g.ended {
			return
		}
		g.ended = true
		tasks := g.tasks()
		outcome, failed := worker.Done, 0
		for _, task := range tasks {
			if run := g.members[task].runs[task]; failed < 2 && run != nil && run.gang == g && run.fails {
				outcome = worker.GangBroken // for the others
				failed++
				sg.endRun(g.members[task], task, worker.Failed)
			}
		}
		for _, task := range tasks {
			if run := g.members[task].runs[task]; run != nil && run.gang == g {
				sg.endRun(g.members[task], task, outcome)
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

// breakGang ends the other members of a gang after one has ended.
func (sg *simGroup) breakGang(r *simRun) {
	if r == nil || r.gang == nil || r.gang.ended {
		return
	}
	g := r.gang
	g.ended = true
	sg.after(simLatency, func() {
		for _, task := range g.tasks() {
			on := g.members[task]
			if run := on.runs[task]; run != nil && run.gang == g {
				sg.endRun(on, task, worker.GangBroken)
			}
		}
	})
}

// storeGang stores a job with a gang of the given width and submits it to the scheduler.
func (sg *simGroup) storeGang(c jobClass, width int) string {
	simSequence++
	w := job.Work{ID: fmt.Sprintf("%016x", simSequence), Spec: "s", Steps: []job.Step{
		{Count: width, Estimate: c.length, Need: worker.Resources{MilliCores: c.cores, MemoryMiB: 64}, Gang: true},
	}}
	p := job.Policy{Route: c.route, Service: "cue", Priority: c.priority, MaxAttempts: c.attempts, Stretch: 1.6, Target: 60 * time.Millisecond}
	return sg.store(w, p, c.length)
}

// Guards against a gang with some tasks running while the others have no room, and against gangs that starve behind
// narrow jobs.
func TestGangStartsTogether(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 7, 6)
	sg.run(20 * time.Millisecond)
	sg.submitAtRate(quote, 12, 20*time.Millisecond, 6*time.Second)
	sg.run(time.Second)
	ids := []string{sg.storeGang(quote, 6), sg.storeGang(quote, 9), sg.storeGang(grain, 4)}
	sg.run(12 * time.Second)
	for _, id := range ids {
		is.Equal(sg.stored[id].state, DurableCompleted)
	}
}

// Guards against members that keep waiting after the start of another one is rejected or its worker crashes.
func TestGangStopsWhenMemberIsLost(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 8, 6)
	sg.run(20 * time.Millisecond)
	sg.workers["w01"].delayedStarts = 1 // starts there are unanswered and carried out seconds later
	id := sg.storeGang(grain, 8)
	sg.run(600 * time.Millisecond)
	sg.workers["w01"].delayedStarts = 0
	sg.run(1200 * time.Millisecond)
	sg.crash(sg.workers["w02"])
	sg.run(20 * time.Second)
	is.Equal(sg.stored[id].state, DurableCompleted)
}

// Guards against a gang that fails more often than its route allows because each member is counted separately.
func TestGangFails(t *testing.T) {
	is := is.New(t)
	sg := newSimGroup(t, 9, 6)
	sg.run(20 * time.Millisecond)
	bad := quote
	bad.route = poisonRoute
	id := sg.storeGang(bad, 4)
	sg.run(9 * time.Second)
	is.Equal(sg.stored[id].state, DurableFailed)
	for number := range bad.attempts + 1 {
		_, ran := sg.gangs[fmt.Sprintf("%s.0.0 %d", id, number+1)]
		is.Equal(ran, number < bad.attempts)
	}
}

// Guards against a gang that never begins, since its members resume from different checkpoints after one was lost.
func TestGangResumesFromOneCheckpoint(t *testing.T) {
	is := is.New(t)
	s := New(Config{Fence: 256, Rules: DefaultRules()})
	now := time.Unix(1_700_000_000, 0)
	w := worker.Worker{ID: "w", Service: "cue", Address: "w:1", Zone: "a", Incarnation: 1, Capacity: worker.Resources{MilliCores: 64000, MemoryMiB: 1024}}
	update := func(m Message) (starts []StartRun) {
		for _, e := range s.Update(now, m) {
			switch e := e.(type) {
			case StartRun:
				starts = append(starts, e)
			case PollWorker:
				if e.Order.Wait == 0 {
					for _, next := range s.Update(now, PollResult{Order: e.Order, SentAt: now, Report: worker.Report{Clock: time.Hour, Incarnation: 1}}) {
						if start, ok := next.(StartRun); ok {
							starts = append(starts, start)
						}
					}
				}
			}
		}
		return starts
	}
	update(WorkerList{Workers: []worker.Worker{w}})
	step := job.Step{Count: 3, Estimate: time.Second, Need: worker.Resources{MilliCores: 1000}, Gang: true, Checkpointing: true}
	progress := Progress{
		Done: [][]bool{{false, false, false}}, Failed: [][]int{{0, 0, 0}}, Counted: [][]int{{0, 0, 0}}, Runs: [][]int{{1, 1, 1}}, Checkpoints: [][]string{{"", "b", "c"}},
	}
	starts := update(Submit{Work: job.Work{ID: "00000000000000aa", Steps: []job.Step{step}}, Policy: job.Policy{Service: "cue", MaxAttempts: 3}, Durable: true, Resumed: true, Progress: progress})
	for range 80 {
		now = now.Add(50 * time.Millisecond)
		starts = append(starts, update(Tick{})...)
	}
	is.True(len(starts) >= 3)
	for _, start := range starts[:3] {
		is.Equal(start.Order.Checkpoint, "b")
	}
}
