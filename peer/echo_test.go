package peer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a bound that exceeds the other VM's clock, or that a delayed message makes worse than it needs to be.
func TestClockBound(t *testing.T) {
	is := is.New(t)
	const ahead = time.Hour // of the other clock
	var b clockBound
	is.Equal(b.at(time.Second), time.Duration(0)) // unknown
	observe := func(sent, arrived time.Duration) { b.observe(sent+ahead, arrived) }
	observe(0, 2*time.Millisecond)
	is.Equal(b.at(2*time.Millisecond), ahead)
	observe(100*time.Millisecond, 600*time.Millisecond) // delayed
	at := 600 * time.Millisecond
	is.True(b.at(at) <= at+ahead)
	is.True(b.at(at) > at+ahead-10*time.Millisecond)
	observe(700*time.Millisecond, 701*time.Millisecond)
	is.Equal(b.at(701*time.Millisecond), 700*time.Millisecond+ahead)
}
