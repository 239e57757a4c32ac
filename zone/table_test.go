package zone

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"samphireplank.example/samphireplank/store"
)

var testStart = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return testStart.Add(d) }

func entry(zone string, i int, incarnation uint64, state store.State) store.VM {
	id := fmt.Sprintf("%s-entry-%d", zone, i)
	return store.VM{ID: id, Zone: zone, Role: store.RoleEntry, Address: id + ":80", Incarnation: incarnation, State: state}
}

func executor(i int, incarnation uint64, state store.State) store.VM {
	id := fmt.Sprintf("executor-%03d", i)
	return store.VM{ID: id, Zone: "a", Role: store.RoleEndpoint, Service: "sort", Address: id + ":80", Incarnation: incarnation, State: state}
}

func newTestMembership(i int) *Membership {
	self := entry("a", i, 1, store.StateLive)
	return NewMembership(Config{VM: self.ID, Zone: "a", Incarnation: 1, Address: self.Address})
}

func ids(vms []store.VM) string {
	text := ""
	for _, vm := range vms {
		text += vm.ID + " "
	}
	return text
}

const live, leaving, gone = store.StateLive, store.StateLeaving, store.StateGone

func TestStatesMoveForward(t *testing.T) {
	cases := []struct {
		name    string
		merges  []store.VM
		state   store.State
		inc     uint64
		changes int
	}{
		{"new", []store.VM{executor(1, 1, live)}, live, 1, 1},
		{"leaving", []store.VM{executor(1, 1, live), executor(1, 1, leaving)}, leaving, 1, 2},
		{"list goes backward", []store.VM{executor(1, 1, leaving), executor(1, 1, live)}, leaving, 1, 1},
		{"gone and stale list", []store.VM{executor(1, 1, gone), executor(1, 1, live), executor(1, 1, leaving)}, gone, 1, 0},
		{"restart", []store.VM{executor(1, 1, gone), executor(1, 2, live)}, live, 2, 1},
		{"old incarnation", []store.VM{executor(1, 2, live), executor(1, 1, gone)}, live, 2, 1},
		{"unknown state", []store.VM{executor(1, 1, live), executor(1, 1, "sleeping")}, live, 1, 1},
		{"repeated", []store.VM{executor(1, 1, live), executor(1, 1, live)}, live, 1, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			table := newTestMembership(0)
			changes := 0
			for _, vm := range tc.merges {
				changes += len(table.Merge(testStart, []store.VM{vm}))
			}
			vm, ok := table.Get("executor-001")
			is.True(ok)
			is.Equal(vm.State, tc.state)
			is.Equal(vm.Incarnation, tc.inc)
			is.Equal(changes, tc.changes)
			is.Equal(len(table.Endpoints("sort")) == 1, tc.state == live)
		})
	}
}

// Guards against a peer that stays in use after 1 s without a message because the platform's list still has it, and one
// that stays excluded after it sends again.
func TestPeerFailureAndRecovery(t *testing.T) {
	is := is.New(t)
	table := newTestMembership(0)
	list := []store.VM{entry("a", 0, 1, live), entry("a", 1, 1, live), entry("a", 2, 1, leaving), entry("b", 0, 1, live)}
	table.Merge(testStart, list)
	is.Equal(ids(table.LiveEntryVMs()), "a-entry-0 a-entry-1 ")
	is.Equal(ids(table.ReachablePeers()), "a-entry-1 a-entry-2 ")
	table.MarkAlive(at(800*time.Millisecond), "a-entry-1", 1)
	changes := table.Tick(at(time.Second))
	is.Equal(len(changes), 1)
	is.True(changes[0].Failed && changes[0].VM.ID == "a-entry-2")
	is.Equal(len(table.Tick(at(1790*time.Millisecond))), 0)
	is.Equal(len(table.Tick(at(1800*time.Millisecond))), 1)
	is.Equal(ids(table.LiveEntryVMs()), "a-entry-0 ")
	is.Equal(ids(table.AllPeers()), "a-entry-1 a-entry-2 ") // failed peers get reports, else a partition never heals
	is.Equal(len(table.Merge(at(2*time.Second), list)), 0)
	is.Equal(ids(table.LiveEntryVMs()), "a-entry-0 ") // a stale list doesn't restore it
	is.Equal(len(table.MarkAlive(at(3*time.Second), "a-entry-1", 0)), 0)
	is.True(table.MarkAlive(at(3*time.Second), "a-entry-1", 1)[0].Recovered)
	is.Equal(ids(table.LiveEntryVMs()), "a-entry-0 a-entry-1 ")
	is.Equal(table.MarkAlive(at(4*time.Second), "a-entry-2", 2)[0].VM.State, live) // restarted
	is.Equal(ids(table.LiveEntryVMs()), "a-entry-0 a-entry-1 a-entry-2 ")
}

