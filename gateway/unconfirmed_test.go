package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"samphireplank.example/samphireplank/claim"
	"samphireplank.example/samphireplank/placement"
)

// Guards against two VMs that hold a group without the store under the same fence, which workers take for one holder: one
// of them does not know the other, which has registered shortly before the store became unavailable.
func TestUnconfirmedHoldersShareAFence(t *testing.T) {
	is := is.New(t)
	m, v := gatewayWithoutStore(t, "m", "h", "v"), gatewayWithoutStore(t, "v", "h")
	m.holdUnconfirmed(m.ctx, "a#0")
	v.holdUnconfirmed(v.ctx, "a#0")
	is.True(m.driverOf("a#0").currentFence() != v.driverOf("a#0").currentFence())
}

// Guards against orders that a VM has sent before a pause and that workers take for those of its next scheduler: without
// the store it holds the group again under the same fence.
func TestGroupIsHeldAgainUnderTheSameFence(t *testing.T) {
	is := is.New(t)
	g := gatewayWithoutStore(t, "v", "h")
	g.holdUnconfirmed(g.ctx, "a#0")
	before := g.driverOf("a#0").currentFence()
	boot := bootClock() + time.Second
	g.pauseDetector.boot = func() time.Duration { return boot }
	g.checkPause(g.ctx)
	is.True(g.driverOf("a#0") == nil)
	g.holdUnconfirmed(g.ctx, "a#0")
	is.True(g.driverOf("a#0").currentFence() > before)
}

// gatewayWithoutStore returns a VM that cannot reach the store, knows some other VMs and has lost the holder h of a group.
func gatewayWithoutStore(t *testing.T, vm string, others ...string) *Gateway {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	g := New(Config{Log: zerolog.Nop(), Decoder: fakeDecoder{}, PlacementRules: placement.DefaultRules(), ClaimRules: claim.DefaultRules(), Store: emptyStore{}, Workers: unresponsiveWorkers{}, Settings: Settings{VM: vm, Zone: "a", LeaseDuration: time.Second}})
	g.ctx = ctx
	g.cache.unavailable = true
	g.cache.holders["a#0"] = holderRecord{Record: claim.Record{VM: "h", Incarnation: 1}, revision: 4}
	for _, name := range append(others, vm) {
		g.cache.vms[name] = registration{Zone: "a", Incarnation: 1}
	}
	g.links["h"] = &peerLink{vm: "h", downSince: time.Now().Add(-time.Hour), holds: map[string]int64{}}
	return g
}
