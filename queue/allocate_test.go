package queue

import (
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"samphireplank.example/samphireplank/contract"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// allocateCases are the inputs of the golden file.
var allocateCases = []struct {
	name    string
	slots   int
	demands string // comma-separated "VM priority/team queued+running"
}{
	{"zero slots", 0, "v1 urgent/d 5+0"},
	{"no demand", 10, "v1 urgent/d 0+0, v2 urgent/d 0+0"},
	{"one flow takes what its demand allows", 10, "v1 batch/d 4+2"},
	{"one flow with more demand than slots", 10, "v1 batch/d 40+0, v2 batch/d 10+0"},
	{"guaranteed shares of three priorities", 100, "v1 batch/d 500+0, v1 normal/d 500+0, v1 urgent/d 500+0"},
	{"unused share goes to the others", 100, "v1 batch/d 500+0, v1 normal/d 10+0, v1 urgent/d 500+0"},
	{"teams share by weight", 100, "v1 urgent/c 500+0, v1 urgent/d 500+0"},
	{"quota below one slot is one slot", 10, "v1 urgent/b 9+0, v1 urgent/d 20+0"},
	{"quota of one slot that is in use leaves none to others", 10, "v1 urgent/b 9+1, v2 urgent/b 1+0"},
	{"unused quota for VMs without demand", 100, "v1 urgent/a 0+30, v2 urgent/d 1+0, v3 urgent/d 1+0"},
	{"quota that one VM uses beyond its part", 10, "v1 urgent/a 0+4, v2 urgent/a 9+0, v3 urgent/a 9+0"},
	{"parent quota is shared", 100, "v1 urgent/a 500+0, v1 urgent/c 500+0, v1 batch/d 500+0"},
	{"parent quota across priorities", 100, "v1 urgent/a 500+0, v1 batch/c 500+0"},
	{"spare slots follow demand", 100, "v1 urgent/d 19+0, v2 urgent/d 0+9, v3 urgent/d 0+0"},
	{"split by demand", 70, "v1 urgent/d 70+0, v2 urgent/d 20+0, v3 urgent/d 0+10"},
	{"flow that the set no longer has", 101, "v1 urgent/gone 50+0, v1 old/d 50+0, v1 urgent/d 500+0, v1 normal/d 500+0, v1 batch/d 500+0"},
}

func parseDemands(text string) []VMDemand {
	var out []VMDemand
	for _, part := range strings.Split(text, ", ") {
		var vm, flow string
		var queued, running int
		if _, err := fmt.Sscanf(part, "%s %s %d+%d", &vm, &flow, &queued, &running); err != nil {
			panic(err)
		}
		if len(out) == 0 || out[len(out)-1].VM != vm {
			out = append(out, VMDemand{VM: vm})
		}
		priority, team, _ := strings.Cut(flow, "/")
		last := &out[len(out)-1]
		last.Flows = append(last.Flows, Demand{Flow: Flow{priority, team}, Queued: queued, Running: running})
	}
	return out
}

func formatTargets(targets []VMAllocation) string {
	var b strings.Builder
	for _, vm := range targets {
		fmt.Fprintf(&b, "%s %.3f\n", vm.VM, vm.Slots)
		for _, t := range vm.Flows {
			fmt.Fprintf(&b, "    %s/%s %.3f\n", t.Flow.Priority, t.Flow.Team, t.Slots)
		}
		for _, l := range vm.Limits {
			fmt.Fprintf(&b, "    limit %s %d\n", l.Limit, l.Slots)
		}
	}
	return b.String()
}

// Guards against unintended changes of the allocation.
func TestAllocateGolden(t *testing.T) {
	is := is.New(t)
	const path = "testdata/allocate.golden"
	var b strings.Builder
	for _, c := range allocateCases {
		fmt.Fprintf(&b, "# %s\n%d slots: %s\n%s\n", c.name, c.slots, c.demands, formatTargets(Allocate(c.slots, smallSet(), parseDemands(c.demands))))
	}
	if *update {
		is.NoErr(os.WriteFile(path, []byte(b.String()), 0o600))
	}
	want, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(b.String(), string(want))
}

// fillNaively raises all open flows in small steps and checks every limit before each step.
func fillNaively(slots int, set *contract.Set, demands []zoneDemand, step float64) map[Flow]float64 {
	n := &naive{set: set}
	got := map[Flow]float64{}
	under := func(limit string) (sum float64) {
		for f, amount := range got {
			if slices.Contains(n.limits(f.Team), limit) {
				sum += amount
			}
		}
		return sum
	}
	for left := float64(slots); left > 0; {
		full := map[string]bool{}
		for _, l := range set.Limits {
			full[l.Name] = under(l.Name) >= float64(max(1, l.Quota*slots/100))
		}
		weights := map[string]float64{}
		var open []Flow
		for _, d := range demands {
			blocked := slices.ContainsFunc(n.limits(d.flow.Team), func(l string) bool { return full[l] })
			if got[d.flow] < float64(d.total) && !blocked {
				open = append(open, d.flow)
				team, _ := n.team(d.flow.Team)
				weights[d.flow.Priority] += float64(team.Weight)
			}
		}
		if len(open) == 0 {
			break
		}
		for _, f := range open {
			team, _ := n.team(f.Team)
			priority, _ := n.priority(f.Priority)
			amount := step * float64(priority.Share) / 100 * float64(team.Weight) / weights[f.Priority]
			got[f] += amount
			left -= amount
		}
	}
	return got
}

// Guards against an allocation that differs from raising all flows in small steps, depends on the order of its input or
// exceeds the slots, and against local quotas that exceed or waste a quota.
func TestAllocateMatchesNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 60).Draw(t, "slots")
		var demands []VMDemand
		for vm := range rapid.IntRange(1, 4).Draw(t, "vms") {
			d := VMDemand{VM: fmt.Sprint("v", vm)}
			for _, p := range smallSet().Priorities {
				for _, team := range smallSet().Teams {
					if rapid.Bool().Draw(t, "has-demand") {
						queued, running := rapid.IntRange(0, 40).Draw(t, "queued"), rapid.IntRange(0, 10).Draw(t, "running")
						d.Flows = append(d.Flows, Demand{Flow: Flow{p.Name, team.Name}, Queued: queued, Running: running})
					}
				}
			}
			demands = append(demands, d)
		}
		targets := Allocate(slots, smallSet(), demands)
		slices.Reverse(demands)
		if again := formatTargets(Allocate(slots, smallSet(), demands)); again != formatTargets(targets) {
			t.Fatalf("a different order of the demands gives\n%s", again)
		}
		checkAllocation(t, slots, demands, targets)
	})
}

