package slot

import (
	"testing"
	"time"
)

// benchLedger returns the ledger of one of 5 VMs in a zone of 220 endpoints with 8 slots.
func benchLedger(policy Policy) *testZone {
	z := newTestZone(Config{Policy: policy}, 5, 220, 8, 1)
	z.run(1100*time.Millisecond, nil)
	return z
}

// BenchmarkTakeRelease measures one task on a half busy ledger.
func BenchmarkTakeRelease(b *testing.B) {
	for i, name := range []string{"loans", "fixed-share", "two-choices"} {
		b.Run(name, func(b *testing.B) {
			z := benchLedger(Policy(i))
			l := z.vms[0].ledger
			var held []Slot
			for range 176 {
				s, _ := l.TryAcquire(z.now)
				held = append(held, s)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				at := n % len(held)
				l.Release(z.now, held[at].ID)
				held[at], _ = l.TryAcquire(z.now)
			}
		})
	}
}

// BenchmarkTakeReleaseBorrowed measures one task on a borrowed slot while all 1,760 slots of the zone are held.
func BenchmarkTakeReleaseBorrowed(b *testing.B) {
	z := benchLedger(Loans)
	v := z.vms[0]
	z.demand(v, 1760, 5*time.Millisecond)
	if len(v.held) != 1760 {
		b.Fatalf("%d slots are held", len(v.held))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		v.ledger.Release(z.now, v.held[1759].ID)
		v.held[1759], _ = v.ledger.TryAcquire(z.now)
	}
}

// BenchmarkTick measures a tick of a VM that holds all 1,760 slots of the zone.
func BenchmarkTick(b *testing.B) {
	z := benchLedger(Loans)
	z.demand(z.vms[0], 1760, 5*time.Millisecond)
	out := make([]Envelope, 0, 16)
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		out = z.vms[0].ledger.Tick(z.now.Add(time.Duration(n)), 100, nil, out[:0])
	}
}
