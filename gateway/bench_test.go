package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"samphireplank.example/samphireplank/claim"
	"samphireplank.example/samphireplank/peer"
)

// largeGateway returns one of 97 VMs in 5 zones with 25 groups.
func largeGateway() *Gateway {
	g := New(Config{Log: zerolog.Nop(), Decoder: fakeDecoder{}, ClaimRules: claim.DefaultRules(), Settings: Settings{VM: "vm-0-7", Zone: "zone-0"}})
	g.cache.ownKeysRead = true
	for i := range 97 {
		name, zone := fmt.Sprintf("vm-%d-%d", i%5, i/5), fmt.Sprintf("zone-%d", i%5)
		g.cache.vms[name] = registration{Zone: zone, Weight: 0.192}
		if i/5 < 6 {
			g.links[name] = &peerLink{vm: name, conn: &peer.Conn{}, holds: map[string]int64{}}
		}
	}
	for z := range 5 {
		zone := fmt.Sprintf("zone-%d", z)
		g.cache.partitions[zone] = zonePartition{Groups: 5}
		for i := range 5 {
			g.cache.holders[groupName(zone, i)] = holderRecord{Record: claim.Record{VM: fmt.Sprintf("vm-%d-%d", z, i)}, revision: 10}
		}
	}
	return g
}

// BenchmarkDecideGroups measures one check of the holders of all groups; each VM does 20 a second.
func BenchmarkDecideGroups(b *testing.B) {
	g := largeGateway()
	for b.Loop() {
		g.decideGroups(b.Context())
	}
}

// BenchmarkDurablePermit measures the computation of a holder's permit for durable jobs, done before each decision on them.
func BenchmarkDurablePermit(b *testing.B) {
	g := largeGateway()
	d := &groupDriver{group: groupName("zone-0", 2), fence: 10 * fencesPerRevision}
	g.cache.holders[d.group] = holderRecord{Record: claim.Record{VM: "vm-0-7", Incarnation: g.self.Incarnation}, revision: 10}
	for vm := range g.cache.vms {
		g.confirmations[vm] = peer.Confirmation{Records: map[string]int64{d.group: 10}, Clock: bootClock()}
	}
	for b.Loop() {
		if g.durablePermit(d) < -time.Hour {
			b.Fatal("no evidence")
		}
	}
}
