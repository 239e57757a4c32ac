package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/endpoint"
	"samphireplank.example/samphireplank/job"
	"samphireplank.example/samphireplank/queue"
	"samphireplank.example/samphireplank/store"
)

// event is an action that a test zone runs at a given time.
type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// link configures the faults of messages between VMs: probabilities, and the maximum delay added to linkDelay.
type link struct {
	lose, copy float64
	delay      time.Duration
}

const linkDelay = 200 * time.Microsecond

// answer is the behaviour of a fake endpoint for a task that it accepts. A broken connection makes the result unknown,
// as does a run time beyond the timeout.
type answer struct {
	result  endpoint.Result
	runTime time.Duration
}

// fakeEndpoint simulates an endpoint: it has slots and a guard, and a task that arrives is run at most once.
type fakeEndpoint struct {
	Endpoint
	slots   int
	running int
	starts  int
	busy    time.Duration
	listed  bool
	stopped bool                    // refuses connections
	answers func(*StartTask) answer // nil for success after 50 ms
}

// fakeVM is an entry VM of a test zone.
type fakeVM struct {
	id        string
	core      *Core
	paused    bool
	wasPaused bool // was paused at least once
	stopped   bool
	removed   bool // its peers have removed it
	draining  bool
	inbox     []Message
	idleSince time.Time // start of the time with queued work and an idle slot
	sequence  uint64
}

// testZone connects the cores of one zone by a link, runs their effects against fake endpoints and checks the
// invariants.
type testZone struct {
	t             testing.TB
	now           time.Time
	random        *rand.Rand
	events        events
	order         int
	link          link
	set           *contract.Set
	vms           []*fakeVM
	endpoints     []*fakeEndpoint
	jobs          map[job.ID]*jobRecord
	refusals      map[string][]time.Time
	first         int // number of first starts of tasks
	retries       int
	sent          int // number of messages between VMs
	announcements int // number of membership announcements
	failures      []string
}

func newTestZone(t testing.TB, seed uint64, vms, endpoints int) *testZone {
	z := &testZone{
		t: t, now: start, random: rand.New(rand.NewPCG(seed, 1)), set: testSet(),
		jobs: make(map[job.ID]*jobRecord), refusals: make(map[string][]time.Time),
	}
	for i := range endpoints {
		e := &fakeEndpoint{slots: z.set.Services[0].Slots, listed: true}
		e.ID = fmt.Sprintf("executor-%02d", i)
		z.endpoints = append(z.endpoints, e)
	}
	for i := range vms {
		id := fmt.Sprintf("entry-%d", i)
		z.vms = append(z.vms, &fakeVM{id: id, core: New(Config{VM: id, Incarnation: 1, Service: "sorting", Set: z.set})})
	}
	z.inform(0)
	for i, vm := range z.vms {
		z.after(time.Duration(i)*3*time.Millisecond, func() { z.tick(vm) })
	}
	z.run(10 * time.Millisecond)
	if vms > 1 {
		z.run(1200 * time.Millisecond) // a VM with peers waits for a loan term before it uses its slots
	}
	return z
}

// testSet has one kind that is idempotent and one that isn't in each of two priorities.
func testSet() *contract.Set {
	kind := func(name, priority string, attempts int) contract.Kind {
		return contract.Kind{
			Name: name, Service: "sorting", Path: "/" + name, Priority: priority, Idempotent: attempts > 1, MaxAttempts: attempts,
			Deadline: 30 * time.Second, RunTime: 50 * time.Millisecond, MaxTasks: job.MaxTasks,
		}
	}
	return &contract.Set{
		Services: []contract.Service{{Name: "sorting", Slots: 8, MaxConnections: 64, Guard: true, ProbePath: "/healthz"}},
		Priorities: []contract.Priority{
			{Name: "batch", Rank: 2, Share: 30, MaxQueued: 1 << 20}, {Name: "urgent", Rank: 1, Share: 70, MaxQueued: 1 << 20},
		},
		Kinds: []contract.Kind{kind("quote", "urgent", 3), kind("scan", "urgent", 1), kind("sort", "batch", 1)},
		Teams: []contract.Team{{Name: "birch", Weight: 1}, {Name: "juniper", Weight: 2}},
	}
}

func (z *testZone) after(d time.Duration, run func()) {
	z.order++
	heap.Push(&z.events, event{z.now.Add(d), z.order, run})
}

// run advances the time by d.
func (z *testZone) run(d time.Duration) {
	end := z.now.Add(d)
	for len(z.events) > 0 && !z.events[0].at.After(end) {
		e := heap.Pop(&z.events).(event)
		z.now = e.at
		e.run()
	}
	z.now = end
}

func (z *testZone) tick(vm *fakeVM) {
	if vm.stopped {
		return
	}
	z.after(TickInterval, func() { z.tick(vm) })
	if !vm.paused {
		z.update(vm, Tick{})
	}
}

// inform sends every VM the current members of the zone, each after at most the given delay.
func (z *testZone) inform(delay time.Duration) {
	z.announcements++
	var owners []string
	for _, vm := range z.vms {
		if !vm.removed && !vm.draining {
			owners = append(owners, vm.id)
		}
	}
	var listed []Endpoint
	for i, e := range z.endpoints {
		if e.listed {
			listed = append(listed, Endpoint{VM: store.VM{ID: e.ID, Incarnation: 1}, Owner: owners[i%len(owners)]})
		}
	}
	for _, vm := range z.vms {
		var peers []string
		for _, other := range z.vms {
			if other != vm && !other.removed {
				peers = append(peers, other.id)
			}
		}
		z.after(z.upTo(delay), func() { z.deliver(vm, MembershipChanged{Endpoints: listed, Peers: peers}) })
	}
	z.run(0)
}

