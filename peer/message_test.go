package peer

import (
	"bytes"
	"encoding/gob"
	"testing"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/worker"
)

// oldStarts are orders of a VM of a version whose orders name no incarnation.
type oldStarts struct {
	Starts []struct {
		Target struct{ ID, Address string }
		Run    worker.Run
	}
}

// Guards against delegated starts that reach another incarnation of their worker, or that VMs of an earlier version can't read.
func TestDelegatedStartLosesIncarnation(t *testing.T) {
	is := is.New(t)
	recode := func(from, to any) {
		var b bytes.Buffer
		is.NoErr(gob.NewEncoder(&b).Encode(from))
		is.NoErr(gob.NewDecoder(&b).Decode(to))
	}
	start := worker.StartOrder{Target: worker.Target{ID: "w1", Address: "w1:1", Incarnation: 1_700_000_000_123}, Run: worker.Run{Task: "a", Number: 2}}
	var received Orders
	recode(Orders{Sequence: 7, Group: "a#0", Starts: []worker.StartOrder{start}}, &received)
	is.Equal(received.Starts[0], start)
	var old oldStarts
	recode(received, &old)
	is.Equal(old.Starts[0].Target.Address, "w1:1")
	received = Orders{}
	recode(old, &received)
	is.Equal(received.Starts[0].Target, worker.Target{ID: "w1", Address: "w1:1"})
}
