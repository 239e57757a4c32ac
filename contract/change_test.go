package contract

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a patch whose result differs from the target set, in either direction.
func TestDiffAndApply(t *testing.T) {
	is := is.New(t)
	from, to := changedSets(t)
	for _, pair := range [][2]*Set{{from, to}, {to, from}, {from, from}, {from, &Set{Priorities: from.Priorities}}} {
		change, err := DecodePatch(NewPatch(pair[0], pair[1]).Encode())
		is.NoErr(err)
		got, err := change.Apply(pair[0])
		is.NoErr(err)
		is.Equal(got.Digest(), pair[1].Digest())
	}
}

// Guards against applying a patch to a set other than the one it starts at.
func TestApplyRefusesOtherSets(t *testing.T) {
	is := is.New(t)
	from, to := changedSets(t)
	_, err := NewPatch(from, to).Apply(to)
	is.True(err != nil)
	change := NewPatch(from, to)
	change.Removed = nil
	_, err = change.Apply(from)
	is.True(err != nil) // the digest of the result differs from that in the patch
}

// Guards against a plan that omits a difference.
func TestDifferences(t *testing.T) {
	is := is.New(t)
	from, to := changedSets(t)
	is.Equal(ObjectChanges(from, to), []ObjectChange{
		{Action: Changed, Object: "service", Name: "sorting", Fields: []FieldChange{{Field: "slots", From: "8", To: "16"}}},
		{Action: Added, Object: "team", Name: "museum", Fields: []FieldChange{{Field: "name", To: "museum"}, {Field: "weight", To: "2"}}},
		{Action: Removed, Object: "team", Name: "school", Fields: []FieldChange{}},
	})
}

func changedSets(t *testing.T) (from, to *Set) {
	t.Helper()
	from, to = readSet(t, "testdata/valid.yaml"), readSet(t, "testdata/valid.yaml")
	to.Services[0].Slots = 16
	to.Teams[1] = Team{Name: "museum", Weight: 2}
	return from, to
}
