package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/peer"
	"samphireplank.example/samphireplank/placement"
)

// Guards against runs of a VM that is gone which outlast the time after which its callers are back.
func TestRunsOutlastReturnOfCallers(t *testing.T) {
	is := is.New(t)
	const (
		resend    = 1300 * time.Millisecond // after which callers are back
		stop      = 50 * time.Millisecond   // that a worker takes to kill a run
		lease     = time.Second             // longest lease; the worker's clock runs up to 2% slow
		peerDrift = 0.01                    // of the holder's clock from the VM's
	)
	rules := placement.DefaultRules()
	end := permitDuration + placement.PermitLease + time.Duration(rules.ClockDrift*float64(lease)+peerDrift*float64(resend)) + stop
	is.True(end < resend)
	is.True(end <= orphanedRunTimeout)
	is.True(orphanedRunTimeout <= resend)
	is.True(permitDuration > peer.ReadTimeout) // a VM that is only slow is not given up before its connection
	is.Equal(rules.LostHolderTimeout, orphanedRunTimeout)
}
