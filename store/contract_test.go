package store_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/platform"
	"samphireplank.example/samphireplank/standin"
	"samphireplank.example/samphireplank/store"
)

// testStore is the interface whose contract the tests check.
type testStore interface {
	store.Store
	store.Directory
	standin.Registrar
}

// forEachStore runs a test against the in-memory store and against the platform stand-in through its client.
func forEachStore(t *testing.T, test func(*testing.T, testStore)) {
	t.Run("memory", func(t *testing.T) { test(t, store.NewMemory()) })
	t.Run("stand-in", func(t *testing.T) {
		_, client := startPlatform(t, clientConfig{})
		test(t, client)
	})
}

// clientConfig configures the client of a test.
type clientConfig struct {
	addresses    []string // of other servers, which are tried first
	zone         string
	timeout      time.Duration
	watchTimeout time.Duration
}

func newClient(cfg clientConfig) *store.KVStore {
	if cfg.timeout == 0 {
		cfg.timeout = 2 * time.Second
	}
	var all store.Failover
	for _, address := range cfg.addresses {
		all = append(all, platform.NewKVClient(platform.KVClientConfig{Zone: cfg.zone, Address: address, Timeout: cfg.timeout}))
	}
	return store.NewKVStore(all, cfg.watchTimeout)
}

func startPlatform(t *testing.T, cfg clientConfig) (*standin.Platform, *store.KVStore) {
	t.Helper()
	p := standin.NewPlatform(standin.PlatformConfig{})
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	cfg.addresses = append(cfg.addresses, p.Address())
	t.Cleanup(func() {
		if err := p.Close(); err != nil {
			t.Error(err)
		}
	})
	return p, newClient(cfg)
}

// Guards against writes that overwrite a version that the writer has not read.
func TestContractCompareAndSwap(t *testing.T) {
	forEachStore(t, func(t *testing.T, s testStore) {
		is, ctx := is.New(t), t.Context()
		const key = "samphireplank/change/a b/%2F?"
		_, err := s.Get(ctx, key)
		is.True(errors.Is(err, store.ErrNotFound))
		first, err := s.CompareAndSwap(ctx, key, 0, []byte("one"))
		is.NoErr(err)
		_, err = s.CompareAndSwap(ctx, key, 0, []byte("again"))
		is.True(errors.Is(err, store.ErrVersionMismatch) && store.NotApplied(err))
		second, err := s.CompareAndSwap(ctx, key, first, []byte("two"))
		is.NoErr(err)
		is.True(second > first)
		value, err := s.Get(ctx, key)
		is.NoErr(err)
		is.Equal(value, store.VersionedValue{Data: []byte("two"), Version: second})
		is.True(errors.Is(s.Delete(ctx, key, first), store.ErrVersionMismatch))
		is.NoErr(s.Delete(ctx, key, second))
		is.True(errors.Is(s.Delete(ctx, key, second), store.ErrNotFound))
		third, err := s.CompareAndSwap(ctx, key, 0, nil)
		is.NoErr(err)
		is.True(third > second) // versions are never reused
	})
}

// Guards against two successful writes of one version.
func TestContractOneWinner(t *testing.T) {
	forEachStore(t, func(t *testing.T, s testStore) {
		is := is.New(t)
		var group sync.WaitGroup
		wins := make(chan int, 8)
		for i := range 8 {
			group.Go(func() {
				if _, err := s.CompareAndSwap(t.Context(), "head", 0, []byte(fmt.Sprint(i))); err == nil {
					wins <- i
				}
			})
		}
		group.Wait()
		is.Equal(len(wins), 1)
	})
}

// Guards against accepting values above the maximum size and against truncating a value of that size.
func TestContractValueSize(t *testing.T) {
	forEachStore(t, func(t *testing.T, s testStore) {
		is := is.New(t)
		_, err := s.CompareAndSwap(t.Context(), "large", 0, make([]byte, store.MaxValueSize+1))
		is.True(errors.Is(err, store.ErrValueTooLarge))
		_, err = s.CompareAndSwap(t.Context(), "large", 0, make([]byte, store.MaxValueSize))
		is.NoErr(err)
		value, err := s.Get(t.Context(), "large")
		is.NoErr(err)
		is.Equal(len(value.Data), store.MaxValueSize)
	})
}

// Guards against watches that miss a change, report one that did not happen, or outlive their context.
func TestContractWatch(t *testing.T) {
	forEachStore(t, func(t *testing.T, s testStore) {
		is := is.New(t)
		watched := make(chan store.VersionedValue, 1)
		var group sync.WaitGroup
		group.Go(func() {
			value, _ := s.Watch(t.Context(), "head", 0)
			watched <- value
		})
		time.Sleep(20 * time.Millisecond)
		version, err := s.CompareAndSwap(t.Context(), "head", 0, []byte("one"))
		is.NoErr(err)
		group.Wait()
		is.Equal(<-watched, store.VersionedValue{Data: []byte("one"), Version: version})

		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		value, err := s.Watch(ctx, "head", version)
		is.NoErr(err)
		is.Equal(value, store.VersionedValue{Data: []byte("one"), Version: version}) // unchanged
		is.NoErr(s.Delete(t.Context(), "head", version))
		value, err = s.Watch(t.Context(), "head", version)
		is.NoErr(err)
		is.Equal(value, store.VersionedValue{}) // deleted
	})
}

// Guards against a VM list that returns to an older incarnation or state or misses a change.
func TestContractList(t *testing.T) {
	forEachStore(t, func(t *testing.T, s testStore) {
		is, ctx := is.New(t), t.Context()
		vm := store.VM{ID: "e/1", Zone: "a", Role: store.RoleEntry, Address: "127.0.0.1:1", Incarnation: 2, State: store.StateLeaving}
		before, err := s.VMs(ctx, 0)
		is.NoErr(err)
		is.NoErr(s.Register(ctx, vm))
		list, err := s.VMs(ctx, before.Version)
		is.NoErr(err)
		is.Equal(list.VMs, []store.VM{vm})
		for _, old := range []store.VM{{ID: vm.ID, Address: "x", Incarnation: 1, State: store.StateLive}, {ID: vm.ID, Address: "x", Incarnation: 2, State: store.StateLive}} {
			is.True(errors.Is(s.Register(ctx, old), store.ErrStaleRegistration))
		}
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		same, err := s.VMs(short, list.Version)
		is.NoErr(err)
		is.Equal(same, store.VMList{Version: list.Version})
	})
}
