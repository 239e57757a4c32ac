package placement

import (
	"sort"
	"time"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// naivePool is the plain way to place tasks: first in, first out, on the first worker with room, refusing by the length
// of the queue. It believes every worker and never moves a task.
type naivePool struct {
	fence   int64
	limit   int // tasks in the queue
	ids     []string
	nodes   map[string]*naiveNode
	queue   []naiveTask
	left    map[SubmissionKey]int
	failed  map[string]int
	keys    map[string]SubmissionKey // of a task
	works   map[SubmissionKey]job.Work
	policy  map[SubmissionKey]job.Policy
	running map[string]string // worker of a task
	number  map[string]int
	out     []Effect
}

type naiveNode struct {
	worker.Worker
	free    worker.Resources
	clock   time.Duration
	at      time.Time
	handled int64
	holding bool
	runs    map[string]worker.Resources
}

type naiveTask struct {
	key  SubmissionKey
	name string
	need worker.Resources
}

func newNaive(f *fleet) *naivePool {
	f.pools++
	p := &naivePool{
		fence: f.fence(), limit: 100, nodes: map[string]*naiveNode{}, left: map[SubmissionKey]int{}, failed: map[string]int{},
		keys: map[string]SubmissionKey{}, works: map[SubmissionKey]job.Work{}, policy: map[SubmissionKey]job.Policy{}, running: map[string]string{}, number: map[string]int{},
	}
	f.pool = p
	f.step(p, f.list())
	f.tick(p)
	return p
}

func (p *naivePool) Update(now time.Time, message Message) []Effect {
	p.out = nil
	switch m := message.(type) {
	case WorkerList:
		for _, w := range m.Workers {
			if p.nodes[w.ID] != nil {
				continue
			}
			p.nodes[w.ID] = &naiveNode{Worker: w, free: w.Capacity, runs: map[string]worker.Resources{}}
			p.ids = append(p.ids, w.ID)
			p.hold(p.nodes[w.ID], now)
		}
		sort.Strings(p.ids)
	case Submit:
		if len(p.queue) > p.limit {
			p.out = append(p.out, Reply{m.Key, NotRun{Reason: "queue is full"}})
			break
		}
		p.works[m.Key], p.policy[m.Key] = m.Work, m.Policy
		for i := range m.Work.Steps[0].Count {
			name := job.TaskName(m.Work.ID, 0, i)
			p.keys[name] = m.Key
			p.left[m.Key]++
			p.queue = append(p.queue, naiveTask{m.Key, name, m.Work.Steps[0].Need})
		}
	case StartResult:
		if _, rejected := worker.RejectionReason(m.Err); rejected {
			p.again(m.Order.Task)
		}
	case PollResult:
		p.held(m, now)
	}
	p.place(now)
	return p.out
}

func (p *naivePool) held(m PollResult, now time.Time) {
	n := p.nodes[m.Order.ID]
	n.holding = false
	if m.Err == nil {
		n.clock, n.at = m.Report.Clock, now
		for _, e := range m.Report.Ended {
			if e.Sequence <= n.handled {
				continue
			}
			n.handled = e.Sequence
			p.ended(e)
		}
	}
	if len(n.runs) > 0 || m.Err != nil || n.handled > m.Order.AckedThrough {
		p.hold(n, now)
	}
}

func (p *naivePool) ended(e worker.EndedRun) {
	key, ok := p.keys[e.Task]
	if !ok || p.running[e.Task] == "" {
		return
	}
	if e.Outcome != worker.Done {
		if e.Outcome == worker.Failed {
			p.failed[e.Task]++
		}
		p.again(e.Task)
		if p.failed[e.Task] >= p.policy[key].MaxAttempts && p.left[key] > 0 {
			p.finish(key, Failed{Task: e.Task})
		}
		return
	}
	p.free(e.Task)
	if p.left[key]--; p.left[key] == 0 {
		p.finish(key, Completed{})
	}
}

func (p *naivePool) finish(key SubmissionKey, v Verdict) {
	if _, open := p.left[key]; open {
		delete(p.left, key)
		p.out = append(p.out, Reply{key, v})
	}
}

func (p *naivePool) free(task string) {
	n := p.nodes[p.running[task]]
	n.free = n.free.Add(n.runs[task])
	delete(n.runs, task)
	delete(p.running, task)
}

func (p *naivePool) again(task string) {
	if p.running[task] == "" {
		return
	}
	need := p.nodes[p.running[task]].runs[task]
	p.free(task)
	p.queue = append(p.queue, naiveTask{p.keys[task], task, need})
}

func (p *naivePool) place(now time.Time) {
	for len(p.queue) > 0 {
		t := p.queue[0]
		if _, open := p.left[t.key]; !open {
			p.queue = p.queue[1:]
			continue
		}
		n := p.fit(t.need)
		if n == nil {
			return
		}
		p.queue = p.queue[1:]
		p.number[t.name]++
		n.free = n.free.Sub(t.need)
		n.runs[t.name] = t.need
		p.running[t.name] = n.ID
		p.out = append(p.out, StartRun{Order: worker.StartOrder{
			Target: worker.Target{ID: n.ID, Address: n.Address}, Run: worker.Run{Task: t.name, Number: p.number[t.name]},
			Lease: n.clock + now.Sub(n.at) + time.Second, Fence: p.fence,
		}})
		p.hold(n, now)
	}
}

func (p *naivePool) fit(need worker.Resources) *naiveNode {
	for _, id := range p.ids {
		if n := p.nodes[id]; n.clock > 0 && need.FitsIn(n.free) {
			return n
		}
	}
	return nil
}

func (p *naivePool) hold(n *naiveNode, now time.Time) {
	if n.holding {
		return
	}
	n.holding = true
	o := worker.PollOrder{Target: worker.Target{ID: n.ID, Address: n.Address}, Fence: p.fence, AckedThrough: n.handled}
	if len(n.runs) > 0 {
		o.Wait, o.Lease = 600*time.Millisecond, n.clock+now.Sub(n.at)+time.Second
	}
	p.out = append(p.out, PollWorker{o})
}
