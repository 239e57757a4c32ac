package contract

import (
	"fmt"
	"testing"
	"time"
)

// sizedSet returns a valid set with about the given number of objects in the proportions of a large deployment.
func sizedSet(objects int) *Set {
	set := &Set{
		Services:   []Service{{Name: "sorting", Slots: 8, MaxConnections: 64, Guard: true, ProbePath: "/healthz", IdleTimeout: time.Minute}},
		Priorities: []Priority{{Name: "batch", Rank: 2, Share: 30, MaxQueued: 20000}, {Name: "urgent", Rank: 1, Share: 70, MaxQueued: 500}},
	}
	for n := range objects / 3 {
		name := fmt.Sprintf("%05d", n)
		set.Kinds = append(set.Kinds, Kind{
			Name: "kind-" + name, Service: "sorting", Path: "/v1/kinds/" + name, Priority: "urgent", Idempotent: true,
			MaxAttempts: 2, Deadline: 5 * time.Second, RunTime: 250 * time.Millisecond, MaxTasks: 150,
		})
		set.Limits = append(set.Limits, Limit{Name: "limit-" + name, Quota: 20, MaxQueued: 1000})
		set.Teams = append(set.Teams, Team{Name: "team-" + name, Limit: "limit-" + name, Weight: 1})
	}
	return set
}

// benchmarkSizes runs a benchmark at several numbers of objects; the largest set is close to MaxEncodedSize.
func benchmarkSizes(b *testing.B, run func(b *testing.B, set *Set)) {
	for _, objects := range []int{20, 200, 2000, 11_000} {
		set := sizedSet(objects)
		data, err := set.Encode()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("objects=%d/bytes=%d", objects, len(data)), func(b *testing.B) {
			b.ReportAllocs()
			run(b, set)
		})
	}
}

func BenchmarkRead(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, set *Set) {
		files := []ObjectFile{{Name: "set.yaml", Data: writeYAML(set.items())}}
		for b.Loop() {
			if _, problems := ParseFiles(files); len(problems) > 0 {
				b.Fatal(problems)
			}
		}
	})
}

func BenchmarkCheck(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, set *Set) {
		for b.Loop() {
			if problems := set.Validate(); len(problems) > 0 {
				b.Fatal(problems)
			}
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, set *Set) {
		for b.Loop() {
			if _, err := set.Encode(); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkDecode(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, set *Set) {
		data, err := set.Encode()
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			if _, err := Decode(data); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkDiff compares sets that differ in one object, as in most publications.
func BenchmarkDiff(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, set *Set) {
		to := newSet(set.items())
		to.Teams[0].Weight = 2
		for b.Loop() {
			if change := NewPatch(set, to); len(change.Changed.Teams) != 1 {
				b.Fatal(change)
			}
		}
	})
}

func BenchmarkApply(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, set *Set) {
		to := newSet(set.items())
		to.Teams[0].Weight = 2
		change := NewPatch(set, to)
		for b.Loop() {
			if _, err := change.Apply(set); err != nil {
				b.Fatal(err)
			}
		}
	})
}