func checkAllocation(t *rapid.T, slots int, demands []VMDemand, targets []VMAllocation) {
	got, total := map[Flow]float64{}, 0.0
	for _, vm := range targets {
		total += vm.Slots
		for _, target := range vm.Flows {
			got[target.Flow] += target.Slots
		}
	}
	if math.Abs(total-float64(slots)) > 1e-6 {
		t.Fatalf("%v of %d slots are allocated", total, slots)
	}
	checkLocalQuotas(t, slots, sortedDemands(demands), targets)
	const step = 0.01
	merged := mergeDemands(sortedDemands(demands))
	want := fillNaively(slots, smallSet(), merged, step)
	for _, d := range merged {
		if math.Abs(got[d.flow]-want[d.flow]) > 20*step {
			t.Fatalf("%v gets %v slots, want %v", d.flow, got[d.flow], want[d.flow])
		}
	}
}

// checkLocalQuotas checks that the running tasks plus those that the local quotas still allow equal the quota, or that
// no task may start if more than the quota runs.
func checkLocalQuotas(t *rapid.T, slots int, demands []VMDemand, targets []VMAllocation) {
	n := &naive{set: smallSet()}
	for at, l := range smallSet().Limits {
		running, reachable, startable := 0, 0, false
		for vm, d := range demands {
			own := 0
			for _, demand := range d.Flows {
				if slices.Contains(n.limits(demand.Flow.Team), l.Name) {
					own += demand.Running
				}
			}
			localQuota := targets[vm].Limits[at].Slots
			running += own
			reachable += max(own, localQuota)
			startable = startable || localQuota > own
		}
		quota := quotaSlots(l.Quota, slots)
		if running <= quota && reachable != quota || running > quota && startable {
			t.Fatalf("limit %s: quota %d, %d tasks running, local quotas allow %d", l.Name, quota, running, reachable)
		}
	}
}

// BenchmarkAllocate measures an allocation over 57 teams x 4 priorities on 5 VMs with more demand than slots.
func BenchmarkAllocate(b *testing.B) {
	set := largeSet()
	var sorted []contract.Team
	sorted = append(sorted, set.Teams...)
	slices.SortFunc(sorted, func(a, b contract.Team) int { return strings.Compare(a.Name, b.Name) })
	set.Teams = sorted
	var demands []VMDemand
	for vm := range 5 {
		d := VMDemand{VM: fmt.Sprint("v", vm)}
		for p, priority := range set.Priorities {
			for i, team := range set.Teams {
				d.Flows = append(d.Flows, Demand{Flow: Flow{priority.Name, team.Name}, Queued: (i*7+p+vm)%13 + 1, Running: 1})
			}
		}
		demands = append(demands, d)
	}
	for b.Loop() {
		Allocate(1000, set, demands)
	}
}
