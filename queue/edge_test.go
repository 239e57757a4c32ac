package queue

import (
	"testing"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/contract"
)

// Guards against an order of equally served flows that depends on anything but rank and arrival.
func TestFairBreaksTiesByRankAndArrival(t *testing.T) {
	is := is.New(t)
	q := New(Config{Set: smallSet()})
	flows := []Flow{{"batch", "d"}, {"normal", "d"}, {"normal", "c"}, {"urgent", "d"}}
	q.SetZone(40, nil)
	for i, f := range flows {
		is.NoErr(q.Push(epoch, Item{Job: id(i), Flow: f, Tasks: 1}))
	}
	for _, want := range []int{3, 1, 2, 0} {
		task, ok := q.Next(epoch)
		is.True(ok)
		is.Equal(task.Flow, flows[want])
	}
}

// Guards against quotas that are rounded to no slot at all, that ignore the parent, or that count one VM only.
func TestQuotas(t *testing.T) {
	limits := []contract.Limit{
		{Name: "all", Quota: 60, Queue: 100},
		{Name: "part", Parent: "all", Quota: 50, Queue: 100},
		{Name: "tiny", Quota: 1, Queue: 100},
	}
	tests := []struct {
		name      string
		team      string
		slots     int
		elsewhere int
		share     int // -1 without
		want      int
	}{
		{"no slots", "part", 0, 0, -1, 0},
		{"below one slot", "tiny", 10, 0, -1, 1},
		{"below one slot and in use elsewhere", "tiny", 10, 1, -1, 0},
		{"own quota", "part", 10, 0, -1, 5},
		{"parent in use elsewhere", "part", 10, 4, -1, 2},
		{"share of this VM", "part", 10, 0, 3, 3},
		{"no limit", "free", 10, 10, -1, 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			set := smallSet()
			set.Limits = limits
			set.Teams = []contract.Team{
				{Name: "free", Weight: 1},
				{Name: "other", Limit: "all", Weight: 1},
				{Name: "part", Limit: "part", Weight: 1},
				{Name: "tiny", Limit: "tiny", Weight: 1},
			}
			q := New(Config{Set: set})
			elsewhere := "other"
			if test.team == "tiny" {
				elsewhere = "tiny"
			}
			q.SetZone(test.slots, []Demand{{Flow: Flow{"batch", elsewhere}, Running: test.elsewhere}})
			if test.share >= 0 {
				q.SetLimitShares([]LimitShare{{Limit: "part", Slots: test.share}})
			}
			is.NoErr(q.Push(epoch, Item{Job: id(1), Flow: Flow{"urgent", test.team}, Tasks: 20}))
			got := 0
			for _, ok := q.Next(epoch); ok; _, ok = q.Next(epoch) {
				got++
			}
			is.Equal(got, test.want)
		})
	}
}