// Guards against two VMs with a broken link between them that disagree on the owners while a third one reaches both.
func TestPartitionBetweenTwoPeers(t *testing.T) {
	is := is.New(t)
	table := newTestMembership(0)
	table.Merge(testStart, []store.VM{entry("a", 1, 1, live), entry("a", 2, 1, live)})
	for i := range 30 {
		now := at(time.Duration(i) * 100 * time.Millisecond)
		table.MarkAlive(now, "a-entry-1", 1)
		table.RecordUnreachablePeers(now, "a-entry-1", nil)
		is.Equal(len(table.Tick(now)), 0)
	}
	is.Equal(table.UnreachablePeers(at(3*time.Second)), []string{"a-entry-2"})
	table.MarkAlive(at(3*time.Second), "a-entry-1", 1)
	table.RecordUnreachablePeers(at(3*time.Second), "a-entry-1", []string{"a-entry-2"})
	is.Equal(len(table.Tick(at(3*time.Second))), 1)
}

// Guards against a VM that stays forever because the platform drops it from the list without marking it as gone.
func TestAbsentFromList(t *testing.T) {
	is := is.New(t)
	table := newTestMembership(0)
	table.MergeList(testStart, store.VMList{Version: 5, VMs: []store.VM{executor(1, 1, live), executor(2, 1, live)}})
	shorter := []store.VM{executor(1, 1, live)}
	table.MergeList(at(1*time.Second), store.VMList{Version: 4, VMs: shorter}) // an older list
	table.MergeList(at(2*time.Second), store.VMList{Version: 6})               // empty, thus ignored
	is.Equal(len(table.Tick(at(13*time.Second))), 0)
	table.MergeList(at(20*time.Second), store.VMList{Version: 6, VMs: shorter})
	is.Equal(len(table.Tick(at(29*time.Second))), 0)
	changes := table.Tick(at(30 * time.Second))
	is.Equal(len(changes), 1)
	is.Equal(changes[0].VM, executor(2, 1, gone))
	is.Equal(ids(table.LiveEntryVMs()), "a-entry-0 ") // this VM stays although the list lacks it
}

// Guards against changes that reach peers only through the platform, large reports, and a lost report that the hash
// doesn't show.
func TestUpdatesAndSync(t *testing.T) {
	is := is.New(t)
	a, b := newTestMembership(0), newTestMembership(1)
	b.Merge(testStart, []store.VM{entry("a", 0, 1, live)})
	exchange := func(now time.Time) {
		a.Merge(now, b.TakeUpdates(now, "a-entry-0"))
		b.Merge(now, a.TakeUpdates(now, "a-entry-1"))
	}
	exchange(testStart)
	is.Equal(a.Hash(), b.Hash())
	is.Equal(ids(a.LiveEntryVMs()), "a-entry-0 a-entry-1 ")
	var vms []store.VM
	for i := range 40 {
		vms = append(vms, executor(i, 1, live))
	}
	a.MergeList(testStart, store.VMList{Version: 1, VMs: vms})
	exchange(testStart)
	is.Equal(len(b.Endpoints("sort")), 0) // the first list isn't reported
	is.True(a.Hash() != b.Hash())
	is.True(!a.NeedsSync(testStart, "a-entry-1", b.Hash()))
	is.True(a.NeedsSync(at(3*time.Second), "a-entry-1", b.Hash()))
	is.True(!a.NeedsSync(at(4*time.Second), "a-entry-1", b.Hash())) // at most every 5 s
	b.Merge(at(4*time.Second), a.Snapshot())
	is.Equal(a.Hash(), b.Hash())
	for i := range 8 { // as when a rack is shut down
		vms[i].State = leaving
	}
	a.MergeList(at(5*time.Second), store.VMList{Version: 2, VMs: vms})
	is.Equal(len(a.TakeUpdates(at(5*time.Second), "a-entry-1")), maxUpdatesPerReport) // this report is lost
	exchange(at(5 * time.Second))
	is.Equal(len(b.Endpoints("sort")), 36)
	is.True(a.Hash() != b.Hash())
	is.Equal(len(a.TakeUpdates(at(6*time.Second), "a-entry-1")), 0) // each change is reported once
	a.Merge(at(7*time.Second), []store.VM{entry("a", 0, 1, leaving)})
	is.Equal(a.TakeUpdates(at(7*time.Second), "a-entry-1"), []store.VM{entry("a", 0, 1, leaving)}) // reports its own leaving
}