func (z *testZone) upTo(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(z.random.Int64N(int64(d)))
}

// deliver passes a message to a VM, or queues it until the VM is no longer paused.
func (z *testZone) deliver(vm *fakeVM, m Message) {
	switch {
	case vm.stopped:
	case vm.paused:
		vm.inbox = append(vm.inbox, m)
	default:
		z.update(vm, m)
	}
}

func (z *testZone) update(vm *fakeVM, m Message) {
	for _, effect := range vm.core.Update(z.now, m, nil) {
		switch e := effect.(type) {
		case StartTask:
			z.recordStart(&e)
			z.send(vm, &e)
		case FinishJob:
			z.checkFinish(&e)
		case SendToPeer:
			z.sendPeer(vm, e)
		case Probe:
			z.after(time.Millisecond, func() {
				z.deliver(vm, ProbeFinished{Endpoint: e.Endpoint, Healthy: !z.endpoint(e.Endpoint).stopped})
			})
		}
	}
}

// sendPeer sends a message over the link, which loses, duplicates and reorders.
func (z *testZone) sendPeer(from *fakeVM, e SendToPeer) {
	z.sent++
	copies := 1
	if z.random.Float64() < z.link.copy {
		copies = 2
	}
	if z.random.Float64() < z.link.lose {
		copies = 0
	}
	to := z.vms[slices.IndexFunc(z.vms, func(vm *fakeVM) bool { return vm.id == e.Peer })]
	for range copies {
		z.after(linkDelay+z.upTo(z.link.delay), func() { z.deliver(to, PeerMessage{From: from.id, Body: e.Body}) })
	}
}

func (z *testZone) endpoint(id string) *fakeEndpoint {
	return z.endpoints[slices.IndexFunc(z.endpoints, func(e *fakeEndpoint) bool { return e.ID == id })]
}

// send delivers a task to its endpoint and returns the result.
func (z *testZone) send(vm *fakeVM, s *StartTask) {
	timeout := z.now.Add(s.Timeout)
	z.after(linkDelay, func() {
		e := z.endpoint(s.Endpoint)
		e.starts++
		switch {
		case e.stopped:
			z.reply(vm, s, answer{result: endpoint.NotSent})
			return
		case e.running >= e.slots:
			z.reply(vm, s, answer{result: endpoint.Refused})
			return
		}
		a := answer{result: endpoint.Succeeded, runTime: 50 * time.Millisecond}
		if e.answers != nil {
			a = e.answers(s)
		}
		if a.result == endpoint.Refused || a.result == endpoint.NotSent {
			z.reply(vm, s, a)
			return
		}
		z.recordExecution(s)
		e.running++
		e.busy += a.runTime
		z.after(a.runTime, func() { e.running-- })
		if z.now.Add(a.runTime).After(timeout) {
			z.after(timeout.Sub(z.now), func() { z.reply(vm, s, answer{result: endpoint.Unknown}) })
			return
		}
		z.after(a.runTime, func() { z.reply(vm, s, a) })
	})
}

func (z *testZone) reply(vm *fakeVM, s *StartTask, a answer) {
	z.after(linkDelay, func() {
		z.recordEnd(vm, s, a.result)
		z.deliver(vm, TaskFinished{
			Job: s.Job, Task: s.Task, Endpoint: s.Endpoint, Slot: s.Slot, Result: a.result, RunTime: a.runTime,
		})
	})
}

// submit submits a job to a VM and returns its id.
func (z *testZone) submit(vm *fakeVM, kind, team string, tasks int, deadline time.Duration) job.ID {
	vm.sequence++
	id := job.ID{Zone: "tartu-a", VM: vm.id, Incarnation: 1, Sequence: vm.sequence}
	z.jobs[id] = &jobRecord{vm: vm, kind: kind, tasks: make([]taskRecord, tasks), deadline: z.now.Add(deadline)}
	z.deliver(vm, Submit{Job: id, Kind: kind, Team: team, Tasks: tasks, Deadline: z.now.Add(deadline)})
	return id
}

// pause suspends a VM for a time; its peers remove it after a second.
func (z *testZone) pause(vm *fakeVM, d time.Duration) {
	if vm.paused || vm.stopped {
		return
	}
	vm.paused, vm.wasPaused = true, true
	z.after(time.Second, func() { z.removeVM(vm) })
	z.after(d, func() {
		vm.paused = false
		inbox := vm.inbox
		vm.inbox = nil
		for _, m := range inbox {
			z.update(vm, m)
		}
		if vm.removed {
			vm.removed = false
			z.inform(100 * time.Millisecond)
		}
	})
}

// kill stops a VM; its peers remove it after a second.
func (z *testZone) kill(vm *fakeVM) {
	vm.stopped = true
	z.after(time.Second, func() { z.removeVM(vm) })
}

func (z *testZone) removeVM(vm *fakeVM) {
	others := slices.ContainsFunc(z.vms, func(other *fakeVM) bool { return other != vm && !other.removed && !other.draining })
	if (vm.paused || vm.stopped) && !vm.removed && others {
		vm.removed = true
		z.inform(100 * time.Millisecond)
	}
}

// inUse returns the number of running tasks over all endpoints.
func (z *testZone) inUse() int {
	sum := 0
	for _, e := range z.endpoints {
		sum += e.running
	}
	return sum
}

func (z *testZone) queued(vm *fakeVM) int {
	sum := 0
	for _, d := range vm.core.queue.AppendDemand([]queue.Demand{}) {
		sum += d.Queued
	}
	return sum
}
