package slot

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawZone draws the size of a zone and starts it.
func drawZone(rt *rapid.T) *testZone {
	vms := rapid.IntRange(2, 4).Draw(rt, "vms")
	endpoints := rapid.IntRange(1, 6).Draw(rt, "endpoints")
	slots := rapid.IntRange(1, 3).Draw(rt, "slots")
	z := newTestZone(Config{}, vms, endpoints, slots, rapid.Uint64().Draw(rt, "seed"))
	z.run(1100*time.Millisecond, nil)
	return z
}

// work submits tasks to a VM or ends one of its tasks.
func (z *testZone) work(rt *rapid.T) {
	v := rapid.SampledFrom(z.vms).Draw(rt, "vm")
	if v.paused || v.stopped {
		return
	}
	if rapid.Bool().Draw(rt, "submit") || len(v.held) == 0 {
		v.queued += rapid.IntRange(1, 2*z.slots).Draw(rt, "tasks")
		z.dispatch(v)
		return
	}
	z.finish(v, rapid.IntRange(0, len(v.held)-1).Draw(rt, "task"))
}

// changeOwners draws new owners, which each VM learns after a delay of up to lag.
func (z *testZone) changeOwners(rt *rapid.T, lag time.Duration) {
	z.owners = rapid.Permutation(z.alive).Draw(rt, "owners")
	z.owners = z.owners[:rapid.IntRange(1, len(z.owners)).Draw(rt, "owner count")]
	for _, v := range z.vms {
		v.informAt = z.now.Add(time.Duration(rapid.Int64Range(0, int64(lag)).Draw(rt, "lag")))
	}
}

func (z *testZone) targets(rt *rapid.T) []Allocation {
	if rapid.Bool().Draw(rt, "no targets") {
		return nil
	}
	left := z.endpoints * z.slots
	var targets []Allocation
	for _, id := range z.alive {
		slots := rapid.IntRange(0, left).Draw(rt, "target")
		left -= slots
		targets = append(targets, Allocation{VM: id, Slots: float64(slots)})
	}
	return targets
}

func (z *testZone) check(rt *rapid.T, what string) {
	for endpoint, count := range z.inUse() {
		if count > z.slots {
			rt.Fatalf("%s: %d tasks on %d slots of %s", what, count, z.slots, endpoint)
		}
	}
}

// Guards against more tasks than slots on an endpoint, and against slots that stay idle while tasks are queued, for any
// load, targets and owners without faults.
func TestNeverMoreTasksThanSlots(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		z := drawZone(rt)
		var targets []Allocation
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0, 1, 2:
				z.changeOwners(rt, 400*time.Millisecond)
			case 3:
				targets = z.targets(rt)
			case 4, 5:
				z.run(time.Duration(rapid.IntRange(1, 600).Draw(rt, "ms"))*time.Millisecond, targets)
			default:
				z.work(rt)
				z.run(time.Millisecond, targets)
			}
			z.check(rt, "without faults")
		}
		z.run(2*time.Second, targets)
		for _, v := range z.vms {
			v.queued += z.endpoints * z.slots
		}
		z.run(400*time.Millisecond, targets)
		z.check(rt, "with work for all")
		sum := 0
		for _, count := range z.inUse() {
			sum += count
		}
		if sum != z.endpoints*z.slots {
			rt.Fatalf("%d of %d slots are in use while all VMs have queued tasks", sum, z.endpoints*z.slots)
		}
	})
}

// injectFault draws one fault.
func (z *testZone) injectFault(rt *rapid.T) {
	v := rapid.SampledFrom(z.vms).Draw(rt, "vm")
	switch rapid.IntRange(0, 4).Draw(rt, "fault") {
	case 0:
		v.paused = !v.paused
	case 1:
		z.changeOwners(rt, time.Second)
	case 2: // a VM is declared unreachable or reachable again
		if i := slices.Index(z.alive, v.id); i < 0 {
			z.alive = append(z.alive, v.id)
		} else if len(z.alive) > 1 {
			z.alive = slices.Delete(z.alive, i, i+1)
		}
		z.changeOwners(rt, 0)
	case 3:
		z.lossRate, z.duplicateRate, z.maxExtraDelay = 0.3, 0.2, 300*time.Millisecond
	case 4: // restart without state
		z.undelivered = slices.DeleteFunc(z.undelivered, func(l delayedMessage) bool { return l.to == v.id })
		v.pool = New(Config{VM: v.id, Incarnation: v.pool.config.Incarnation + 1})
		v.held, v.queued, v.paused = nil, 0, false
		z.inform(v)
	}
}

// clearFaults ends all faults and most tasks, and lets two loan terms pass.
func (z *testZone) clearFaults(rt *rapid.T) {
	z.lossRate, z.duplicateRate, z.maxExtraDelay = 0, 0, 0
	z.alive = nil
	for _, v := range z.vms {
		z.alive = append(z.alive, v.id)
	}
	z.owners = rapid.Permutation(z.alive).Draw(rt, "last owners")
	for _, v := range z.vms {
		v.paused, v.queued = false, 0
		z.inform(v)
		for len(v.held) > 0 && rapid.IntRange(0, 4).Draw(rt, "long task") > 0 {
			z.finish(v, 0)
		}
	}
	z.run(2*time.Second, nil)
}

// Guards against slots that are lost or used twice, on any VM, two loan terms after the last fault.
func TestSlotsSurviveFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		z := drawZone(rt)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				z.injectFault(rt)
			case 1, 2:
				z.run(time.Duration(rapid.IntRange(1, 800).Draw(rt, "ms"))*time.Millisecond, nil)
			default:
				z.work(rt)
				z.run(time.Millisecond, nil)
			}
		}
		z.clearFaults(rt)
		before := z.inUse()
		v := rapid.SampledFrom(z.vms).Draw(rt, "demanding vm")
		v.queued = z.endpoints*z.slots + 5
		z.dispatch(v)
		z.run(200*time.Millisecond, nil)
		after := z.inUse()
		for e := range z.endpoints {
			id := endpointID(e)
			// Faults may leave more long tasks than slots on an endpoint; then it must not get another task.
			if want := max(z.slots, before[id]); after[id] != want {
				rt.Fatalf("%s has %d tasks instead of %d (%d before)", id, after[id], want, before[id])
			}
		}
	})
}
