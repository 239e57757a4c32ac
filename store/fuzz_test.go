package store

import (
	"context"
	"testing"
	"time"
)

// singleKeyKV is a KV with one item.
type singleKeyKV struct {
	KV
	item KeyValue
}

func (k singleKeyKV) Range(context.Context, string) (Snapshot, error) {
	return Snapshot{Items: []KeyValue{k.item}, Revision: 1}, nil
}

// Guards against registrations by other writers that crash a VM or yield a VM without a usable id and address.
func FuzzListedVM(f *testing.F) {
	f.Add("a", []byte(`{"id":"a","address":"b"}`))
	f.Add("a", []byte(`{"id":"b","address":"b"}`))
	f.Add("", []byte(`{`))
	f.Fuzz(func(t *testing.T, id string, value []byte) {
		list, err := NewKVStore(singleKeyKV{item: KeyValue{Key: VMPrefix + id, Value: value}}, time.Millisecond).VMs(t.Context(), 0)
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