// Guards against a leaving VM that changes the owner of endpoints of other VMs, and against uneven ownership.
func TestRendezvous(t *testing.T) {
	is := is.New(t)
	table := newTestMembership(0)
	for i := range 5 {
		table.Merge(testStart, []store.VM{entry("a", i, 1, live)})
	}
	owners := map[string]int{}
	before := map[int]string{}
	for i := range 220 {
		before[i] = table.Owner(executor(i, 1, live).ID)
		owners[before[i]]++
	}
	t.Log("endpoints per owner:", owners)
	for i := range 5 {
		n := owners[entry("a", i, 1, live).ID]
		is.True(n > 25 && n < 65) // 44 on average
	}
	table.Merge(testStart, []store.VM{entry("a", 3, 1, leaving)})
	for i := range 220 {
		if owner := table.Owner(executor(i, 1, live).ID); before[i] != "a-entry-3" {
			is.Equal(owner, before[i])
		}
	}
}

func TestReserveRemote(t *testing.T) {
	is := is.New(t)
	table := newTestMembership(0)
	table.Merge(testStart, []store.VM{entry("b", 0, 1, live), entry("b", 1, 1, live), entry("c", 0, 1, live), entry("c", 1, 1, leaving)})
	best := func(now time.Time, tasks int) string {
		vm, _ := table.ReserveRemote(now, "sort", tasks)
		return vm.ID
	}
	is.Equal(best(testStart, 1), "") // no summary yet
	table.UpdateLoad(testStart, ServiceLoad{Zone: "b", VM: "b-entry-0", Service: "sort", Idle: 10})
	table.UpdateLoad(testStart, ServiceLoad{Zone: "c", VM: "c-entry-0", Service: "sort", Idle: 30})
	table.UpdateLoad(testStart, ServiceLoad{Zone: "c", VM: "c-entry-1", Service: "sort", Idle: 99})  // leaving
	table.UpdateLoad(testStart, ServiceLoad{Zone: "c", VM: "c-entry-9", Service: "sort", Idle: 99})  // unknown VM
	table.UpdateLoad(testStart, ServiceLoad{Zone: "a", VM: "a-entry-1", Service: "sort", Idle: 999}) // own zone
	is.Equal(best(testStart, 31), "")
	is.Equal(best(testStart, 25), "c-entry-0")
	is.Equal(best(testStart, 9), "b-entry-0") // zone c has 5 left
	table.ForwardRefused(testStart, "b")
	is.Equal(best(testStart, 1), "c-entry-0")
	is.Equal(best(at(99*time.Millisecond), 5), "")
	table.UpdateLoad(at(100*time.Millisecond), ServiceLoad{Zone: "b", VM: "b-entry-0", Service: "sort", Idle: 50})
	is.Equal(best(at(100*time.Millisecond), 5), "b-entry-0")
	table.ForwardRefused(at(100*time.Millisecond), "b")
	is.Equal(best(at(299*time.Millisecond), 5), "") // the backoff doubles
	is.Equal(best(at(300*time.Millisecond), 5), "b-entry-0")
	table.ForwardRefused(at(300*time.Millisecond), "b")
	table.ForwardAccepted("b")
	is.Equal(best(at(301*time.Millisecond), 5), "b-entry-0")
	is.Equal(best(at(2100*time.Millisecond), 1), "") // the summaries are too old
}

