package store

import (
	"context"
	"testing"
	"time"
)

// oneKey is a keyspace with one item.
type oneKey struct {
	KV
	item KeyValue
}

func (k oneKey) Range(context.Context, string) (Snapshot, error) {
	return Snapshot{Items: []KeyValue{k.item}, Revision: 1}, nil
}

// Guards against registrations of another writer that crash a VM or name a VM that cannot be used.
func FuzzListedVM(f *testing.F) {
	f.Add("a", []byte(`{"id":"a","address":"b"}`))
	f.Add("a", []byte(`{"id":"b","address":"b"}`))
	f.Add("", []byte(`{`))
	f.Fuzz(func(t *testing.T, id string, value []byte) {
		list, err := NewKVStore(oneKey{item: KeyValue{Key: VMPrefix + id, Value: value}}, time.Millisecond).VMs(t.Context(), 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, vm := range list.VMs {
			if vm.ID != id || vm.Address == "" {
				t.Fatalf("VM %+v under the key of %q", vm, id)
			}
		}
	})
}
