package claim

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Guards against groups without a holder, against replacing a reachable holder, and against several VMs that claim a
// group at the same time.
func TestDecide(t *testing.T) {
	vm := func(name, zone string, silent time.Duration) VM {
		return VM{Name: name, Zone: zone, Incarnation: 10, CPUShare: 1, SilentFor: silent}
	}
	three := []VM{vm("vm-1", "a", 0), vm("vm-2", "a", 0), vm("vm-3", "a", 0), vm("vm-9", "b", 0)}
	silent := func(name string, d time.Duration) []VM {
		list := append([]VM(nil), three...)
		for i := range list {
			if list[i].Name == name {
				list[i].SilentFor = d
			}
		}
		return list
	}
	restarted := append([]VM(nil), three...)
	restarted[0].Incarnation = 11
	stopping := three[1]
	stopping.Stopping = true
	held := Record{VM: "vm-1", Incarnation: 10}
	cases := []struct {
		name  string
		state GroupState
	}{
		{"no holder, first candidate", GroupState{Self: three[0], VMs: three}},
		{"no holder, second candidate immediately", GroupState{Self: three[1], VMs: three}},
		{"no holder, second candidate after a delay", GroupState{Self: three[1], VMs: three, KnownFor: 100 * time.Millisecond}},
		{"no holder, other zone", GroupState{Self: three[3], VMs: three, KnownFor: 5 * time.Second}},
		{"own record", GroupState{Self: three[0], Record: held, Revision: 7, VMs: three}},
		{"own record, earlier incarnation", GroupState{Self: restarted[0], Record: held, Revision: 7, VMs: three}},
		{"reachable holder", GroupState{Self: three[1], Record: held, Revision: 7, VMs: three}},
		{"unreachable holder, before the timeout", GroupState{Self: three[1], Record: held, Revision: 7, VMs: silent("vm-1", 50*time.Millisecond)}},
		{"unreachable holder, first candidate", GroupState{Self: three[1], Record: held, Revision: 7, VMs: silent("vm-1", 100*time.Millisecond)}},
		{"unreachable holder, second candidate", GroupState{Self: three[2], Record: held, Revision: 7, VMs: silent("vm-1", 100*time.Millisecond)}},
		{"unreachable holder, second candidate later", GroupState{Self: three[2], Record: held, Revision: 7, VMs: silent("vm-1", 200*time.Millisecond)}},
		{"unreachable holder, other zone", GroupState{Self: three[3], Record: held, Revision: 7, VMs: silent("vm-1", 6*time.Second)}},
		{"restarted holder", GroupState{Self: three[1], Record: held, Revision: 7, VMs: restarted}},
		{"handover requested", GroupState{Self: three[2], Record: held, Revision: 7, VMs: three, HandoverRequested: true}},
		{"handover requested while stopping", GroupState{Self: stopping, Record: held, Revision: 7, VMs: three, HandoverRequested: true}},
		{"holder not registered", GroupState{Self: three[1], Record: Record{VM: "vm-0", Incarnation: 1}, Revision: 7, VMs: three, HolderGoneFor: 200 * time.Millisecond}},
		{"restarted holder, other zone", GroupState{Self: three[3], Record: held, Revision: 7, VMs: restarted, KnownFor: time.Minute}},
	}
	var out strings.Builder
	for _, c := range cases {
		c.state.Zone = "a"
		fmt.Fprintf(&out, "%-42s %#v\n", c.name, Decide(DefaultRules(), c.state))
	}
	path := filepath.Join("testdata", "decide.golden")
	if *update {
		if err := os.WriteFile(path, []byte(out.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(want) != out.String() {
		t.Errorf("differs from %s:\n%s", path, out.String())
	}
}

// Guards against one VM holding all groups of a zone while others are idle.
func TestCandidatesSpread(t *testing.T) {
	is := is.New(t)
	vms := []VM{{Name: "vm-1", Zone: "a", CPUShare: 0.8}, {Name: "vm-2", Zone: "a", CPUShare: 0.8}, {Name: "vm-3", Zone: "a", CPUShare: 0.2}}
	first := map[string]int{}
	for index := range 6 {
		first[Candidates(index, "a", vms)[0].Name]++
	}
	is.Equal(first, map[string]int{"vm-1": 2, "vm-2": 2, "vm-3": 2})
	is.Equal(Candidates(0, "a", vms)[0].Name, "vm-1")
}