// Guards against exchanges that concentrate on few VMs of another zone, and a VM that is still chosen although it
// doesn't answer.
func TestLoadExchangePeersAreBalanced(t *testing.T) {
	is := is.New(t)
	var vms []store.VM
	for i := range 5 {
		vms = append(vms, entry("a", i, 1, live), entry("b", i, 1, live))
	}
	vms = append(vms, entry("c", 0, 1, live))
	chosen := map[string]int{}
	for i := range 5 {
		table := newTestMembership(i)
		table.Merge(testStart, vms)
		peers := table.LoadExchangePeers(testStart)
		is.Equal(len(peers), 3)
		for _, vm := range peers {
			chosen[vm.ID]++
		}
		table.MarkUnreachable(testStart, peers[0].ID)
		is.True(!slices.Contains(table.LoadExchangePeers(testStart), peers[0]))
		table.MarkAlive(testStart, peers[0].ID, 1)
		is.True(slices.Contains(table.LoadExchangePeers(testStart), peers[0]))
	}
	for i := range 5 {
		is.Equal(chosen[entry("b", i, 1, live).ID], 2)
	}
}

// Checks that tables which merged the same entries in any order are equal, and that no state moves backward.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := rapid.Custom(func(rt *rapid.T) store.VM {
			state := rapid.SampledFrom([]store.State{live, leaving, gone}).Draw(rt, "state")
			incarnation := rapid.Uint64Range(1, 3).Draw(rt, "incarnation")
			if rapid.Bool().Draw(rt, "entry") {
				return entry("a", rapid.IntRange(0, 3).Draw(rt, "i"), incarnation, state)
			}
			return executor(rapid.IntRange(0, 3).Draw(rt, "i"), incarnation, state)
		})
		vms := rapid.SliceOfN(draw, 1, 30).Draw(rt, "vms")
		other := rapid.Permutation(vms).Draw(rt, "other order")
		a, b := newTestMembership(9), newTestMembership(9)
		for i := range vms {
			before, _ := a.Get(vms[i].ID)
			a.Merge(testStart, vms[i:i+1])
			after, _ := a.Get(vms[i].ID)
			if after.Incarnation < before.Incarnation || after.Incarnation == before.Incarnation && statePrecedence(after.State) < statePrecedence(before.State) {
				rt.Fatalf("state moved from %v to %v", before, after)
			}
			b.Merge(testStart, other[i:i+1])
		}
		if a.Hash() != b.Hash() || ids(a.LiveEntryVMs()) != ids(b.LiveEntryVMs()) || !slices.Equal(a.Snapshot(), b.Snapshot()) {
			rt.Fatalf("tables differ: %v and %v", a.Snapshot(), b.Snapshot())
		}
	})
}

// Guards against a sync of whole tables every 5 s between zones, because their tables never hold the same endpoints.
func TestOtherZonesCompareEntryVMsOnly(t *testing.T) {
	is := is.New(t)
	here, there := entry("a", 0, 1, live), entry("b", 0, 1, live)
	a := NewMembership(Config{VM: here.ID, Zone: "a", Incarnation: 1, Address: here.Address})
	b := NewMembership(Config{VM: there.ID, Zone: "b", Incarnation: 1, Address: there.Address})
	list := []store.VM{here, there, entry("b", 1, 1, live), executor(1, 1, live)}
	a.MergeList(testStart, store.VMList{Version: 1, VMs: list})
	b.MergeList(testStart, store.VMList{Version: 1, VMs: list})
	is.True(a.Hash() != b.Hash()) // only a holds the endpoint
	is.Equal(a.HashFor(there.ID), b.HashFor(here.ID))
	is.True(!b.NeedsSync(testStart, here.ID, a.HashFor(there.ID)))
	is.True(!b.NeedsSync(at(3*time.Second), here.ID, a.HashFor(there.ID)))

	a.Merge(at(3*time.Second), []store.VM{entry("b", 1, 1, leaving)})
	is.True(!b.NeedsSync(at(4*time.Second), here.ID, a.HashFor(there.ID)))
	is.True(b.NeedsSync(at(7*time.Second), here.ID, a.HashFor(there.ID))) // b lacks the change of an entry VM
	is.Equal(a.HashFor("a-entry-1"), a.Hash())                            // an unknown VM counts as one of this zone
}
