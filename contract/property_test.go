package contract

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawSet generates a valid set with names from a small pool, so that two sets have many names in common.
func drawSet(t *rapid.T) *Set {
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c-d", "e1", "f", "g", "7", "h"}), 1, 8, rapid.ID)
	number := func(most int) int { return rapid.IntRange(1, most).Draw(t, "number") }
	set := &Set{}
	for _, name := range names.Draw(t, "services") {
		slots := number(64)
		set.Services = append(set.Services, Service{
			Name: name, Slots: slots, MaxConnections: slots + number(100), Guard: rapid.Bool().Draw(t, "guard"),
			ProbePath: "/probe." + name, IdleTimeout: time.Duration(number(3600)) * time.Second,
		})
	}
	left := 100
	priorities := names.Draw(t, "priorities")
	for n, name := range priorities {
		share := left
		if rest := len(priorities) - n - 1; rest > 0 {
			share = number(left - rest)
		}
		left -= share
		set.Priorities = append(set.Priorities, Priority{Name: name, Rank: number(9), Share: share, MaxQueued: number(1000)})
	}
	for n, name := range names.Draw(t, "limits") {
		parent := ""
		if n > 0 && rapid.Bool().Draw(t, "nested") {
			parent = set.Limits[number(n)-1].Name
		}
		set.Limits = append(set.Limits, Limit{Name: name, Parent: parent, Quota: number(100), MaxQueued: number(1000)})
	}
	for _, name := range names.Draw(t, "kinds") {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		attempts := 1
		if idempotent {
			attempts = number(3)
		}
		runTime := time.Duration(number(2000)) * time.Millisecond
		set.Kinds = append(set.Kinds, Kind{
			Name: name, Service: set.Services[number(len(set.Services))-1].Name, Path: "/v1/" + name,
			Priority: set.Priorities[number(len(set.Priorities))-1].Name, Idempotent: idempotent, MaxAttempts: attempts,
			Deadline: runTime + time.Duration(number(20_000))*time.Millisecond, RunTime: runTime, MaxTasks: number(150),
		})
	}
	for _, name := range names.Draw(t, "teams") {
		set.Teams = append(set.Teams, Team{Name: name, Limit: set.Limits[number(len(set.Limits))-1].Name, Weight: number(9)})
	}
	return newSet(set.items())
}

// writeYAML writes the objects of a set as object files do, in the given order.
func writeYAML(items []parsedObject) []byte {
	var text strings.Builder
	for _, i := range items {
		fmt.Fprintf(&text, "---\nobject: %s\n", i.schema.object)
		for _, f := range i.schema.fields {
			value := f.text(i.object)
			if f.syntax != nil || f.refType != "" {
				value = fmt.Sprintf("%q", value) // the name 7 would be a number
			}
			fmt.Fprintf(&text, "%s: %s\n", f.name, value)
		}
	}
	return []byte(text.String())
}

// Guards against a valid set that is rejected or altered by its text form, its canonical form or a patch.
func TestValidSetsSurvive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawSet(t), drawSet(t)
		read, problems := ParseFiles([]ObjectFile{{Name: "set", Data: writeYAML(rapid.Permutation(to.items()).Draw(t, "order"))}})
		if len(problems) > 0 || read.Digest() != to.Digest() {
			t.Fatal("read another set: ", problems)
		}
		data, err := to.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if decoded, err := Decode(data); err != nil || decoded.Digest() != to.Digest() {
			t.Fatal("decoded another set: ", err)
		}
		change, err := DecodePatch(NewPatch(from, to).Encode())
		if err != nil {
			t.Fatal(err)
		}
		if applied, err := change.Apply(from); err != nil || applied.Digest() != to.Digest() {
			t.Fatal("the patch leads to another set: ", err)
		}
	})
}

// Guards against a single invalid value in a large set that is not reported, or is reported at another object.
func TestOneFaultIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		items := drawSet(t).items()
		broken := rapid.SampledFrom(items).Draw(t, "object")
		f := rapid.SampledFrom(broken.schema.fields).Draw(t, "field")
		switch value := f.pointer(broken.object).(type) {
		case *string:
			*value = "No such"
		case *int:
			*value = rapid.SampledFrom([]int{-1, 0, 10_000_000}).Draw(t, "value")
		case *time.Duration:
			*value = rapid.SampledFrom([]time.Duration{0, -time.Second, 24 * time.Hour}).Draw(t, "value")
		case *bool:
			return // both values are valid
		}
		problems := checkItems(items, false)
		found := slices.ContainsFunc(problems, func(p Problem) bool { return p.Object == broken.title() && p.Field == f.name })
		if !found {
			t.Fatalf("no problem of %s, field %s in %v", broken.title(), f.name, problems)
		}
	})
}

// Guards against missed or falsely reported cycles of limits, compared with following the parents for 20 steps.
func TestCyclesOfLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d", "e", "f"}
		set := &Set{Priorities: []Priority{{Name: "only", Rank: 1, Share: 100, MaxQueued: 1}}}
		parents := map[string]string{}
		for _, name := range names {
			parents[name] = rapid.SampledFrom(append([]string{""}, names...)).Draw(t, "parent")
			set.Limits = append(set.Limits, Limit{Name: name, Parent: parents[name], Quota: 1, MaxQueued: 1})
		}
		circular := false
		for _, name := range names {
			at := name
			for range 20 {
				at = parents[at]
			}
			circular = circular || at != ""
		}
		if found := len(set.Validate()) > 0; found != circular {
			t.Fatalf("cycle found: %v, want %v, in %v", found, circular, parents)
		}
	})
}
