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

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func entry(zone string, i int, incarnation uint64, state store.State) store.VM {
	id := fmt.Sprintf("%s-entry-%d", zone, i)
	return store.VM{ID: id, Zone: zone, Role: store.RoleEntry, Address: id + ":80", Incarnation: incarnation, State: state}
}

func executor(i int, incarnation uint64, state store.State) store.VM {
	id := fmt.Sprintf("executor-%03d", i)
	return store.VM{ID: id, Zone: "a", Role: store.RoleEndpoint, Service: "sort", Address: id + ":80", Incarnation: incarnation, State: state}
}

func newTestTable(i int) *Membership {
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
			table := newTestTable(0)
			changes := 0
			for _, vm := range tc.merges {
				changes += len(table.Merge(start, []store.VM{vm}))
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

// A peer must be lost after 1 s of silence whatever the platform says, and found again when it is heard.
func TestLostAndFound(t *testing.T) {
	is := is.New(t)
	table := newTestTable(0)
	list := []store.VM{entry("a", 0, 1, live), entry("a", 1, 1, live), entry("a", 2, 1, leaving), entry("b", 0, 1, live)}
	table.Merge(start, list)
	is.Equal(ids(table.LiveEntryVMs()), "a-entry-0 a-entry-1 ")
	is.Equal(ids(table.ReachablePeers()), "a-entry-1 a-entry-2 ")
	table.MarkAlive(at(800*time.Millisecond), "a-entry-1", 1)
	changes := table.Tick(at(time.Second))
	is.Equal(len(changes), 1)
	is.True(changes[0].Failed && changes[0].VM.ID == "a-entry-2")
	is.Equal(len(table.Tick(at(1790*time.Millisecond))), 0)
	is.Equal(len(table.Tick(at(1800*time.Millisecond))), 1)
	is.Equal(ids(table.LiveEntryVMs()), "a-entry-0 ")
	is.Equal(ids(table.AllPeers()), "a-entry-1 a-entry-2 ") // reports still go there, else two halves of a zone never rejoin
	is.Equal(len(table.Merge(at(2*time.Second), list)), 0)
	is.Equal(ids(table.LiveEntryVMs()), "a-entry-0 ") // the stale list doesn't bring it back
	is.Equal(len(table.MarkAlive(at(3*time.Second), "a-entry-1", 0)), 0)
	is.True(table.MarkAlive(at(3*time.Second), "a-entry-1", 1)[0].Recovered)
	is.Equal(ids(table.LiveEntryVMs()), "a-entry-0 a-entry-1 ")
	is.Equal(table.MarkAlive(at(4*time.Second), "a-entry-2", 2)[0].VM.State, live) // restarted
	is.Equal(ids(table.LiveEntryVMs()), "a-entry-0 a-entry-1 a-entry-2 ")
}

// Two VMs with a broken link between them must agree on the owners as long as a third one hears both.
func TestBrokenLinkBetweenTwo(t *testing.T) {
	is := is.New(t)
	table := newTestTable(0)
	table.Merge(start, []store.VM{entry("a", 1, 1, live), entry("a", 2, 1, live)})
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

// A VM that the platform forgets without saying that it is gone must not stay for ever.
func TestAbsentFromList(t *testing.T) {
	is := is.New(t)
	table := newTestTable(0)
	table.MergeList(start, store.VMList{Version: 5, VMs: []store.VM{executor(1, 1, live), executor(2, 1, live)}})
	shorter := []store.VM{executor(1, 1, live)}
	table.MergeList(at(1*time.Second), store.VMList{Version: 4, VMs: shorter}) // a list of earlier
	table.MergeList(at(2*time.Second), store.VMList{Version: 6})               // unchanged, or broken
	is.Equal(len(table.Tick(at(13*time.Second))), 0)
	table.MergeList(at(20*time.Second), store.VMList{Version: 6, VMs: shorter})
	is.Equal(len(table.Tick(at(29*time.Second))), 0)
	changes := table.Tick(at(30 * time.Second))
	is.Equal(len(changes), 1)
	is.Equal(changes[0].VM, executor(2, 1, gone))
	is.Equal(ids(table.LiveEntryVMs()), "a-entry-0 ") // this VM itself isn't listed
}

// Changes must reach peers without the platform, in few bytes, and a missed one must show in the hash.
func TestReports(t *testing.T) {
	is := is.New(t)
	a, b := newTestTable(0), newTestTable(1)
	b.Merge(start, []store.VM{entry("a", 0, 1, live)})
	exchange := func(now time.Time) {
		a.Merge(now, b.TakeUpdates(now, "a-entry-0"))
		b.Merge(now, a.TakeUpdates(now, "a-entry-1"))
	}
	exchange(start)
	is.Equal(a.Hash(), b.Hash())
	is.Equal(ids(a.LiveEntryVMs()), "a-entry-0 a-entry-1 ")
	var vms []store.VM
	for i := range 40 {
		vms = append(vms, executor(i, 1, live))
	}
	a.MergeList(start, store.VMList{Version: 1, VMs: vms})
	exchange(start)
	is.Equal(len(b.Endpoints("sort")), 0) // the first list isn't reported
	is.True(a.Hash() != b.Hash())
	is.True(!a.NeedsSync(start, "a-entry-1", b.Hash()))
	is.True(a.NeedsSync(at(3*time.Second), "a-entry-1", b.Hash()))
	is.True(!a.NeedsSync(at(4*time.Second), "a-entry-1", b.Hash())) // once in 5 s
	b.Merge(at(4*time.Second), a.Snapshot())
	is.Equal(a.Hash(), b.Hash())
	for i := range 8 { // a rack
		vms[i].State = leaving
	}
	a.MergeList(at(5*time.Second), store.VMList{Version: 2, VMs: vms})
	is.Equal(len(a.TakeUpdates(at(5*time.Second), "a-entry-1")), recentLimit) // a lost report
	exchange(at(5 * time.Second))
	is.Equal(len(b.Endpoints("sort")), 36)
	is.True(a.Hash() != b.Hash())
	is.Equal(len(a.TakeUpdates(at(6*time.Second), "a-entry-1")), 0) // everything was told once
	a.Merge(at(7*time.Second), []store.VM{entry("a", 0, 1, leaving)})
	is.Equal(a.TakeUpdates(at(7*time.Second), "a-entry-1"), []store.VM{entry("a", 0, 1, leaving)}) // its own end
}

// A change of one VM must move only the endpoints of that VM.
func TestRendezvous(t *testing.T) {
	is := is.New(t)
	table := newTestTable(0)
	for i := range 5 {
		table.Merge(start, []store.VM{entry("a", i, 1, live)})
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
	table.Merge(start, []store.VM{entry("a", 3, 1, leaving)})
	for i := range 220 {
		if owner := table.Owner(executor(i, 1, live).ID); before[i] != "a-entry-3" {
			is.Equal(owner, before[i])
		}
	}
}

func TestZonesThatHelp(t *testing.T) {
	is := is.New(t)
	table := newTestTable(0)
	table.Merge(start, []store.VM{entry("b", 0, 1, live), entry("b", 1, 1, live), entry("c", 0, 1, live), entry("c", 1, 1, leaving)})
	best := func(now time.Time, tasks int) string {
		vm, _ := table.ReserveRemote(now, "sort", tasks)
		return vm.ID
	}
	is.Equal(best(start, 1), "") // nothing known
	table.UpdateLoad(start, ServiceLoad{Zone: "b", VM: "b-entry-0", Service: "sort", Idle: 10})
	table.UpdateLoad(start, ServiceLoad{Zone: "c", VM: "c-entry-0", Service: "sort", Idle: 30})
	table.UpdateLoad(start, ServiceLoad{Zone: "c", VM: "c-entry-1", Service: "sort", Idle: 99})  // leaving
	table.UpdateLoad(start, ServiceLoad{Zone: "c", VM: "c-entry-9", Service: "sort", Idle: 99})  // unknown VM
	table.UpdateLoad(start, ServiceLoad{Zone: "a", VM: "a-entry-1", Service: "sort", Idle: 999}) // own zone
	is.Equal(best(start, 31), "")
	is.Equal(best(start, 25), "c-entry-0")
	is.Equal(best(start, 9), "b-entry-0") // 5 are left in the other zone
	table.ForwardRefused(start, "b")
	is.Equal(best(start, 1), "c-entry-0")
	is.Equal(best(at(99*time.Millisecond), 5), "")
	table.UpdateLoad(at(100*time.Millisecond), ServiceLoad{Zone: "b", VM: "b-entry-0", Service: "sort", Idle: 50})
	is.Equal(best(at(100*time.Millisecond), 5), "b-entry-0")
	table.ForwardRefused(at(100*time.Millisecond), "b")
	is.Equal(best(at(299*time.Millisecond), 5), "") // the backoff doubles
	is.Equal(best(at(300*time.Millisecond), 5), "b-entry-0")
	table.ForwardRefused(at(300*time.Millisecond), "b")
	table.ForwardAccepted("b")
	is.Equal(best(at(301*time.Millisecond), 5), "b-entry-0")
	is.Equal(best(at(2100*time.Millisecond), 1), "") // too old
}

// Each VM of another zone must serve about the same number of VMs, and one that doesn't answer must be replaced.
func TestSummaryPeersAreSpread(t *testing.T) {
	is := is.New(t)
	var vms []store.VM
	for i := range 5 {
		vms = append(vms, entry("a", i, 1, live), entry("b", i, 1, live))
	}
	vms = append(vms, entry("c", 0, 1, live))
	chosen := map[string]int{}
	for i := range 5 {
		table := newTestTable(i)
		table.Merge(start, vms)
		peers := table.LoadExchangePeers(start)
		is.Equal(len(peers), 3)
		for _, vm := range peers {
			chosen[vm.ID]++
		}
		table.MarkUnreachable(start, peers[0].ID)
		is.True(!slices.Contains(table.LoadExchangePeers(start), peers[0]))
		table.MarkAlive(start, peers[0].ID, 1)
		is.True(slices.Contains(table.LoadExchangePeers(start), peers[0]))
	}
	for i := range 5 {
		is.Equal(chosen[entry("b", i, 1, live).ID], 2)
	}
}

// Whatever the order of messages, tables that have merged the same entries are equal, and no state moves backward.
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
		a, b := newTestTable(9), newTestTable(9)
		for i := range vms {
			before, _ := a.Get(vms[i].ID)
			a.Merge(start, vms[i:i+1])
			after, _ := a.Get(vms[i].ID)
			if after.Incarnation < before.Incarnation || after.Incarnation == before.Incarnation && rank(after.State) < rank(before.State) {
				rt.Fatalf("state moved from %v to %v", before, after)
			}
			b.Merge(start, other[i:i+1])
		}
		if a.Hash() != b.Hash() || ids(a.LiveEntryVMs()) != ids(b.LiveEntryVMs()) || !slices.Equal(a.Snapshot(), b.Snapshot()) {
			rt.Fatalf("tables differ: %v and %v", a.Snapshot(), b.Snapshot())
		}
	})
}

// Guards against an exchange of whole tables every 5 s between zones, whose tables never hold the same endpoints.
func TestOtherZonesCompareEntryVMsOnly(t *testing.T) {
	is := is.New(t)
	here, there := entry("a", 0, 1, live), entry("b", 0, 1, live)
	a := NewMembership(Config{VM: here.ID, Zone: "a", Incarnation: 1, Address: here.Address})
	b := NewMembership(Config{VM: there.ID, Zone: "b", Incarnation: 1, Address: there.Address})
	list := []store.VM{here, there, entry("b", 1, 1, live), executor(1, 1, live)}
	a.MergeList(start, store.VMList{Version: 1, VMs: list})
	b.MergeList(start, store.VMList{Version: 1, VMs: list})
	is.True(a.Hash() != b.Hash()) // only a holds the endpoint
	is.Equal(a.HashFor(there.ID), b.HashFor(here.ID))
	is.True(!b.NeedsSync(start, here.ID, a.HashFor(there.ID)))
	is.True(!b.NeedsSync(at(3*time.Second), here.ID, a.HashFor(there.ID)))

	a.Merge(at(3*time.Second), []store.VM{entry("b", 1, 1, leaving)})
	is.True(!b.NeedsSync(at(4*time.Second), here.ID, a.HashFor(there.ID)))
	is.True(b.NeedsSync(at(7*time.Second), here.ID, a.HashFor(there.ID))) // an entry VM that b has not heard of
	is.Equal(a.HashFor("a-entry-1"), a.Hash())                            // unknown, so of this zone
}
