package publication

import (
	"context"
	"fmt"
	"testing"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/store"
)

// countingStore counts the store calls and the bytes transferred.
type countingStore struct {
	*store.Memory
	reads, writes, deletes, bytesRead, bytesWritten float64
}

func (s *countingStore) Get(ctx context.Context, key string) (store.VersionedValue, error) {
	value, err := s.Memory.Get(ctx, key)
	s.reads++
	s.bytesRead += float64(len(value.Data))
	return value, err
}

func (s *countingStore) CompareAndSwap(ctx context.Context, key string, version uint64, data []byte) (uint64, error) {
	s.writes++
	s.bytesWritten += float64(len(data))
	return s.Memory.CompareAndSwap(ctx, key, version, data)
}

func (s *countingStore) Delete(ctx context.Context, key string, version uint64) error {
	s.deletes++
	return s.Memory.Delete(ctx, key, version)
}

// largeSet returns a set with the given number of teams, with a queue limit that depends on the variant.
func largeSet(teams, variant int) *contract.Set {
	set := testSet(1000 + variant)
	for n := range teams {
		set.Teams = append(set.Teams, contract.Team{Name: fmt.Sprintf("team-%05d", n), Weight: 1})
	}
	return set
}

// BenchmarkPublish publishes sets that differ in one object, with a full history.
func BenchmarkPublish(b *testing.B) {
	for _, teams := range []int{20, 200, 2000, 15_000} {
		set := largeSet(teams, 0)
		data, err := set.Encode()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("teams=%d/bytes=%d", teams, len(data)), func(b *testing.B) {
			store := &countingStore{Memory: store.NewMemory()}
			publisher := testPublisher(store, "mari")
			variant := 0
			publish := func() {
				variant++
				set.Priorities[0].MaxQueued = 1000 + variant
				if _, err := publisher.Publish(b.Context(), set, "benchmark"); err != nil {
					b.Fatal(err)
				}
			}
			for range MaxHistory + 1 {
				publish()
			}
			*store = countingStore{Memory: store.Memory}
			for b.Loop() {
				publish()
			}
			n := float64(b.N)
			b.ReportMetric(store.reads/n, "reads/op")
			b.ReportMetric(store.writes/n, "writes/op")
			b.ReportMetric(store.deletes/n, "deletes/op")
			b.ReportMetric(store.bytesRead/n, "bytes-read/op")
			b.ReportMetric(store.bytesWritten/n, "bytes-written/op")
		})
	}
}

// BenchmarkFetch updates one entry VM to the next generation, by the patch and by the whole set.
func BenchmarkFetch(b *testing.B) {
	for _, teams := range []int{20, 2000, 15_000} {
		store := &countingStore{Memory: store.NewMemory()}
		publisher := testPublisher(store, "mari")
		first, second := largeSet(teams, 0), largeSet(teams, 1)
		if _, err := publisher.Publish(b.Context(), first, "first"); err != nil {
			b.Fatal(err)
		}
		record, err := publisher.Publish(b.Context(), second, "second")
		if err != nil {
			b.Fatal(err)
		}
		for name, have := range map[string]*contract.Set{"change": first, "set": nil} {
			b.Run(fmt.Sprintf("teams=%d/by=%s", teams, name), func(b *testing.B) {
				*store = countingStore{Memory: store.Memory}
				for b.Loop() {
					set, err := Fetch(b.Context(), store, have, record)
					if err != nil {
						b.Fatal(err)
					}
					var acceptor ActiveSet
					if !acceptor.Update(record, set) {
						b.Fatal("set was not activated")
					}
				}
				b.ReportMetric(store.bytesRead/float64(b.N), "bytes-read/op")
			})
		}
	}
}
