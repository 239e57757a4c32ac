package gateway

import (
	"testing"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/placement"
)

// Guards against a transfer in one write, which could take effect after a new scheduler of the same holder has started tasks.
func TestTransferTakesTwoWrites(t *testing.T) {
	is := is.New(t)
	s := placement.PersistJob{Job: "j", TransferTo: "b#0", Transfers: 3}
	first := nextOpenJob(openJob{Group: "a#0", Transfers: 1}, s)
	is.Equal(first.Group, "a#0")
	is.Equal(first.TransferTo, "b#0")
	second := nextOpenJob(first, s)
	is.Equal(second.Group, "b#0")
	is.Equal(second.TransferTo, "")
	is.Equal(second.Transfers, 3)
	other := nextOpenJob(first, placement.PersistJob{Job: "j", TransferTo: "c#0"}) // names another group than the stored one
	is.Equal(other.Group, "a#0")
	is.Equal(other.TransferTo, "c#0")
}
