package entry

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"

	"samphireplank.example/samphireplank/store"
)

// Guards against traffic of the peer link that is counted in the wrong direction or not at all.
func TestLinkBytesAreCounted(t *testing.T) {
	is := is.New(t)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server, client := newMetricSet(), newMetricSet()
	listener := meteredListener{socket, server}
	defer listener.Close()
	out, err := client.dialLink(context.Background(), socket.Addr().String())
	is.NoErr(err)
	defer out.Close()
	in, err := listener.Accept()
	is.NoErr(err)
	defer in.Close()
	_, err = out.Write(make([]byte, 5))
	is.NoErr(err)
	n, err := in.Read(make([]byte, 16))
	is.NoErr(err)
	is.Equal(n, 5)
	is.Equal(client.linkSent.Get(), uint64(5))
	is.Equal(server.linkReceived.Get(), uint64(5))
	is.Equal(client.linkReceived.Get(), uint64(0))
	is.Equal(server.linkSent.Get(), uint64(0))
}

// countedPlatform is a platform whose calls return at once.
type countedPlatform struct {
	store.Store
	store.Directory
}

func (countedPlatform) Get(context.Context, string) (store.VersionedValue, error) {
	return store.VersionedValue{}, nil
}

func (countedPlatform) Watch(context.Context, string, uint64) (store.VersionedValue, error) {
	return store.VersionedValue{}, nil
}

func (countedPlatform) VMs(context.Context, uint64) (store.VMList, error) {
	return store.VMList{}, nil
}

func (countedPlatform) Register(context.Context, store.VM) error { return nil }

// Guards against calls to the platform that are missing from the count or counted as another kind.
func TestPlatformCallsAreCounted(t *testing.T) {
	is := is.New(t)
	m := newMetricSet()
	p := countedPlatform{}
	config := m.meterPlatform(Config{Store: p, Directory: p, Registrar: p})
	ctx := context.Background()
	for range 2 {
		_, err := config.Store.Watch(ctx, "key", 0)
		is.NoErr(err)
	}
	_, err := config.Store.Get(ctx, "key")
	is.NoErr(err)
	for range 3 {
		_, err = config.Directory.VMs(ctx, 0)
		is.NoErr(err)
	}
	is.NoErr(config.Registrar.Register(ctx, store.VM{}))
	is.Equal(m.platformReads.Get(), uint64(1))
	is.Equal(m.platformWatches.Get(), uint64(2))
	is.Equal(m.platformLists.Get(), uint64(3))
	is.Equal(m.platformRegistrations.Get(), uint64(1))
	is.Equal(m.meterPlatform(Config{}).Registrar, nil)
}
