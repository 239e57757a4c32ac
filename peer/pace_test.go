package peer

import (
	"context"
	"encoding/gob"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// Guards against frequent heartbeats on idle connections, of which a deployment has thousands, and against infrequent
// ones on busy connections.
func TestHeartbeatSchedule(t *testing.T) {
	is := is.New(t)
	p := heartbeatSchedule{activeSubmissions: map[uint64]struct{}{}}
	now := time.Unix(1_700_000_000, 0)
	count := func(length time.Duration) (beats int) {
		for end := now.Add(length); now.Before(end); now = now.Add(HeartbeatInterval) {
			if p.due(now) {
				p.lastHeartbeat, p.lastSentWant = now, p.wantFrequent
				beats++
			}
		}
		return beats
	}
	is.Equal(count(9*time.Second), 10)
	is.Equal(p.readTimeout(), IdleReadTimeout)
	is.True(p.observe(Submit{Sequence: 7}))
	is.True(!p.observe(Submit{Sequence: 8})) // busy already
	is.Equal(count(9*time.Second), 60)
	is.Equal(p.readTimeout(), ReadTimeout)
	p.observe(Verdict{Sequence: 7})
	p.observe(Withdraw{Sequence: 8})
	p.observe(Verdict{Sequence: 8}) // crossed with the withdrawal
	is.Equal(p.readTimeout(), IdleReadTimeout)
	is.Equal(count(9*time.Second), 10)
	p.peerWantsFrequent = true
	is.Equal(count(9*time.Second), 60)
	p.peerWantsFrequent, p.wantFrequent = false, true
	is.Equal(p.readTimeout(), ReadTimeout)
	is.True(count(HeartbeatInterval) == 1) // the request is sent immediately
}

// closeRecorder is a Handler that records when connections are closed.
type closeRecorder struct {
	opened   chan *Conn
	closed   atomic.Int64
	closedAt chan time.Time
}

func (e *closeRecorder) Opened(c *Conn)          { e.opened <- c }
func (e *closeRecorder) Received(*Conn, Message) {}
func (e *closeRecorder) Closed(*Conn, error)     { e.closed.Add(1); e.closedAt <- time.Now() }

// silentPeer serves one connection whose other side sends a Hello and then nothing, or what write sends.
func silentPeer(t *testing.T, write func(net.Conn)) (*Conn, *closeRecorder) {
	t.Helper()
	near, far := net.Pipe()
	var group errgroup.Group
	handler := &closeRecorder{opened: make(chan *Conn, 1), closedAt: make(chan time.Time, 1)}
	group.Go(func() error { return serve(context.Background(), near, Config{Self: Hello{VM: "a"}}, handler) })
	group.Go(func() error { // discards everything that is sent to the peer
		b := make([]byte, 4096)
		for {
			if _, err := far.Read(b); err != nil {
				return nil
			}
		}
	})
	group.Go(func() error {
		if err := gob.NewEncoder(far).Encode(envelope{Hello{VM: "b"}}); err != nil {
			return err
		}
		if write != nil {
			write(far)
		}
		return nil
	})
	c := <-handler.opened
	t.Cleanup(func() {
		c.Close(nil)
		_ = far.Close() // the error says only that the pipe is closed already
		_ = group.Wait()
	})
	return c, handler
}

// Guards against the idle read timeout on a connection that carries a job: an unreachable VM would be detected too
// late.
func TestBusyConnectionTimesOutSoon(t *testing.T) {
	is := is.New(t)
	c, handler := silentPeer(t, nil)
	time.Sleep(50 * time.Millisecond) // the connection is idle
	began := time.Now()
	c.Send(Submit{Sequence: 1})
	took := (<-handler.closedAt).Sub(began)
	is.True(took >= ReadTimeout-10*time.Millisecond)
	is.True(took < 2*ReadTimeout)
}

// Guards against closing a connection when its last job has ended: the other side sends heartbeats less often from then
// on, while a pending read still had the deadline of a busy connection. Each VM reconnected 33 connections in 30 s
// under low load.
func TestConnectionStaysOpenAfterLastJob(t *testing.T) {
	is := is.New(t)
	c, handler := silentPeer(t, nil)
	c.Send(Submit{Sequence: 1})
	time.Sleep(ReadTimeout / 2)
	c.Send(Verdict{Sequence: 1})
	time.Sleep(ReadTimeout)
	is.Equal(handler.closed.Load(), int64(0))
}

// Guards against closing a connection while bytes still arrive: a copy of the store's keys takes longer than the read
// timeout on a slow link.
func TestSlowMessageDoesNotTimeOut(t *testing.T) {
	is := is.New(t)
	c, handler := silentPeer(t, func(far net.Conn) {
		for range 12 { // the length of a message, then its bytes one at a time
			if _, err := far.Write([]byte{0x40}); err != nil {
				return
			}
			time.Sleep(ReadTimeout / 5)
		}
	})
	c.Send(Submit{Sequence: 1})
	time.Sleep(2 * ReadTimeout)
	is.Equal(handler.closed.Load(), int64(0))
}
