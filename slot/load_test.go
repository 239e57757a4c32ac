package slot

import (
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// load runs jobs of 1 to jobTasks tasks on a zone; tasks take 50 ms to 1 s.
type load struct {
	z           *testZone
	split       []float64 // fraction of the tasks that each VM gets
	rate        float64   // tasks per second
	jobTasks    int64
	credit      []float64     // tasks that have become due on each VM and wait for its next job
	nextJobSize []float64     // size of the next job of each VM
	arrivals    [][]time.Time // arrival times of the queued tasks of each VM
	due         map[int64][]task
	running     map[string]int
	slowdowns   []float64
	refused     int // tasks that an endpoint's guard refused
}

type task struct {
	vm   *vm
	slot Slot
}

const (
	meanRunTime = 525 * time.Millisecond
	stepLength  = 500 * time.Microsecond
)

var splits = map[int][]float64{3: {0.7, 0.2, 0.1}, 5: {0.5, 0.2, 0.15, 0.1, 0.05}}

func newLoad(policy Policy, vms, endpoints int, level float64, jobTasks int64) *load {
	z := newTestZone(Config{Policy: policy}, vms, endpoints, 8, 7)
	z.run(1100*time.Millisecond, nil)
	l := &load{
		z: z, split: splits[vms], rate: level * float64(endpoints*8) / meanRunTime.Seconds(),
		jobTasks: jobTasks, credit: make([]float64, vms), nextJobSize: make([]float64, vms), arrivals: make([][]time.Time, vms),
		due: map[int64][]task{}, running: map[string]int{},
	}
	z.step = l.step
	return l
}

// step ends the tasks that are due and adds arriving ones.
func (l *load) step() {
	now := l.z.now.UnixNano()
	for _, t := range l.due[now] {
		l.running[t.slot.Endpoint]--
		t.vm.pool.Release(l.z.now, t.slot.ID)
		l.z.dispatch(t.vm)
	}
	delete(l.due, now)
	for i, v := range l.z.vms {
		l.credit[i] += l.rate * l.split[i] * stepLength.Seconds()
		if l.credit[i] >= l.nextJobSize[i] {
			for ; l.credit[i] >= 1; l.credit[i]-- {
				v.queued++
				l.arrivals[i] = append(l.arrivals[i], l.z.now)
			}
			l.nextJobSize[i] = float64(1 + l.z.random.Int64N(l.jobTasks))
		}
		l.z.dispatch(v)
		l.start(i, v)
	}
}

// start starts the tasks that got a slot, unless the endpoint's guard refuses them.
func (l *load) start(i int, v *vm) {
	for _, held := range v.held {
		if l.running[held.Endpoint] >= l.z.slots {
			l.refused++
			v.pool.Release(l.z.now, held.ID)
			v.queued++
			continue
		}
		steps := 100 + l.z.random.Int64N(1900)
		l.running[held.Endpoint]++
		end := l.z.now.UnixNano() + steps*int64(stepLength)
		l.due[end] = append(l.due[end], task{v, held})
		wait := l.z.now.Sub(l.arrivals[i][0])
		l.arrivals[i] = l.arrivals[i][1:]
		l.slowdowns = append(l.slowdowns, 1+float64(wait)/float64(steps*int64(stepLength)))
	}
	v.held = v.held[:0]
}

// targets divides the slots by max-min fairness over the demands of the VMs: none gets more than a common level.
func (l *load) targets() []Allocation {
	var targets []Allocation
	for _, v := range l.z.vms {
		targets = append(targets, Allocation{VM: v.id, Slots: float64(v.pool.Counts().InUse + v.queued)})
	}
	total := float64(l.z.endpoints * l.z.slots)
	level, step := 0.0, total
	for range 30 {
		sum := 0.0
		for _, target := range targets {
			sum += min(target.Slots, level+step)
		}
		if sum <= total {
			level += step
		}
		step /= 2
	}
	for i := range targets {
		targets[i].Slots = min(targets[i].Slots, level)
	}
	return targets
}

// run resets the counters and runs the load for d.
func (l *load) run(d time.Duration) {
	l.z.kinds = map[string]traffic{}
	l.slowdowns, l.refused = nil, 0
	for passed := time.Duration(0); passed < d; passed += 100 * time.Millisecond {
		l.z.run(100*time.Millisecond, l.targets())
	}
	slices.Sort(l.slowdowns)
}

func (l *load) slowdown(quantile float64) float64 {
	return l.slowdowns[int(quantile*float64(len(l.slowdowns)-1))]
}

// busy returns the fraction of the slots in use.
func (l *load) busy() float64 {
	sum := 0
	for _, count := range l.running {
		sum += count
	}
	return float64(sum) / float64(l.z.endpoints*l.z.slots)
}

// bytes returns the control traffic in bytes per second and VM.
func (l *load) bytes(d time.Duration) float64 {
	sum := 0
	for _, t := range l.z.kinds {
		sum += t.bytes
	}
	return float64(sum) / d.Seconds() / float64(len(l.z.vms))
}

// Guards against control traffic above 8 KB/s per VM and against refusals by guards, also when the load balancer sends
// most work to one VM or all VMs are flooded.
func TestControlTraffic(t *testing.T) {
	for _, vms := range []int{3, 5} {
		for _, endpoints := range []int{16, 48, 220} {
			for _, level := range []float64{0, 0.3, 0.7, 0.9, 1.5, -0.3, -0.7, -1.5} {
				is := is.New(t)
				jobTasks := int64(1)
				if level < 0 {
					level, jobTasks = -level, 150
				}
				l := newLoad(Loans, vms, endpoints, level, jobTasks)
				l.run(3 * time.Second)
				l.run(5 * time.Second)
				bytes := l.bytes(5 * time.Second)
				t.Logf("%d VMs, %d endpoints, load %.1f, jobs of up to %d tasks: %.0f bytes/s per VM", vms, endpoints, level, jobTasks, bytes)
				is.True(bytes < 8000)
				is.True(level <= 1 || l.busy() > 0.95) // a flood keeps all endpoints busy
				is.Equal(l.refused, 0)
			}
		}
	}
}

// Guards against loans that respond slower than fixed shares with an uneven load, or cost more refusals than two
// choices.
func TestPolicies(t *testing.T) {
	is := is.New(t)
	results := map[Policy]*load{}
	for _, level := range []float64{0.7, 0.8} {
		for i, name := range []string{"loans", "fixed-share", "two-choices"} {
			l := newLoad(Policy(i), 3, 48, level, 1)
			l.run(3 * time.Second)
			l.run(5 * time.Second)
			results[Policy(i)] = l
			t.Logf("load %.1f, %s: slowdown median %.3f, p99 %.3f; %d of %d tasks refused",
				level, name, l.slowdown(0.5), l.slowdown(0.99), l.refused, len(l.slowdowns))
		}
		is.True(results[Loans].slowdown(0.99) <= 1.5)
		is.True(results[Loans].slowdown(0.99) < results[FixedShare].slowdown(0.99))
		is.True(results[Loans].refused < results[TwoChoices].refused)
	}
}

// largestMessages returns the size of the largest message of each kind sent during step.
func (z *testZone) largestMessages(step func()) map[string]int {
	z.kinds = map[string]traffic{}
	step()
	sizes := map[string]int{}
	for kind, t := range z.kinds {
		sizes[kind] = t.largest
	}
	return sizes
}

// Guards against renewals that grow with the number of loans. Logs the size of the messages, also for a job of 150 tasks.
func TestMessageSizes(t *testing.T) {
	for _, vms := range []int{3, 5} {
		for _, endpoints := range []int{16, 48, 220} {
			is := is.New(t)
			z := newTestZone(Config{}, vms, endpoints, 8, 1)
			z.run(1100*time.Millisecond, nil)
			v := z.vms[0]
			job := z.largestMessages(func() { z.demand(v, endpoints*8/vms+150, 300*time.Millisecond) })
			all := z.largestMessages(func() { z.demand(v, endpoints*8, 300*time.Millisecond) })
			is.True(all["Renew"] <= job["Renew"]+3)
			given := z.largestMessages(func() {
				z.owners = z.owners[1:]
				for _, other := range z.vms {
					z.inform(other)
				}
				z.run(300*time.Millisecond, nil)
			})
			t.Logf("%d VMs, %d endpoints: want %d, lend %d, renew %d, renewed %d, handover %d; all slots: lend %d, renew %d",
				vms, endpoints, job["Want"], job["Lend"], job["Renew"], job["Renewed"], given["Handover"], all["Lend"], all["Renew"])
		}
	}
}

// Guards against a pool whose state takes 1 MiB or more while it holds all slots of a zone; the memory budget is 256
// MB.
func TestStateSize(t *testing.T) {
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for _, endpoints := range []int{16, 48, 220} {
		is := is.New(t)
		before := heap()
		z := newTestZone(Config{}, 5, endpoints, 8, 1)
		z.run(1100*time.Millisecond, nil)
		z.demand(z.vms[0], endpoints*8, 300*time.Millisecond)
		state := (heap() - before) / 5
		t.Logf("%d endpoints: %d KB per VM while one VM holds all %d slots", endpoints, state/1024, len(z.vms[0].held))
		is.True(state < 1<<20)
	}
}
