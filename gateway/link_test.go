package gateway

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"samphireplank.example/samphireplank/peer"
)

// silentPeer accepts connections and never sends a heartbeat.
type silentPeer struct{}

func (silentPeer) Opened(*peer.Conn)                 {}
func (silentPeer) Received(*peer.Conn, peer.Message) {}
func (silentPeer) Closed(*peer.Conn, error)          {}

// Guards against detecting a partitioned zone connection by connection, each at the cost of a job: in brunnvakt-sthlm
// inc-4233 each first job that went to the zone lost 1.6 s.
func TestUnreachableVMMakesItsZoneProbed(t *testing.T) {
	is := is.New(t)
	g := New(Config{Log: zerolog.Nop(), Decoder: fakeDecoder{}, Settings: Settings{VM: "v", Zone: "a"}})
	g.ctx = t.Context()
	var group errgroup.Group
	up := func(name string) *peer.Conn {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.links[name].conn
	}
	for _, name := range []string{"b1", "b2"} {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		is.NoErr(err)
		group.Go(func() error {
			return peer.Serve(t.Context(), listener, peer.Config{Self: peer.Hello{VM: name, Zone: "b"}}, silentPeer{})
		})
		g.mu.Lock()
		g.links[name] = g.openLink(t.Context(), name, listener.Addr().String())
		g.mu.Unlock()
	}
	for up("b1") == nil || up("b2") == nil {
		time.Sleep(5 * time.Millisecond)
	}
	first, second := up("b1"), up("b2")
	began := time.Now()
	first.Send(peer.Submit{Sequence: 1})
	for up("b2") == second && time.Since(began) < peer.IdleReadTimeout {
		time.Sleep(10 * time.Millisecond)
	}
	is.True(time.Since(began) < 3*peer.ReadTimeout)
}
