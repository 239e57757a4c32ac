package placement

import (
	"sort"
	"time"

	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/worker"
)

// fifoScheduler is the baseline: first in, first out, on the first worker with room, refusing by queue length. It
// trusts every worker and never moves a task.
type fifoScheduler struct {
	fence     int64
	maxQueued int // tasks in the queue
	ids       []string
	workers   map[string]*fifoWorker
	queue     []fifoTask
	remaining map[SubmissionKey]int
	failed    map[string]int
	keys      map[string]SubmissionKey // by task
	work      map[SubmissionKey]job.Work
	policy    map[SubmissionKey]job.Policy
	running   map[string]string // worker id by task
	lastRun   map[string]int
	effects   []Effect
}

type fifoWorker struct {
	worker.Worker
	free            worker.Resources
	clock           time.Duration
	clockAt         time.Time
	handledSequence int64
	polling         bool
	runs            map[string]worker.Resources
}

type fifoTask struct {
	key  SubmissionKey
	name string
	need worker.Resources
}

func newFIFO(sg *simGroup) *fifoScheduler {
	sg.generations++
	p := &fifoScheduler{
		fence: sg.currentFence(), maxQueued: 100, workers: map[string]*fifoWorker{}, remaining: map[SubmissionKey]int{}, failed: map[string]int{},
		keys: map[string]SubmissionKey{}, work: map[SubmissionKey]job.Work{}, policy: map[SubmissionKey]job.Policy{}, running: map[string]string{}, lastRun: map[string]int{},
	}
	sg.scheduler = p
	sg.step(p, sg.list())
	sg.tick(p)
	return p
}

func (p *fifoScheduler) Update(now time.Time, message Message) []Effect {
	p.effects = nil
	switch m := message.(type) {
	case WorkerList:
		for _, w := range m.Workers {
			if p.workers[w.ID] != nil {
				continue
			}
			p.workers[w.ID] = &fifoWorker{Worker: w, free: w.Capacity, runs: map[string]worker.Resources{}}
			p.ids = append(p.ids, w.ID)
			p.poll(p.workers[w.ID], now)
		}
		sort.Strings(p.ids)
	case Submit:
		if len(p.queue) > p.maxQueued {
			p.effects = append(p.effects, Reply{m.Key, NotRun{Reason: "queue is full"}})
			break
		}
		p.work[m.Key], p.policy[m.Key] = m.Work, m.Policy
		for i := range m.Work.Steps[0].Count {
			name := job.TaskName(m.Work.ID, 0, i)
			p.keys[name] = m.Key
			p.remaining[m.Key]++
			p.queue = append(p.queue, fifoTask{m.Key, name, m.Work.Steps[0].Need})
		}
	case StartResult:
		if _, rejected := worker.RejectionReason(m.Err); rejected {
			p.requeue(m.Order.Task)
		}
	case PollResult:
		p.handlePollResult(m, now)
	}
	p.place(now)
	return p.effects
}

func (p *fifoScheduler) handlePollResult(m PollResult, now time.Time) {
	n := p.workers[m.Order.ID]
	n.polling = false
	if m.Err == nil {
		n.clock, n.clockAt = m.Report.Clock, now
		for _, e := range m.Report.Ended {
			if e.Sequence <= n.handledSequence {
				continue
			}
			n.handledSequence = e.Sequence
			p.handleEnded(e)
		}
	}
	if len(n.runs) > 0 || m.Err != nil || n.handledSequence > m.Order.AckedThrough {
		p.poll(n, now)
	}
}

func (p *fifoScheduler) handleEnded(e worker.EndedRun) {
	key, ok := p.keys[e.Task]
	if !ok || p.running[e.Task] == "" {
		return
	}
	if e.Outcome != worker.Done {
		if e.Outcome == worker.Failed {
			p.failed[e.Task]++
		}
		p.requeue(e.Task)
		if p.failed[e.Task] >= p.policy[key].MaxAttempts && p.remaining[key] > 0 {
			p.finish(key, Failed{Task: e.Task})
		}
		return
	}
	p.removeRun(e.Task)
	if p.remaining[key]--; p.remaining[key] == 0 {
		p.finish(key, Completed{})
	}
}

func (p *fifoScheduler) finish(key SubmissionKey, v Verdict) {
	if _, open := p.remaining[key]; open {
		delete(p.remaining, key)
		p.effects = append(p.effects, Reply{key, v})
	}
}

func (p *fifoScheduler) removeRun(task string) {
	n := p.workers[p.running[task]]
	n.free = n.free.Add(n.runs[task])
	delete(n.runs, task)
	delete(p.running, task)
}

func (p *fifoScheduler) requeue(task string) {
	if p.running[task] == "" {
		return
	}
	need := p.workers[p.running[task]].runs[task]
	p.removeRun(task)
	p.queue = append(p.queue, fifoTask{p.keys[task], task, need})
}

func (p *fifoScheduler) place(now time.Time) {
	for len(p.queue) > 0 {
		t := p.queue[0]
		if _, open := p.remaining[t.key]; !open {
			p.queue = p.queue[1:]
			continue
		}
		n := p.firstFit(t.need)
		if n == nil {
			return
		}
		p.queue = p.queue[1:]
		p.lastRun[t.name]++
		n.free = n.free.Sub(t.need)
		n.runs[t.name] = t.need
		p.running[t.name] = n.ID
		p.effects = append(p.effects, StartRun{Order: worker.StartOrder{
			Target: worker.Target{ID: n.ID, Address: n.Address}, Run: worker.Run{Task: t.name, Number: p.lastRun[t.name]},
			Lease: n.clock + now.Sub(n.clockAt) + time.Second, Fence: p.fence,
		}})
		p.poll(n, now)
	}
}

func (p *fifoScheduler) firstFit(need worker.Resources) *fifoWorker {
	for _, id := range p.ids {
		if n := p.workers[id]; n.clock > 0 && need.FitsIn(n.free) {
			return n
		}
	}
	return nil
}

func (p *fifoScheduler) poll(n *fifoWorker, now time.Time) {
	if n.polling {
		return
	}
	n.polling = true
	o := worker.PollOrder{Target: worker.Target{ID: n.ID, Address: n.Address}, Fence: p.fence, AckedThrough: n.handledSequence}
	if len(n.runs) > 0 {
		o.Wait, o.Lease = 600*time.Millisecond, n.clock+now.Sub(n.clockAt)+time.Second
	}
	p.effects = append(p.effects, PollWorker{o})
}
