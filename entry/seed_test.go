package entry

import (
	"context"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/contract"
	"samphireplank.example/samphireplank/publication"
	"samphireplank.example/samphireplank/store"
)

// silentPeers returns addresses that accept connections but never answer, like entry VMs behind a partition.
func silentPeers(t *testing.T, count int) []string {
	t.Helper()
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

// publishedObjects returns a platform with the published objects of the load profiles.
func publishedObjects(t *testing.T) *store.Memory {
	t.Helper()
	data, err := os.ReadFile("../examples/profiles/objects.yaml")
	if err != nil {
		t.Fatal(err)
	}
	set, problems := contract.ParseFiles([]contract.ObjectFile{{Name: "objects.yaml", Data: data}})
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	memory := store.NewMemory()
	if _, err := publication.NewPublisher(publication.Config{Store: memory, Author: "test"}).Publish(t.Context(), set, "test"); err != nil {
		t.Fatal(err)
	}
	return memory
}

// Guards against an entry VM that starts behind a partition and applies no membership change until every seed peer has
// timed out.
func TestMembershipWithSilentPeers(t *testing.T) {
	is := is.New(t)
	memory := publishedObjects(t)
	e, err := New(Config{
		VM: "entry-1", Zone: "zone-a", Listen: "127.0.0.1:0", LinkListen: "127.0.0.1:0", SeedPeers: silentPeers(t, 4),
		StopTimeout: time.Second, Store: memory, Directory: memory,
	})
	is.NoErr(err)
	ctx, stop := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return e.Run(ctx) })
	time.Sleep(200 * time.Millisecond) // until the configuration is active
	is.NoErr(memory.Register(ctx, store.VM{
		ID: "endpoint-1", Zone: "zone-a", Role: store.RoleEndpoint, Service: "cue", Address: "127.0.0.1:1",
		Incarnation: 1, State: store.StateLive,
	}))
	began := time.Now()
	for time.Since(began) < 20*time.Second && endpoints(e) == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	took := time.Since(began)
	stop()
	is.NoErr(group.Wait())
	t.Logf("the endpoint is in use after %v", took)
	is.True(took < time.Second)
}

func endpoints(e *Server) int {
	count := 0
	for _, s := range e.Status().Services {
		count += s.Endpoints
	}
	return count
}
