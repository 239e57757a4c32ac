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

// Guards against heartbeats on idle connections, of which a fleet has thousands, and against seldom ones on busy ones.
func TestPace(t *testing.T) {
	is := is.New(t)
	p := pace{jobs: map[uint64]struct{}{}}
	now := time.Unix(1_700_000_000, 0)
	count := func(length time.Duration) (beats int) {
		for end := now.Add(length); now.Before(end); now = now.Add(HeartbeatInterval) {
			if p.due(now) {
				p.lastBeat, p.told = now, p.wish
				beats++
			}
		}
		return beats
	}
	is.Equal(count(9*time.Second), 10)
	is.Equal(p.silence(), IdleReadTimeout)
	is.True(p.note(Submit{Sequence: 7}))
	is.True(!p.note(Submit{Sequence: 8})) // busy already
	is.Equal(count(9*time.Second), 60)
	is.Equal(p.silence(), ReadTimeout)
	p.note(Verdict{Sequence: 7})
	p.note(Withdraw{Sequence: 8})
	p.note(Verdict{Sequence: 8}) // crossed with the withdrawal
	is.Equal(p.silence(), IdleReadTimeout)
	is.Equal(count(9*time.Second), 10)
	p.wished = true
	is.Equal(count(9*time.Second), 60)
	p.wished, p.wish = false, true
	is.Equal(p.silence(), ReadTimeout)
	is.True(count(HeartbeatInterval) == 1) // tells the wish at once
}

// ends counts the ends of connections.
type ends struct {
	opened chan *Conn
	closed atomic.Int64
	at     chan time.Time
}

func (e *ends) Opened(c *Conn)          { e.opened <- c }
func (e *ends) Received(*Conn, Message) {}
func (e *ends) Closed(*Conn, error)     { e.closed.Add(1); e.at <- time.Now() }

// silentPeer serves one connection: it says hello and then nothing, or the bytes that write sends.
func silentPeer(t *testing.T, write func(net.Conn)) (*Conn, *ends) {
	t.Helper()
	near, far := net.Pipe()
	var group errgroup.Group
	handler := &ends{opened: make(chan *Conn, 1), at: make(chan time.Time, 1)}
	group.Go(func() error { return serve(context.Background(), near, Config{Self: Hello{VM: "a"}}, handler) })
	group.Go(func() error { // reads what comes
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
		_ = far.Close() // the pipe has no other end any more
		_ = group.Wait()
	})
	return c, handler
}

// Guards against a VM that has a job and falls silent, and whose silence is found only after that of an idle connection.
func TestBusyConnectionFindsSilenceSoon(t *testing.T) {
	is := is.New(t)
	c, handler := silentPeer(t, nil)
	time.Sleep(50 * time.Millisecond) // idle
	began := time.Now()
	c.Send(Submit{Sequence: 1})
	took := (<-handler.at).Sub(began)
	is.True(took >= ReadTimeout-10*time.Millisecond)
	is.True(took < 2*ReadTimeout)
}

// Guards against a connection that is given up when its last job has ended: the other side is not expected to send as often
// any more, while a read that has begun still had the time of a busy connection (33 connections of each VM were opened
// anew in 30 s of a calm day).
func TestConnectionOutlivesItsLastJob(t *testing.T) {
	is := is.New(t)
	c, handler := silentPeer(t, nil)
	c.Send(Submit{Sequence: 1})
	time.Sleep(ReadTimeout / 2)
	c.Send(Verdict{Sequence: 1})
	time.Sleep(ReadTimeout)
	is.Equal(handler.closed.Load(), int64(0))
}

// Guards against connections that are given up while bytes still flow: a copy of the store's keys takes longer than the
// time of silence on a narrow link.
func TestSlowMessageIsNoSilence(t *testing.T) {
	is := is.New(t)
	c, handler := silentPeer(t, func(far net.Conn) {
		for range 12 { // the length of a message, and then its bytes one at a time
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
