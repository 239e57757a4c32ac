package chaos

import (
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// echoServer answers each byte with the same byte.
func echoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return listener.Addr().String()
}

// roundTrip sends a byte and returns the error of reading the answer within 200 ms.
func roundTrip(conn net.Conn) error {
	if _, err := conn.Write([]byte{1}); err != nil {
		return err
	}
	return readByte(conn)
}

func readByte(conn net.Conn) error {
	_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

// Guards against a cut that lets bytes through, loses them, or holds the wrong direction, which would test nothing.
func TestRelayHoldsAndRefuses(t *testing.T) {
	for _, kind := range []FaultKind{LinkPartition, LinkPartitionOneWay} {
		for _, e := range []FaultEvent{{Kind: kind, From: "a", To: "b"}, {Kind: kind, From: "b", To: "a"}} {
			t.Run(string(kind)+" "+e.From, func(t *testing.T) {
				is := is.New(t)
				l := newLinks()
				r, err := startRelay("127.0.0.1:0", echoServer(t), "b", l, func(net.Conn) string { return "a" })
				is.NoErr(err)
				defer r.stop()
				conn, err := net.Dial("tcp", r.listener.Addr().String())
				is.NoErr(err)
				defer conn.Close()
				is.NoErr(roundTrip(conn))
				l.apply(e, 1)
				is.True(roundTrip(conn) != nil) // held
				l.apply(e, -1)
				is.NoErr(readByte(conn)) // delivered after the cut
				l.apply(FaultEvent{Kind: LinkPartition, From: "a", To: "c"}, 1)
				is.NoErr(roundTrip(conn)) // another link
				l.apply(FaultEvent{Kind: LinkRefuse, From: "b", To: "a"}, 1)
				is.True(readByte(conn) == io.EOF) // open connections end
			})
		}
	}
}

// Guards against a relay that can't tell which process a connection comes from, so that cuts hit the wrong zones.
func TestPeerInode(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	accepted, err := listener.Accept()
	is.NoErr(err)
	defer accepted.Close()
	inode, err := peerInode(accepted)
	is.NoErr(err)
	is.True(holds(os.Getpid(), inode))
	is.True(!holds(1<<30, inode))
}
