package slot

import (
	"testing"
	"time"
)

// benchPool returns a zone of 5 VMs and 220 endpoints with 8 slots, with usable slots.
func benchPool(policy Policy) *testZone {
	z := newTestZone(Config{Policy: policy}, 5, 220, 8, 1)
	z.run(1100*time.Millisecond, nil)
	return z
}

// BenchmarkTakeRelease measures one Release and TryAcquire on a half busy pool.
func BenchmarkTakeRelease(b *testing.B) {
	for i, name := range []string{"loans", "fixed-share", "two-choices"} {
		b.Run(name, func(b *testing.B) {
			z := benchPool(Policy(i))
			l := z.vms[0].pool
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

// BenchmarkTakeReleaseBorrowed measures one Release and TryAcquire on a borrowed slot while all 1,760 slots of the zone
// are in use.
func BenchmarkTakeReleaseBorrowed(b *testing.B) {
	z := benchPool(Loans)
	v := z.vms[0]
	z.demand(v, 1760, 5*time.Millisecond)
	if len(v.held) != 1760 {
		b.Fatalf("%d slots are held", len(v.held))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		v.pool.Release(z.now, v.held[1759].ID)
		v.held[1759], _ = v.pool.TryAcquire(z.now)
	}
}

// BenchmarkTick measures a Tick of a VM that holds all 1,760 slots of the zone.
func BenchmarkTick(b *testing.B) {
	z := benchPool(Loans)
	z.demand(z.vms[0], 1760, 5*time.Millisecond)
	out := make([]Envelope, 0, 16)
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		out = z.vms[0].pool.Tick(z.now.Add(time.Duration(n)), 100, nil, out[:0])
	}
}
