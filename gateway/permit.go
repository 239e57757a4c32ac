package gateway

import (
	"maps"
	"time"

	"samphireplank.example/samphireplank/peer"
	"samphireplank.example/samphireplank/placement"
)

// permitDuration is how long a holder may act on the jobs of a VM after the VM has sent its last message. Together with
// placement.PermitLease it stays below the time after which clients send a job again.
const permitDuration = peer.ReadTimeout + reconnectGrace

// extendPermit extends the permit of an inbound connection by a message that has just arrived, and returns its end. The
// echo is the reading of this VM's clock that the message returns; the messages of earlier versions return none, and count
// from their arrival.
func (g *Gateway) extendPermit(connID uint64, echo time.Duration) time.Time {
	until := time.Now().Add(permitDuration)
	if echo != 0 {
		until = until.Add(-max(g.config.Clock()-echo, 0))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if until.After(g.permits[connID]) {
		g.permits[connID] = until
	}
	return until
}

func (g *Gateway) copyPermits() placement.Permits {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.permits)
}
