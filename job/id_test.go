package job

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against ids that change in a round trip through their text form, which would lose their home.
func TestIDRoundTrip(t *testing.T) {
	is := is.New(t)
	want := ID{Zone: "tartu-a", VM: "entry-1", Incarnation: 1 << 60, Sequence: 71}
	got, err := ParseID(want.String())
	is.NoErr(err)
	is.Equal(got, want)
}

// Guards against malformed ids that are parsed as the id of another submission.
func TestParseIDRefusesMalformedIDs(t *testing.T) {
	for _, text := range []string{"", "a.b.c", "a..1.1", ".b.1.1", "a.b.!.1", "a.b.1.!", "a.b.1.1.1"} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			_, err := ParseID(text)
			is.True(err != nil)
		})
	}
}
