package dispatch

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/endpoint"
	"samphireplank.example/samphireplank/job"
)

// randomAnswer returns endpoint behaviour with all possible results, some of them late.
func (z *testZone) randomAnswer(faulty int) func(*StartTask) answer {
	results := []endpoint.Result{
		endpoint.Failed, endpoint.Rejected, endpoint.Refused, endpoint.NotSent, endpoint.Unknown,
	}
	return func(*StartTask) answer {
		a := answer{result: endpoint.Succeeded, runTime: time.Millisecond + z.upTo(100*time.Millisecond)}
		if z.random.IntN(100) >= faulty {
			return a
		}
		if kind := z.random.IntN(len(results) + 1); kind < len(results) {
			a.result = results[kind]
		} else {
			a.runTime = z.upTo(3 * time.Second)
		}
		return a
	}
}

// changedSet returns the set with a different number of slots, and sometimes without the kind "sort".
func changedSet(t *rapid.T) *contract.Set {
	set := testSet()
	set.Services[0].Slots = rapid.IntRange(1, 8).Draw(t, "slots")
	if rapid.Bool().Draw(t, "without") {
		set.Kinds = set.Kinds[:2]
	}
	return set
}

// applyRandomEvent applies one generated event to a zone.
func (z *testZone) applyRandomEvent(t *rapid.T) {
	vm := z.vms[rapid.IntRange(0, len(z.vms)-1).Draw(t, "vm")]
	e := z.endpoints[rapid.IntRange(0, len(z.endpoints)-1).Draw(t, "endpoint")]
	switch rapid.SampledFrom(strings.Fields(
		"submit submit submit submit submit cancel cancel configure leave die freeze kill drain wait wait")).Draw(t, "event") {
	case "submit":
		kind := rapid.SampledFrom([]string{"quote", "scan", "sort"}).Draw(t, "kind")
		team := rapid.SampledFrom([]string{"birch", "juniper"}).Draw(t, "team")
		tasks := rapid.IntRange(1, 12).Draw(t, "tasks")
		deadline := time.Duration(rapid.IntRange(1, 800).Draw(t, "deadline")) * time.Millisecond
		if !vm.stopped {
			z.submit(vm, kind, team, tasks, deadline)
		}
	case "cancel":
		back := uint64(rapid.IntRange(0, 5).Draw(t, "back"))
		z.deliver(vm, Cancel{Job: job.ID{Zone: "tartu-a", VM: vm.id, Incarnation: 1, Sequence: vm.sequence - back}})
	case "configure":
		set := changedSet(t)
		for _, vm := range z.vms {
			z.after(z.upTo(100*time.Millisecond), func() { z.deliver(vm, ConfigurationChanged{Set: set}) })
		}
	case "leave":
		e.listed = !e.listed
		z.inform(100 * time.Millisecond)
	case "die":
		e.stopped = !e.stopped
	case "freeze":
		z.pause(vm, time.Duration(rapid.IntRange(1, 1500).Draw(t, "freeze"))*time.Millisecond)
	case "kill":
		if vm != z.vms[0] {
			z.kill(vm)
		}
	case "drain":
		if vm != z.vms[0] && !vm.draining {
			vm.draining = true
			z.inform(100 * time.Millisecond)
			z.deliver(vm, Drain{})
		}
	case "wait":
		z.run(time.Duration(rapid.IntRange(1, 150).Draw(t, "wait")) * time.Millisecond)
	}
	z.run(time.Millisecond)
}

// Guards against second starts, lost or duplicate answers, wrong not-run answers and leaked slots under any order of
// faults and events; testZone checks each invariant.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		vms := rapid.IntRange(1, 3).Draw(rt, "vms")
		z := newTestZone(t, rapid.Uint64().Draw(rt, "seed"), vms, rapid.IntRange(1, 4).Draw(rt, "endpoints"))
		faulty := rapid.SampledFrom([]int{0, 10, 50}).Draw(rt, "faulty")
		for _, e := range z.endpoints {
			e.answers = z.randomAnswer(faulty)
		}
		z.link = link{
			lose:  rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(rt, "lose"),
			copy:  rapid.SampledFrom([]float64{0, 0.3}).Draw(rt, "copy"),
			delay: time.Duration(rapid.SampledFrom([]int{0, 2, 30}).Draw(rt, "delay")) * time.Millisecond,
		}
		for range rapid.IntRange(5, 60).Draw(rt, "events") {
			z.applyRandomEvent(rt)
		}
		z.run(5 * time.Second)
		z.checkEnd()
		if len(z.failures) > 0 {
			rt.Fatalf("%s", strings.Join(z.failures[:min(len(z.failures), 5)], "\n"))
		}
	})
}
