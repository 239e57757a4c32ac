package chaos

import (
	"flag"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write the golden files")

// Guards against a schedule that depends on anything but its seed, so that a violation could not be run again.
func TestScheduleFollowsFromSeed(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	for _, event := range NewSchedule(7, time.Minute, fleet()) {
		text.WriteString(event.String() + "\n")
	}
	const golden = "testdata/schedule-7.golden"
	if *update {
		is.NoErr(os.WriteFile(golden, []byte(text.String()), 0o644))
	}
	want, err := os.ReadFile(golden)
	is.NoErr(err)
	is.Equal(text.String(), string(want))
}

// Guards against a long run that leaves a kind of fault out, and against faults that outlast the load.
func TestScheduleHasAllKindsInTime(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		kinds := map[FaultKind]bool{}
		for _, event := range NewSchedule(seed, 2*time.Minute, fleet()) {
			kinds[event.Kind] = true
			is.True(event.Duration >= leastFault && event.Duration <= mostFault)
			is.True(event.At >= calmBefore && event.At+event.Duration <= 2*time.Minute)
		}
		for _, kind := range fullDeck() {
			is.True(kinds[kind]) // every kind is dealt in two minutes
		}
	}
}
