package store_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/standin"
	"samphireplank.example/samphireplank/store"
)

// Guards against a write whose effect is reported wrongly, which would lose or repeat a publication.
func TestWriteUnderFaults(t *testing.T) {
	cases := map[string]struct {
		faults standin.PlatformFaults
		err    error // nil for success
		effect bool
	}{
		"none":             {effect: true},
		"slow":             {faults: standin.PlatformFaults{DelayMS: 20}, effect: true},
		"slower than wait": {faults: standin.PlatformFaults{DelayMS: 1000}, err: store.ErrOutcomeUnknown},
		"down":             {faults: standin.PlatformFaults{Down: true}, err: store.ErrOutcomeUnknown},
		"unavailable":      {faults: standin.PlatformFaults{Unavailable: true}, err: store.ErrNotApplied},
		"answer lost":      {faults: standin.PlatformFaults{LostReplyProbability: 1}, err: store.ErrOutcomeUnknown, effect: true},
		"cut off":          {faults: standin.PlatformFaults{PartitionedZones: []string{"a"}}, err: store.ErrOutcomeUnknown},
		"other zone cut":   {faults: standin.PlatformFaults{PartitionedZones: []string{"b"}}, effect: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, client := startPlatform(t, clientConfig{zone: "a", timeout: 300 * time.Millisecond})
			p.SetFaults(c.faults)
			_, err := client.CompareAndSwap(t.Context(), "head", 0, []byte("x"))
			is.True(errors.Is(err, c.err))
			is.Equal(store.NotApplied(err), errors.Is(c.err, store.ErrNotApplied))
			_, err = p.FaultFreeStore().Get(t.Context(), "head")
			is.Equal(err == nil, c.effect)
		})
	}
}

// Guards against a call that is given up although another server of the platform answers, and against a wrong
// effect of one that could not connect.
func TestNextAddressAfterRefusedConnection(t *testing.T) {
	is := is.New(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(closed.Close())
	alone := newClient(clientConfig{addresses: []string{closed.Addr().String()}})
	_, err = alone.CompareAndSwap(t.Context(), "head", 0, nil)
	is.True(errors.Is(err, store.ErrNotApplied))
	_, client := startPlatform(t, clientConfig{addresses: []string{closed.Addr().String()}})
	_, err = client.CompareAndSwap(t.Context(), "head", 0, nil)
	is.NoErr(err)
}

// Guards against a server that never answers and takes the time of the others.
func TestNextAddressAfterSilence(t *testing.T) {
	is := is.New(t)
	silent, _ := startPlatform(t, clientConfig{})
	silent.SetFaults(standin.PlatformFaults{PartitionedZones: []string{"a"}})
	_, client := startPlatform(t, clientConfig{zone: "a", addresses: []string{silent.Address()}, timeout: 100 * time.Millisecond})
	list, err := client.VMs(t.Context(), 0)
	is.NoErr(err)
	is.True(list.Version > 0)
}

// Guards against a watch that never sees a change after it has missed it.
func TestWatchSeesMissedEventLater(t *testing.T) {
	is := is.New(t)
	p, client := startPlatform(t, clientConfig{wait: 200 * time.Millisecond})
	p.SetFaults(standin.PlatformFaults{MissedEventProbability: 1})
	var group sync.WaitGroup
	group.Go(func() {
		value, err := client.Watch(t.Context(), "head", 0)
		is.NoErr(err)
		is.Equal(value, store.VersionedValue{})
	})
	time.Sleep(50 * time.Millisecond)
	version, err := p.FaultFreeStore().CompareAndSwap(t.Context(), "head", 0, []byte("x"))
	is.NoErr(err)
	group.Wait()
	value, err := client.Watch(t.Context(), "head", 0)
	is.NoErr(err)
	is.Equal(value.Version, version)
	is.Equal(p.Counts().MissedEvents, uint64(1))
}

// Guards against a watch that a partition or an outage begins during, and that is answered nevertheless.
func TestWaitingWatchGetsNoAnswerInFault(t *testing.T) {
	for name, faults := range map[string]standin.PlatformFaults{"down": {Down: true}, "cut": {PartitionedZones: []string{"a"}}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, client := startPlatform(t, clientConfig{zone: "a", wait: 300 * time.Millisecond, timeout: 300 * time.Millisecond})
			var group sync.WaitGroup
			group.Go(func() {
				_, err := client.Watch(t.Context(), "head", 0)
				is.True(err != nil)
			})
			time.Sleep(50 * time.Millisecond)
			p.SetFaults(faults)
			_, err := p.FaultFreeStore().CompareAndSwap(t.Context(), "head", 0, []byte("x"))
			is.NoErr(err)
			group.Wait()
		})
	}
}

// Guards against an unchanged value without its data after the platform has ended the wait.
func TestWatchEndsWithValue(t *testing.T) {
	is := is.New(t)
	_, client := startPlatform(t, clientConfig{wait: 20 * time.Millisecond})
	version, err := client.CompareAndSwap(t.Context(), "head", 0, []byte("x"))
	is.NoErr(err)
	for range 2 {
		value, err := client.Watch(t.Context(), "head", version)
		is.NoErr(err)
		is.Equal(value, store.VersionedValue{Data: []byte("x"), Version: version})
	}
}

// Guards against a list that shows a VM before its lag is over, or never.
func TestListLags(t *testing.T) {
	is := is.New(t)
	p, client := startPlatform(t, clientConfig{})
	p.SetFaults(standin.PlatformFaults{ListLagMS: 200})
	before, err := client.VMs(t.Context(), 0)
	is.NoErr(err)
	is.NoErr(client.Register(t.Context(), store.VM{ID: "e", Address: "127.0.0.1:1", Incarnation: 1, State: store.StateLive}))
	short, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	list, err := client.VMs(short, before.Version)
	is.NoErr(err)
	is.Equal(list, store.VMList{Version: before.Version})
	list, err = client.VMs(t.Context(), before.Version)
	is.NoErr(err)
	is.Equal(len(list.VMs), 1)
}
